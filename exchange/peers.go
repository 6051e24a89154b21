package exchange

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"time"

	"nutmegfield.example/limit"
	"nutmegfield.example/timeline"
)

const (
	// A host is silent if it has sent nothing for silenceTimeout, or for
	// relayedSilenceTimeout while reports arrive by summaries.
	silenceTimeout        = time.Second
	relayedSilenceTimeout = 2 * time.Second
	// The time for which reports are sent to the address of a silent host.
	peerRemovalTimeout = time.Minute
	// The maximum number of addresses of other hosts in a report.
	maxReportedPeers = 16
)

// Events of peers.
var (
	eventReporting = timeline.Define(timeline.Kind{
		Number: 6101, Name: "host reporting", Level: timeline.Info,
		Meaning: "Reports of another host arrive, for the first time or after a silence.",
	})
	eventSilent = timeline.Define(timeline.Kind{
		Number: 6102, Name: "host silent", Level: timeline.Warn,
		Meaning: "Reports of another host no longer arrive; it is down or unreachable.",
	})
	eventLeft = timeline.Define(timeline.Kind{
		Number: 6103, Name: "host left", Level: timeline.Info,
		Meaning: "Another host reported that it is shutting down.",
	})
	eventAlone = timeline.Define(timeline.Kind{
		Number: 6109, Name: "no host heard", Level: timeline.Warn,
		Meaning: "This host has heard no other one for a minute since its start, though seeds are set. Others may run that it can't know, so it goes on with its part of the quotas, of the retry budget and of connections to targets, as one of as many hosts as the fact sharing says.",
		Action:  "start one of the seeds, or set seeds that run",
	})
)

// peer is another host.
type peer struct {
	host         string
	zone         string
	incarnation  uint64
	sequence     uint64
	lastReceived time.Time
	addedAt      time.Time
	alive        bool
	// hasLeft is set if the host reported that it was shutting down.
	hasLeft bool
	// hasEnded is set if the host is silent and its machine refused a connection to it.
	hasEnded bool
	link     uint32
	// forwards is set if the host sends requests for others, and unreached holds the pools
	// of which it reaches no target itself.
	forwards  bool
	unreached []string
	// direct is set if the host has reported since the last round, and sends its
	// reports to each host that it knows.
	direct bool
	// rank is the number of live hosts before it in the order of its zone.
	rank int
}

// heartbeat is the evidence that a host is alive, taken from the host's own report
// or from its entry in a summary.
type heartbeat struct {
	host, address, zone   string
	incarnation, sequence uint64
	link                  uint32
	leaving, direct       bool
	forwards              bool
	unreached             []string
}

// Hosts returns the number of hosts that are not silent, including this one.
func (exchange *Exchange) Hosts() int {
	return 1 + int(exchange.livePeers.Load())
}

// KnownPeers returns the number of other hosts that are not silent or have not been for
// longer than peerRemovalTimeout. Until this host has heard another one, its seeds stand for the
// hosts that it can't know: these may run, and not hear each other either.
func (exchange *Exchange) KnownPeers() int { return int(exchange.knownPeers.Load()) }

// SharingHosts returns the number of hosts that share what is limited for all together:
// this one and its known peers. Silent ones may only be cut off from this one and use their
// shares.
func (exchange *Exchange) SharingHosts() int { return 1 + exchange.KnownPeers() }

// AddPeer adds the address of a host, unless it is known or this host's own.
// Reports are then sent to it.
func (exchange *Exchange) AddPeer(address string) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	exchange.addPeer(address)
}

func (exchange *Exchange) addPeer(address string) *peer {
	if address == exchange.Address || address == "" {
		return nil
	}
	if exchange.peers == nil {
		exchange.peers = map[string]*peer{}
	}
	entry := exchange.peers[address]
	if entry == nil && len(exchange.peers) >= maxKnownPeers {
		return nil
	}
	if entry == nil {
		entry = &peer{addedAt: time.Now()}
		exchange.peers[address] = entry
		exchange.knownPeers.Add(1)
	}
	return entry
}

// Leads reports whether this host is among the first count hosts in the order of
// its zone, which do work that not all hosts need to do. Hosts may disagree on the
// order until they have received the same reports.
func (exchange *Exchange) Leads(count int) bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	return exchange.leads(count)
}

func (exchange *Exchange) leads(count int) bool { return exchange.rank < count }

