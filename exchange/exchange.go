// Package exchange sends this host's use of shared resources to the other hosts
// by datagrams, and applies the reports of others. Each report holds the full
// state, so that lost ones needn't be sent again. A few hosts report to each
// other; many report to the leaders of their zone, which send summaries.
package exchange

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/discovery"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/limit"
	"nutmegfield.example/origin"
	"nutmegfield.example/quarantine"
	"nutmegfield.example/quota"
	"nutmegfield.example/rollout"
	"nutmegfield.example/timeline"
)

const (
	// The time between two reports to a host while there are few hosts: only a few
	// requests end before the next report.
	minReportInterval = 25 * time.Millisecond
	// Bounds the rate at which a host sends reports.
	maxDatagramsPerSecond = 400
	// Silent hosts get a report in one of silentPeerRounds rounds, and in each of
	// the first startupRounds, as hosts that start together have to discover each
	// other.
	silentPeerRounds = 10
	startupRounds    = 40
	// The assumed time from sending a report until it is received.
	reportDelay = 20 * time.Millisecond
)

// Exchange sends and receives reports. Exported fields are set before Run.
type Exchange struct {
	// Host is this host's id. Incarnation is higher after each start, unless the
	// clock was set back.
	Host        string
	Incarnation uint64
	// Address is the address at which other hosts reach this one, Zone its
	// availability zone.
	Address string
	Zone    string
	// Link is the bandwidth of the host's network link in Mbit/s.
	Link uint32
	// Seeds are the addresses of hosts to contact at the start.
	Seeds  []string
	Events *timeline.Recorder
	// Send sends a datagram; it drops those that can't be sent.
	Send func(address string, datagram []byte)
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	Balancer *balance.Balancer
	Ledger   *quota.Ledger
	Suspects *quarantine.Suspects
	Limiter  *limit.Limiter
	Origins  *origin.Origins
	// Rollouts are nil if there are none.
	Rollouts *rollout.Rollouts
	// Versions returns the versions of the platform's objects (the configuration
	// and the targets) that this host has.
	Versions func() Versions
	// OnVerified is called when a peer with the same configuration version reports
	// a read that found no newer one on the platform.
	OnVerified func(version int64, verification discovery.Verification)
	// OnTargetsVerified is called when a peer reports a read that found no newer change of
	// a target on the platform than this host has. It may be nil.
	OnTargetsVerified func(verification discovery.Verification)
	// OnNewerVersion is called with the address of a host that has newer
	// objects.
	OnNewerVersion func(address string)
	// Unreached returns the pools of which this host reaches no target, and Forwards whether
	// it sends requests for hosts that reach none. They may be nil.
	Unreached func() []string
	Forwards  func() bool

	// livePeers is the number of other hosts that are not silent, knownPeers the
	// result of KnownPeers, interval that of Interval in nanoseconds.
	livePeers  atomic.Int64
	knownPeers atomic.Int64
	interval   atomic.Int64
	// turn is the result of Turn, succession that of Succession, liveZoneHosts that of ZoneHosts.
	turn          atomic.Int64
	succession    atomic.Int64
	liveZoneHosts atomic.Int64
	// newest is the newest configuration that another host reported.
	newest atomic.Pointer[newestConfiguration]
	// members is the result of Members; it is replaced, never changed. So is forwarders,
	// which Forwarders makes when it is called.
	members    atomic.Pointer[limit.Members]
	forwarders atomic.Pointer[forwarderList]
	share      atomic.Pointer[share]
	// order is the result of Order; it is replaced, never changed.
	order atomic.Pointer[order]

	mutex sync.Mutex
	peers map[string]*peer
	// rank is the number of live hosts before this one in the order of its zone,
	// zoneHosts the number of live hosts in the zone.
	rank      int
	zoneHosts int
	sequence  uint64
	round     uint64
	// hasHeard is set once this host has heard another one, isAlone once it has recorded that
	// it has not.
	hasHeard, isAlone bool
	leaving           bool
	relay             relay
	// rejectedAt is when the last event about reports of an address was recorded.
	rejectedAt map[string]time.Time
}

// Versions are the versions of the platform's objects that a host has.
type Versions struct {
	// Configuration is the version in force. Verified is the last read of any host that
	// found no newer one on the platform.
	Configuration int64
	Verified      discovery.Verification
	// LastTargetChange is the revision of the last change of a target that this
	// host has read. TargetsRevision is the revision up to which it has all
	// changes.
	LastTargetChange int64
	TargetsRevision  int64
	// TargetsVerified is the last read of any host that found no newer change of a target.
	TargetsVerified discovery.Verification
}

// newestConfiguration is a version of the configuration that a host reported.
type newestConfiguration struct {
	version int64
	heardAt time.Time
}

// NewestConfiguration returns the newest version of the configuration that another host
// has reported, 0 if none has within relayedSilenceTimeout.
func (exchange *Exchange) NewestConfiguration() int64 {
	if newest := exchange.newest.Load(); newest != nil && time.Since(newest.heardAt) < relayedSilenceTimeout {
		return newest.version
	}
	return 0
}

