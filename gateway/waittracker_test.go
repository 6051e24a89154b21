package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReturningCallers has the load after a burst: refused callers return with
// the rest of the 8 to 10 s that they wait in total, mixed with new callers.
func TestReturningCallers(t *testing.T) {
	c := qt.New(t)
	var waitTracker waitTracker
	const calm, pressed = 0.0, 0.3
	c.Assert(waitTracker.isRetry("draft", 6*time.Second, pressed), qt.IsFalse, qt.Commentf("nothing is known yet"))
	for i := range 100 {
		wait := 8*time.Second + time.Duration(i%10)*200*time.Millisecond
		c.Assert(waitTracker.isRetry("draft", wait, calm), qt.IsFalse)
	}
	c.Assert(waitTracker.isRetry("draft", 8500*time.Millisecond, pressed), qt.IsFalse)
	c.Assert(waitTracker.isRetry("draft", 6*time.Second, pressed), qt.IsTrue)
	c.Assert(waitTracker.isRetry("tag", 2*time.Second, pressed), qt.IsFalse, qt.Commentf("another route"))
	c.Assert(waitTracker.isRetry("draft", 0, pressed), qt.IsFalse, qt.Commentf("the caller does not say"))

	// A caller with a short wait under low pressure is not a retry; its wait is
	// learned, and no longer counts after many requests.
	c.Assert(waitTracker.isRetry("draft", time.Second, calm), qt.IsFalse)
	c.Assert(waitTracker.isRetry("draft", 6*time.Second, pressed), qt.IsFalse)
	for range 500 {
		waitTracker.isRetry("draft", 8500*time.Millisecond, calm)
	}
	c.Assert(waitTracker.isRetry("draft", 6*time.Second, pressed), qt.IsTrue)
}

// TestReturningCallersOrder puts returning callers after new ones of their rank
// and before those of the next.
func TestReturningCallersOrder(t *testing.T) {
	c := qt.New(t)
	fresh := forwarding{rank: 1}
	returned := forwarding{rank: 1, isRetry: true}
	next := forwarding{rank: 2}
	c.Assert(fresh.queueTier() < returned.queueTier(), qt.IsTrue)
	c.Assert(returned.queueTier() < next.queueTier(), qt.IsTrue)
}