// ZoneHosts returns the number of hosts of this host's zone that are not silent, including
// this one.
func (exchange *Exchange) ZoneHosts() int { return max(1, int(exchange.liveZoneHosts.Load())) }

// share is the result of Share.
type share struct{ index, count int }

// Share returns this host's place in the order of the known hosts that did not leave or end,
// from 0 on, and their number. Hosts may disagree until they have received the same reports.
func (exchange *Exchange) Share() (index, count int) {
	if share := exchange.share.Load(); share != nil {
		return share.index, share.count
	}
	return 0, 1
}

// Turn returns the number of hosts that are not silent before this one in the order of all.
// Hosts may disagree on the order until they have received the same reports.
func (exchange *Exchange) Turn() int { return int(exchange.turn.Load()) }

// Succession returns the number of hosts that are not silent before this one in the order in which
// hosts take over what one does for all: the first of each zone, then the second of each. Hosts may
// disagree on the order until they have received the same reports.
func (exchange *Exchange) Succession() int { return int(exchange.succession.Load()) }

// Lives returns what identifies the lives of the hosts that are not silent, one from a start to the end
// of a host, including that of this one.
func (exchange *Exchange) Lives() []uint32 {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	lives := []uint32{newLife(exchange.Host, exchange.Incarnation)}
	for _, peer := range exchange.peers {
		if peer.alive {
			lives = append(lives, newLife(peer.host, peer.incarnation))
		}
	}
	return lives
}

func newLife(host string, incarnation uint64) uint32 {
	hash := fnv.New32a()
	// Writes to a hash don't fail.
	_, _ = io.WriteString(hash, host)
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, incarnation))
	return hash.Sum32()
}

// ZoneLeader returns the address of the first host in the order of this host's zone, empty if
// that is this host.
func (exchange *Exchange) ZoneLeader() string {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if exchange.leads(1) {
		return ""
	}
	for address, peer := range exchange.peers {
		if peer.alive && peer.zone == exchange.Zone && peer.rank == 0 {
			return address
		}
	}
	return ""
}

// MissesZone reports whether all hosts of some zone are silent that this host has heard
// of within peerRemovalTimeout.
func (exchange *Exchange) MissesZone() bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	isAlive := map[string]bool{exchange.Zone: true}
	for _, peer := range exchange.peers {
		if peer.host != "" && !peer.hasLeft {
			isAlive[peer.zone] = isAlive[peer.zone] || peer.alive
		}
	}
	for _, alive := range isAlive {
		if !alive {
			return true
		}
	}
	return false
}

// compare orders hosts by the bandwidth of their links, the widest first, then by
// id. The first hosts of a zone lead it.
func (peer *peer) compare(other *peer) int {
	return cmp.Or(cmp.Compare(other.link, peer.link), cmp.Compare(peer.host, other.host))
}