// Run sends reports until the context ends, and then calls Leave. It returns nil.
func (exchange *Exchange) Run(ctx context.Context) error {
	for _, seed := range exchange.Seeds {
		exchange.AddPeer(seed)
	}
	for {
		timer := time.NewTimer(exchange.sendReports())
		select {
		case <-ctx.Done():
			timer.Stop()
			exchange.Leave()
			return nil
		case <-timer.C:
		}
	}
}

// Interval returns the time between two reports of a host as the others receive
// them, directly or by summaries.
func (exchange *Exchange) Interval() time.Duration {
	return max(minReportInterval, time.Duration(exchange.interval.Load()))
}

// PropagationDelay returns the time until the other hosts have received a
// change on this one; 0 if there are none.
func (exchange *Exchange) PropagationDelay() time.Duration {
	if exchange.Hosts() == 1 {
		return 0
	}
	return exchange.Interval() + reportDelay
}

// UsesSummaries reports whether reports arrive by summaries. They are then so
// delayed that several hosts may act on the same state.
func (exchange *Exchange) UsesSummaries() bool { return exchange.usesSummaries() }

// propagationInterval computes the result of Interval.
func (exchange *Exchange) propagationInterval() time.Duration {
	if exchange.usesSummaries() {
		return exchange.roundInterval() * (1 + 2*minSummaryRounds)
	}
	return exchange.roundInterval()
}

// roundInterval returns the time between two reports of this host.
func (exchange *Exchange) roundInterval() time.Duration {
	if exchange.usesSummaries() {
		return max(minRelayInterval, time.Second*time.Duration(exchange.zoneHosts)/maxDatagramsPerSecond)
	}
	return max(minReportInterval, time.Second*time.Duration(exchange.Hosts())/maxDatagramsPerSecond)
}

// Leave reports to the others that this host shuts down.
func (exchange *Exchange) Leave() {
	exchange.mutex.Lock()
	exchange.leaving = true
	exchange.mutex.Unlock()
	exchange.sendReports()
}

// delivery is a report and the addresses that it is sent to.
type delivery struct {
	report    *exchangepb.Report
	addresses []string
}

// sendReports sends a round of reports and returns the time until the next round.
func (exchange *Exchange) sendReports() time.Duration {
	balanceReport := exchange.Balancer.Report()
	spends := exchange.Ledger.Report()
	versions := exchange.Versions()
	exchange.mutex.Lock()
	exchange.expirePeers()
	exchange.round++
	compose := func(summaries ...*exchangepb.Summary) *exchangepb.Report {
		return exchange.composeReport(balanceReport, spends, versions, summaries)
	}
	deliveries := exchange.deliveries(compose)
	interval := exchange.roundInterval()
	exchange.mutex.Unlock()
	for _, delivery := range deliveries {
		datagram, err := encode(delivery.report)
		if err != nil {
			// Only text that isn't valid UTF-8 can't be encoded, and names are
			// validated before.
			continue
		}
		for _, address := range delivery.addresses {
			exchange.Send(address, datagram)
		}
	}
	return interval
}

// composeReport builds a report with the next sequence number.
func (exchange *Exchange) composeReport(
	balanceReport *balance.Report, spends []quota.Spend, versions Versions, summaries []*exchangepb.Summary,
) *exchangepb.Report {
	exchange.sequence++
	exchange.relay.recordSent(exchange.sequence, balanceReport)
	report := &exchangepb.Report{
		Host:           exchange.Host,
		Life:           exchange.Incarnation,
		Sequence:       exchange.sequence,
		Address:        exchange.Address,
		Zone:           exchange.Zone,
		Leaving:        exchange.leaving,
		Configuration:  versions.Configuration,
		Targets:        versions.LastTargetChange,
		Uses:           encodeUses(balanceReport.Uses),
		Queues:         encodeQueues(balanceReport.Queues),
		Speeds:         encodeSpeeds(balanceReport.Speeds),
		Spends:         encodeSpends(spends),
		VerifiedMs:     uint32(min(time.Since(versions.Verified.At).Milliseconds(), math.MaxUint32)),
		Summaries:      summaries,
		Link:           exchange.Link,
		LeavingTargets: encodeLeaving(balanceReport.Leaving),
		Brittle:        encodeBrittle(balanceReport.Brittle),
		Direct:         !exchange.usesSummaries(),

		TargetsVerifiedMs: verifiedAge(versions.TargetsVerified.At),
		VerifiedId:        versions.Verified.ID,
		TargetsVerifiedId: versions.TargetsVerified.ID,
	}
	if len(summaries) == 0 {
		report.Peers = exchange.reportedPeers()
	}
	if exchange.Unreached != nil {
		report.Unreached = exchange.Unreached()
	}
	report.Forwards = exchange.Forwards != nil && !exchange.leaving && exchange.Forwards()
	return report
}

