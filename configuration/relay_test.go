package configuration_test

import (
	"context"
	"fmt"
	"math"
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

// maxPropagationDelay is the time within which a configuration has to be in force
// on all hosts.
const maxPropagationDelay = 9 * time.Second

const configurationText = `tiers: [draft]
profiles: [{name: draft, tier: draft}]
workspaces: [{name: clubs, weight: %d}]
`

// fleet runs many relays in one process, with a platform API that injects faults and
// links that lose messages. About once a second each host observes the version of a
// random host, as it would from the membership's probes.
type fleet struct {
	c            *qt.C
	standin      *standin.Platform
	mutex        sync.Mutex
	random       *rand.Rand
	lossFraction float64
	runningHosts map[string]*host
	hosts        []peer.Host
	group        sync.WaitGroup
	messageCount int
	// unreachableZone is the zone whose hosts can't reach the platform, "" for
	// none.
	unreachableZone string
}

// host is one running relay.
type host struct {
	relay  *configuration.Relay
	events *timeline.Recorder
	stop   context.CancelFunc
}

func newFleet(c *qt.C, count, zones int) *fleet {
	fleet := &fleet{c: c, standin: &standin.Platform{}, random: rand.New(rand.NewPCG(1, 2)), runningHosts: map[string]*host{}}
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
		API:    standin.CutOff(fleet.standin.API(), func() bool { return fleet.isUnreachable(self.Zone) }),
		View:   fleet.view,
		Send:   func(to string, envelope *peerpb.Envelope) { fleet.send(self.ID, to, envelope) },
		Events: events,
	}
	ctx, stop := context.WithCancel(context.Background())
	started := &host{relay: relay, events: events, stop: stop}
	fleet.mutex.Lock()
	fleet.runningHosts[self.ID] = started
	fleet.mutex.Unlock()
	fleet.group.Go(func() { fleet.c.Check(relay.Run(ctx), qt.IsNil) })
	fleet.group.Go(func() { fleet.probe(ctx, relay) })
	return started
}

func (fleet *fleet) isUnreachable(zone string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.unreachableZone == zone
}

func (fleet *fleet) view() *peer.View {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return &peer.View{Hosts: fleet.hosts}
}

func (fleet *fleet) send(from, to string, envelope *peerpb.Envelope) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.messageCount++
	receiver := fleet.runningHosts[to]
	if receiver == nil || fleet.random.Float64() < fleet.lossFraction {
		return
	}
	time.AfterFunc(time.Millisecond, func() { receiver.relay.Receive(from, envelope) })
}

// probe passes the versions of random hosts to a relay, about one a second.
func (fleet *fleet) probe(ctx context.Context, relay *configuration.Relay) {
	for ctx.Err() == nil {
		pause.For(ctx, pause.Jitter(time.Second))
		fleet.mutex.Lock()
		other := fleet.hosts[fleet.random.IntN(len(fleet.hosts))].ID
		probed := fleet.runningHosts[other]
		lost := fleet.random.Float64() < fleet.lossFraction
		fleet.mutex.Unlock()
		if probed != nil && !lost && ctx.Err() == nil {
			relay.ObserveVersion(other, version(probed))
		}
	}
}

func version(host *host) int64 {
	if snapshot := host.relay.Store.Current(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// stopHost stops a host. It stays in the others' view for detectionDelay, the time
// that the membership takes to detect the loss.
func (fleet *fleet) stopHost(id string, detectionDelay time.Duration) {
	fleet.mutex.Lock()
	fleet.runningHosts[id].stop()
	delete(fleet.runningHosts, id)
	fleet.mutex.Unlock()
	time.AfterFunc(detectionDelay, func() {
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

// apply writes a configuration to the platform and returns its version.
func (fleet *fleet) apply(text string) int64 {
	api := fleet.standin.API()
	written, err := api.Update(context.Background(), profile.ObjectKind, profile.ObjectName,
		func(objects.Object) ([]byte, error) { return []byte(text), nil })
	fleet.c.Assert(err, qt.IsNil)
	return written.Version
}

// waitForVersion waits, for a minute at most, until a version is in force on every
// host and returns how long that took.
func (fleet *fleet) waitForVersion(version int64) time.Duration {
	started := time.Now()
	for fleet.lowestVersion() < version && time.Since(started) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
	fleet.c.Assert(fleet.lowestVersion(), qt.Equals, version)
	return time.Since(started)
}

func (fleet *fleet) lowestVersion() int64 {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	lowest := int64(1 << 62)
	for _, host := range fleet.runningHosts {
		lowest = min(lowest, version(host))
	}
	return lowest
}

// watcher returns the id of the first of a zone's two watchers.
func (fleet *fleet) watcher(zone string) string {
	view := fleet.view()
	responsible, ok := view.Responsible(zone, "configuration-watch")
	fleet.c.Assert(ok, qt.IsTrue)
	return responsible.ID
}

func (fleet *fleet) stopAll() {
	for _, host := range fleet.runningHosts {
		host.stop()
	}
	fleet.group.Wait()
}

func (fleet *fleet) platformCalls() int {
	sum := 0
	for _, count := range fleet.standin.Calls() {
		sum += count
	}
	return sum
}

func (fleet *fleet) sentMessages() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.messageCount
}

func (fleet *fleet) setLossFraction(fraction float64) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.lossFraction = fraction
}

func (fleet *fleet) setUnreachable(zone string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.unreachableZone = zone
}

// TestPropagation writes a new version under each of several faults, in fleets of 8,
// 66 and 330 hosts, and checks that it is in force on all hosts within
// maxPropagationDelay.
func TestPropagation(t *testing.T) {
	for _, count := range []int{8, 66, 330} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testPropagation(qt.New(t), count) })
		})
	}
}

