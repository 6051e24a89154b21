package discovery

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
)

// fakePlatform holds the objects of one kind and injects faults.
type fakePlatform struct {
	mutex    sync.Mutex
	objects  map[string]Object
	revision int64
	changed  chan struct{}
	// With isDown set every call fails, with watchesSilent set changes don't end
	// watches that wait, and with historyGone set the next watch fails with Gone.
	isDown        bool
	watchesSilent bool
	historyGone   bool
	listCalls     int
	// lastRemoval is the revision of the last removal.
	lastRemoval int64
}

func (fakePlatform *fakePlatform) put(name, value string) {
	fakePlatform.mutex.Lock()
	defer fakePlatform.mutex.Unlock()
	fakePlatform.revision++
	fakePlatform.objects[name] = Object{Name: name, Revision: fakePlatform.revision, Value: []byte(value)}
	fakePlatform.notifyWatches()
}

func (fakePlatform *fakePlatform) remove(name string) {
	fakePlatform.mutex.Lock()
	defer fakePlatform.mutex.Unlock()
	fakePlatform.revision++
	fakePlatform.lastRemoval = fakePlatform.revision
	delete(fakePlatform.objects, name)
	fakePlatform.notifyWatches()
}

func (fakePlatform *fakePlatform) notifyWatches() {
	if !fakePlatform.watchesSilent {
		close(fakePlatform.changed)
		fakePlatform.changed = make(chan struct{})
	}
}

func (fakePlatform *fakePlatform) withLock(edit func()) {
	fakePlatform.mutex.Lock()
	defer fakePlatform.mutex.Unlock()
	edit()
}

func (fakePlatform *fakePlatform) list(context.Context) (Listing, error) {
	fakePlatform.mutex.Lock()
	defer fakePlatform.mutex.Unlock()
	fakePlatform.listCalls++
	if fakePlatform.isDown {
		return Listing{}, Unavailable.New("down")
	}
	listing := Listing{Revision: fakePlatform.revision}
	for _, object := range fakePlatform.objects {
		listing.Objects = append(listing.Objects, object)
	}
	return listing, nil
}

// watch returns all objects after a change, and Gone after a removal: a real
// platform may do so, and the fake needs no history.
func (fakePlatform *fakePlatform) watch(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	fakePlatform.mutex.Lock()
	changed, revision := fakePlatform.changed, fakePlatform.revision
	isDown := fakePlatform.isDown
	gone := fakePlatform.historyGone
	fakePlatform.historyGone = false
	fakePlatform.mutex.Unlock()
	if isDown {
		return Changes{}, Unavailable.New("down")
	}
	if gone {
		return Changes{}, Gone.New("forgotten")
	}
	if revision <= after {
		select {
		case <-changed:
		case <-time.After(wait):
			return Changes{Revision: after}, nil
		case <-ctx.Done():
			return Changes{}, Unavailable.Wrap(ctx.Err(), "watch")
		}
	}
	fakePlatform.mutex.Lock()
	gone = after < fakePlatform.lastRemoval
	fakePlatform.mutex.Unlock()
	if gone {
		return Changes{}, Gone.New("forgotten")
	}
	listing, err := fakePlatform.list(ctx)
	changes := Changes{Revision: listing.Revision}
	for _, object := range listing.Objects {
		changes.Changes = append(changes.Changes, Change{Object: object})
	}
	return changes, err
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{objects: map[string]Object{}, changed: make(chan struct{})}
}

