// Package prefix estimates which part of a prompt each target has in its prefix
// cache.
package prefix

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nutmegfield.example/request"
)

// BlockBytes is the length of a block of a prompt. Engines identify the blocks
// in their cache events by the chained hashes of such blocks.
const BlockBytes = 256

// BytesPerToken is the assumed length of a token, used to estimate the number
// of tokens in a text.
const BytesPerToken = 4

// BlockTokens is the estimated number of tokens in a block.
const BlockTokens = BlockBytes / BytesPerToken

// maxPrefixes is the most prefixes that a ticket carries.
const maxPrefixes = 16

// EstimateTokens estimates the number of tokens in a text from its length in
// bytes, rounded up.
func EstimateTokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }

// BlockHashes returns the chained hash of every whole block of a prompt: the
// n-th hash covers the first n blocks.
func BlockHashes(prompt []byte) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/BlockBytes)
	var previous uint64
	var seed [8]byte
	for len(prompt) >= BlockBytes {
		digest := xxhash.New()
		binary.LittleEndian.PutUint64(seed[:], previous)
		// Digest.Write never returns an error.
		_, _ = digest.Write(seed[:])
		_, _ = digest.Write(prompt[:BlockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
		prompt = prompt[BlockBytes:]
	}
	return hashes
}

// Sample returns at most 16 prefixes of a chain of block hashes, the shortest
// first: the whole chain, and shorter ones whose lengths are in a sequence that
// is the same for all prompts (the grid). Each length on the grid is at most a
// third longer than the one before (from 3 blocks on). Two prompts with a
// common beginning therefore share a sampled prefix of at least three quarters
// of that beginning, if it is at least a 32nd of the longer prompt.
func Sample(chain []uint64) []request.Prefix {
	lengths := SampleLengths(len(chain), maxPrefixes)
	prefixes := make([]request.Prefix, 0, len(lengths))
	for _, length := range lengths {
		prefixes = append(prefixes, request.Prefix{Hash: chain[length-1], Tokens: length * BlockTokens})
	}
	return prefixes
}

// SampleLengths returns the given length and the next lower lengths on the
// grid, at most limit of them, in blocks and in ascending order.
func SampleLengths(length, limit int) []int {
	lengths := make([]int, 0, min(max(limit, 0), maxPrefixes))
	for ; length > 0 && len(lengths) < limit; length = gridBelow(length) {
		lengths = append(lengths, length)
	}
	slices.Reverse(lengths)
	return lengths
}

// gridBelow returns the greatest length on the grid below the given one, or 0
// if there is none. The grid consists of 1, 2, 3, and 4, 5 and 6 times each
// power of two.
func gridBelow(length int) int {
	length--
	step := 1
	for length/step >= 8 {
		step *= 2
	}
	return min(length/step, 6) * step
}
