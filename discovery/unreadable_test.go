package discovery

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

// TestBounds guards against objects that take all memory, and bounds that leave out what is
// of use: small objects that can be read, the oldest first.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	events := &timeline.Recorder{}
	follower := &Follower{Kind: "test", Events: events, OnChange: func(State) {}}
	count := func() (readable, unreadable, bytes int) {
		for _, object := range follower.State().Objects {
			if bytes += len(object.Value); object.Unreadable == "" {
				readable++
			} else {
				unreadable++
			}
		}
		return readable, unreadable, bytes
	}
	follower.replace(Listing{Revision: 1}, failure{})
	changes := Changes{Revision: 20_000}
	for i := range 20_000 {
		object := Object{Name: fmt.Sprint("u", i), Revision: int64(1 + i), Unreadable: "odd", Value: []byte("not kept")}
		if i < 100 {
			object = Object{Name: fmt.Sprint("r", i), Revision: int64(1 + i), Value: make([]byte, 300)}
		}
		changes.Changes = append(changes.Changes, Change{Object: object})
	}
	follower.applyChanges(changes, failure{})
	readable, unreadable, bytes := count()
	c.Check([]int{readable, unreadable, bytes}, qt.DeepEquals, []int{100, maxUnreadable, 30_000})

	// Large objects make room, not small ones.
	listing := Listing{Revision: 30_000}
	for i := range 3000 {
		size := 10_000
		if i%30 == 0 {
			size = 300
		}
		listing.Objects = append(listing.Objects, Object{Name: fmt.Sprint("l", i), Revision: int64(1 + i), Value: make([]byte, size)})
	}
	follower.replace(listing, failure{})
	_, _, bytes = count()
	c.Check(bytes <= maxKeptBytes && bytes > maxKeptBytes/2, qt.IsTrue, qt.Commentf("%d bytes", bytes))
	for i := 0; i < 3000; i += 30 {
		c.Check(follower.State().Objects[fmt.Sprint("l", i)].Unreadable, qt.Equals, "")
	}

	// Objects that can be read come before others, and the event comes once.
	listing = Listing{Revision: 40_000}
	for i := range 2 * maxObjects {
		object := Object{Name: fmt.Sprint("x", i), Revision: int64(1 + i)}
		if i%2 == 0 {
			object.Unreadable = "odd"
		}
		listing.Objects = append(listing.Objects, object)
	}
	for range 2 {
		follower.replace(listing, failure{})
	}
	readable, unreadable, _ = count()
	c.Check([]int{readable, unreadable}, qt.DeepEquals, []int{maxObjects, 0})
	c.Check(len(events.Events()), qt.Equals, 1)
	follower.replace(Listing{Revision: 50_000}, failure{})
	follower.replace(listing, failure{})
	c.Check(len(events.Events()), qt.Equals, 1)
}

// TestReporter guards against events that come again, and against memory of reported
// revisions that grows without end.
func TestReporter(t *testing.T) {
	c := qt.New(t)
	events := &timeline.Recorder{}
	reporter := &Reporter{Kind: "test", Event: eventTargetUnreadable, Events: events}
	odd := func(name string, revision int64, reason string) Object {
		return Object{Name: name, Revision: revision, Unreadable: reason, IsUndated: revision > 100}
	}
	for _, step := range []struct {
		objects []Object
		want    int
	}{
		{[]Object{odd("a", 1, "x"), odd("b", 2, "x")}, 2}, {[]Object{odd("a", 1, "y"), odd("b", 2, "x")}, 0}, {[]Object{odd("a", 3, "y")}, 1},
		{[]Object{odd("a", 3, "y"), odd("a", 101, "y"), odd("a", 102, "y")}, 1}, {[]Object{odd("a", 103, "y")}, 0}, {[]Object{odd("a", 104, "z")}, 1},
	} {
		before := len(events.Events())
		reporter.Report(step.objects)
		c.Check(len(events.Events())-before, qt.Equals, step.want, qt.Commentf("%v", step.objects))
	}
	for i := range 20_000 {
		reporter.Add(odd(fmt.Sprint("n", i), int64(i), strings.Repeat("long", 1000)))
	}
	c.Check(len(reporter.reported) <= maxUnreadable, qt.IsTrue)
	var many []Object
	for i := range 20_000 {
		many = append(many, odd(fmt.Sprint("n", i), int64(i), "x"))
	}
	reporter.Report(many)
	c.Check(len(reporter.reported) <= maxUnreadable, qt.IsTrue)
	for _, event := range events.Events() {
		c.Check(len(event.Detail) < 400, qt.IsTrue)
	}
}

