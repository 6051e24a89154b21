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

// leases are hosts that want the same lease. After each step no two of them
// may hold it, and numbers may only grow.
type leases struct {
	c       *qt.C
	standin *standin.Platform
	mutex   sync.Mutex
	highest int64
	holder  string
	group   sync.WaitGroup
}

type candidate struct {
	lease  *objects.Lease
	events *timeline.Recorder
	stop   context.CancelFunc
	mutex  sync.Mutex
	frozen time.Time
	cut    bool
}

func (leases *leases) start(holder string) *candidate {
	candidate := &candidate{events: &timeline.Recorder{Host: holder}}
	candidate.lease = &objects.Lease{
		API:    candidate.api(leases.standin.API()),
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
	leases.group.Go(func() { leases.c.Check(candidate.lease.Run(ctx), qt.IsNil) })
	leases.group.Go(func() { leases.act(ctx, candidate) })
	return candidate
}

// api stands still while the candidate does, before and after each call.
func (candidate *candidate) api(api objects.API) objects.API {
	cut := standin.CutOff(api, func() bool {
		candidate.mutex.Lock()
		defer candidate.mutex.Unlock()
		return candidate.cut
	})
	frozen := cut
	frozen.Get = func(ctx context.Context, kind, name string) (objects.Object, error) {
		candidate.stand()
		defer candidate.stand()
		return cut.Get(ctx, kind, name)
	}
	frozen.Put = func(ctx context.Context, object objects.Object) (int64, error) {
		candidate.stand()
		defer candidate.stand()
		return cut.Put(ctx, object)
	}
	return frozen
}

func (candidate *candidate) stand() {
	candidate.mutex.Lock()
	wait := time.Until(candidate.frozen)
	candidate.mutex.Unlock()
	time.Sleep(wait)
}

func (candidate *candidate) freeze(duration time.Duration) {
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	candidate.frozen = time.Now().Add(duration)
}

func (candidate *candidate) setCut(cut bool) {
	candidate.mutex.Lock()
	defer candidate.mutex.Unlock()
	candidate.cut = cut
}

// act acts under the lease all the time, when the candidate does not stand
// still, and checks that numbers never go back: then no two hold it at once.
func (leases *leases) act(ctx context.Context, candidate *candidate) {
	for ctx.Err() == nil {
		candidate.stand()
		if number, err := candidate.lease.Check(); err == nil {
			leases.mutex.Lock()
			leases.c.Check(number >= leases.highest, qt.IsTrue)
			if number == leases.highest {
				leases.c.Check(candidate.lease.Holder, qt.Equals, leases.holder)
			}
			leases.highest, leases.holder = number, candidate.lease.Holder
			leases.mutex.Unlock()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (leases *leases) now() (holder string, number int64) {
	leases.mutex.Lock()
	defer leases.mutex.Unlock()
	return leases.holder, leases.highest
}

func testLeases(t *testing.T, test func(c *qt.C, leases *leases)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		leases := &leases{c: c, standin: &standin.Platform{}}
		test(c, leases)
		leases.group.Wait()
	})
}

func TestLeaseRaceOfTwo(t *testing.T) {
	testLeases(t, func(c *qt.C, leases *leases) {
		first, second := leases.start("a1"), leases.start("a2")
		time.Sleep(time.Minute)
		holder, number := leases.now()
		c.Assert(number, qt.Equals, int64(1))
		winner, loser := first, second
		if holder == "a2" {
			winner, loser = second, first
		}
		// Released when drained: the other does not wait for the term.
		winner.stop()
		time.Sleep(objects.LeaseTerm / 2)
		holder, number = leases.now()
		c.Assert(holder, qt.Equals, loser.lease.Holder)
		c.Assert(number, qt.Equals, int64(2))
		loser.stop()
	})
}

func TestLeaseHolderFrozenPastItsTerm(t *testing.T) {
	testLeases(t, func(c *qt.C, leases *leases) {
		first := leases.start("a1")
		time.Sleep(5 * time.Second)
		second := leases.start("a2")
		time.Sleep(20 * time.Second)
		first.freeze(time.Minute)
		time.Sleep(time.Minute - time.Millisecond)
		holder, number := leases.now()
		c.Assert(holder, qt.Equals, "a2")
		c.Assert(number, qt.Equals, int64(2))
		time.Sleep(time.Millisecond)
		// The first thing after the freeze.
		_, err := first.lease.Check()
		c.Assert(objects.Is(err, objects.NotHeld), qt.IsTrue)
		time.Sleep(time.Minute)
		holder, _ = leases.now()
		c.Assert(holder, qt.Equals, "a2")
		first.stop()
		second.stop()
	})
}

func TestLeaseOutlivesLostAnswers(t *testing.T) {
	testLeases(t, func(c *qt.C, leases *leases) {
		leases.standin.SetFaults(standin.PlatformFaults{LoseWrites: true})
		first, second := leases.start("a1"), leases.start("a2")
		time.Sleep(time.Minute)
		holder, number := leases.now()
		c.Assert(holder, qt.Not(qt.Equals), "")
		c.Assert(number, qt.Equals, int64(1))
		leases.standin.SetFaults(standin.PlatformFaults{DropNext: 2})
		time.Sleep(time.Minute)
		after, number := leases.now()
		c.Assert(after, qt.Equals, holder)
		c.Assert(number, qt.Equals, int64(1))
		first.stop()
		second.stop()
	})
}

func TestLeaseWhilePlatformIsDown(t *testing.T) {
	testLeases(t, func(c *qt.C, leases *leases) {
		first, second := leases.start("a1"), leases.start("a2")
		time.Sleep(time.Minute)
		leases.standin.SetFaults(standin.PlatformFaults{Down: true})
		time.Sleep(objects.LeaseTerm)
		for _, candidate := range []*candidate{first, second} {
			_, err := candidate.lease.Check()
			c.Assert(objects.Is(err, objects.NotHeld), qt.IsTrue)
		}
		leases.standin.SetFaults(standin.PlatformFaults{})
		time.Sleep(time.Minute)
		_, first1 := first.lease.Check()
		_, second1 := second.lease.Check()
		c.Assert((first1 == nil) != (second1 == nil), qt.IsTrue)
		first.stop()
		second.stop()
	})
}

func TestLeaseHolderCutOff(t *testing.T) {
	testLeases(t, func(c *qt.C, leases *leases) {
		first := leases.start("a1")
		time.Sleep(5 * time.Second)
		second := leases.start("a2")
		time.Sleep(10 * time.Second)
		first.setCut(true)
		time.Sleep(time.Minute)
		holder, number := leases.now()
		c.Assert(holder, qt.Equals, "a2")
		c.Assert(number, qt.Equals, int64(2))
		first.setCut(false)
		time.Sleep(time.Minute)
		holder, _ = leases.now()
		c.Assert(holder, qt.Equals, "a2")
		first.stop()
		second.stop()
	})
}

func TestForeignLeaseIsRefused(t *testing.T) {
	for _, value := range []string{foreign(), "no JSON"} {
		testLeases(t, func(c *qt.C, leases *leases) {
			object := objects.Object{Kind: objects.LeaseKind, Name: "orders-a", Value: []byte(value)}
			_, err := leases.standin.Put(context.Background(), object)
			c.Assert(err, qt.IsNil)
			first := leases.start("a1")
			time.Sleep(time.Minute)
			_, err = first.lease.Check()
			c.Assert(objects.Is(err, objects.NotHeld), qt.IsTrue)
			c.Assert(first.events.Events(), qt.HasLen, 1)
			kept, err := leases.standin.Get(context.Background(), object.Kind, object.Name)
			c.Assert(err, qt.IsNil)
			c.Assert(string(kept.Value), qt.Equals, value)
			first.stop()
		})
	}
}

// foreign is a lease of another zone.
func foreign() string {
	value, _ := json.Marshal(objects.LeaseRecord{Holder: "b1", Zone: "b", Number: 1, Released: true})
	return string(value)
}
