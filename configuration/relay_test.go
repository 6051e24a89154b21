package configuration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/configuration"
	"nutmegfield.example/objects"
	"nutmegfield.example/pause"
	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/profile"
	"nutmegfield.example/standin"
	"nutmegfield.example/timeline"
)

// inForce is the time within which a configuration has to be in force
// everywhere.
const inForce = 9 * time.Second

const text = `tiers: [draft]
profiles: [{name: draft, tier: draft}]
workspaces: [{name: clubs, weight: %d}]
`

// fleet is a number of relays in one process, over an API with faults and
// links that lose messages. Each host hears the version of one other a
// second, as from the membership's probes.
type fleet struct {
	c        *qt.C
	standin  *standin.Platform
	mutex    sync.Mutex
	random   *rand.Rand
	loss     float64
	relays   map[string]*host
	hosts    []peer.Host
	group    sync.WaitGroup
	messages int
	// cutZone is cut off from the platform.
	cutZone string
}

type host struct {
	relay  *configuration.Relay
	events *timeline.Recorder
	stop   context.CancelFunc
}

func newFleet(c *qt.C, count, zones int) *fleet {
	fleet := &fleet{c: c, standin: &standin.Platform{}, random: rand.New(rand.NewPCG(1, 2)), relays: map[string]*host{}}
	for i := range count {
		zone := string(rune('a' + i%zones))
		fleet.hosts = append(fleet.hosts, peer.Host{ID: fmt.Sprintf("%s%03d", zone, i), Zone: zone})
	}
	return fleet
}

func (fleet *fleet) startAll() {
	for _, self := range fleet.hosts {
		fleet.start(self)
	}
}

func (fleet *fleet) start(self peer.Host) *host {
	events := &timeline.Recorder{Host: self.ID}
	relay := &configuration.Relay{
		Self:   self,
		Store:  &profile.Store{Events: events},
		API:    standin.CutOff(fleet.standin.API(), func() bool { return fleet.isCut(self.Zone) }),
		View:   fleet.view,
		Send:   func(to string, envelope *peerpb.Envelope) { fleet.send(self.ID, to, envelope) },
		Events: events,
	}
	ctx, stop := context.WithCancel(context.Background())
	started := &host{relay: relay, events: events, stop: stop}
	fleet.mutex.Lock()
	fleet.relays[self.ID] = started
	fleet.mutex.Unlock()
	fleet.group.Go(func() { fleet.c.Check(relay.Run(ctx), qt.IsNil) })
	fleet.group.Go(func() { fleet.probe(ctx, relay) })
	return started
}

func (fleet *fleet) isCut(zone string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.cutZone == zone
}

func (fleet *fleet) view() *peer.View {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return &peer.View{Hosts: fleet.hosts}
}

func (fleet *fleet) send(from, to string, envelope *peerpb.Envelope) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.messages++
	receiver := fleet.relays[to]
	if receiver == nil || fleet.random.Float64() < fleet.loss {
		return
	}
	time.AfterFunc(time.Millisecond, func() { receiver.relay.Receive(from, envelope) })
}

// probe tells the versions of random hosts.
func (fleet *fleet) probe(ctx context.Context, relay *configuration.Relay) {
	for ctx.Err() == nil {
		pause.For(ctx, pause.Jitter(time.Second))
		fleet.mutex.Lock()
		other := fleet.hosts[fleet.random.IntN(len(fleet.hosts))].ID
		heard := fleet.relays[other]
		lost := fleet.random.Float64() < fleet.loss
		fleet.mutex.Unlock()
		if heard != nil && !lost && ctx.Err() == nil {
			relay.Heard(other, version(heard))
		}
	}
}

func version(host *host) int64 {
	if snapshot := host.relay.Store.Current(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// remove takes a host away; the others still believe in it for a while, as
// the membership needs time to notice.
func (fleet *fleet) remove(id string, believed time.Duration) {
	fleet.mutex.Lock()
	fleet.relays[id].stop()
	delete(fleet.relays, id)
	fleet.mutex.Unlock()
	time.AfterFunc(believed, func() {
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		var hosts []peer.Host
		for _, host := range fleet.hosts {
			if host.ID != id {
				hosts = append(hosts, host)
			}
		}
		fleet.hosts = hosts
	})
}

// apply writes a configuration and returns its version.
func (fleet *fleet) apply(text string) int64 {
	api := fleet.standin.API()
	written, err := api.Update(context.Background(), profile.ObjectKind, profile.ObjectName,
		func(objects.Object) ([]byte, error) { return []byte(text), nil })
	fleet.c.Assert(err, qt.IsNil)
	return written.Version
}

// everywhere waits until a version is in force on every host and returns how
// long it took.
func (fleet *fleet) everywhere(version int64) time.Duration {
	begin := time.Now()
	for fleet.lowest() < version && time.Since(begin) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
	fleet.c.Assert(fleet.lowest(), qt.Equals, version)
	return time.Since(begin)
}

func (fleet *fleet) lowest() int64 {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	lowest := int64(1 << 62)
	for _, host := range fleet.relays {
		lowest = min(lowest, version(host))
	}
	return lowest
}

// watchers are the hosts of a zone that hold the watch: the first two by rank.
func (fleet *fleet) watcher(zone string) string {
	view := fleet.view()
	responsible, ok := view.Responsible(zone, "configuration-watch")
	fleet.c.Assert(ok, qt.IsTrue)
	return responsible.ID
}

func (fleet *fleet) end() {
	for _, host := range fleet.relays {
		host.stop()
	}
	fleet.group.Wait()
}

func (fleet *fleet) calls() int {
	sum := 0
	for _, count := range fleet.standin.Calls() {
		sum += count
	}
	return sum
}

func (fleet *fleet) sent() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.messages
}

func (fleet *fleet) setLoss(loss float64) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.loss = loss
}

