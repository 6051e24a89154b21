package peer

import "slices"

// steps writes the numbers of grants, which are large, as steps from the last
// number of the same target, both by the target's place in the dictionary.
type steps struct {
	last map[uint32]uint64
}

// write returns the step to a number; place 0 has no last number.
func (steps *steps) write(place uint32, number uint64) uint64 {
	step := int64(number - steps.last[place])
	steps.keep(place, number)
	return uint64(step)<<1 ^ uint64(step>>63)
}

// read undoes write.
func (steps *steps) read(place uint32, written uint64) uint64 {
	number := steps.last[place] + (written>>1 ^ -(written & 1))
	steps.keep(place, number)
	return number
}

func (steps *steps) keep(place uint32, number uint64) {
	if place == 0 {
		return
	}
	if steps.last == nil {
		steps.last = map[uint32]uint64{}
	}
	steps.last[place] = number
}

// differences sorts numbers and returns the first and the steps to the others.
func differences(numbers []uint64) []uint64 {
	steps := slices.Sorted(slices.Values(numbers))
	for i := len(steps) - 1; i > 0; i-- {
		steps[i] -= steps[i-1]
	}
	return steps
}

// sums undoes differences, in place.
func sums(steps []uint64) {
	for i := 1; i < len(steps); i++ {
		steps[i] += steps[i-1]
	}
}