// follow runs a follower of the platform until the test ends.
func follow(t *testing.T, fakePlatform *fakePlatform, hosts int, apply func(State)) *Follower {
	follower := &Follower{
		Kind: "test", Source: Source{List: fakePlatform.list, Watch: fakePlatform.watch},
		Events: &timeline.Recorder{}, Outage: &Outage{}, Hosts: func() int { return hosts }, OnChange: apply,
		ShouldWatch: func() bool { return hosts < 64 },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = follower.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return follower
}

func mainValue(follower *Follower) string {
	return string(follower.State().Objects["main"].Value)
}

// TestFollow checks that a follower reaches the newest state by a watch, after a
// change that the watch does not report, after Gone, and after an outage.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fakePlatform := newFakePlatform()
		fakePlatform.put("main", "1")
		follower := follow(t, fakePlatform, 1, func(State) {})
		synctest.Wait()
		c.Assert(mainValue(follower), qt.Equals, "1")

		fakePlatform.put("main", "2")
		synctest.Wait()
		c.Assert(mainValue(follower), qt.Equals, "2")

		fakePlatform.withLock(func() { fakePlatform.watchesSilent = true })
		fakePlatform.put("main", "3")
		time.Sleep(time.Second)
		c.Assert(mainValue(follower), qt.Equals, "3")

		fakePlatform.withLock(func() { fakePlatform.watchesSilent, fakePlatform.historyGone = false, true })
		fakePlatform.put("main", "4")
		time.Sleep(time.Second)
		c.Assert(mainValue(follower), qt.Equals, "4")

		fakePlatform.withLock(func() { fakePlatform.isDown = true })
		fakePlatform.put("main", "5")
		time.Sleep(10 * time.Second)
		c.Assert(mainValue(follower), qt.Equals, "4")
		fakePlatform.withLock(func() { fakePlatform.isDown = false })
		time.Sleep(time.Second)
		c.Assert(mainValue(follower), qt.Equals, "5")
	})
}

// TestReadsAreShared checks that a host among 64 lists the objects at about 1/64 of
// the rate of a single host.
func TestReadsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fakePlatform := newFakePlatform()
		fakePlatform.put("main", "1")
		follow(t, fakePlatform, 64, func(State) {})
		time.Sleep(64 * time.Second)
		fakePlatform.withLock(func() {
			c.Assert(fakePlatform.listCalls <= 6, qt.IsTrue, qt.Commentf("%d reads", fakePlatform.listCalls))
		})
	})
}

// TestTurns checks that of three hosts which tell each other of their reads only the first
// lists the objects while it can, that the second does in its place soon after the first
// one fails, and that a change which no watch reports is in force within the time for it.
func TestTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fakePlatform := newFakePlatform()
		fakePlatform.put("main", "1")
		fakePlatform.withLock(func() { fakePlatform.watchesSilent = true })
		var followers []*Follower
		reads := make([]int, 3)
		for turn := range reads {
			list := func(ctx context.Context) (Listing, error) {
				fakePlatform.withLock(func() { reads[turn]++ })
				if turn == 0 && time.Since(followers[0].startedAt) > 20*time.Second {
					return Listing{}, Unavailable.New("cut off")
				}
				return fakePlatform.list(ctx)
			}
			followers = append(followers, &Follower{
				Kind: "test", Source: Source{List: list, Watch: fakePlatform.watch}, Events: &timeline.Recorder{}, Outage: &Outage{},
				Hosts: func() int { return len(reads) }, Turn: func() int { return turn }, Within: 2 * time.Second,
				ShouldWatch: func() bool { return false }, OnChange: func(State) {},
				OnRead: func(revision int64, verification Verification) {
					state := followers[turn].State()
					for _, other := range followers {
						if other.State().Revision < revision {
							other.Replace(Listing{Revision: revision, Objects: slices.Collect(maps.Values(state.Objects))})
						}
						other.MarkVerified(verification)
					}
				},
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for _, follower := range followers {
			group.Go(func() { _ = follower.Run(ctx) })
			synctest.Wait()
		}
		t.Cleanup(func() {
			cancel()
			group.Wait()
		})
		put := func(value string) {
			fakePlatform.put("main", value)
			time.Sleep(1500 * time.Millisecond)
			for _, follower := range followers {
				c.Assert(mainValue(follower), qt.Equals, value)
			}
		}
		put("2")
		time.Sleep(17 * time.Second)
		fakePlatform.withLock(func() {
			c.Assert(reads[0] > 25 && reads[0] < 40, qt.IsTrue, qt.Commentf("%d", reads))
			c.Assert(reads[1]+reads[2] <= 2, qt.IsTrue, qt.Commentf("%d", reads))
		})
		time.Sleep(2 * time.Second)
		put("3")
		time.Sleep(5 * time.Second)
		put("4")
		fakePlatform.withLock(func() { c.Assert(reads[2] <= 1, qt.IsTrue, qt.Commentf("%d", reads)) })
	})
}

