package scheduler

import (
	"context"
	"expvar"
	"testing"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/pool"
	"nutmegfield.example/prefix"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// TestCacheEvents checks that each cache event is applied to the index once,
// and that a gap is counted.
func TestCacheEvents(t *testing.T) {
	batches := [][]protocol.CacheEvent{
		{{Sequence: 1, Stored: []uint64{10}}, {Sequence: 2, Stored: []uint64{20}}},
		{},
		{{Sequence: 4, Removed: []uint64{10}}},
	}
	var asked []uint64
	scheduler := &Scheduler{Client: func(string) *protocol.Client {
		return &protocol.Client{CacheEvents: func(_ context.Context, _ string, after uint64) ([]protocol.CacheEvent, error) {
			asked = append(asked, after)
			next := batches[0]
			batches = batches[1:]
			return next, nil
		}}
	}}
	polledTarget := polledTarget{targetKey{"p", "t"}, &profile.Target{}, &pool.Pool{Prefixes: &prefix.Index{}}}
	targetPoll := &targetPoll{}
	gaps := func() int64 {
		if count, ok := pollCounts.Get("gaps").(*expvar.Int); ok {
			return count.Value()
		}
		return 0
	}
	cached := func(hash uint64) int {
		return polledTarget.pool.Prefixes.CachedTokens("t", []request.Prefix{{Hash: hash, Tokens: 64}})
	}
	before := gaps()
	scheduler.pollCacheEvents(t.Context(), polledTarget, targetPoll)
	qt.Check(t, cached(10), qt.Equals, 64)
	qt.Check(t, gaps()-before, qt.Equals, int64(0))
	scheduler.pollCacheEvents(t.Context(), polledTarget, targetPoll)
	scheduler.pollCacheEvents(t.Context(), polledTarget, targetPoll)
	qt.Check(t, asked, qt.DeepEquals, []uint64{0, 2, 2})
	qt.Check(t, cached(10), qt.Equals, 0)
	qt.Check(t, gaps()-before, qt.Equals, int64(1))
}
