package prefix_test

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/prefix"
	"nutmegfield.example/request"
)

// promptPrefixes returns the prefixes of a prompt of length blocks, which has none
// in common with prompts of other numbers.
func promptPrefixes(number, length int) []request.Prefix {
	prefixes := make([]request.Prefix, length)
	for i := range prefixes {
		prefixes[i] = request.Prefix{Hash: uint64(number)<<16 + uint64(i) + 1, Tokens: (i + 1) * prefix.BlockTokens}
	}
	return prefixes
}

func TestIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		index := &prefix.Index{}
		one, other := promptPrefixes(1, 4), promptPrefixes(2, 4)
		index.RecordGrant("a", one)
		index.RecordGrant("b", one[:2])
		index.ApplyEvent("b", []uint64{other[1].Hash}, []uint64{one[1].Hash})
		qt.Check(t, index.CachedTokens("a", one), qt.Equals, 4*prefix.BlockTokens)
		qt.Check(t, index.CachedTokens("b", one), qt.Equals, prefix.BlockTokens)
		qt.Check(t, index.CachedTokens("b", other), qt.Equals, 2*prefix.BlockTokens)
		qt.Check(t, index.Holders(one, nil), qt.DeepEquals, []prefix.Holder{
			{Target: "a", Tokens: 4 * prefix.BlockTokens}, {Target: "b", Tokens: prefix.BlockTokens},
		})

		index.RecordGap("b")
		time.Sleep(2 * time.Minute)
		qt.Check(t, index.CachedTokens("b", one), qt.Equals, 0)
		qt.Check(t, index.CachedTokens("a", one), qt.Equals, 4*prefix.BlockTokens)
		index.ApplyEvent("b", []uint64{one[0].Hash}, nil)
		qt.Check(t, index.CachedTokens("b", one), qt.Equals, prefix.BlockTokens)

		time.Sleep(9 * time.Minute)
		qt.Check(t, index.CachedTokens("a", one), qt.Equals, 0)

		index.RecordAnswer("a", one, 0)
		index.RemoveTarget("a")
		qt.Check(t, index.CachedTokens("a", one), qt.Equals, 0)
		qt.Check(t, index.Len(), qt.Equals, 2)
	})
}

// TestRecordShortfall checks that a shortfall lowers the estimated capacity of
// a target and drops its oldest entries first.
func TestRecordShortfall(t *testing.T) {
	index := &prefix.Index{}
	for number := range 100 {
		index.RecordGrant("a", promptPrefixes(number, 16))
	}
	index.RecordShortfall("a", 16*prefix.BlockTokens, 0)
	qt.Check(t, index.CachedTokens("a", promptPrefixes(0, 16)), qt.Equals, 0)
	qt.Check(t, index.CachedTokens("a", promptPrefixes(99, 16)), qt.Equals, 16*prefix.BlockTokens)
	before := index.Len()
	index.RecordShortfall("a", 16*prefix.BlockTokens, 16*prefix.BlockTokens)
	qt.Check(t, index.Len(), qt.Equals, before)
}

// TestMaxEntries checks that an index that is filled far beyond its limit stays
// within it and keeps the newest entries.
func TestMaxEntries(t *testing.T) {
	index := &prefix.Index{}
	for number := range 40000 {
		index.RecordGrant(fmt.Sprint(number%20), promptPrefixes(number, 16))
	}
	qt.Check(t, index.Len() <= 1<<17, qt.IsTrue, qt.Commentf("%d entries", index.Len()))
	qt.Check(t, index.CachedTokens(fmt.Sprint(39999%20), promptPrefixes(39999, 16)), qt.Equals, 16*prefix.BlockTokens)
}

// FuzzSample checks that the samples of two prompts with a common beginning
// share a prefix of at least three quarters of it.
func FuzzSample(f *testing.F) {
	f.Add(uint16(40), uint16(7), uint16(100))
	f.Add(uint16(1), uint16(0), uint16(0))
	f.Add(uint16(300), uint16(500), uint16(1))
	f.Fuzz(func(t *testing.T, shared, one, other uint16) {
		head := int(shared % 256)
		first := prefix.Sample(promptHashes(head, int(one%64), 1))
		second := prefix.Sample(promptHashes(head, int(other%64), 2))
		sharedBlocks := 0
		known := map[uint64]bool{}
		for _, each := range first {
			known[each.Hash] = true
		}
		for _, each := range second {
			if known[each.Hash] {
				sharedBlocks = max(sharedBlocks, each.Tokens/prefix.BlockTokens)
			}
		}
		if len(first) > 16 || sharedBlocks > head {
			t.Fatalf("%d prefixes, common beginning of %d blocks: shared prefix of %d blocks", len(first), head, sharedBlocks)
		}
		if longest := head + max(int(one%64), int(other%64)); 32*head >= longest && 4*sharedBlocks < 3*head {
			t.Fatalf("common beginning of %d blocks, then %d and %d different ones: shared prefix of %d blocks", head, one%64, other%64, sharedBlocks)
		}
	})
}

// promptHashes returns the block hashes of a prompt: head blocks that are the
// same for every mark, and tail blocks that depend on the mark.
func promptHashes(head, tail int, mark byte) []uint64 {
	text := make([]byte, (head+tail)*prefix.BlockBytes)
	for i := range text {
		text[i] = byte(i / prefix.BlockBytes)
		if i >= head*prefix.BlockBytes {
			text[i] = 255 - mark
		}
	}
	return prefix.BlockHashes(text)
}

// BenchmarkHolders measures a look-up of 16 prefixes in an index of 680
// targets.
func BenchmarkHolders(b *testing.B) {
	index := &prefix.Index{}
	for number := range 8000 {
		index.RecordGrant(fmt.Sprint(number%680), promptPrefixes(number, 16))
	}
	prefixes := promptPrefixes(4000, 16)
	var buffer []prefix.Holder
	b.ReportAllocs()
	for b.Loop() {
		buffer = index.Holders(prefixes, buffer[:0])
	}
}

// BenchmarkEntry reports the bytes of memory for each entry with 680 targets.
func BenchmarkEntry(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		index := &prefix.Index{}
		for number := range 16000 {
			index.RecordGrant(fmt.Sprint(number%680), promptPrefixes(number, 16))
		}
		b.ReportMetric(float64(heapBytes()-before)/float64(index.Len()), "B/entry")
		runtime.KeepAlive(index)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
