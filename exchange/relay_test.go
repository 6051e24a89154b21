package exchange

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
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/quota"
	"nutmegfield.example/timeline"
)

// fleet is a set of hosts in several zones that know each other's addresses.
type fleet struct {
	*qt.C
	*network
	hosts []*Exchange
}

const (
	fleetZones = 4
	fleetHosts = 40
	// inFlightPerHost is the number of requests that each host has in flight at the
	// only target.
	inFlightPerHost = 2
)

func newFleet(t *testing.T) *fleet { return newFleetOf(t, fleetHosts) }

func newFleetOf(t *testing.T, hosts int) *fleet {
	return newFleetWith(t, hosts, func(int, *Exchange) {})
}

// newFleetWith is newFleetOf with further settings of each host, by its number.
func newFleetWith(t *testing.T, hosts int, configure func(number int, host *Exchange)) *fleet {
	fleet := &fleet{C: qt.New(t), network: newNetwork()}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("h%02d", i))
	}
	for i, name := range names {
		host := fleet.start(t, name, func(host *Exchange) {
			host.Zone = fmt.Sprintf("z%d", i%fleetZones)
			host.Link = 1000
			// No slow target is tried with a stream.
			host.Balancer.RandIntN = func(bound int) int { return bound - 1 }
			host.Balancer.SetTargets([]balance.Target{{ID: "t", Pool: "p", Slots: 1000}}, nil)
			host.Ledger.SetLimits(map[string]quota.Limit{"w": {Rate: 1e-6, Burst: 1e6}})
			configure(i, host)
		}, names...)
		fleet.hosts = append(fleet.hosts, host)
	}
	return fleet
}

// startRequests starts inFlightPerHost requests on each host.
func (fleet *fleet) startRequests() {
	for _, host := range fleet.hosts {
		for range inFlightPerHost {
			_, err := host.Balancer.Acquire(context.Background(), &balance.Ticket{Pool: "p"})
			fleet.Assert(err, qt.IsNil)
		}
	}
}

// othersInFlight returns the number of requests that a host counts for the other
// hosts.
func (fleet *fleet) othersInFlight(host *Exchange) int {
	grant, err := host.Balancer.Acquire(context.Background(), &balance.Ticket{Pool: "p"})
	fleet.Assert(err, qt.IsNil)
	grant.Cancel()
	return grant.OthersInFlight
}

func (fleet *fleet) setIsolated(name string, isolated bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.isolated[name] = isolated
}

// TestSummariesCountEachHostOnce guards against requests that are counted twice, in
// reports and in summaries: the hosts of four zones, too many to report to each
// other, must count the requests in flight of all others.
func TestSummariesCountEachHostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		time.Sleep(2 * time.Second)
		fleet.startRequests()
		time.Sleep(2 * time.Second)
		for _, host := range fleet.hosts {
			fleet.Assert(host.Hosts(), qt.Equals, fleetHosts)
			fleet.Assert(fleet.othersInFlight(host), qt.Equals, inFlightPerHost*(fleetHosts-1), qt.Commentf("%s", host.Host))
		}
		fleet.mutex.Lock()
		fleet.sent = 0
		fleet.mutex.Unlock()
		time.Sleep(time.Second)
		fleet.mutex.Lock()
		defer fleet.mutex.Unlock()
		// Each host reports to two leaders; each leader sends one summary to the
		// hosts of its zone and to the other leaders.
		const rounds = int(time.Second / minRelayInterval)
		maxDatagrams := rounds*leadersPerZone*fleetHosts +
			rounds/minSummaryRounds*leadersPerZone*(fleetHosts+fleetZones*fleetZones*leadersPerZone)
		fleet.Assert(fleet.sent <= maxDatagrams, qt.IsTrue, qt.Commentf("%d datagrams of %d", fleet.sent, maxDatagrams))
	})
}

// TestNewHostDiscoversAll checks that a host of a new zone that knows only one
// host, which is not a leader, receives the reports of all others within two
// seconds.
func TestNewHostDiscoversAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		time.Sleep(2 * time.Second)
		newHost := fleet.start(t, "n", func(host *Exchange) { host.Zone = "new" }, fmt.Sprintf("h%02d", fleetHosts-1))
		time.Sleep(2 * time.Second)
		fleet.Assert(newHost.Hosts(), qt.Equals, fleetHosts+1)
	})
}

