package exchange

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"nutmegfield.example/balance"
	"nutmegfield.example/budget"
	"nutmegfield.example/discovery"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/limit"
	"nutmegfield.example/quota"
	"nutmegfield.example/timeline"
)

// network delivers datagrams between hosts that are not isolated.
type network struct {
	mutex    sync.Mutex
	hosts    map[string]*Exchange
	isolated map[string]bool
	sent     int
}

// sender returns the Send function of a host.
func (network *network) sender(from string) func(string, []byte) {
	return func(to string, datagram []byte) {
		network.mutex.Lock()
		host := network.hosts[to]
		lost := network.isolated[from] || network.isolated[to]
		network.sent++
		network.mutex.Unlock()
		if host != nil && !lost {
			go host.Receive(datagram)
		}
	}
}

func (network *network) start(t *testing.T, name string, configure func(*Exchange), seeds ...string) *Exchange {
	host := &Exchange{
		Host: name, Incarnation: 1, Address: name, Seeds: seeds,
		Events: &timeline.Recorder{}, Send: network.sender(name),
		Balancer:       &balance.Balancer{},
		Versions:       func() Versions { return Versions{Configuration: 1} },
		OnNewerVersion: func(string) {},
		OnVerified:     func(int64, discovery.Verification) {},
		Suspects:       newSuspects(),
	}
	host.Ledger = &quota.Ledger{Interval: host.Interval}
	if configure != nil {
		configure(host)
	}
	network.mutex.Lock()
	network.hosts[name] = host
	network.mutex.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = host.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return host
}

func newNetwork() *network {
	return &network{hosts: map[string]*Exchange{}, isolated: map[string]bool{}}
}

// TestPeerDiscoveryThroughOneSeed checks that hosts discover each other through
// one seed, and that a host is silent while it is isolated and live again after.
func TestPeerDiscoveryThroughOneSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		var hosts []*Exchange
		for _, name := range []string{"a", "b", "c", "d"} {
			hosts = append(hosts, network.start(t, name, nil, "a", "nobody"))
		}
		time.Sleep(time.Second)
		for _, host := range hosts {
			c.Assert(host.Hosts(), qt.Equals, 4)
		}
		network.mutex.Lock()
		network.isolated["c"] = true
		network.mutex.Unlock()
		time.Sleep(2 * time.Second)
		c.Assert(hosts[0].Hosts(), qt.Equals, 3)
		c.Assert(hosts[2].Hosts(), qt.Equals, 1)
		network.mutex.Lock()
		clear(network.isolated)
		network.mutex.Unlock()
		time.Sleep(time.Second)
		c.Assert(hosts[0].Hosts(), qt.Equals, 4)
		c.Assert(hosts[0].Leads(1), qt.IsTrue)
		c.Assert(hosts[1].Leads(1), qt.IsFalse)
		c.Assert(hosts[1].Leads(2), qt.IsTrue)
		hosts[1].Leave()
		synctest.Wait()
		c.Assert(hosts[0].Hosts(), qt.Equals, 3)
	})
}

// TestOnNewerVersion checks that OnNewerVersion is called with the address of a
// host that reports a newer configuration.
func TestOnNewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		addresses := make(chan string, 1024)
		network.start(t, "a", func(host *Exchange) {
			host.Versions = func() Versions { return Versions{Configuration: 7} }
		})
		network.start(t, "b", func(host *Exchange) {
			host.OnNewerVersion = func(address string) { addresses <- address }
		}, "a")
		time.Sleep(time.Second)
		c.Assert(<-addresses, qt.Equals, "a")
	})
}

// TestNewestConfiguration checks that a host knows the newest configuration that others
// have, as the platform may have come back from an older copy, and only while it hears them.
func TestNewestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		start := func(name string, version int64) *Exchange {
			return network.start(t, name, func(host *Exchange) {
				host.Versions = func() Versions { return Versions{Configuration: version} }
			}, "a")
		}
		start("a", 7)
		start("b", 3)
		host := start("c", 3)
		c.Assert(host.NewestConfiguration(), qt.Equals, int64(0))
		time.Sleep(time.Second)
		c.Assert(host.NewestConfiguration(), qt.Equals, int64(7))
		network.mutex.Lock()
		network.isolated["a"] = true
		network.mutex.Unlock()
		time.Sleep(relayedSilenceTimeout + time.Second)
		c.Assert(host.NewestConfiguration(), qt.Equals, int64(3))
	})
}

