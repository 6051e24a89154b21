package objects_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/objects"
	"nutmegfield.example/standin"
	"nutmegfield.example/timeline"
)

// leaseTest runs candidates for the same lease. No two of them may use it with
// the same fencing number, and the numbers used may not decrease.
type leaseTest struct {
	c       *qt.C
	standin *standin.Platform
	mutex   sync.Mutex
	// highestNumber is the highest fencing number used, lastHolder its user.
	highestNumber int64
	lastHolder    string
	group         sync.WaitGroup
}

// candidate is a host that wants the lease.
type candidate struct {
	lease       *objects.Lease
	events      *timeline.Recorder
	stop        context.CancelFunc
	mutex       sync.Mutex
	frozenUntil time.Time
	// cutOff makes all calls of the platform fail.
	cutOff bool
}

func (leaseTest *leaseTest) start(holder string) *candidate {
	candidate := &candidate{events: &timeline.Recorder{Host: holder}}
	candidate.lease = &objects.Lease{
		API:    candidate.wrapAPI(leaseTest.standin.API()),
		Name:   "orders-a",
		Zone:   "a",
		Holder: holder,
		Term:   objects.LeaseTerm,
		Margin: objects.LeaseMargin,
		Wanted: func() bool { return true },
		Events: candidate.events,
	}
	ctx, stop := context.WithCancel(context.Background())
	candidate.stop = stop
	leaseTest.group.Go(func() { leaseTest.c.Check(candidate.lease.Run(ctx), qt.IsNil) })
	leaseTest.group.Go(func() { leaseTest.useLease(ctx, candidate) })
	return candidate
}

// wrapAPI returns an API that waits while the candidate is frozen, before and
// after each call, and fails while it is cut off.
func (candidate *candidate) wrapAPI(api objects.API) objects.API {
	connected := standin.CutOff(api, func() bool {
		candidate.mutex.Lock()
		defer candidate.mutex.Unlock()
		return candidate.cutOff
	})
	wrapped := connected
	wrapped.Get = func(ctx context.Context, kind, name string) (objects.Object, error) {
		candidate.waitWhileFrozen()
		defer candidate.waitWhileFrozen()
		return connected.Get(ctx, kind, name)
	}
	wrapped.Put = func(ctx context.Context, object objects.Object) (int64, error) {
		candidate.waitWhileFrozen()
		defer candidate.waitWhileFrozen()
		return connected.Put(ctx, object)
	}
	return wrapped
}

func (candidate *candidate) waitWhileFrozen() {
	candidate.mutex.Lock()
	wait := time.Until(candidate.frozenUntil)
	candidate.mutex.Unlock()
	time.Sleep(wait)
}

func (candidate *candidate) freeze(duration time.Duration) {
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	candidate.frozenUntil = time.Now().Add(duration)
}

func (candidate *candidate) setCutOff(cutOff bool) {
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	candidate.cutOff = cutOff
}