// TestWideLinksLead checks that hosts with wide links lead their zones,
// whatever their names, and that hosts with narrow links spread a summary over
// more rounds.
func TestWideLinksLead(t *testing.T) {
	c := qt.New(t)
	narrow := &Exchange{Host: "a", Zone: "z", Link: 10, Events: &timeline.Recorder{}, Suspects: newSuspects()}
	for i, link := range []uint32{200, 10, 200} {
		name := fmt.Sprintf("b%d", i)
		c.Assert(narrow.recordHeartbeat(heartbeat{
			host: name, address: name, zone: "z", incarnation: 1, sequence: 1, link: link,
		}), qt.IsTrue)
	}
	c.Assert(narrow.Leads(2), qt.IsFalse)
	c.Assert(narrow.Leads(3), qt.IsTrue)
	summary := [][]*exchangepb.Summary{{{Targets: []string{strings.Repeat("x", 4000)}}}}
	narrow.zoneHosts = 16
	c.Assert(narrow.cycleLength(summary), qt.Equals, uint64(maxSummaryRounds))
	wide := &Exchange{Link: 200, zoneHosts: 16}
	c.Assert(wide.cycleLength(summary), qt.Equals, uint64(minSummaryRounds))
}

// TestLostLeader guards against lost counts when the leaders of a zone fail one
// after the other: the summaries of the remaining leader, and then those of a
// successor, must replace theirs.
func TestLostLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		time.Sleep(2 * time.Second)
		fleet.startRequests()
		time.Sleep(time.Second)
		lastHost := fleet.hosts[fleetHosts-1]
		for lost := range 3 {
			// h03, h07 and h11 lead the zone of the last host in turn.
			fleet.setIsolated(fmt.Sprintf("h%02d", fleetZones*lost+fleetZones-1), true)
			time.Sleep(500 * time.Millisecond)
			fleet.Assert(fleet.othersInFlight(lastHost) >= inFlightPerHost*(fleetHosts-2-lost), qt.IsTrue)
			time.Sleep(4 * time.Second)
			fleet.Assert(lastHost.Hosts(), qt.Equals, fleetHosts-1-lost)
			fleet.Assert(fleet.othersInFlight(lastHost), qt.Equals, inFlightPerHost*(fleetHosts-2-lost))
		}
		for lost := range 3 {
			fleet.setIsolated(fmt.Sprintf("h%02d", fleetZones*lost+fleetZones-1), false)
		}
		time.Sleep(4 * time.Second)
		for _, host := range fleet.hosts {
			fleet.Assert(host.Hosts(), qt.Equals, fleetHosts)
			fleet.Assert(fleet.othersInFlight(host), qt.Equals, inFlightPerHost*(fleetHosts-1))
		}
	})
}

// TestLeavingTargetsReachAllHosts checks that one host's answer of a target that leaves
// keeps all others from asking it within a second.
func TestLeavingTargetsReachAllHosts(t *testing.T) {
	for _, hosts := range []int{3, fleetHosts} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleetOf(t, hosts)
			time.Sleep(2 * time.Second)
			target := &balance.Target{ID: "t", Pool: "p"}
			fleet.Assert(fleet.hosts[hosts-1].Balancer.RecordLeaving(target), qt.IsTrue)
			time.Sleep(time.Second)
			for _, host := range fleet.hosts {
				fleet.Assert(host.Balancer.MaySend(target), qt.IsFalse, qt.Commentf("%s of %d", host.Host, hosts))
				restarted := &balance.Target{ID: "t", Pool: "p", StartedAt: time.Now()}
				fleet.Assert(host.Balancer.MaySend(restarted), qt.IsTrue)
			}
		})
	}
}

