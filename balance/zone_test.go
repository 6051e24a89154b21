package balance

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestZoneCutIsTold has a zone's targets fall out of reach and come back: the
// belief is told once each time it changes.
func TestZoneCutIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var told []bool
		balancer := &Balancer{Zone: "a", OnZoneChange: func(zone string, cut bool) {
			c.Assert(zone, qt.Equals, "b")
			told = append(told, cut)
		}}
		zone := balancer.zone("b")
		for range 2 * cutTargets {
			zone.unreachable("the same", time.Now())
		}
		c.Assert(told, qt.HasLen, 0)
		for _, target := range []string{"b1", "b2", "b3", "b4", "b5"} {
			zone.unreachable(target, time.Now())
		}
		c.Assert(told, qt.DeepEquals, []bool{true})
		c.Assert(zone.paused(time.Now()), qt.IsTrue)
		time.Sleep(zonePause)
		c.Assert(zone.paused(time.Now()), qt.IsFalse)
		zone.tried(time.Now())
		c.Assert(zone.paused(time.Now()), qt.IsTrue)
		zone.reached()
		zone.reached()
		c.Assert(told, qt.DeepEquals, []bool{true, false})
		c.Assert(zone.paused(time.Now()), qt.IsFalse)
		c.Assert(balancer.zone("a"), qt.IsNil)
	})
}
