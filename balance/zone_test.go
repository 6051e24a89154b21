package balance

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOnZoneChange checks that OnZoneChange is called once for each change when
// the targets of a zone become unreachable and reachable again.
func TestOnZoneChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var changes []bool
		balancer := &Balancer{Zone: "a", OnZoneChange: func(zone string, unreachable bool) {
			c.Assert(zone, qt.Equals, "b")
			changes = append(changes, unreachable)
		}}
		zone := balancer.getOrCreateZone("b")
		for range 2 * unreachableZoneTargets {
			zone.recordFailure("the same", time.Now())
		}
		c.Assert(changes, qt.HasLen, 0)
		for _, target := range []string{"b1", "b2", "b3", "b4", "b5"} {
			zone.recordFailure(target, time.Now())
		}
		c.Assert(changes, qt.DeepEquals, []bool{true})
		c.Assert(zone.isBackingOff(time.Now()), qt.IsTrue)
		time.Sleep(zoneAttemptInterval)
		c.Assert(zone.isBackingOff(time.Now()), qt.IsFalse)
		zone.recordAttempt(time.Now())
		c.Assert(zone.isBackingOff(time.Now()), qt.IsTrue)
		zone.recordSuccess()
		zone.recordSuccess()
		c.Assert(changes, qt.DeepEquals, []bool{true, false})
		c.Assert(zone.isBackingOff(time.Now()), qt.IsFalse)
		c.Assert(balancer.getOrCreateZone("a"), qt.IsNil)
	})
}
