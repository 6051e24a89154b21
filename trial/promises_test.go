package trial_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/kernel"
	"nutmegfield.example/objects"
	"nutmegfield.example/profile"
	"nutmegfield.example/request"
)

// TestDrainCutsNothing drains a host that streams long answers and holds
// waiting requests.
func TestDrainCutsNothing(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.addTarget("e1", "engine", 0, 0)
		world.apply(world.configuration())
		world.addHosts(1, 2)
		world.awaitReady()
		time.Sleep(2 * time.Second)
		running, waiting := &ledger{}, &ledger{}
		var asking sync.WaitGroup
		for i := range 4 {
			asking.Go(func() { running.add(world.chat("a1", "designDraft", fmt.Sprint("long", i), true, 800)) })
		}
		time.Sleep(time.Second)
		for i := range 4 {
			asking.Go(func() { waiting.add(world.chat("a1", "sizing", fmt.Sprint("late", i), false, 10)) })
		}
		time.Sleep(time.Second)
		begun := time.Now()
		world.c.Check(world.drain("a1"), qt.IsNil)
		asking.Wait()
		world.check(running)
		world.check(waiting)
		for _, asked := range running.asks {
			world.c.Check(asked.outcome, qt.Equals, request.Done, qt.Commentf("%+v", *asked))
		}
		for _, asked := range waiting.asks {
			world.c.Check(asked.outcome, qt.Equals, request.NotRun, qt.Commentf("%+v", *asked))
			world.c.Check(asked.retry, qt.Not(qt.Equals), "")
			// It is answered at once, not when the host ends.
			world.c.Check(asked.ended.Sub(begun) < 3*time.Second, qt.IsTrue)
		}
	})
}

// inForceWithin is the users' bound for a new configuration.
const inForceWithin = 9 * time.Second

// watchVersions samples the version in force at every host until the context
// ends and sees that it never falls in one life of a host.
func (world *world) watchVersions(ctx context.Context) {
	last := map[*kernel.Host]int64{}
	for ctx.Err() == nil {
		for _, id := range world.hostIDs() {
			host := world.hosts[id].kernel
			version := world.versionOf(host)
			world.c.Check(version >= last[host], qt.IsTrue, qt.Commentf("%s went from %d to %d", id, last[host], version))
			last[host] = version
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (world *world) versionOf(host *kernel.Host) int64 {
	store, err := kernel.Require[profile.Store](host)
	world.c.Assert(err, qt.IsNil)
	if snapshot := store.Current(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// awaitVersion sees the version come in force at the hosts within the bound.
func (world *world) awaitVersion(version int64, ids []string) {
	until := time.Now().Add(inForceWithin)
	for time.Now().Before(until) && !world.allAt(version, ids) {
		time.Sleep(50 * time.Millisecond)
	}
	for _, id := range ids {
		at := world.versionOf(world.hosts[id].kernel)
		world.c.Check(at >= version, qt.IsTrue, qt.Commentf("%s is at %d, want %d", id, at, version))
	}
}

func (world *world) allAt(version int64, ids []string) bool {
	for _, id := range ids {
		if world.versionOf(world.hosts[id].kernel) < version {
			return false
		}
	}
	return true
}

// TestConfigurationIsInForceWithin9s applies versions in a quiet system, with
// a zone cut from the platform, with links going silent, and while the
// platform answers reads slowly.
func TestConfigurationIsInForceWithin9s(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.twoZones()
		ctx, stop := context.WithCancel(context.Background())
		var watching sync.WaitGroup
		watching.Go(func() { world.watchVersions(ctx) })
		configuration := world.configuration()
		for i := range 5 {
			configuration.Workspaces[0].Weight = 2 + i
			world.awaitVersion(world.apply(configuration), world.hostIDs())
			world.silenceLinks()
		}
		world.cutZoneFromPlatform(func() {
			configuration.Workspaces[0].Weight = 20
			world.awaitVersion(world.apply(configuration), world.hostIDs())
		})
		stop()
		watching.Wait()
	})
}

func (world *world) cutZoneFromPlatform(during func()) {
	zone := world.hosts[world.anyHost()].zone
	set := func(cut bool) {
		for _, host := range world.hosts {
			if host.zone == zone {
				world.network.setCut(host.place, platformPlace, cut)
			}
		}
	}
	set(true)
	during()
	set(false)
}

// TestFreshHostTakesTheNewestVersion starts a host anew while the platform is
// down: its peers tell it the version in force.
func TestFreshHostTakesTheNewestVersion(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.twoZones()
		version := world.apply(world.configuration())
		world.awaitVersion(version, world.hostIDs())
		world.network.setCut(world.hosts["a1"].place, platformPlace, true)
		world.kill("a1")
		time.Sleep(5 * time.Second)
		world.start("a1")
		world.awaitVersion(version, []string{"a1"})
	})
}

// TestOneOfRacingOperatorsWins writes two configurations over one version.
func TestOneOfRacingOperatorsWins(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.twoZones()
		over := world.apply(world.configuration())
		var racing sync.WaitGroup
		results := make([]error, 8)
		for i := range results {
			racing.Go(func() { results[i] = world.applyOver(over, i+1) })
		}
		racing.Wait()
		won := 0
		for _, err := range results {
			if err == nil {
				won++
				continue
			}
			world.c.Check(objects.Is(err, objects.Conflict), qt.IsTrue, qt.Commentf("%v", err))
		}
		world.c.Check(won, qt.Equals, 1)
	})
}