// TestPathsReachAllHosts guards against hosts that ask others to send requests which reach the
// targets no more than they do, or shut down, and against hosts that don't know that targets
// are brittle: within a second all know what one host says.
func TestPathsReachAllHosts(t *testing.T) {
	for _, hosts := range []int{3, fleetHosts} {
		synctest.Test(t, func(t *testing.T) {
			var unreached, drains atomic.Bool
			fleet := newFleetWith(t, hosts, func(number int, host *Exchange) {
				host.Forwards = func() bool { return number != 0 || !drains.Load() }
				host.Unreached = func() []string {
					if number == 0 && unreached.Load() {
						return []string{"p"}
					}
					return nil
				}
			})
			first := fleet.hosts[0]
			want := func(isListed, isUnreached bool) {
				time.Sleep(time.Second)
				for _, host := range fleet.hosts[1:] {
					index := slices.IndexFunc(host.Forwarders(), func(forwarder Forwarder) bool { return forwarder.Host == first.Host })
					comment := qt.Commentf("%s of %d", host.Host, hosts)
					fleet.Assert(index >= 0, qt.Equals, isListed, comment)
					if isListed {
						fleet.Assert(slices.Contains(host.Forwarders()[index].Unreached, "p"), qt.Equals, isUnreached, comment)
					}
				}
			}
			time.Sleep(time.Second)
			want(true, false)
			unreached.Store(true)
			want(true, true)
			unreached.Store(false)
			want(true, false)
			first.Balancer.RecordBrittle(&balance.Target{ID: "t", Pool: "p"}, 3)
			want(true, false)
			for _, host := range fleet.hosts[1:] {
				fleet.Assert(host.Balancer.RecordBrittle(&balance.Target{ID: "t", Pool: "p"}, 3), qt.IsFalse, qt.Commentf("%s of %d", host.Host, hosts))
			}
			drains.Store(true)
			want(false, false)
		})
	}
}

// TestObservationsReachAllHosts guards against hosts that don't know which targets are slow,
// as each observes them too seldom: the streams of one host tell all others within a second
// that a target does not keep pace. A single observation may be lost, as a summary that was
// not passed on yet is replaced by the next one.
func TestObservationsReachAllHosts(t *testing.T) {
	for _, hosts := range []int{3, fleetHosts} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFleetOf(t, hosts)
			for _, host := range fleet.hosts {
				host.Balancer.SetTargets([]balance.Target{{ID: "slow", Pool: "p", Slots: 1000}}, nil)
			}
			time.Sleep(2 * time.Second)
			for range 12 {
				grant, err := fleet.hosts[hosts-1].Balancer.Acquire(context.Background(), &balance.Ticket{Pool: "p"})
				fleet.Assert(err, qt.IsNil)
				grant.RecordFirstEvent()
				time.Sleep(time.Second)
				grant.RecordStreamEnd(5)
				grant.End(balance.Served)
			}
			time.Sleep(time.Second)
			for _, host := range fleet.hosts {
				host.Balancer.SetTargets([]balance.Target{{ID: "slow", Pool: "p", Slots: 1000}, {ID: "unknown", Pool: "p", Slots: 1}}, nil)
				grant, err := host.Balancer.Acquire(context.Background(), &balance.Ticket{
					Pool: "p", ExpectedEvents: 10, EventGap: 400 * time.Millisecond, Due: time.Now().Add(time.Second),
				})
				fleet.Assert(err, qt.IsNil)
				fleet.Assert(grant.Target.ID, qt.Equals, "unknown", qt.Commentf("%s of %d", host.Host, hosts))
				grant.Cancel()
			}
		})
	}
}

// TestSpendsReachAllHosts checks that one host's use of a quota reaches all
// others within a few rounds.
func TestSpendsReachAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		time.Sleep(2 * time.Second)
		for _, host := range fleet.hosts {
			host.Ledger.Return("w", 1e6)
		}
		spender := fleet.hosts[fleetHosts-1]
		fleet.Assert(spender.Ledger.Take("w", 1000).Allowed, qt.IsTrue)
		time.Sleep(time.Second)
		level := spender.Ledger.Take("w", 0).Level
		for _, host := range fleet.hosts {
			fleet.Assert(host.Ledger.Take("w", 0).Level <= level, qt.IsTrue, qt.Commentf("%s", host.Host))
		}
	})
}
