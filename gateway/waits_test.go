package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReturningCallers is the load after a burst: refused callers come back
// with what is left of the 8 to 10 s that they wait in all, among new ones.
func TestReturningCallers(t *testing.T) {
	c := qt.New(t)
	var waits waits
	const calm, pressed = 0.0, 0.3
	c.Assert(waits.returned("draft", 6*time.Second, pressed), qt.IsFalse, qt.Commentf("nothing is known yet"))
	for i := range 100 {
		wait := 8*time.Second + time.Duration(i%10)*200*time.Millisecond
		c.Assert(waits.returned("draft", wait, calm), qt.IsFalse)
	}
	c.Assert(waits.returned("draft", 8500*time.Millisecond, pressed), qt.IsFalse)
	c.Assert(waits.returned("draft", 6*time.Second, pressed), qt.IsTrue)
	c.Assert(waits.returned("tag", 2*time.Second, pressed), qt.IsFalse, qt.Commentf("another route"))
	c.Assert(waits.returned("draft", 0, pressed), qt.IsFalse, qt.Commentf("the caller does not say"))

	// A caller that waits less in calm is no returning one, but forgotten later.
	c.Assert(waits.returned("draft", time.Second, calm), qt.IsFalse)
	c.Assert(waits.returned("draft", 6*time.Second, pressed), qt.IsFalse)
	for range 500 {
		waits.returned("draft", 8500*time.Millisecond, calm)
	}
	c.Assert(waits.returned("draft", 6*time.Second, pressed), qt.IsTrue)
}

// TestReturningCallersOrder has returning callers come after new ones of their
// rank, but before those of the next.
func TestReturningCallersOrder(t *testing.T) {
	c := qt.New(t)
	fresh := forwarding{rank: 1}
	returned := forwarding{rank: 1, returned: true}
	next := forwarding{rank: 2}
	c.Assert(fresh.tier() < returned.tier(), qt.IsTrue)
	c.Assert(returned.tier() < next.tier(), qt.IsTrue)
}