// verifiedAge returns the value of targets_verified_ms.
func verifiedAge(verified time.Time) uint32 {
	const maxAge = time.Hour
	if verified.IsZero() || time.Since(verified) > maxAge {
		return 0
	}
	return uint32(time.Since(verified).Milliseconds()) + 1
}

// deliveries returns the reports of a round with their recipients. It builds them
// by calling compose with the summaries that they contain.
func (exchange *Exchange) deliveries(compose func(...*exchangepb.Summary) *exchangepb.Report) []delivery {
	includeSilent := exchange.round%silentPeerRounds == 0 || exchange.round < startupRounds
	recipients := exchange.addresses(func(peer *peer) bool {
		if !peer.alive {
			return includeSilent
		}
		return exchange.leaving || !exchange.usesSummaries() || exchange.isLeader(peer) || exchange.owesDirectReport(peer)
	})
	report := compose()
	deliveries := []delivery{{report: report, addresses: recipients}}
	if !exchange.usesSummaries() || exchange.leaving || !exchange.leads(leadersPerZone) {
		return deliveries
	}
	exchange.relay.addReport(report)
	return append(deliveries, exchange.summaries(compose)...)
}

// addresses returns the addresses of the peers that match.
func (exchange *Exchange) addresses(match func(*peer) bool) []string {
	var addresses []string
	for address, peer := range exchange.peers {
		if match(peer) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Receive applies the report in a datagram. It drops datagrams that can't be
// decoded and outdated reports.
func (exchange *Exchange) Receive(datagram []byte) {
	if len(datagram) > 0 && datagram[0] == suspicionsMarker {
		exchange.receiveSuspicions(datagram[1:])
		return
	}
	if len(datagram) > 0 && datagram[0] == limitsMarker {
		exchange.receiveLimits(datagram[1:])
		return
	}
	if len(datagram) > 0 && datagram[0] == originsMarker {
		exchange.receiveOrigins(datagram[1:])
		return
	}
	if len(datagram) > 0 && datagram[0] == rolloutsMarker {
		exchange.receiveRollouts(datagram[1:])
		return
	}
	message, err := decode(datagram)
	if err != nil || message.GetAddress() == "" {
		// The datagram is not from a host of this system.
		return
	}
	if !exchange.check(message) {
		return
	}
	if !exchange.accept(message) {
		return
	}
	if message.GetLeaving() {
		exchange.Balancer.RemoveHost(message.GetHost())
		exchange.Ledger.RemoveHost(message.GetHost())
		return
	}
	exchange.Ledger.ApplyReport(message.GetHost(), message.GetLife(), decodeSpends(message.GetSpends()))
	if !exchange.hasSummary(message.GetZone()) {
		exchange.Balancer.ApplyReport(&balance.Report{
			Host:   message.GetHost(),
			Uses:   decodeUses(message.GetUses()),
			Queues: decodeQueues(message.GetQueues()),
			Speeds: decodeSpeeds(message.GetSpeeds()),

			Leaving: decodeLeaving(message.GetLeavingTargets()),
			Brittle: decodeBrittle(message.GetBrittle()),
		})
	}
	for _, summary := range message.GetSummaries() {
		exchange.applySummary(summary)
	}
	versions := exchange.Versions()
	if message.GetConfiguration() >= exchange.NewestConfiguration() {
		exchange.newest.Store(&newestConfiguration{version: message.GetConfiguration(), heardAt: time.Now()})
	}
	if message.GetConfiguration() == versions.Configuration {
		age := time.Duration(message.GetVerifiedMs())*time.Millisecond + reportDelay
		exchange.OnVerified(versions.Configuration, discovery.Verification{At: time.Now().Add(-age), ID: message.GetVerifiedId()})
	}
	if verified := message.GetTargetsVerifiedMs(); verified > 0 && message.GetTargets() <= versions.TargetsRevision && exchange.OnTargetsVerified != nil {
		age := time.Duration(verified)*time.Millisecond + reportDelay
		exchange.OnTargetsVerified(discovery.Verification{At: time.Now().Add(-age), ID: message.GetTargetsVerifiedId()})
	}
	if message.GetConfiguration() > versions.Configuration || message.GetTargets() > versions.TargetsRevision {
		exchange.OnNewerVersion(message.GetAddress())
	}
}

// accept updates the peer that sent a report, and reports whether the report is
// newer than the previous ones of that peer.
func (exchange *Exchange) accept(message *exchangepb.Report) bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	isNewest := exchange.recordHeartbeat(heartbeat{
		host: message.GetHost(), address: message.GetAddress(), zone: message.GetZone(),
		incarnation: message.GetLife(), sequence: message.GetSequence(), link: message.GetLink(),
		leaving: message.GetLeaving(), direct: message.GetDirect(),
		forwards: message.GetForwards(), unreached: message.GetUnreached(),
	})
	if !isNewest {
		return false
	}
	for _, address := range message.GetPeers() {
		exchange.addPeer(address)
	}
	if message.GetZone() == exchange.Zone {
		exchange.relay.addReport(message)
	}
	return true
}