func (fleet *fleet) setCut(zone string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.cutZone = zone
}

// TestInForceEverywhere brings versions into force under one fault after the
// other, in fleets of each size.
func TestInForceEverywhere(t *testing.T) {
	for _, count := range []int{8, 66, 330} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { inForceEverywhere(qt.New(t), count) })
		})
	}
}

func inForceEverywhere(c *qt.C, count int) {
	fleet := newFleet(c, count, min(5, count/2))
	fleet.apply(fmt.Sprintf(text, 1))
	fleet.startAll()
	time.Sleep(time.Minute)
	check := func(name string, weight int) {
		messages := fleet.sent()
		took := fleet.everywhere(fleet.apply(fmt.Sprintf(text, weight)))
		c.Logf("%d hosts, %s: in force everywhere after %s, %.1f messages a host", count, name, took,
			float64(fleet.sent()-messages)/float64(count))
		c.Assert(took <= inForce, qt.IsTrue)
	}
	calls := fleet.calls()
	time.Sleep(time.Minute)
	c.Logf("%d hosts: %.2f platform calls a second", count, float64(fleet.calls()-calls)/60)
	check("no fault", 2)
	fleet.setLoss(0.1)
	check("a tenth of the messages lost", 3)
	fleet.standin.SetFaults(standin.PlatformFaults{WatchGaps: true})
	check("watches tell nothing", 4)
	fleet.standin.SetFaults(standin.PlatformFaults{})
	fleet.setCut("a")
	check("a zone cut off from the platform", 5)
	fleet.setCut("")
	fleet.remove(fleet.watcher("b"), 10*time.Second)
	check("a watcher dead", 6)
	fleet.end()
}

func TestFreshHostAsksPeersWhilePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(c, 8, 2)
		fresh := fleet.hosts[7]
		for _, self := range fleet.hosts[:7] {
			fleet.start(self)
		}
		fleet.everywhere(fleet.apply(fmt.Sprintf(text, 1)))
		fleet.standin.SetFaults(standin.PlatformFaults{Down: true})
		fleet.start(fresh)
		c.Assert(fleet.everywhere(1) <= inForce, qt.IsTrue)
		fleet.end()
	})
}

// TestFreshHostIsNotTakenBack starts a host while the platform answers with
// an old version: it never works by that.
func TestFreshHostIsNotTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(c, 8, 2)
		for _, self := range fleet.hosts[:7] {
			fleet.start(self)
		}
		fleet.everywhere(fleet.apply(fmt.Sprintf(text, 1)))
		newest := fleet.apply(fmt.Sprintf(text, 2))
		fleet.everywhere(newest)
		fleet.standin.SetFaults(standin.PlatformFaults{OldReads: true})
		fresh := fleet.start(fleet.hosts[7])
		fresh.relay.Store.Listen(func(snapshot *profile.Snapshot) {
			c.Check(snapshot.Version, qt.Equals, newest)
		})
		fleet.everywhere(newest)
		time.Sleep(time.Minute)
		c.Assert(fleet.lowest(), qt.Equals, newest)
		fleet.end()
	})
}

// TestUnreadableIsKeptOut applies what can't be read, past the check that
// apply makes: the version before stays and each host logs it once at most.
func TestUnreadableIsKeptOut(t *testing.T) {
	for _, bad := range []string{"format: 2\nnew: key\n", "tiers: [", "tiers: []\n"} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fleet := newFleet(c, 8, 2)
			fleet.startAll()
			good := fleet.apply(fmt.Sprintf(text, 1))
			fleet.everywhere(good)
			fleet.apply(bad)
			time.Sleep(time.Minute)
			c.Assert(fleet.lowest(), qt.Equals, good)
			logged := 0
			for _, host := range fleet.relays {
				count := 0
				for _, event := range host.events.Events() {
					if event.Number == 8003 {
						count++
					}
				}
				c.Assert(count <= 1, qt.IsTrue)
				logged += count
			}
			c.Assert(logged > 0, qt.IsTrue)
			fleet.everywhere(fleet.apply(fmt.Sprintf(text, 2)))
			fleet.end()
		})
	}
}
