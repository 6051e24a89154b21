package peer

import "slices"

// grantDeltas encodes the numbers of grants, which are large, as zigzag deltas
// from the last number of the same target.
type grantDeltas struct {
	// last maps a target's number in the dictionary to its last grant number.
	last map[uint32]uint64
}

// encode returns the zigzag delta from the target's last grant number to the
// given one. Name number 0 means that the target is not in the dictionary; the
// delta is then from 0.
func (grantDeltas *grantDeltas) encode(nameNumber uint32, number uint64) uint64 {
	delta := int64(number - grantDeltas.last[nameNumber])
	grantDeltas.store(nameNumber, number)
	return uint64(delta)<<1 ^ uint64(delta>>63)
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

// encodeDeltas returns the smallest number, followed by the differences between
// successive numbers in ascending order. It leaves its argument unchanged.
func encodeDeltas(numbers []uint64) []uint64 {
	deltas := slices.Sorted(slices.Values(numbers))
	for i := len(deltas) - 1; i > 0; i-- {
		deltas[i] -= deltas[i-1]
	}
	return deltas
}

// decodeDeltas reverses encodeDeltas in place.
func decodeDeltas(deltas []uint64) {
	for i := 1; i < len(deltas); i++ {
		deltas[i] += deltas[i-1]
	}
}
