package trial_test

import (
	"fmt"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/standin"
)

// fault is something that goes wrong for a while.
type fault struct {
	name string
	// run brings the fault about, waits, and ends it.
	run func(world *world)
}

// faults are all that a trial may bring about. What ends after a while leaves
// the world as it was.
var faults = []fault{
	{"host killed", (*world).killOne},
	{"host drained", (*world).drainOne},
	{"links silent", (*world).silenceLinks},
	{"two hosts cut", (*world).cutTwo},
	{"host cut from the platform", (*world).cutPlatform},
	{"target connections silent", (*world).silenceTarget},
	{"platform down", (*world).platformDown},
	{"platform slow", (*world).platformSlow},
	{"platform loses answers", (*world).platformLoses},
	{"platform answers old reads", (*world).platformOld},
	{"platform keeps changes from watches", (*world).platformGaps},
	{"list of hosts wrong", (*world).wrongList},
	{"engine crashed", (*world).crashEngine},
	{"engine slowed tenfold", (*world).slowEngine},
	{"engine silent", (*world).silenceEngine},
	{"burst", (*world).burst},
	{"zone cut from the others", (*world).cutZone},
	{"zone cut from all", (*world).cutZoneFromAll},
}

func (world *world) span() time.Duration {
	return time.Duration(500+world.intn(6000)) * time.Millisecond
}

// reserve takes a living host for one fault; nil if there is none to spare.
func (world *world) reserve() *host {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	ids := world.hostIDs()
	for range len(ids) {
		host := world.hosts[ids[world.random.IntN(len(ids))]]
		if !host.reserved {
			host.reserved = true
			return host
		}
	}
	return nil
}

func (world *world) unreserve(host *host) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	host.reserved = false
}

func (world *world) killOne() {
	host := world.reserve()
	if host == nil {
		return
	}
	defer world.unreserve(host)
	world.kill(host.id)
	time.Sleep(world.span())
	world.start(host.id)
}

func (world *world) drainOne() {
	host := world.reserve()
	if host == nil {
		return
	}
	defer world.unreserve(host)
	err := world.drain(host.id)
	world.c.Check(err, qt.IsNil, qt.Commentf("drain of %s", host.id))
	time.Sleep(world.span())
	world.start(host.id)
}

func (world *world) silenceLinks() {
	one, other := world.anyPlace(), world.anyPlace()
	world.network.silenceAll(one, other)
}

func (world *world) anyPlace() string { return world.hosts[world.anyHost()].place }

func (world *world) cutFor(span time.Duration, pairs [][2]string) {
	for _, pair := range pairs {
		world.network.setCut(pair[0], pair[1], true)
	}
	time.Sleep(span)
	for _, pair := range pairs {
		world.network.setCut(pair[0], pair[1], false)
	}
}

func (world *world) cutTwo() {
	world.cutFor(world.span(), [][2]string{{world.anyPlace(), world.anyPlace()}})
}

func (world *world) cutPlatform() {
	world.cutFor(world.span(), [][2]string{{world.anyPlace(), platformPlace}})
}

func (world *world) silenceTarget() {
	names := world.targetNames()
	target := world.targets[names[world.intn(len(names))]]
	world.network.silenceAll(world.anyPlace(), target.place)
}

func (world *world) platformFault(faults standin.PlatformFaults) {
	world.fault(faults)
	time.Sleep(world.span())
	world.fault(standin.PlatformFaults{})
}

func (world *world) platformDown()  { world.platformFault(standin.PlatformFaults{Down: true}) }
func (world *world) platformLoses() { world.platformFault(standin.PlatformFaults{LoseAnswers: true}) }

func (world *world) platformOld()  { world.platformFault(standin.PlatformFaults{StaleReads: true}) }
func (world *world) platformGaps() { world.platformFault(standin.PlatformFaults{WatchGaps: true}) }

// wrongList takes a host that lives off the platform's list for a while.
func (world *world) wrongList() {
	missing := world.anyHost()
	world.listBut(missing)
	time.Sleep(world.span())
	world.list()
}

func (world *world) anyEngineFault(faults standin.EngineFaults) {
	var engines []*target
	for _, name := range world.targetNames() {
		if world.targets[name].protocol == "engine" {
			engines = append(engines, world.targets[name])
		}
	}
	chosen := engines[world.intn(len(engines))]
	world.engineFault(chosen.name, faults)
	time.Sleep(world.span())
	world.engineFault(chosen.name, standin.EngineFaults{})
}

func (world *world) crashEngine()   { world.anyEngineFault(standin.EngineFaults{Crashed: true}) }
func (world *world) slowEngine()    { world.anyEngineFault(standin.EngineFaults{Slow: 10}) }
func (world *world) silenceEngine() { world.anyEngineFault(standin.EngineFaults{Silent: true}) }

// burst sends many requests at once.
func (world *world) burst() {
	var asking sync.WaitGroup
	for i := range 60 {
		asking.Go(func() { world.askSomething(world.ledger, fmt.Sprint("b", time.Now().UnixNano(), "x", i)) })
	}
	asking.Wait()
}

func (world *world) platformSlow() {
	world.platformFault(standin.PlatformFaults{Delay: time.Duration(world.intn(3000)) * time.Millisecond})
}

func (world *world) cutZone() {
	world.cutFor(world.span(), world.pairsOfZone(world.hosts[world.anyHost()].zone, false))
}

func (world *world) cutZoneFromAll() {
	world.cutFor(world.span(), world.pairsOfZone(world.hosts[world.anyHost()].zone, true))
}

// pairsOfZone lists the pairs of places of which one is in the zone: hosts and
// targets of the others, and the platform if asked.
func (world *world) pairsOfZone(zone string, platform bool) [][2]string {
	var inside, outside []string
	for _, host := range world.hosts {
		if host.zone == zone {
			inside = append(inside, host.place)
		} else {
			outside = append(outside, host.place)
		}
	}
	for _, target := range world.targets {
		if target.zone == zone {
			inside = append(inside, target.place)
		} else {
			outside = append(outside, target.place)
		}
	}
	if platform {
		outside = append(outside, platformPlace)
	}
	var pairs [][2]string
	for _, one := range inside {
		for _, other := range outside {
			pairs = append(pairs, [2]string{one, other})
		}
	}
	return pairs
}

// plague brings faults about until the time: one after another, or two at
// once.
func (world *world) plague(until time.Time, chosen []fault) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(world.intn(1500)) * time.Millisecond)
		fault := chosen[world.intn(len(chosen))]
		world.note(fault.name)
		fault.run(world)
	}
}

// note keeps what was brought about, for the report of a failure.
func (world *world) note(what string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.notes = append(world.notes, fmt.Sprintf("%s %s", time.Now().Format("05.000"), what))
}
