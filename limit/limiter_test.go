package limit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLimitsEnd guards against limits that end by an answer which was on its way when
// the target named them, or that never end.
func TestLimitsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		limiter := &Limiter{}
		limiter.SetTargets(map[Target]string{1: "t1", 2: "t2"})
		limiter.Observe(1, 0, time.Now())
		c.Assert(limiter.IsEmpty(), qt.IsTrue)
		time.Sleep(time.Second)
		sentBefore := time.Now()
		time.Sleep(time.Second)
		limiter.Observe(1, 2, sentBefore)
		limiter.Observe(1, 0, sentBefore)
		c.Assert(limiter.Rate(1), qt.Equals, 2.0)
		limiter.Observe(1, 0, time.Now().Add(liftMargin))
		c.Assert(limiter.Rate(1), qt.Equals, 2.0)
		time.Sleep(time.Millisecond)
		limiter.Observe(1, 1.4, time.Now())
		c.Assert(limiter.Rate(1), qt.Equals, 1.4)
		time.Sleep(time.Second)
		limiter.Observe(1, 0, time.Now())
		c.Assert(limiter.Rate(1), qt.Equals, 0.0)
		limiter.Observe(2, 1e-9, time.Now())
		c.Assert(limiter.Rate(2), qt.Equals, minRate)
		time.Sleep(liftedLifetime + time.Second)
		limiter.SetTargets(map[Target]string{1: "t1"})
		c.Assert(limiter.limits.load(), qt.HasLen, 1)
		// An entry that comes back brings no limit back, but keeps one.
		time.Sleep(goneLifetime / 2)
		limiter.SetTargets(map[Target]string{2: "t2"})
		c.Assert(limiter.Rate(2), qt.Equals, minRate)
		limiter.SetTargets(nil)
		time.Sleep(goneLifetime + time.Second)
		limiter.SetTargets(nil)
		c.Assert(limiter.Rate(2), qt.Equals, minRate)
		limiter.SetTargets(map[Target]string{3: "t3"})
		time.Sleep(goneLifetime + time.Second)
		limiter.SetTargets(map[Target]string{3: "t3"})
		c.Assert(limiter.IsEmpty(), qt.IsTrue)
	})
}

// TestLimitsAreBounded guards against memory that grows with the targets that name
// limits.
func TestLimitsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := &Limiter{}
		for i := range 2 * maxNamed {
			limiter.Observe(Target(i), 1, time.Now())
		}
		qt.Assert(t, limiter.limits.load(), qt.HasLen, maxNamed, qt.Commentf(fmt.Sprint(maxNamed)))
	})
}