func (world *world) applyOver(version int64, weight int) error {
	configuration := world.configuration()
	configuration.Workspaces[0].Weight = weight
	text, err := profile.Encode(configuration)
	world.c.Assert(err, qt.IsNil)
	client := &objects.Client{
		Address: "http://" + platformPlace + ":6000", Timeout: 5 * time.Second, Do: world.client.Do,
	}
	_, err = client.Put(context.Background(), objects.Object{
		Kind: profile.ObjectKind, Name: profile.ObjectName, Version: version, Value: text,
	})
	return err
}

// leavingWithin is the users' "a few seconds".
const leavingWithin = 3 * time.Second

// TestLeavingTargetGetsNoNewWork marks a target as leaving in the
// configuration while callers ask.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.twoZones()
		ledger := &ledger{}
		asking := world.callers(ledger, 8, time.Now().Add(20*time.Second))
		time.Sleep(5 * time.Second)
		configuration := world.configuration()
		configuration.Pools[0].Targets[0].Leaving = true
		leaving := configuration.Pools[0].Targets[0].Name
		world.apply(configuration)
		word := time.Now()
		asking.Wait()
		world.check(ledger)
		for _, received := range world.targets[leaving].received() {
			world.c.Check(received.At.Sub(word) < leavingWithin, qt.IsTrue, qt.Commentf("%+v", received))
		}
	})
}

// TestHigherTierIsNotShedFirst floods a small pool from every host of a zone
// and sees, from outside, that nothing of a lower tier that waited at a shed
// ran after it.
func TestHigherTierIsNotShedFirst(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.addTarget("e1", "engine", 0, 0)
		configuration := world.configuration()
		configuration.Pools[0].MaxWaiting = 20
		world.apply(configuration)
		world.addHosts(1, 3)
		world.awaitReady()
		time.Sleep(2 * time.Second)
		ledger := &ledger{}
		var asking sync.WaitGroup
		for i := range 120 {
			asking.Go(func() {
				time.Sleep(time.Duration(world.intn(4000)) * time.Millisecond)
				profile := []string{"designDraft", "sizing", "tagging"}[world.intn(3)]
				ledger.add(world.chat(world.anyHost(), profile, fmt.Sprint("flood", i), false, 100))
			})
		}
		asking.Wait()
		world.check(ledger)
		world.checkTierOrder(ledger)
	})
}

// passing is how long a word may be on its way between a caller and the
// scheduler.
const passing = 250 * time.Millisecond

func (world *world) checkTierOrder(ledger *ledger) {
	received := world.receipts()
	rank := map[string]int{"designDraft": 0, "sizing": 1, "tagging": 2}
	sheds := 0
	for _, shed := range ledger.asks {
		if shed.reason != request.ReasonShed {
			continue
		}
		sheds++
		for _, other := range ledger.asks {
			list := received.byRequest[other.id]
			if len(list) == 0 || rank[other.profile] <= rank[shed.profile] {
				continue
			}
			waited := other.begun.Add(passing).Before(shed.ended)
			ranLater := list[0].At.After(shed.ended.Add(passing))
			world.c.Check(waited && ranLater, qt.IsFalse,
				qt.Commentf("shed %s %v, while %s of %v ran at %v", shed.profile, shed.ended, other.profile, other.begun, list[0].At))
		}
	}
	world.c.Check(sheds > 0, qt.IsTrue)
}

// TestSmallestFaultOfACaller sends what no caller should and sees that the
// host goes on.
func TestSmallestFaultOfACaller(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.addTarget("e1", "engine", 0, 0)
		world.apply(world.configuration())
		world.addHosts(1, 1)
		world.awaitReady()
		time.Sleep(2 * time.Second)
		for _, body := range []string{"", "{", "[]", `{"model":1}`, `{"model":"nosuch","messages":[{"role":"user","content":"x"}]}`, strings.Repeat("[", 1000)} {
			asked := &ask{mark: "bad", kind: "chat", profile: "sizing", host: "a1"}
			world.send(asked, http.MethodPost, "/v1/chat/completions", body)
			world.c.Check(asked.status >= 400 && asked.status < 500, qt.IsTrue, qt.Commentf("%q: %+v", body, *asked))
			world.c.Check(asked.outcome, qt.Equals, request.NotRun)
		}
		good := world.chat("a1", "sizing", "good", false, 10)
		world.c.Check(good.outcome, qt.Equals, request.Done)
	})
}
