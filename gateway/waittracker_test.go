package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWaitTrackerDetectsRetries uses the load after a burst: callers wait for 8 to
// 10 s in total, and refused ones retry with the rest of that, mixed with new
// callers.
func TestWaitTrackerDetectsRetries(t *testing.T) {
	c := qt.New(t)
	var waitTracker waitTracker
	const noneRefused, someRefused = 0.0, 0.3
	c.Assert(waitTracker.isRetry("draft", 6*time.Second, someRefused), qt.IsFalse, qt.Commentf("nothing is known yet"))
	for i := range 100 {
		wait := 8*time.Second + time.Duration(i%10)*200*time.Millisecond
		c.Assert(waitTracker.isRetry("draft", wait, noneRefused), qt.IsFalse)
	}
	c.Assert(waitTracker.isRetry("draft", 8500*time.Millisecond, someRefused), qt.IsFalse)
	c.Assert(waitTracker.isRetry("draft", 6*time.Second, someRefused), qt.IsTrue)
	c.Assert(waitTracker.isRetry("tag", 2*time.Second, someRefused), qt.IsFalse, qt.Commentf("another route"))
	c.Assert(waitTracker.isRetry("draft", 0, someRefused), qt.IsFalse, qt.Commentf("the caller does not say"))

	// While hardly any request is refused, a short wait is not a retry: it is
	// learned, and forgotten after many requests.
	c.Assert(waitTracker.isRetry("draft", time.Second, noneRefused), qt.IsFalse)
	c.Assert(waitTracker.isRetry("draft", 6*time.Second, someRefused), qt.IsFalse)
	for range 500 {
		waitTracker.isRetry("draft", 8500*time.Millisecond, noneRefused)
	}
	c.Assert(waitTracker.isRetry("draft", 6*time.Second, someRefused), qt.IsTrue)
}

// TestRetriesQueueAfterNewRequests checks that retries of refused requests queue after
// new requests of their rank and before those of the next.
func TestRetriesQueueAfterNewRequests(t *testing.T) {
	c := qt.New(t)
	fresh := forwarding{rank: 1}
	returned := forwarding{rank: 1, isRetry: true}
	next := forwarding{rank: 2}
	c.Assert(fresh.queueTier() < returned.queueTier(), qt.IsTrue)
	c.Assert(returned.queueTier() < next.queueTier(), qt.IsTrue)
}
