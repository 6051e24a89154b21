// Package exchange tells the other hosts, by datagrams, what this host uses
// of all that hosts share, and takes their word. A report holds the whole, so
// that lost ones need no repeating. A few hosts report to each other; many
// report to the leaders of their zone, which pass on the sums.
package exchange

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/quota"
	"nutmegfield.example/timeline"
)

const (
	// leastInterval is the time between two reports to a host while there are
	// few hosts: a report is as old as the time in which a few requests end.
	leastInterval = 25 * time.Millisecond
	// datagramsPerSecond bounds the reports that a host sends.
	datagramsPerSecond = 400
	// retryEvery is how many rounds pass between two reports to a host that
	// is not heard; in the first eagerRounds there is one in each, as hosts that
	// start together have to find each other.
	retryEvery  = 10
	eagerRounds = 40
	// reportDelay is how long a report may be on its way.
	reportDelay = 20 * time.Millisecond
)

// Exchange sends and takes reports. Fields are set before Run.
type Exchange struct {
	// Host is this host's id, Life higher in each of its lives.
	Host string
	Life uint64
	// Address is where other hosts reach this one, Zone where it stands.
	Address string
	Zone    string
	// Link is the width of its link in Mbit/s.
	Link uint32
	// Seeds are the addresses that are tried at first.
	Seeds  []string
	Events *timeline.Recorder
	// Send sends a datagram; one that can't be sent is lost.
	Send func(address string, datagram []byte)

	Balancer *balance.Balancer
	Ledger   *quota.Ledger
	// Known returns what is known here of the platform's objects.
	Known func() Known
	// Verify is told that another host had seen the version in force here to
	// be the newest at a time.
	Verify func(version int64, at time.Time)
	// Newer is told the address of a host that knows more.
	Newer func(address string)

	// heard is how many other hosts are heard, met how many have a known
	// address, interval the time between two words of a host.
	heard    atomic.Int64
	met      atomic.Int64
	interval atomic.Int64

	mutex sync.Mutex
	peers map[string]*neighbour
	// place is how many hosts come before this one in its zone, of zoneHosts.
	place     int
	zoneHosts int
	sequence  uint64
	round     uint64
	leaving   bool
	relay     relay
}

// Known is how much a host knows of the platform's objects.
type Known struct {
	// Configuration is the version in force, Verified when the platform was
	// last seen, by any host, to hold no newer one.
	Configuration int64
	Verified      time.Time
	// Changed is the revision of the last change of the targets that was
	// seen, At the one up to which the host knows all changes.
	Changed int64
	At      int64
}

// Run reports until the context ends, and then says farewell.
func (exchange *Exchange) Run(ctx context.Context) error {
	for _, seed := range exchange.Seeds {
		exchange.Meet(seed)
	}
	for {
		timer := time.NewTimer(exchange.report())
		select {
		case <-ctx.Done():
			timer.Stop()
			exchange.Leave()
			return nil
		case <-timer.C:
		}
	}
}

// Interval is the time between two words of a host as the others hear them.
func (exchange *Exchange) Interval() time.Duration {
	return max(leastInterval, time.Duration(exchange.interval.Load()))
}

// Lag is the time until the other hosts have heard what one does, 0 if there
// are none.
func (exchange *Exchange) Lag() time.Duration {
	if exchange.Hosts() == 1 {
		return 0
	}
	return exchange.Interval() + reportDelay
}

// Late reports whether words come by summaries: later than others may act on
// the same state.
func (exchange *Exchange) Late() bool { return exchange.relayed() }

// wordInterval is the time that Interval returns.
func (exchange *Exchange) wordInterval() time.Duration {
	if exchange.relayed() {
		return exchange.roundInterval() * (1 + 2*summaryRounds)
	}
	return exchange.roundInterval()
}

// roundInterval is the time between two reports of this host.
func (exchange *Exchange) roundInterval() time.Duration {
	if exchange.relayed() {
		return max(relayInterval, time.Second*time.Duration(exchange.zoneHosts)/datagramsPerSecond)
	}
	return max(leastInterval, time.Second*time.Duration(exchange.Hosts())/datagramsPerSecond)
}

// Leave tells the others that this host shuts down.
func (exchange *Exchange) Leave() {
	exchange.mutex.Lock()
	exchange.leaving = true
	exchange.mutex.Unlock()
	exchange.report()
}

// delivery is a report and the addresses that get it.
type delivery struct {
	report    *exchangepb.Report
	addresses []string
}

