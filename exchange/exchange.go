// Package exchange tells the other hosts, by datagrams, what this host uses
// of all that hosts share, and takes their word. A report holds the whole, so
// that lost ones need no repeating.
package exchange

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

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
	// deadAfter is how long a host may go unheard before it is taken to be
	// down or cut off.
	deadAfter = time.Second
	// forgetAfter is how long the address of an unheard host is tried.
	forgetAfter = time.Minute
	// retryEvery is how many rounds pass between two reports to a host that
	// is not heard.
	retryEvery = 10
	// reportDelay is how long a report may be on its way.
	reportDelay = 20 * time.Millisecond
	// tellPeers is how many addresses of other hosts a report names.
	tellPeers = 16
)

// Events of this package.
var (
	eventHeard = timeline.Define(timeline.Kind{
		Number: 6101, Name: "host heard", Level: timeline.Info,
		Meaning: "The reports of another host arrive, for the first time or again.",
	})
	eventSilent = timeline.Define(timeline.Kind{
		Number: 6102, Name: "host silent", Level: timeline.Warn,
		Meaning: "The reports of another host do not arrive any more; it is down or cut off.",
	})
	eventLeft = timeline.Define(timeline.Kind{
		Number: 6103, Name: "host left", Level: timeline.Info,
		Meaning: "Another host said that it shuts down.",
	})
)

// Exchange sends and takes reports. Fields are set before Run.
type Exchange struct {
	// Host is this host's id, Life higher in each of its lives.
	Host string
	Life uint64
	// Address is where other hosts reach this one, Zone where it stands.
	Address string
	Zone    string
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

	mutex    sync.Mutex
	peers    map[string]*neighbour
	sequence uint64
	round    uint64
	leaving  bool
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

// neighbour is another host, by its address.
type neighbour struct {
	host     string
	zone     string
	life     uint64
	sequence uint64
	heard    time.Time
	added    time.Time
	alive    bool
}

// Run reports until the context ends, and then says farewell.
func (exchange *Exchange) Run(ctx context.Context) error {
	for _, seed := range exchange.Seeds {
		exchange.Meet(seed)
	}
	for {
		exchange.report()
		timer := time.NewTimer(exchange.Interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			exchange.Leave()
			return nil
		case <-timer.C:
		}
	}
}

// Interval is the time between two reports to a host.
func (exchange *Exchange) Interval() time.Duration {
	return max(leastInterval, time.Second*time.Duration(exchange.Hosts())/datagramsPerSecond)
}

// Leave tells the others that this host shuts down.
func (exchange *Exchange) Leave() {
	exchange.mutex.Lock()
	exchange.leaving = true
	exchange.mutex.Unlock()
	exchange.report()
}

// Hosts is the number of hosts that are heard, with this one.
func (exchange *Exchange) Hosts() int {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	hosts := 1
	for _, peer := range exchange.peers {
		if peer.alive {
			hosts++
		}
	}
	return hosts
}

// Meet adds the address of a host.
func (exchange *Exchange) Meet(address string) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.meet(address)
}

func (exchange *Exchange) meet(address string) *neighbour {
	if address == exchange.Address || address == "" {
		return nil
	}
	if exchange.peers == nil {
		exchange.peers = map[string]*neighbour{}
	}
	known := exchange.peers[address]
	if known == nil {
		known = &neighbour{added: time.Now()}
		exchange.peers[address] = known
	}
	return known
}

// Leads reports whether this host is one of a number of hosts of its zone that
// do what one host can do for all; hosts may differ on it for a while.
func (exchange *Exchange) Leads(number int) bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	before := 0
	for _, peer := range exchange.peers {
		if peer.alive && peer.zone == exchange.Zone && peer.host < exchange.Host {
			before++
		}
	}
	return before < number
}

// alive returns the addresses of the hosts that are heard.
func (exchange *Exchange) alive() []string {
	var addresses []string
	for address, peer := range exchange.peers {
		if peer.alive {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// report sends one report to each host.
func (exchange *Exchange) report() {
	use := exchange.Balancer.Report()
	spends := exchange.Ledger.Report()
	known := exchange.Known()
	exchange.mutex.Lock()
	exchange.age()
	exchange.sequence++
	exchange.round++
	message := &exchangepb.Report{
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
		Peers:         exchange.some(),
		VerifiedMs:    uint32(min(time.Since(known.Verified).Milliseconds(), math.MaxUint32)),
	}
	var addresses []string
	for address, peer := range exchange.peers {
		if peer.alive || exchange.round%retryEvery == 0 {
			addresses = append(addresses, address)
		}
	}
	exchange.mutex.Unlock()
	datagram, err := proto.Marshal(message)
	if err != nil {
		// Only text that is not UTF-8 can't be written; names are checked.
		return
	}
	for _, address := range addresses {
		exchange.Send(address, datagram)
	}
}

// some returns the addresses of hosts, others each time.
func (exchange *Exchange) some() []string {
	alive := exchange.alive()
	if len(alive) <= tellPeers {
		return alive
	}
	first := int(exchange.round) * tellPeers % len(alive)
	return append(alive[first:], alive[:first]...)[:tellPeers]
}

// age notes hosts that are not heard any more.
func (exchange *Exchange) age() {
	now := time.Now()
	for address, peer := range exchange.peers {
		if peer.alive && now.Sub(peer.heard) > deadAfter {
			peer.alive = false
			exchange.Events.Record(eventSilent, timeline.Event{Peer: peer.host, Detail: address})
		}
		last := peer.heard
		if last.IsZero() {
			last = peer.added
		}
		if !peer.alive && now.Sub(last) > forgetAfter && !slices.Contains(exchange.Seeds, address) {
			delete(exchange.peers, address)
		}
	}
}

// Receive takes a datagram.
func (exchange *Exchange) Receive(datagram []byte) {
	message := &exchangepb.Report{}
	if err := proto.Unmarshal(datagram, message); err != nil || message.GetAddress() == "" {
		// Not from a host of this system.
		return
	}
	if !exchange.accept(message) {
		return
	}
	if message.GetLeaving() {
		exchange.Balancer.Lost(message.GetHost())
		exchange.Ledger.Ended(message.GetHost())
		return
	}
	exchange.Balancer.Heard(&balance.Report{
		Host:   message.GetHost(),
		Uses:   usesIn(message.GetUses()),
		Queues: queuesIn(message.GetQueues()),
		Speeds: speedsIn(message.GetSpeeds()),
	})
	exchange.Ledger.Heard(message.GetHost(), message.GetLife(), spendsIn(message.GetSpends()))
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
	if message.GetHost() == exchange.Host {
		return false
	}
	peer := exchange.meet(message.GetAddress())
	if peer == nil || peer.life > message.GetLife() || peer.life == message.GetLife() && peer.sequence >= message.GetSequence() {
		return false
	}
	if !peer.alive && !message.GetLeaving() {
		exchange.Events.Record(eventHeard, timeline.Event{Peer: message.GetHost(), Detail: message.GetAddress()})
	}
	if message.GetLeaving() && peer.alive {
		exchange.Events.Record(eventLeft, timeline.Event{Peer: message.GetHost(), Detail: message.GetAddress()})
	}
	peer.host = message.GetHost()
	peer.zone = message.GetZone()
	peer.life = message.GetLife()
	peer.sequence = message.GetSequence()
	peer.heard = time.Now()
	peer.alive = !message.GetLeaving()
	for _, address := range message.GetPeers() {
		exchange.meet(address)
	}
	return true
}
