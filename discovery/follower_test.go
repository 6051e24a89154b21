package discovery

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
)

// platform stands in for the objects of one kind and its faults.
type platform struct {
	mutex   sync.Mutex
	objects map[string]Object
	at      int64
	changed chan struct{}
	// down fails every call, silent has watches tell nothing, gone fails
	// them once.
	down   bool
	silent bool
	gone   bool
	lists  int
	// removed is the revision of the last removal.
	removed int64
}

func (platform *platform) put(name, value string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.at++
	platform.objects[name] = Object{Name: name, Revision: platform.at, Value: []byte(value)}
	platform.tell()
}

func (platform *platform) remove(name string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.at++
	platform.removed = platform.at
	delete(platform.objects, name)
	platform.tell()
}

func (platform *platform) tell() {
	if !platform.silent {
		close(platform.changed)
		platform.changed = make(chan struct{})
	}
}

func (platform *platform) set(edit func()) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	edit()
}

func (platform *platform) list(context.Context) (Listing, error) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.lists++
	if platform.down {
		return Listing{}, Unavailable.New("down")
	}
	listing := Listing{Revision: platform.at}
	for _, object := range platform.objects {
		listing.Objects = append(listing.Objects, object)
	}
	return listing, nil
}

// watch tells all objects on a change, and has its history gone after a
// removal; both are allowed and keep it short.
func (platform *platform) watch(ctx context.Context, after int64, wait time.Duration) (Changes, error) {
	platform.mutex.Lock()
	changed, at := platform.changed, platform.at
	failing := platform.down
	gone := platform.gone
	platform.gone = false
	platform.mutex.Unlock()
	if failing {
		return Changes{}, Unavailable.New("down")
	}
	if gone {
		return Changes{}, Gone.New("forgotten")
	}
	if at <= after {
		select {
		case <-changed:
		case <-time.After(wait):
			return Changes{Revision: after}, nil
		case <-ctx.Done():
			return Changes{}, Unavailable.Wrap(ctx.Err(), "watch")
		}
	}
	platform.mutex.Lock()
	gone = after < platform.removed
	platform.mutex.Unlock()
	if gone {
		return Changes{}, Gone.New("forgotten")
	}
	listing, err := platform.list(ctx)
	told := Changes{Revision: listing.Revision}
	for _, object := range listing.Objects {
		told.Changes = append(told.Changes, Change{Object: object})
	}
	return told, err
}

func newPlatform() *platform {
	return &platform{objects: map[string]Object{}, changed: make(chan struct{})}
}

func follow(t *testing.T, platform *platform, hosts int, apply func(State)) *Follower {
	follower := &Follower{
		Kind: "test", Source: Source{List: platform.list, Watch: platform.watch},
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

// TestFollow goes through what a platform may do: tell changes, tell none while
// it makes them, forget its history, and be away.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := newPlatform()
		platform.put("main", "1")
		follower := follow(t, platform, 1, func(State) {})
		synctest.Wait()
		c.Assert(mainValue(follower), qt.Equals, "1")

		platform.put("main", "2")
		synctest.Wait()
		c.Assert(mainValue(follower), qt.Equals, "2")

		platform.set(func() { platform.silent = true })
		platform.put("main", "3")
		time.Sleep(time.Second)
		c.Assert(mainValue(follower), qt.Equals, "3")

		platform.set(func() { platform.silent, platform.gone = false, true })
		platform.put("main", "4")
		time.Sleep(time.Second)
		c.Assert(mainValue(follower), qt.Equals, "4")

		platform.set(func() { platform.down = true })
		platform.put("main", "5")
		time.Sleep(10 * time.Second)
		c.Assert(mainValue(follower), qt.Equals, "4")
		platform.set(func() { platform.down = false })
		time.Sleep(time.Second)
		c.Assert(mainValue(follower), qt.Equals, "5")
	})
}

// TestReadsAreShared has the reads of one host become fewer the more hosts
// share them.
func TestReadsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := newPlatform()
		platform.put("main", "1")
		follow(t, platform, 64, func(State) {})
		time.Sleep(64 * time.Second)
		platform.set(func() { c.Assert(platform.lists <= 6, qt.IsTrue, qt.Commentf("%d reads", platform.lists)) })
	})
}

// TestAnotherHostsState takes a state from a host that the platform serves,
// and nothing older than what is known.
func TestAnotherHostsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := newPlatform()
		platform.put("main", "1")
		follower := follow(t, platform, 1, func(State) {})
		synctest.Wait()
		platform.set(func() { platform.down = true })
		follower.Replace(Listing{Revision: 9, Objects: []Object{{Name: "main", Revision: 9, Value: []byte("9")}}})
		c.Assert(mainValue(follower), qt.Equals, "9")
		follower.Replace(Listing{Revision: 8, Objects: []Object{{Name: "main", Revision: 8, Value: []byte("8")}}})
		c.Assert(mainValue(follower), qt.Equals, "9")
	})
}

// TestAnotherHostsChanges takes only what changed, on the state it was asked
// for.
func TestAnotherHostsChanges(t *testing.T) {
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

// TestEntriesThatVanish drops a target at once whose entry goes, but keeps one
// that vanished in an outage for as long as it may take to return.
func TestEntriesThatVanish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := newPlatform()
		for _, name := range []string{"a", "b", "c"} {
			platform.put(name, name)
		}
		var mutex sync.Mutex
		known := map[string]bool{}
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
				clear(known)
				for _, target := range list {
					known[target.ID] = true
				}
			},
		}
		follow(t, platform, 1, targets.Apply)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		go func() { _ = targets.Run(ctx) }()
		has := func(names ...string) {
			mutex.Lock()
			defer mutex.Unlock()
			want := map[string]bool{}
			for _, name := range names {
				want[name] = true
			}
			c.Assert(known, qt.DeepEquals, want)
		}
		synctest.Wait()
		has("a", "b", "c")
		platform.remove("a")
		platform.put("x", "foreign")
		time.Sleep(time.Second)
		has("b", "c")

		platform.set(func() { platform.down = true })
		time.Sleep(3 * time.Second)
		platform.remove("b")
		platform.remove("c")
		platform.set(func() { platform.down = false })
		time.Sleep(time.Second)
		has("b", "c")
		platform.put("b", "b")
		time.Sleep(3 * time.Second)
		has("b")
	})
}

func TestRoutesNeverGoBack(t *testing.T) {
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
	}{{"3", 3}, {"2", 3}, {"?", 3}, {"5", 5}, {"5", 5}} {
		routes.Apply(State{Objects: map[string]Object{"main": {Name: "main", Value: []byte(step.value)}}})
		c.Assert(routes.Version(), qt.Equals, step.want)
	}
	routes.Apply(State{})
	c.Assert(routes.Version(), qt.Equals, int64(5))
}
