package exchange

import (
	"cmp"
	"slices"
	"time"

	"nutmegfield.example/timeline"
)

const (
	// deadAfter is how long a host may go unheard before it is taken to be
	// down or cut off, deadRelayed among hosts that hear of each other by
	// summaries.
	deadAfter   = time.Second
	deadRelayed = 2 * time.Second
	// forgetAfter is how long the address of an unheard host is tried.
	forgetAfter = time.Minute
	// tellPeers is how many addresses of other hosts a report names.
	tellPeers = 16
)

// Events of this file.
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

// neighbour is another host, by its address.
type neighbour struct {
	host     string
	zone     string
	life     uint64
	sequence uint64
	heard    time.Time
	added    time.Time
	alive    bool
	link     uint32
	// direct tells that it reported since the last round, to each host that it
	// knows.
	direct bool
	// place is how many hosts that are heard come before it in its zone.
	place int
}

// sign is what shows that a host lives: a report of its own, or its place in a
// summary.
type sign struct {
	host, address, zone string
	life, sequence      uint64
	link                uint32
	leaving, direct     bool
}

// Hosts is the number of hosts that are heard, with this one.
func (exchange *Exchange) Hosts() int {
	return 1 + int(exchange.heard.Load())
}

// KnownPeers is the number of other hosts whose addresses are known, heard or not.
func (exchange *Exchange) KnownPeers() int { return int(exchange.met.Load()) }

// AddPeer adds the address of a host.
func (exchange *Exchange) AddPeer(address string) {
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
		exchange.met.Store(int64(len(exchange.peers)))
	}
	return known
}

// Leads reports whether this host is one of a number of hosts of its zone that
// do what one host can do for all; hosts may differ on it for a while.
func (exchange *Exchange) Leads(number int) bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	return exchange.leads(number)
}

func (exchange *Exchange) leads(number int) bool { return exchange.place < number }

// compare orders hosts: those with wider links lead their zone.
func (neighbour *neighbour) compare(other *neighbour) int {
	return cmp.Or(cmp.Compare(other.link, neighbour.link), cmp.Compare(neighbour.host, other.host))
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
		if peer.alive && now.Sub(peer.heard) > exchange.deadAfter() {
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
	exchange.recount()
}

// deadAfter is how long a host may go unheard.
func (exchange *Exchange) deadAfter() time.Duration {
	if exchange.relayed() {
		return deadRelayed
	}
	return deadAfter
}

// recount counts the hosts that are heard and puts those of each zone in order.
func (exchange *Exchange) recount() {
	own := &neighbour{host: exchange.Host, zone: exchange.Zone, link: exchange.Link}
	hosts := []*neighbour{own}
	for _, peer := range exchange.peers {
		if peer.alive {
			hosts = append(hosts, peer)
		}
	}
	slices.SortFunc(hosts, (*neighbour).compare)
	inZone := map[string]int{}
	for _, host := range hosts {
		host.place = inZone[host.zone]
		inZone[host.zone]++
	}
	exchange.place, exchange.zoneHosts = own.place, inZone[exchange.Zone]
	exchange.heard.Store(int64(len(hosts) - 1))
	exchange.met.Store(int64(len(exchange.peers)))
	exchange.interval.Store(int64(exchange.wordInterval()))
}

// note takes a sign of a host's life and reports whether it is its newest.
func (exchange *Exchange) note(sign sign) bool {
	if sign.host == exchange.Host {
		return false
	}
	peer := exchange.meet(sign.address)
	// A host that starts again after its clock was set back has a lower life;
	// it is taken once the life before it is not heard any more.
	if peer == nil || peer.life > sign.life && peer.alive || peer.life == sign.life && peer.sequence >= sign.sequence {
		return false
	}
	was := peer.alive
	*peer = neighbour{
		host: sign.host, zone: sign.zone, life: sign.life, sequence: sign.sequence,
		heard: time.Now(), added: peer.added, alive: !sign.leaving, link: sign.link,
		direct: sign.direct, place: peer.place,
	}
	if was == peer.alive {
		return true
	}
	event := eventHeard
	if sign.leaving {
		event = eventLeft
	}
	exchange.Events.Record(event, timeline.Event{Peer: sign.host, Detail: sign.address})
	exchange.recount()
	return true
}