// TestOutdatedReportsAreDropped checks that reports that arrive after later ones,
// and those of an earlier incarnation, are dropped.
func TestOutdatedReportsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		receiver := newNetwork().start(t, "b", nil)
		receiveReport := func(incarnation, sequence uint64) {
			datagram, err := proto.Marshal(&exchangepb.Report{
				Host: "a", Address: "a", Life: incarnation, Sequence: sequence,
				Uses: []*exchangepb.Use{{Target: "t", Open: uint32(sequence)}},
			})
			c.Assert(err, qt.IsNil)
			receiver.Receive(datagram)
		}
		for _, step := range []struct{ incarnation, sequence, wantIncarnation, wantSequence uint64 }{
			{5, 2, 5, 2}, {5, 1, 5, 2}, {4, 9, 5, 2}, {6, 1, 6, 1}, {5, 3, 6, 1},
		} {
			receiveReport(step.incarnation, step.sequence)
			receiver.mutex.Lock()
			sender := *receiver.peers["a"]
			receiver.mutex.Unlock()
			c.Assert(sender.incarnation, qt.Equals, step.wantIncarnation)
			c.Assert(sender.sequence, qt.Equals, step.wantSequence)
		}
		receiver.Receive([]byte("noise"))
		// The host restarts after its clock was set back: its incarnation is lower.
		receiveReport(3, 1)
		c.Assert(receiver.Hosts(), qt.Equals, 2)
		time.Sleep(2 * time.Second)
		c.Assert(receiver.Hosts(), qt.Equals, 1)
		receiveReport(3, 2)
		c.Assert(receiver.Hosts(), qt.Equals, 2)
	})
}

// TestDatagramsOfAHostAreBounded guards against a datagram rate that grows with
// the number of hosts.
func TestDatagramsOfAHostAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		host := network.start(t, "a", nil)
		now := time.Now()
		host.mutex.Lock()
		for i := range 329 {
			address := "h" + string(rune(0x100+i))
			peer := host.addPeer(address)
			peer.alive, peer.lastReceived = true, now.Add(time.Hour)
		}
		host.mutex.Unlock()
		time.Sleep(10 * time.Second)
		network.mutex.Lock()
		defer network.mutex.Unlock()
		c.Assert(network.sent <= 11*maxDatagramsPerSecond, qt.IsTrue, qt.Commentf("%d", network.sent))
	})
}

// TestCutHostsKeepTheRetryBudget guards against hosts that don't hear each other and
// each take the shares of those that they don't hear, so that all together retry more
// often than the budget allows.
func TestCutHostsKeepTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const spare, window = 54, 10 * time.Second
		fleet := newSuspicionFleet(t, 8)
		time.Sleep(3 * time.Second)
		fleet.setCut(true)
		time.Sleep(2 * silenceTimeout)
		retries := 0
		for _, host := range fleet.hosts {
			c.Assert(host.Hosts(), qt.Equals, 4)
			budget := &budget.Budget{Window: window, Spare: spare, Hosts: host.SharingHosts, StartedAt: time.Now().Add(-2 * window)}
			for budget.Reserve("orders") != nil {
				retries++
			}
		}
		c.Assert(retries <= spare, qt.IsTrue, qt.Commentf("%d retries", retries))
		c.Assert(retries > spare/2, qt.IsTrue, qt.Commentf("%d retries", retries))
	})
}

// TestSilentSeedsAreForgotten guards against shares of what is limited for all hosts that
// are left to hosts of the configured list which are gone, or were never there.
func TestSilentSeedsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		names := []string{"a", "b", "c", "d", "planned1", "planned2"}
		var hosts []*Exchange
		for _, name := range names[:4] {
			hosts = append(hosts, network.start(t, name, nil, names...))
		}
		time.Sleep(3 * time.Second)
		c.Assert(hosts[0].Members().Known, qt.Equals, 6)
		c.Assert(hosts[0].SharingHosts(), qt.Equals, 6)
		network.mutex.Lock()
		network.isolated["c"], network.isolated["d"] = true, true
		network.mutex.Unlock()
		time.Sleep(peerRemovalTimeout / 2)
		c.Assert(hosts[0].Members().Known, qt.Equals, 6)
		time.Sleep(peerRemovalTimeout)
		c.Assert(hosts[0].Members().Known, qt.Equals, 2)
		c.Assert(hosts[0].SharingHosts(), qt.Equals, 2)
		network.mutex.Lock()
		clear(network.isolated)
		network.mutex.Unlock()
		time.Sleep(3 * time.Second)
		c.Assert(hosts[0].Members().Known, qt.Equals, 4)
		c.Assert(hosts[0].SharingHosts(), qt.Equals, 4)
	})
}

