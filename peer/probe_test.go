package peer_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
)

// Numbers of the events that the tests count.
const (
	eventSuspect        = 6011
	eventDead           = 6012
	eventLeft           = 6013
	eventReplaced       = 6014
	eventOlderDuplicate = 6015
	eventRefused        = 6016
)

// largeSize adds a size that would take minutes and gigabytes under the race
// detector; make test runs it without.
var largeSize = flag.Int("hosts", 0, "a further number of hosts for TestMembers")

// maxControlBytes is the most that a host may send per second for the
// membership.
const maxControlBytes = 2 << 10

// runHosts starts hosts, waits until all know each other and then runs the test.
func runHosts(t *testing.T, hosts int, seed uint64, test func(c *qt.C, network *network)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		begin := time.Now()
		network := newNetwork(seed)
		network.startHosts(hosts)
		joined := waitUntil(2*time.Minute, func() bool { return network.hasConverged(allHosts) })
		c.Assert(network.hasConverged(allHosts), qt.IsTrue)
		c.Logf("%d hosts: all known after %s", hosts, joined)
		time.Sleep(40 * time.Second)
		network.takeCounts()
		test(c, network)
		c.Logf("%s of virtual time", time.Since(begin))
		network.stop()
	})
}

// trafficPerHost returns the datagrams and bytes that a host sent per second on
// average over the span since the last call of takeCounts.
func trafficPerHost(network *network, span time.Duration) (messages, bytes float64) {
	sent, size := network.takeCounts()
	hostSeconds := float64(len(network.fakeHosts)) * span.Seconds()
	return float64(sent) / hostSeconds, float64(size) / hostSeconds
}

// TestMembers checks the membership with each number of hosts: while idle, under
// loss of datagrams, after a crash, and after a zone was unreachable.
func TestMembers(t *testing.T) {
	sizes := []int{8, 66}
	if *largeSize > 0 {
		sizes = append(sizes, *largeSize)
	}
	for _, hosts := range sizes {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			runHosts(t, hosts, 1, func(c *qt.C, network *network) {
				checkIdleTraffic(c, network)
				checkLoss(c, network)
				checkCrash(c, network)
				checkPartition(c, network)
			})
		})
	}
}

func checkIdleTraffic(c *qt.C, network *network) {
	time.Sleep(30 * time.Second)
	messages, bytes := trafficPerHost(network, 30*time.Second)
	c.Logf("idle: %.2f messages and %.0f bytes per host and second", messages, bytes)
	c.Assert(bytes < maxControlBytes, qt.IsTrue)
	c.Assert(network.countEvents(eventDead), qt.Equals, 0)
}

func checkLoss(c *qt.C, network *network) {
	network.setLoss(0.1)
	time.Sleep(30 * time.Second)
	messages, bytes := trafficPerHost(network, 30*time.Second)
	c.Logf("10%% lost: %.2f messages and %.0f bytes per host and second, %d suspicions",
		messages, bytes, network.countEvents(eventSuspect))
	c.Assert(bytes < maxControlBytes, qt.IsTrue)
	c.Assert(network.countEvents(eventDead), qt.Equals, 0)
	network.setLoss(0)
}

func checkCrash(c *qt.C, network *network) {
	network.crash(network.fakeHosts["10.0.0.3:8070"])
	first := waitUntil(time.Minute, func() bool { return network.countEvents(eventDead) > 0 })
	all := first + waitUntil(time.Minute, func() bool { return network.hasConverged(allHosts) })
	c.Logf("crashed host detected by the first host after %s, by all after %s", first, all)
	c.Assert(network.hasConverged(allHosts), qt.IsTrue)
}

func checkPartition(c *qt.C, network *network) {
	inA := func(fakeHost *fakeHost) bool { return fakeHost.zone() == "a" }
	outside := func(fakeHost *fakeHost) bool { return !inA(fakeHost) }
	network.setCut(func(from, to *fakeHost) bool { return inA(from) != inA(to) })
	partitioned := waitUntil(3*time.Minute, func() bool { return network.hasConverged(inA) && network.hasConverged(outside) })
	c.Assert(network.hasConverged(inA), qt.IsTrue)
	c.Assert(network.hasConverged(outside), qt.IsTrue)
	time.Sleep(20 * time.Second)
	network.takeCounts()
	calls := network.listReadCount()
	network.setCut(nil)
	time.Sleep(10 * time.Second)
	messages, bytes := trafficPerHost(network, 10*time.Second)
	calls = network.listReadCount() - calls
	healed := 10*time.Second + waitUntil(5*time.Minute, func() bool { return network.hasConverged(allHosts) })
	c.Logf("zone unreachable: views separated after %s; in the first 10 s after it was reachable again %.2f messages and %.0f bytes per host and second, %d list reads; all hosts known again after %s",
		partitioned, messages, bytes, calls, healed)
	c.Assert(network.hasConverged(allHosts), qt.IsTrue)
}

