package balance

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBrittleSlotsBelongToOneHost guards against brittle targets that turn requests away
// because several hosts use the same slot before they hear of each other.
func TestBrittleSlotsBelongToOneHost(t *testing.T) {
	c := qt.New(t)
	for _, id := range []string{"t1", "t2", "another"} {
		for slots := range 20 {
			for count := 1; count < 12; count++ {
				sum := 0
				for index := range count {
					balancer := &Balancer{HostShare: func() (int, int) { return index, count }}
					own := balancer.ownSlots(&targetState{Target: Target{ID: id, Slots: slots}})
					c.Assert(own >= 0, qt.IsTrue)
					sum += own
				}
				c.Assert(sum, qt.Equals, slots, qt.Commentf("%s, %d hosts", id, count))
			}
		}
	}
}

// TestBrittlePoolHoldsBack guards against requests that have to wait at a brittle target, and
// against hosts that forget that it is brittle as they get no slot there, or that hold back
// when it no longer is.
func TestBrittlePoolHoldsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		balancer := &Balancer{HostShare: func() (int, int) { return 0, 2 }, HostCount: func() int { return 2 }}
		target := Target{ID: "t", Pool: "p", Address: "a", Slots: 4}
		balancer.SetTargets([]Target{target}, nil)
		grants := func() (count int) {
			var held []*Grant
			for {
				grant, err := balancer.Acquire(t.Context(), &Ticket{Pool: "p", Due: time.Now().Add(time.Millisecond), Deadline: time.Now().Add(2 * time.Millisecond)})
				if err != nil {
					break
				}
				held = append(held, grant)
			}
			for _, grant := range held {
				grant.Cancel()
			}
			return len(held)
		}
		go func() { _ = balancer.Run(t.Context()) }()
		c.Assert(grants(), qt.Equals, 2*target.Slots)
		c.Assert(balancer.RecordBrittle(&target, 3), qt.IsTrue)
		c.Assert(balancer.RecordBrittle(&target, 3), qt.IsFalse)
		c.Assert(balancer.Report().Brittle, qt.DeepEquals, []BrittlePool{{Pool: "p", Limit: 3}})
		held := grants()
		c.Assert(held >= target.Slots/2 && held <= target.Slots, qt.IsTrue, qt.Commentf("%d", held))
		time.Sleep(brittleLifetime - time.Second)
		c.Assert(balancer.Report().Brittle, qt.HasLen, 0)
		balancer.ApplyReport(&Report{Host: "other", Brittle: []BrittlePool{{Pool: "p", Limit: 3}, {Pool: "unknown", Limit: 1}}})
		time.Sleep(2 * time.Second)
		c.Assert(grants() <= target.Slots, qt.IsTrue)
		time.Sleep(brittleLifetime)
		c.Assert(grants(), qt.Equals, 2*target.Slots)
	})
}

// TestBrittlePoolAfterAPause guards against a host that was paused and uses the slots of
// others, as it knows of none of their requests.
func TestBrittlePoolAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		balancer := &Balancer{
			HostShare: func() (int, int) { return 0, 2 }, HostCount: func() int { return 2 },
			PropagationDelay: func() time.Duration { return 45 * time.Millisecond },
		}
		target := Target{ID: "t", Pool: "p", Address: "a", Slots: 8}
		balancer.SetTargets([]Target{target}, nil)
		balancer.RecordBrittle(&target, 3)
		pool := balancer.pools["p"]
		state := balancer.targets["t"]
		state.inFlight = balancer.ownSlots(state)
		c.Assert(balancer.acceptsBrittle(pool, state, time.Now()), qt.IsFalse, qt.Commentf("nothing is heard"))
		balancer.ApplyReport(&Report{Host: "other"})
		c.Assert(balancer.acceptsBrittle(pool, state, time.Now()), qt.IsTrue)
		time.Sleep(time.Second)
		c.Assert(balancer.acceptsBrittle(pool, state, time.Now()), qt.IsFalse, qt.Commentf("what is known is old"))
	})
}

// TestBrittleBackoffEndsWithBrittleness guards against targets that hosts of a large deployment
// leave alone for minutes, also when they are sound again, as one refused a request while it
// was brittle.
func TestBrittleBackoffEndsWithBrittleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		balancer := &Balancer{HostCount: func() int { return 300 }}
		target := Target{ID: "t", Pool: "p", Address: "a", Slots: 8}
		balancer.SetTargets([]Target{target}, nil)
		go func() { _ = balancer.Run(t.Context()) }()
		acquire := func() (*Grant, error) {
			return balancer.Acquire(t.Context(), &Ticket{Pool: "p", Due: time.Now().Add(100 * time.Millisecond), Deadline: time.Now().Add(100 * time.Millisecond)})
		}
		balancer.RecordBrittle(&target, 1)
		grant, err := acquire()
		c.Assert(err, qt.IsNil)
		grant.End(Full)
		time.Sleep(time.Second)
		_, err = acquire()
		c.Assert(err, qt.IsNotNil, qt.Commentf("the target is left alone"))
		time.Sleep(brittleLifetime)
		grant, err = acquire()
		c.Assert(err, qt.IsNil, qt.Commentf("the target is sound again"))
		grant.Cancel()
		balancer.RecordBrittle(&target, 1)
		for range 10 {
			time.Sleep(time.Second)
			balancer.RecordBrittle(&target, 1)
		}
		grant, err = acquire()
		c.Assert(err, qt.IsNil, qt.Commentf("the backoff has a bound"))
		grant.Cancel()
	})
}