// TestUnreadableTargetIsNotHeld guards against targets that are held after an outage although
// their entries are there and can't be read.
func TestUnreadableTargetIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var known []balance.Target
		targets := &Targets{
			Events: &timeline.Recorder{},
			Decode: func(name string, _ []byte) (balance.Target, error) {
				return balance.Target{ID: name, Address: name}, nil
			},
			OnChange: func(targets []balance.Target) { known = targets },
		}
		targets.Apply(State{Objects: map[string]Object{"a": {Name: "a", Revision: 1}, "b": {Name: "b", Revision: 1}}})
		// The entries of both vanish in an outage, and that of one comes back unreadable.
		targets.Apply(State{OutageAt: time.Now(), Unread: time.Minute})
		c.Check(known, qt.HasLen, 2)
		targets.Apply(State{OutageAt: time.Now(), Unread: time.Minute, Objects: map[string]Object{"a": {Name: "a", Revision: 2, Unreadable: "odd"}}})
		c.Assert(known, qt.HasLen, 1)
		c.Check(known[0].ID, qt.Equals, "b")
		targets.Apply(State{OutageAt: time.Now(), Unread: time.Minute})
		c.Check(known, qt.HasLen, 1)
		// It has not left either: its entry may be written again before the host reads it in
		// the copy that the platform came back from.
		targets.Apply(State{IsRestored: true, Objects: map[string]Object{"a": {Name: "a", Revision: 3}, "b": {Name: "b", Revision: 1}}})
		c.Check(known, qt.HasLen, 2)
	})
}

// TestLongReadsArePaced guards against lists of many pages that are read one after the other,
// and against failing because they take longer than a page may.
func TestLongReadsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const readTime = 10 * time.Second
		var reads atomic.Int64
		follower := &Follower{
			Kind: "test", Events: &timeline.Recorder{}, Outage: &Outage{}, Hosts: func() int { return 1 },
			ShouldWatch: func() bool { return false }, OnChange: func(State) {}, Turn: func() int { return 0 },
			Source: Source{List: func(ctx context.Context) (Listing, error) {
				number := reads.Add(1)
				time.Sleep(readTime)
				return Listing{Revision: number}, ctx.Err()
			}},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = follower.Run(ctx) }()
		// The routes are read meanwhile, at later revisions.
		for range 600 {
			go func() { _ = follower.ReadUnlessAt(ctx, 1000, Verification{At: time.Now()}) }()
			time.Sleep(time.Second)
		}
		c.Check(reads.Load() >= 10 && reads.Load() <= 13, qt.IsTrue, qt.Commentf("%d reads", reads.Load()))
		c.Check(follower.State().Revision > 5, qt.IsTrue)
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestEntryOfAnotherPoolReplacesNothing guards against an entry of another writer, for a pool of
// its own at the address of a target, that costs a pool this target.
func TestEntryOfAnotherPoolReplacesNothing(t *testing.T) {
	c := qt.New(t)
	var known []string
	targets := &Targets{
		Events: &timeline.Recorder{},
		Decode: func(name string, value []byte) (balance.Target, error) {
			return balance.Target{ID: name, Pool: string(value), Address: "127.0.0.1:1", StartedAt: time.Unix(int64(len(name)), 0)}, nil
		},
		OnChange: func(targets []balance.Target) {
			known = nil
			for _, target := range targets {
				known = append(known, target.ID)
			}
		},
	}
	state := State{Objects: map[string]Object{}}
	for _, entry := range []struct{ name, pool, want string }{
		{"a", "p", "a"}, {"odd", "elsewhere", "a odd"}, {"ab", "p", "ab odd"},
	} {
		state.Objects[entry.name] = Object{Name: entry.name, Revision: 1, Value: []byte(entry.pool)}
		targets.Apply(state)
		slices.Sort(known)
		c.Check(strings.Join(known, " "), qt.Equals, entry.want)
	}
}