func TestShortPauseIsNotDeath(t *testing.T) {
	for _, hosts := range []int{8, 66} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(hosts, " ", seed), func(t *testing.T) {
				runHosts(t, hosts, seed, func(c *qt.C, network *network) {
					network.pause(network.fakeHosts["10.0.0.3:8070"], 2*time.Second)
					time.Sleep(30 * time.Second)
					c.Assert(network.countEvents(eventDead), qt.Equals, 0)
				})
			})
		}
	}
}

func TestLeavingAndLeft(t *testing.T) {
	runHosts(t, 8, 5, func(c *qt.C, network *network) {
		leaving := network.fakeHosts["10.0.0.3:8070"]
		leaving.prober.Leave()
		waitUntil(10*time.Second, func() bool { return everyoneSees(network, leaving.id(), true) })
		c.Assert(everyoneSees(network, leaving.id(), true), qt.IsTrue)
		leaving.stop()
		synctest.Wait()
		network.crash(leaving)
		waitUntil(10*time.Second, func() bool { return network.hasConverged(allHosts) })
		c.Assert(network.hasConverged(allHosts), qt.IsTrue)
		c.Assert(network.countEvents(eventDead), qt.Equals, 0)
		c.Assert(network.countEvents(eventLeft), qt.Equals, 7)
	})
}

func everyoneSees(network *network, id string, leaving bool) bool {
	for _, fakeHost := range network.fakeHosts {
		host, ok := fakeHost.prober.Members.View().Find(id)
		if !ok || host.Leaving != leaving {
			return false
		}
	}
	return true
}

func TestNewerHostOfSameIDWins(t *testing.T) {
	runHosts(t, 8, 6, func(c *qt.C, network *network) {
		older := network.fakeHosts["10.0.0.3:8070"]
		newer := network.start(older.id(), older.zone(), "10.0.9.9:8070")
		waitUntil(30*time.Second, func() bool { return len(older.ended) > 0 })
		c.Assert(peer.Is(<-older.ended, peer.Replaced), qt.IsTrue)
		network.crash(older)
		waitUntil(time.Minute, func() bool { return network.hasConverged(allHosts) })
		c.Assert(network.hasConverged(allHosts), qt.IsTrue)
		host, ok := network.fakeHosts["10.0.0.1:8070"].prober.Members.View().Find(newer.id())
		c.Assert(ok, qt.IsTrue)
		c.Assert(host.Address, qt.Equals, "10.0.9.9:8070")
		c.Assert(network.countEvents(eventReplaced), qt.Equals, 1)
		c.Assert(network.countEvents(eventDead), qt.Equals, 0)
	})
}

// TestOlderDuplicateIsReported checks that one event is recorded when another
// host sends the record of an older host with the same id.
func TestOlderDuplicateIsReported(t *testing.T) {
	runHosts(t, 2, 8, func(c *qt.C, network *network) {
		fakeHost := network.fakeHosts["10.0.0.0:8070"]
		other := network.fakeHosts["10.0.0.1:8070"].prober.Members.Self
		datagram, err := proto.Marshal(&peerpb.Probe{Kind: 2, From: other.ID, Hosts: []*peerpb.Host{
			{Id: other.ID, Zone: other.Zone, Address: other.Address, Incarnation: 1, State: 1},
			{Id: fakeHost.id(), Zone: fakeHost.zone(), Address: "10.0.9.9:8070", Incarnation: 1, State: 1},
		}})
		c.Assert(err, qt.IsNil)
		fakeHost.prober.Receive(datagram)
		fakeHost.prober.Receive(datagram)
		c.Assert(network.countEvents(eventOlderDuplicate), qt.Equals, 1)
		c.Assert(network.countEvents(eventReplaced), qt.Equals, 0)
	})
}

func TestBadDatagramsAreRefused(t *testing.T) {
	runHosts(t, 3, 7, func(c *qt.C, network *network) {
		fakeHost := network.fakeHosts["10.0.0.0:8070"]
		for _, datagram := range []string{"", "no probe", "\x08\x01\x1a\x07unknown"} {
			fakeHost.prober.Receive([]byte(datagram))
		}
		c.Assert(network.countEvents(eventRefused), qt.Equals, 1)
		c.Assert(network.hasConverged(allHosts), qt.IsTrue)
	})
}

// TestOnlyKeysOfRemovedHostMove removes one host and checks that Responsible
// changes for no key of another host.
func TestOnlyKeysOfRemovedHostMove(t *testing.T) {
	c := qt.New(t)
	members := &peer.Members{}
	var hosts []peer.Host
	for i := range 66 {
		hosts = append(hosts, peer.Host{ID: fmt.Sprint("host", i), Zone: "a"})
	}
	members.SetHosts(hosts)
	before := members.View()
	members.SetHosts(append(hosts[:7:7], hosts[8:]...))
	after := members.View()
	moved := 0
	for i := range 10_000 {
		key := fmt.Sprint("key", i)
		was, _ := before.Responsible("a", key)
		is, _ := after.Responsible("a", key)
		if was.ID == is.ID {
			continue
		}
		moved++
		c.Assert(was.ID, qt.Equals, "host7")
	}
	c.Logf("%d of 10000 keys moved", moved)
	c.Assert(moved > 0, qt.IsTrue)
}