// useLease checks the lease every 50 ms while the candidate is not frozen. The
// fencing number may not decrease, and one number may have only one holder: then
// no two candidates hold the lease at once.
func (leaseTest *leaseTest) useLease(ctx context.Context, candidate *candidate) {
	for ctx.Err() == nil {
		candidate.waitWhileFrozen()
		if number, err := candidate.lease.Check(); err == nil {
			leaseTest.mutex.Lock()
			leaseTest.c.Check(number >= leaseTest.highestNumber, qt.IsTrue)
			if number == leaseTest.highestNumber {
				leaseTest.c.Check(candidate.lease.Holder, qt.Equals, leaseTest.lastHolder)
			}
			leaseTest.highestNumber, leaseTest.lastHolder = number, candidate.lease.Holder
			leaseTest.mutex.Unlock()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (leaseTest *leaseTest) lastUse() (holder string, fencingNumber int64) {
	leaseTest.mutex.Lock()
	defer leaseTest.mutex.Unlock()
	return leaseTest.lastHolder, leaseTest.highestNumber
}

func runLeaseTest(t *testing.T, test func(c *qt.C, leaseTest *leaseTest)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		leaseTest := &leaseTest{c: c, standin: &standin.Platform{}}
		test(c, leaseTest)
		leaseTest.group.Wait()
	})
}

// TestLeaseOfTwoCandidates: one of two candidates holds the lease, and the other
// acquires it with the next fencing number once the holder stops.
func TestLeaseOfTwoCandidates(t *testing.T) {
	runLeaseTest(t, func(c *qt.C, leaseTest *leaseTest) {
		first, second := leaseTest.start("a1"), leaseTest.start("a2")
		time.Sleep(time.Minute)
		holder, number := leaseTest.lastUse()
		c.Assert(number, qt.Equals, int64(1))
		winner, loser := first, second
		if holder == "a2" {
			winner, loser = second, first
		}
		// The holder releases the lease when it stops, so the other does not wait
		// for the end of the term.
		winner.stop()
		time.Sleep(objects.LeaseTerm / 2)
		holder, number = leaseTest.lastUse()
		c.Assert(holder, qt.Equals, loser.lease.Holder)
		c.Assert(number, qt.Equals, int64(2))
		loser.stop()
	})
}

// TestLeaseHolderFrozenPastItsTerm: a holder whose process is frozen for longer
// than the term must find the lease lost in its first check afterwards.
func TestLeaseHolderFrozenPastItsTerm(t *testing.T) {
	runLeaseTest(t, func(c *qt.C, leaseTest *leaseTest) {
		first := leaseTest.start("a1")
		time.Sleep(5 * time.Second)
		second := leaseTest.start("a2")
		time.Sleep(20 * time.Second)
		first.freeze(time.Minute)
		time.Sleep(time.Minute - time.Millisecond)
		holder, number := leaseTest.lastUse()
		c.Assert(holder, qt.Equals, "a2")
		c.Assert(number, qt.Equals, int64(2))
		time.Sleep(time.Millisecond)
		// The first action after the freeze.
		_, err := first.lease.Check()
		c.Assert(objects.Is(err, objects.NotHeld), qt.IsTrue)
		time.Sleep(time.Minute)
		holder, _ = leaseTest.lastUse()
		c.Assert(holder, qt.Equals, "a2")
		first.stop()
		second.stop()
	})
}

// TestLeaseIsHeldWhenAnswersAreLost: writes that take effect without an answer,
// and writes that are dropped, must neither end the lease nor change its fencing
// number.
func TestLeaseIsHeldWhenAnswersAreLost(t *testing.T) {
	runLeaseTest(t, func(c *qt.C, leaseTest *leaseTest) {
		leaseTest.standin.SetFaults(standin.PlatformFaults{LoseAnswers: true})
		first, second := leaseTest.start("a1"), leaseTest.start("a2")
		time.Sleep(time.Minute)
		holder, number := leaseTest.lastUse()
		c.Assert(holder, qt.Not(qt.Equals), "")
		c.Assert(number, qt.Equals, int64(1))
		leaseTest.standin.SetFaults(standin.PlatformFaults{DropNextWrites: 2})
		time.Sleep(time.Minute)
		after, number := leaseTest.lastUse()
		c.Assert(after, qt.Equals, holder)
		c.Assert(number, qt.Equals, int64(1))
		first.stop()
		second.stop()
	})
}

// TestLeaseWhilePlatformIsDown: after an outage of one term nobody holds the
// lease; afterwards exactly one candidate does.
func TestLeaseWhilePlatformIsDown(t *testing.T) {
	runLeaseTest(t, func(c *qt.C, leaseTest *leaseTest) {
		first, second := leaseTest.start("a1"), leaseTest.start("a2")
		time.Sleep(time.Minute)
		leaseTest.standin.SetFaults(standin.PlatformFaults{Down: true})
		time.Sleep(objects.LeaseTerm)
		for _, candidate := range []*candidate{first, second} {
			_, err := candidate.lease.Check()
			c.Assert(objects.Is(err, objects.NotHeld), qt.IsTrue)
		}
		leaseTest.standin.SetFaults(standin.PlatformFaults{})
		time.Sleep(time.Minute)
		_, firstErr := first.lease.Check()
		_, secondErr := second.lease.Check()
		c.Assert((firstErr == nil) != (secondErr == nil), qt.IsTrue)
		first.stop()
		second.stop()
	})
}

// TestLeaseHolderCutOff: a holder that can't call the platform loses the lease
// to the other candidate, and does not get it back when it can again.
func TestLeaseHolderCutOff(t *testing.T) {
	runLeaseTest(t, func(c *qt.C, leaseTest *leaseTest) {
		first := leaseTest.start("a1")
		time.Sleep(5 * time.Second)
		second := leaseTest.start("a2")
		time.Sleep(10 * time.Second)
		first.setCutOff(true)
		time.Sleep(time.Minute)
		holder, number := leaseTest.lastUse()
		c.Assert(holder, qt.Equals, "a2")
		c.Assert(number, qt.Equals, int64(2))
		first.setCutOff(false)
		time.Sleep(time.Minute)
		holder, _ = leaseTest.lastUse()
		c.Assert(holder, qt.Equals, "a2")
		first.stop()
		second.stop()
	})
}

// TestInvalidLeaseIsRefused: an object of another zone, or one that can't be
// decoded, is neither taken nor overwritten, and is recorded as one event.
func TestInvalidLeaseIsRefused(t *testing.T) {
	for _, value := range []string{otherZoneLease(), "no JSON"} {
		runLeaseTest(t, func(c *qt.C, leaseTest *leaseTest) {
			object := objects.Object{Kind: objects.LeaseKind, Name: "orders-a", Value: []byte(value)}
			_, err := leaseTest.standin.Put(context.Background(), object)
			c.Assert(err, qt.IsNil)
			first := leaseTest.start("a1")
			time.Sleep(time.Minute)
			_, err = first.lease.Check()
			c.Assert(objects.Is(err, objects.NotHeld), qt.IsTrue)
			c.Assert(first.events.Events(), qt.HasLen, 1)
			stored, err := leaseTest.standin.Get(context.Background(), object.Kind, object.Name)
			c.Assert(err, qt.IsNil)
			c.Assert(string(stored.Value), qt.Equals, value)
			first.stop()
		})
	}
}

// otherZoneLease returns a released lease of another zone.
func otherZoneLease() string {
	value, _ := json.Marshal(objects.LeaseRecord{Holder: "b1", Zone: "b", FencingNumber: 1, Released: true})
	return string(value)
}