// TestPollsResumeAfterAnOutage guards against hosts that, after reads which failed in an
// outage, list the objects too seldom once it is over: of a hundred hosts whose watches are
// silent, all must have each change within the time for it again.
func TestPollsResumeAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const hosts, within = 100, 4 * time.Second
		fakePlatform := newFakePlatform()
		fakePlatform.put("main", "1")
		fakePlatform.withLock(func() { fakePlatform.watchesSilent = true })
		var followers []*Follower
		for turn := range hosts {
			followers = append(followers, &Follower{
				Kind: "test", Source: Source{List: fakePlatform.list, Watch: fakePlatform.watch}, Events: &timeline.Recorder{}, Outage: &Outage{},
				Hosts: func() int { return hosts }, Turn: func() int { return turn }, Within: within,
				ShouldWatch: func() bool { return false }, OnChange: func(State) {},
				OnRead: func(revision int64, verification Verification) {
					listing := Listing{Revision: revision, Objects: slices.Collect(maps.Values(followers[turn].State().Objects))}
					for i, other := range followers {
						if i != turn {
							other.Replace(listing)
							other.MarkVerified(verification)
						}
					}
				},
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for _, follower := range followers {
			group.Go(func() { _ = follower.Run(ctx) })
		}
		t.Cleanup(func() {
			cancel()
			group.Wait()
		})
		time.Sleep(10 * time.Second)
		fakePlatform.withLock(func() { fakePlatform.isDown = true })
		time.Sleep(time.Minute)
		fakePlatform.withLock(func() { fakePlatform.isDown, fakePlatform.listCalls = false, 0 })
		time.Sleep(within)
		for _, value := range []string{"2", "3", "4", "5"} {
			fakePlatform.put("main", value)
			time.Sleep(within)
			for i, follower := range followers {
				c.Assert(mainValue(follower), qt.Equals, value, qt.Commentf("host %d", i))
			}
		}
	})
}

// TestStartDelay checks that a host which starts takes the state of another one without
// asking the platform, and asks it if it gets none in time.
func TestStartDelay(t *testing.T) {
	for _, isTold := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fakePlatform := newFakePlatform()
			fakePlatform.put("main", "1")
			follower := &Follower{
				Kind: "test", Source: Source{List: fakePlatform.list, Watch: fakePlatform.watch}, Events: &timeline.Recorder{}, Outage: &Outage{},
				Hosts: func() int { return 9 }, Turn: func() int { return 8 }, StartDelay: time.Second,
				ShouldWatch: func() bool { return false }, OnChange: func(State) {},
			}
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			group.Go(func() { _ = follower.Run(ctx) })
			t.Cleanup(func() {
				cancel()
				group.Wait()
			})
			time.Sleep(500 * time.Millisecond)
			if isTold {
				follower.Replace(Listing{Revision: 1, Objects: []Object{{Name: "main", Revision: 1, Value: []byte("1")}}})
			}
			time.Sleep(time.Second)
			c.Assert(mainValue(follower), qt.Equals, "1")
			fakePlatform.withLock(func() { c.Assert(fakePlatform.listCalls == 0, qt.Equals, isTold) })
		})
	}
}