func testPropagation(c *qt.C, count int) {
	fleet := newFleet(c, count, min(5, count/2))
	fleet.apply(fmt.Sprintf(configurationText, 1))
	fleet.startAll()
	time.Sleep(time.Minute)
	check := func(name string, weight int) {
		messages := fleet.sentMessages()
		delay := fleet.waitForVersion(fleet.apply(fmt.Sprintf(configurationText, weight)))
		c.Logf("%d hosts, %s: in force everywhere after %s, %.1f messages a host", count, name, delay,
			float64(fleet.sentMessages()-messages)/float64(count))
		c.Assert(delay <= maxPropagationDelay, qt.IsTrue)
	}
	calls := fleet.platformCalls()
	time.Sleep(time.Minute)
	c.Logf("%d hosts: %.2f platform calls a second", count, float64(fleet.platformCalls()-calls)/60)
	check("no fault", 2)
	fleet.setLossFraction(0.1)
	check("a tenth of the messages lost", 3)
	fleet.standin.SetFaults(standin.PlatformFaults{WatchGaps: true})
	check("watches report no changes", 4)
	fleet.standin.SetFaults(standin.PlatformFaults{})
	fleet.setUnreachable("a")
	check("platform unreachable from one zone", 5)
	fleet.setUnreachable("")
	fleet.stopHost(fleet.watcher("b"), 10*time.Second)
	check("a watcher lost", 6)
	fleet.stopAll()
}

// TestNewHostReadsFromPeersDuringOutage starts a host while the platform is down:
// it has to receive the configuration from its peers.
func TestNewHostReadsFromPeersDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(c, 8, 2)
		fresh := fleet.hosts[7]
		for _, self := range fleet.hosts[:7] {
			fleet.start(self)
		}
		fleet.waitForVersion(fleet.apply(fmt.Sprintf(configurationText, 1)))
		fleet.standin.SetFaults(standin.PlatformFaults{Down: true})
		fleet.start(fresh)
		c.Assert(fleet.waitForVersion(1) <= maxPropagationDelay, qt.IsTrue)
		fleet.stopAll()
	})
}

// TestNewHostIgnoresOldPlatformVersion starts a host while the platform's reads
// return an old version, which must never be put in force on it.
func TestNewHostIgnoresOldPlatformVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(c, 8, 2)
		for _, self := range fleet.hosts[:7] {
			fleet.start(self)
		}
		fleet.waitForVersion(fleet.apply(fmt.Sprintf(configurationText, 1)))
		newest := fleet.apply(fmt.Sprintf(configurationText, 2))
		fleet.waitForVersion(newest)
		fleet.standin.SetFaults(standin.PlatformFaults{StaleReads: true})
		fresh := fleet.start(fleet.hosts[7])
		fresh.relay.Store.Listen(func(snapshot *profile.Snapshot) {
			c.Check(snapshot.Version, qt.Equals, newest)
		})
		fleet.waitForVersion(newest)
		time.Sleep(time.Minute)
		c.Assert(fleet.lowestVersion(), qt.Equals, newest)
		fleet.stopAll()
	})
}

// TestUnreadableConfigurationIsIgnored writes a configuration that can't be decoded,
// bypassing the check of the apply command. The previous version must stay in force,
// and each host must record the event at most once.
func TestUnreadableConfigurationIsIgnored(t *testing.T) {
	for _, bad := range []string{"format: 2\nnew: key\n", "tiers: [", "tiers: []\n"} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fleet := newFleet(c, 8, 2)
			fleet.startAll()
			good := fleet.apply(fmt.Sprintf(configurationText, 1))
			fleet.waitForVersion(good)
			fleet.apply(bad)
			time.Sleep(time.Minute)
			c.Assert(fleet.lowestVersion(), qt.Equals, good)
			logged := 0
			for _, host := range fleet.runningHosts {
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
			fleet.waitForVersion(fleet.apply(fmt.Sprintf(configurationText, 2)))
			fleet.stopAll()
		})
	}
}

// TestAbsurdVersionIsIgnored guards against a version after which no other one takes effect,
// whether the platform or a peer names it.
func TestAbsurdVersionIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fleet := newFleet(c, 8, 2)
		fleet.startAll()
		good := fleet.apply(fmt.Sprintf(configurationText, 1))
		fleet.waitForVersion(good)
		for _, host := range fleet.runningHosts {
			for _, text := range []string{"", "tiers: [", fmt.Sprintf(configurationText, 3)} {
				host.relay.Receive("b001", &peerpb.Envelope{Configurations: []*peerpb.Configuration{{Version: math.MaxInt64, Text: []byte(text)}}})
			}
		}
		time.Sleep(time.Minute)
		c.Assert(fleet.lowestVersion(), qt.Equals, good)
		fleet.waitForVersion(fleet.apply(fmt.Sprintf(configurationText, 2)))
		fleet.stopAll()
	})
}