// report sends a round of reports and returns the time to the next one.
func (exchange *Exchange) report() time.Duration {
	use := exchange.Balancer.Report()
	spends := exchange.Ledger.Report()
	known := exchange.Known()
	exchange.mutex.Lock()
	exchange.age()
	exchange.round++
	compose := func(summaries ...*exchangepb.Summary) *exchangepb.Report {
		return exchange.compose(use, spends, known, summaries)
	}
	deliveries := exchange.deliveries(compose)
	next := exchange.roundInterval()
	exchange.mutex.Unlock()
	for _, delivery := range deliveries {
		datagram, err := encode(delivery.report)
		if err != nil {
			// Only text that is not UTF-8 can't be written; names are checked.
			continue
		}
		for _, address := range delivery.addresses {
			exchange.Send(address, datagram)
		}
	}
	return next
}

// compose makes a report, which is numbered.
func (exchange *Exchange) compose(use *balance.Report, spends []quota.Spend, known Known, summaries []*exchangepb.Summary) *exchangepb.Report {
	exchange.sequence++
	exchange.relay.sent(exchange.sequence, use)
	report := &exchangepb.Report{
		Host:          exchange.Host,
		Life:          exchange.Life,
		Sequence:      exchange.sequence,
		Address:       exchange.Address,
		Zone:          exchange.Zone,
		Leaving:       exchange.leaving,
		Configuration: known.Configuration,
		Targets:       known.Changed,
		Uses:          usesOut(use.Uses),
		Queues:        queuesOut(use.Queues),
		Speeds:        speedsOut(use.Speeds),
		Spends:        spendsOut(spends),
		VerifiedMs:    uint32(min(time.Since(known.Verified).Milliseconds(), math.MaxUint32)),
		Summaries:     summaries,
		Link:          exchange.Link,
		Direct:        !exchange.relayed(),
	}
	if len(summaries) == 0 {
		report.Peers = exchange.some()
	}
	return report
}

// deliveries returns the reports of a round. Compose makes a report with some
// summaries.
func (exchange *Exchange) deliveries(compose func(...*exchangepb.Summary) *exchangepb.Report) []delivery {
	lost := exchange.round%retryEvery == 0 || exchange.round < eagerRounds
	plain := exchange.addresses(func(peer *neighbour) bool {
		if !peer.alive {
			return lost
		}
		return exchange.leaving || !exchange.relayed() || exchange.leader(peer) || exchange.owed(peer)
	})
	report := compose()
	deliveries := []delivery{{report: report, addresses: plain}}
	if !exchange.relayed() || exchange.leaving || !exchange.leads(zoneLeaders) {
		return deliveries
	}
	exchange.relay.join(report)
	return append(deliveries, exchange.summaries(compose)...)
}

// addresses returns those of some hosts.
func (exchange *Exchange) addresses(wanted func(*neighbour) bool) []string {
	var addresses []string
	for address, peer := range exchange.peers {
		if wanted(peer) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Receive takes a datagram.
func (exchange *Exchange) Receive(datagram []byte) {
	message, err := decode(datagram)
	if err != nil || message.GetAddress() == "" {
		// Not from a host of this system.
		return
	}
	if !exchange.accept(message) {
		return
	}
	if message.GetLeaving() {
		exchange.Balancer.RemoveHost(message.GetHost())
		exchange.Ledger.Ended(message.GetHost())
		return
	}
	exchange.Ledger.Heard(message.GetHost(), message.GetLife(), spendsIn(message.GetSpends()))
	if !exchange.summarised(message.GetZone()) {
		exchange.Balancer.ReceiveReport(&balance.Report{
			Host:   message.GetHost(),
			Uses:   usesIn(message.GetUses()),
			Queues: queuesIn(message.GetQueues()),
			Speeds: speedsIn(message.GetSpeeds()),
		})
	}
	for _, summary := range message.GetSummaries() {
		exchange.takeSummary(summary)
	}
	known := exchange.Known()
	if message.GetConfiguration() == known.Configuration {
		age := time.Duration(message.GetVerifiedMs())*time.Millisecond + reportDelay
		exchange.Verify(known.Configuration, time.Now().Add(-age))
	}
	if message.GetConfiguration() > known.Configuration || message.GetTargets() > known.At {
		exchange.Newer(message.GetAddress())
	}
}

// accept notes the sender and reports whether the report is its newest.
func (exchange *Exchange) accept(message *exchangepb.Report) bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	newest := exchange.note(sign{
		host: message.GetHost(), address: message.GetAddress(), zone: message.GetZone(),
		life: message.GetLife(), sequence: message.GetSequence(), link: message.GetLink(), leaving: message.GetLeaving(),
		direct: message.GetDirect(),
	})
	if !newest {
		return false
	}
	for _, address := range message.GetPeers() {
		exchange.meet(address)
	}
	if message.GetZone() == exchange.Zone {
		exchange.relay.join(message)
	}
	return true
}