// TestReplace checks that a follower applies a newer state of another host during an
// outage, but not an older one.
func TestReplace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fakePlatform := newFakePlatform()
		fakePlatform.put("main", "1")
		follower := follow(t, fakePlatform, 1, func(State) {})
		synctest.Wait()
		fakePlatform.withLock(func() { fakePlatform.isDown = true })
		follower.Replace(Listing{Revision: 9, Objects: []Object{{Name: "main", Revision: 9, Value: []byte("9")}}})
		c.Assert(mainValue(follower), qt.Equals, "9")
		follower.Replace(Listing{Revision: 8, Objects: []Object{{Name: "main", Revision: 8, Value: []byte("8")}}})
		c.Assert(mainValue(follower), qt.Equals, "9")
	})
}

// TestApplyDelta checks that a delta applies only to the revision that it starts
// from, and that objects missing from its names are removed.
func TestApplyDelta(t *testing.T) {
	c := qt.New(t)
	follower := &Follower{OnChange: func(State) {}}
	follower.Replace(Listing{Revision: 5, Objects: []Object{
		{Name: "a", Revision: 1, Value: []byte("a")}, {Name: "main", Revision: 2, Value: []byte("b")},
	}})
	changed := Listing{Revision: 7, Objects: []Object{{Name: "main", Revision: 6, Value: []byte("new")}}}
	c.Assert(follower.ApplyDelta(4, changed, []string{"main"}), qt.IsFalse)
	c.Assert(follower.ApplyDelta(5, changed, []string{"main"}), qt.IsTrue)
	c.Assert(mainValue(follower), qt.Equals, "new")
	c.Assert(follower.State().Objects, qt.HasLen, 1)
	c.Assert(follower.State().Revision, qt.Equals, int64(7))
}

// TestTargetEntriesVanish checks that a target is dropped at once when its entry
// is removed, but held for maxHoldTime when the entry vanishes in an outage: the
// platform may lose entries of live targets for a while.
func TestTargetEntriesVanish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fakePlatform := newFakePlatform()
		for _, name := range []string{"a", "b", "c"} {
			fakePlatform.put(name, name)
		}
		var mutex sync.Mutex
		ids := map[string]bool{}
		targets := &Targets{
			Events: &timeline.Recorder{},
			Decode: func(name string, value []byte) (balance.Target, error) {
				if string(value) == "foreign" {
					return balance.Target{}, Errors.NewType("foreign").New("no target")
				}
				return balance.Target{ID: name}, nil
			},
			OnChange: func(list []balance.Target) {
				mutex.Lock()
				defer mutex.Unlock()
				clear(ids)
				for _, target := range list {
					ids[target.ID] = true
				}
			},
		}
		follow(t, fakePlatform, 1, targets.Apply)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		go func() { _ = targets.Run(ctx) }()
		assertTargets := func(names ...string) {
			mutex.Lock()
			defer mutex.Unlock()
			want := map[string]bool{}
			for _, name := range names {
				want[name] = true
			}
			c.Assert(ids, qt.DeepEquals, want)
		}
		synctest.Wait()
		assertTargets("a", "b", "c")
		fakePlatform.remove("a")
		fakePlatform.put("x", "foreign")
		time.Sleep(time.Second)
		assertTargets("b", "c")

		fakePlatform.withLock(func() { fakePlatform.isDown = true })
		time.Sleep(3 * time.Second)
		fakePlatform.remove("b")
		fakePlatform.remove("c")
		fakePlatform.withLock(func() { fakePlatform.isDown = false })
		time.Sleep(time.Second)
		assertTargets("b", "c")
		fakePlatform.put("b", "b")
		time.Sleep(3 * time.Second)
		assertTargets("b")
	})
}