// TestEndedHostsShareNothing guards against parts of the limits of targets that are left,
// for a minute, to hosts whose processes have ended. Hosts that may only be cut off keep
// theirs.
func TestEndedHostsShareNothing(t *testing.T) {
	for _, test := range []struct {
		name string
		// err is the error of connections to silent hosts, nil for none.
		err  error
		want int
	}{
		{"ended", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, 4},
		{"unreachable", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ETIMEDOUT)}, 8},
		{"frozen", nil, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := newNetwork()
				names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
				dial := func(_ context.Context, _, address string) (net.Conn, error) {
					c.Check(slices.Contains(names, address), qt.IsTrue, qt.Commentf("%s was probed", address))
					client, server := net.Pipe()
					_ = server.Close()
					return client, test.err
				}
				var hosts []*Exchange
				for _, name := range names {
					host := network.start(t, name, func(host *Exchange) {
						host.Dial = dial
						host.Limiter = &limit.Limiter{Address: name, Members: host.Members, Events: host.Events}
						host.Limiter.Observe(1, 2, time.Now())
					}, names...)
					hosts = append(hosts, host)
					go func() { _ = host.RunProbes(t.Context()) }()
				}
				time.Sleep(3 * time.Second)
				c.Assert(hosts[0].Members().Known, qt.Equals, 8)
				network.mutex.Lock()
				for _, name := range names[4:] {
					network.isolated[name] = true
				}
				network.mutex.Unlock()
				time.Sleep(silenceTimeout + 2*probeInterval)
				c.Assert(hosts[0].Members().Others, qt.HasLen, 3)
				c.Assert(hosts[0].Members().Known, qt.Equals, test.want)
				network.mutex.Lock()
				clear(network.isolated)
				network.mutex.Unlock()
				time.Sleep(3 * time.Second)
				c.Assert(hosts[0].Members().Known, qt.Equals, 8)
			})
		})
	}
}

// quotaLimit is a quota of a workspace, quotaTolerance by how much it may be exceeded, and
// maxTaken what both allow in a window.
var (
	quotaLimit     = quota.Limit{Rate: 10_000, Burst: 10_000}
	quotaTolerance = quota.Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 14_000}
)

const maxTaken = (8*10_000+10_000)*1.1 + 14_000

// takeAll takes all that hosts allow of a quota in 8 s, and returns it.
func takeAll(hosts []*Exchange) int {
	taken := 0
	for range 800 {
		for _, host := range hosts {
			for host.Ledger.Take("clubs", 500).Allowed {
				taken += 500
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return taken
}

// startWithQuota starts hosts that share a quota.
func (network *network) startWithQuota(t *testing.T, count int, seeds ...string) []*Exchange {
	var hosts []*Exchange
	for i := range count {
		hosts = append(hosts, network.start(t, string(rune('a'+i)), func(host *Exchange) {
			host.Ledger.ExpectedPeers = host.KnownPeers
			host.Ledger.SetLimits(map[string]quota.Limit{"clubs": quotaTolerance.Bucket(quotaLimit)})
		}, seeds...))
	}
	return hosts
}

// TestHostsWithoutSeeds guards against hosts whose seeds are all down, so that none hears another,
// and which each use a quota as if they were the only one.
func TestHostsWithoutSeeds(t *testing.T) {
	for name, count := range map[string]int{"few": 3, "asManyAsSeeds": 4, "many": 9} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				hosts := newNetwork().startWithQuota(t, count, "down1", "down2", "down3")
				for _, wait := range []time.Duration{10 * time.Second, peerRemovalTimeout, 3 * time.Minute} {
					time.Sleep(wait)
					taken := takeAll(hosts)
					c.Check(taken <= maxTaken, qt.IsTrue, qt.Commentf("%d hosts, after %s: %d units", count, wait, taken))
				}
			})
		})
	}
}

// TestFirstHostHeardReplacesSeeds checks that a host which has heard none for long uses the whole
// quota with the first one that it hears, and not with its seeds.
func TestFirstHostHeardReplacesSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := newNetwork()
		hosts := network.startWithQuota(t, 1, "b", "down1", "down2")
		time.Sleep(10 * time.Minute)
		c.Assert(hosts[0].SharingHosts(), qt.Equals, 4)
		c.Assert(slices.ContainsFunc(hosts[0].Events.Events(), func(event timeline.Event) bool { return event.Number == 6109 }), qt.IsTrue)
		network.start(t, "b", nil, "down1")
		time.Sleep(10 * time.Second)
		c.Assert(hosts[0].SharingHosts(), qt.Equals, 2)
		taken := takeAll(hosts)
		c.Assert(taken >= 80_000, qt.IsTrue, qt.Commentf("%d units", taken))
	})
}

// TestHostsCutOffForMinutes guards against hosts that heard each other, are cut off from each
// other for minutes, and then each use a quota as if they were the only one.
func TestHostsCutOffForMinutes(t *testing.T) {
	for name, cut := range map[string]time.Duration{"short": 30 * time.Second, "long": 3 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := newNetwork()
				hosts := network.startWithQuota(t, 7, "a")
				time.Sleep(10 * time.Second)
				network.mutex.Lock()
				for _, host := range hosts {
					network.isolated[host.Host] = true
				}
				network.mutex.Unlock()
				time.Sleep(cut)
				taken := takeAll(hosts)
				c.Assert(taken <= maxTaken, qt.IsTrue, qt.Commentf("cut off for %s: %d units", cut, taken))
			})
		})
	}
}
