package peer

import "slices"

// grantDeltas writes the numbers of grants, which are large, as grantDeltas from the last
// number of the same target, both by the target's place in the dictionary.
type grantDeltas struct {
	last map[uint32]uint64
}

// encode returns the step to a number; place 0 has no last number.
func (grantDeltas *grantDeltas) encode(nameNumber uint32, number uint64) uint64 {
	step := int64(number - grantDeltas.last[nameNumber])
	grantDeltas.store(nameNumber, number)
	return uint64(step)<<1 ^ uint64(step>>63)
}

// decode undoes write.
func (grantDeltas *grantDeltas) decode(nameNumber uint32, written uint64) uint64 {
	number := grantDeltas.last[nameNumber] + (written>>1 ^ -(written & 1))
	grantDeltas.store(nameNumber, number)
	return number
}

func (grantDeltas *grantDeltas) store(nameNumber uint32, number uint64) {
	if nameNumber == 0 {
		return
	}
	if grantDeltas.last == nil {
		grantDeltas.last = map[uint32]uint64{}
	}
	grantDeltas.last[nameNumber] = number
}

// encodeDeltas sorts numbers and returns the first and the steps to the others.
func encodeDeltas(numbers []uint64) []uint64 {
	steps := slices.Sorted(slices.Values(numbers))
	for i := len(steps) - 1; i > 0; i-- {
		steps[i] -= steps[i-1]
	}
	return steps
}

// decodeDeltas undoes differences, in place.
func decodeDeltas(steps []uint64) {
	for i := 1; i < len(steps); i++ {
		steps[i] += steps[i-1]
	}
}