// TestLeavingTargetIsNotHeld guards against new requests for a target whose entry
// vanishes in an outage of the platform after it said that it was leaving.
func TestLeavingTargetIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var ids []string
		targets := &Targets{
			Events: &timeline.Recorder{},
			Decode: func(name string, value []byte) (balance.Target, error) {
				return balance.Target{ID: name, Leaving: string(value) == "leaving"}, nil
			},
			OnChange: func(list []balance.Target) {
				ids = nil
				for _, target := range list {
					ids = append(ids, target.ID)
				}
			},
		}
		targets.Apply(State{Objects: map[string]Object{
			"a": {Name: "a", Value: []byte("leaving")}, "b": {Name: "b", Value: []byte("ready")},
		}})
		targets.Apply(State{OutageAt: time.Now(), Unread: time.Minute})
		c.Assert(ids, qt.DeepEquals, []string{"b"})
	})
}

// TestRoutesVersionNeverDecreases checks that older, unreadable and missing routes
// leave the version in force.
func TestRoutesVersionNeverDecreases(t *testing.T) {
	c := qt.New(t)
	routes := &Routes{
		Name: "main", Events: &timeline.Recorder{}, OnChange: func(*route.Table) {},
		Decode: func(value []byte) (*route.Configuration, error) {
			if value[0] == '?' {
				return nil, Errors.NewType("bad").New("unreadable")
			}
			return &route.Configuration{Version: int64(value[0] - '0')}, nil
		},
	}
	for _, step := range []struct {
		value string
		want  int64
	}{{"3", 3}, {"2", 3}, {"?", 3}, {"5", 5}, {"5", 5}, {"6", 6}, {"5", 6}} {
		routes.Apply(State{Objects: map[string]Object{"main": {Name: "main", Value: []byte(step.value)}}})
		c.Assert(routes.Version(), qt.Equals, step.want)
	}
	routes.Apply(State{})
	c.Assert(routes.Version(), qt.Equals, int64(6))
}

// TestUnreadableRoutes checks that an object that can't be read is reported once for each
// revision, and figures that were ignored with the version that took effect without them.
func TestUnreadableRoutes(t *testing.T) {
	c := qt.New(t)
	events := &timeline.Recorder{}
	routes := &Routes{
		Name: "main", Events: events, OnChange: func(*route.Table) {},
		Decode: func(value []byte) (*route.Configuration, error) {
			if string(value) == "?" {
				return nil, Errors.NewType("bad").New("odd")
			}
			return &route.Configuration{Version: 2, Ignored: []string{"limits.body_bytes -1"}}, nil
		},
	}
	for _, object := range []Object{
		{Revision: 1, Value: []byte("?")}, {Revision: 1, Value: []byte("?")}, {Revision: 2, Unreadable: "long"}, {Revision: 3, Value: []byte("2")},
	} {
		object.Name = "main"
		routes.Apply(State{Objects: map[string]Object{"main": object}})
	}
	var details []string
	for _, event := range events.Events() {
		details = append(details, strconv.Itoa(event.Number)+" "+event.Detail)
	}
	c.Assert(details, qt.DeepEquals, []string{
		"8106 routes/main, revision 1: discovery.bad: odd", "8106 routes/main, revision 2: long", "8105 2", "8112 limits.body_bytes -1",
	})
}

// TestReadSince guards against taking the result of a list that began before a time for newer.
func TestReadSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		lists := 0
		follower := &Follower{
			Outage: &Outage{}, OnChange: func(State) {},
			Source: Source{List: func(context.Context) (Listing, error) {
				lists++
				time.Sleep(100 * time.Millisecond)
				return Listing{Revision: int64(lists)}, nil
			}},
		}
		go func() { _ = follower.Refresh(t.Context()) }()
		time.Sleep(50 * time.Millisecond)
		var group sync.WaitGroup
		for range 10 {
			group.Go(func() { c.Check(follower.ReadSince(t.Context(), time.Now()), qt.IsNil) })
		}
		group.Wait()
		c.Check(follower.State().Revision, qt.Equals, int64(2))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		c.Check(follower.ReadSince(ctx, time.Now()), qt.ErrorIs, context.DeadlineExceeded)
		time.Sleep(time.Second)
	})
}
