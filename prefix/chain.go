// Package prefix knows what part of a prompt each target probably has cached.
package prefix

import (
	"encoding/binary"

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

// Tokens estimates the tokens of a text of the given length in bytes.
func Tokens(bytes int) int { return (bytes + BytesPerToken - 1) / BytesPerToken }

// Chain returns the chained hash of every whole block of a prompt: the n-th
// covers the first n blocks.
func Chain(prompt []byte) []uint64 {
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

// Thin picks at most 16 prefixes of a chain: the whole, and lengths that
// shrink by about a quarter each step, so that a shared head of any length is
// met to within that.
func Thin(chain []uint64) []request.Prefix {
	var lengths []int
	for length := len(chain); length > 0 && len(lengths) < maxPrefixes; {
		lengths = append(lengths, length)
		next := canonical(length * 3 / 4)
		if next >= length {
			next = length - 1
		}
		length = next
	}
	prefixes := make([]request.Prefix, 0, len(lengths))
	for i := len(lengths) - 1; i >= 0; i-- {
		length := lengths[i]
		prefixes = append(prefixes, request.Prefix{Hash: chain[length-1], Tokens: length * BlockTokens})
	}
	return prefixes
}

// canonical rounds a length down to one with two leading bits of freedom, so
// that prompts of unlike lengths pick the same points of a shared head.
func canonical(length int) int {
	step := 1
	for length/step >= 8 {
		step *= 2
	}
	return length / step * step
}
