// Package prefix knows what part of a prompt each target probably has cached.
package prefix

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nutmegfield.example/request"
)

// BlockBytes is the length of a block of prompt. Engines publish their cache
// events by the chained hashes of such blocks.
const BlockBytes = 256

// BytesPerToken turns the length of a text into an estimate of tokens.
const BytesPerToken = 4

// BlockTokens is the estimated number of tokens of a block.
const BlockTokens = BlockBytes / BytesPerToken

// maxPrefixes bounds how many prefixes a ticket carries.
const maxPrefixes = 16

// EstimateTokens estimates the tokens of a text of the given length in bytes.
func EstimateTokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }

// BlockHashes returns the chained hash of every whole block of a prompt: the n-th
// covers the first n blocks.
func BlockHashes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/BlockBytes)
	var previous uint64
	var seed [8]byte
	for len(prompt) >= BlockBytes {
		digest := xxhash.New()
		binary.LittleEndian.PutUint64(seed[:], previous)
		// A digest's Write never fails.
		_, _ = digest.Write(seed[:])
		_, _ = digest.Write(prompt[:BlockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
		prompt = prompt[BlockBytes:]
	}
	return hashes
}

// Sample picks at most 16 prefixes of a chain: the whole, and the lengths below
// it of a grid that all prompts share. Its steps are at most a third, so that a
// shared head is met to within a quarter, down to a 32nd of the whole.
func Sample(chain []uint64) []request.Prefix {
	lengths := SampleLengths(len(chain), maxPrefixes)
	prefixes := make([]request.Prefix, 0, len(lengths))
	for _, length := range lengths {
		prefixes = append(prefixes, request.Prefix{Hash: chain[length-1], Tokens: length * BlockTokens})
	}
	return prefixes
}

// SampleLengths returns at most so many lengths, the given one and those of the grid
// below it, from the shortest; all in blocks.
func SampleLengths(length, most int) []int {
	lengths := make([]int, 0, min(max(most, 0), maxPrefixes))
	for ; length > 0 && len(lengths) < most; length = gridBelow(length) {
		lengths = append(lengths, length)
	}
	slices.Reverse(lengths)
	return lengths
}

// gridBelow returns the largest length of the grid below the given one, 0 for
// none: 1, 2, 3, and 4, 5 and 6 times each power of two.
func gridBelow(length int) int {
	length--
	step := 1
	for length/step >= 8 {
		step *= 2
	}
	return min(length/step, 6) * step
}