// livePeerAddresses returns the addresses of the peers that are not silent,
// sorted.
func (exchange *Exchange) livePeerAddresses() []string {
	var addresses []string
	for address, peer := range exchange.peers {
		if peer.alive {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// reportedPeers returns the addresses of peers to include in a report, in turn if
// there are more than maxReportedPeers.
func (exchange *Exchange) reportedPeers() []string {
	alive := exchange.livePeerAddresses()
	if len(alive) <= maxReportedPeers {
		return alive
	}
	first := int(exchange.round) * maxReportedPeers % len(alive)
	return append(alive[first:], alive[:first]...)[:maxReportedPeers]
}

// expirePeers marks peers as silent and removes those that were silent for
// peerRemovalTimeout, except seeds.
func (exchange *Exchange) expirePeers() {
	now := time.Now()
	for address, peer := range exchange.peers {
		if peer.alive && now.Sub(peer.lastReceived) > exchange.silenceTimeout() {
			peer.alive = false
			exchange.Events.Record(eventSilent, timeline.Event{Peer: peer.host, Detail: address})
		}
		if !peer.isKnown(now) && !slices.Contains(exchange.Seeds, address) {
			delete(exchange.peers, address)
		}
		if !exchange.hasHeard && !exchange.isAlone && !peer.isKnown(now) {
			exchange.isAlone = true
			exchange.Events.Record(eventAlone, timeline.Event{Facts: []timeline.Fact{timeline.Count("sharing", exchange.SharingHosts())}})
		}
	}
	exchange.rankHosts()
}

// isKnown reports whether the peer is alive, or may be: it was not silent for longer than
// peerRemovalTimeout, nor is it that long since its address was added.
func (peer *peer) isKnown(now time.Time) bool {
	last := peer.lastReceived
	if last.IsZero() {
		last = peer.addedAt
	}
	return peer.alive || now.Sub(last) <= peerRemovalTimeout
}

// mayRun reports whether the peer is known and did not leave or end.
func (peer *peer) mayRun(now time.Time) bool {
	return peer.isKnown(now) && !peer.hasLeft && !peer.hasEnded
}

// silenceTimeout returns the time without a report after which a host is
// silent.
func (exchange *Exchange) silenceTimeout() time.Duration {
	if exchange.usesSummaries() {
		return relayedSilenceTimeout
	}
	return silenceTimeout
}

// rankHosts counts the live hosts, ranks those of each zone, and updates the report
// interval.
func (exchange *Exchange) rankHosts() {
	own := &peer{host: exchange.Host, zone: exchange.Zone, link: exchange.Link}
	hosts := []*peer{own}
	for _, peer := range exchange.peers {
		if peer.alive {
			hosts = append(hosts, peer)
		}
	}
	slices.SortFunc(hosts, (*peer).compare)
	zoneCounts := map[string]int{}
	for _, host := range hosts {
		host.rank = zoneCounts[host.zone]
		zoneCounts[host.zone]++
	}
	exchange.turn.Store(int64(slices.Index(hosts, own)))
	slices.SortStableFunc(hosts, func(one, other *peer) int { return cmp.Compare(one.rank, other.rank) })
	exchange.succession.Store(int64(slices.Index(hosts, own)))
	exchange.rank, exchange.zoneHosts = own.rank, zoneCounts[exchange.Zone]
	exchange.livePeers.Store(int64(len(hosts) - 1))
	exchange.liveZoneHosts.Store(int64(exchange.zoneHosts))
	exchange.interval.Store(int64(exchange.propagationInterval()))
	members := &limit.Members{
		Others: exchange.livePeerAddresses(), Zones: map[string]string{exchange.Address: exchange.Zone}, Known: 1,
	}
	now, knownPeers, place := time.Now(), 0, 0
	for address, peer := range exchange.peers {
		if peer.mayRun(now) && address < exchange.Address {
			place++
		}
		if peer.alive {
			members.Zones[address] = peer.zone
		}
		if !peer.isKnown(now) && exchange.hasHeard {
			continue
		}
		knownPeers++
		if peer.mayRun(now) {
			members.Known++
		}
	}
	exchange.knownPeers.Store(int64(knownPeers))
	exchange.share.Store(&share{index: place, count: members.Known})
	if exchange.Rollouts != nil {
		exchange.updateOrder(hosts, own, members.Known)
	}
	before := exchange.members.Load()
	if before == nil || before.Known != members.Known || !slices.Equal(before.Others, members.Others) || !maps.Equal(before.Zones, members.Zones) {
		exchange.members.Store(members)
	}
}

// recordHeartbeat updates the peer that a heartbeat belongs to. It reports
// whether the heartbeat is newer than the previous ones.
func (exchange *Exchange) recordHeartbeat(heartbeat heartbeat) bool {
	if heartbeat.host == exchange.Host {
		return false
	}
	entry := exchange.addPeer(heartbeat.address)
	// A host that restarts after its clock was set back has a lower incarnation; it
	// is accepted once the previous one is silent.
	if entry == nil || entry.incarnation > heartbeat.incarnation && entry.alive ||
		entry.incarnation == heartbeat.incarnation && entry.sequence >= heartbeat.sequence {
		return false
	}
	wasAlive := entry.alive
	exchange.hasHeard = true
	*entry = peer{
		host: heartbeat.host, zone: heartbeat.zone, incarnation: heartbeat.incarnation, sequence: heartbeat.sequence,
		lastReceived: time.Now(), addedAt: entry.addedAt, alive: !heartbeat.leaving, hasLeft: heartbeat.leaving,
		link: heartbeat.link, direct: heartbeat.direct, rank: entry.rank,
		forwards: heartbeat.forwards, unreached: heartbeat.unreached,
	}
	if wasAlive == entry.alive {
		return true
	}
	event := eventReporting
	if heartbeat.leaving {
		event = eventLeft
	} else {
		exchange.Suspects.RepeatAll()
	}
	exchange.Events.Record(event, timeline.Event{Peer: heartbeat.host, Detail: heartbeat.address})
	exchange.rankHosts()
	return true
}
