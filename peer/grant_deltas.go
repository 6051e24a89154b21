package peer

import "slices"

// grantDeltas encodes the numbers of grants, which are large, as zigzag deltas
// from the last number of the same target. The key is the target's number in
// the dictionary.
type grantDeltas struct {
	last map[uint32]uint64
}

// encode returns the encoded delta to a number. Targets with name number 0 are
// not in the dictionary: their numbers are encoded relative to 0.
func (grantDeltas *grantDeltas) encode(nameNumber uint32, number uint64) uint64 {
	step := int64(number - grantDeltas.last[nameNumber])
	grantDeltas.store(nameNumber, number)
	return uint64(step)<<1 ^ uint64(step>>63)
}

// decode reverses encode.
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

// encodeDeltas sorts numbers and returns the first one and the differences
// between the others.
func encodeDeltas(numbers []uint64) []uint64 {
	steps := slices.Sorted(slices.Values(numbers))
	for i := len(steps) - 1; i > 0; i-- {
		steps[i] -= steps[i-1]
	}
	return steps
}

// decodeDeltas reverses encodeDeltas in place.
func decodeDeltas(steps []uint64) {
	for i := 1; i < len(steps); i++ {
		steps[i] += steps[i-1]
	}
}
