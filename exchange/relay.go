package exchange

import (
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegfield.example/balance"
	"nutmegfield.example/exchange/exchangepb"
)

const (
	// Up to this number of hosts, all report to each other; with more, the number
	// of datagrams would grow quadratically.
	maxDirectHosts = 16
	// The number of hosts of a zone that each summarise the reports of all, so that
	// summaries continue if one is lost.
	leadersPerZone = 2
	// The minimum time between two reports to the leaders.
	minRelayInterval = 50 * time.Millisecond
	// The sending of a summary is spread over minSummaryRounds to maxSummaryRounds
	// rounds of reports, to a part of the hosts in each.
	minSummaryRounds = 2
	maxSummaryRounds = 8
	// The fraction of its link that a leader uses for summaries.
	linkFraction = 0.1
	// Bounds the size of the summaries in a datagram, unless there is just one.
	maxSummaryBytes = 16 << 10
	// The number of its own reports that a host keeps, to subtract its own requests
	// from a summary.
	sentReportHistory = 64
	// One in fullSummaryInterval summaries contains all spends, the others only
	// changed ones.
	fullSummaryInterval = 8
	// The maximum number of speeds in a summary; the latest reported are kept.
	maxSummarySpeeds = 64
)

// relay is the state for making and receiving summaries.
type relay struct {
	// ownReports holds the last reports of this host, indexed by sequence number
	// modulo sentReportHistory.
	ownReports [sentReportHistory]ownReport
	// members holds the last report of each host of this zone, by host id.
	members map[string]*member
	// speeds holds those reported since the last summary.
	speeds []*exchangepb.Speed
	// summaryCount is the number of summaries that this host made. batches holds
	// the summaries that are being sent to the hosts of this zone, by datagram.
	summaryCount uint64
	batches      [][]*exchangepb.Summary
	// cycleRounds is the number of rounds over which they are sent, cycleRound the
	// number of these that have passed.
	cycleRounds uint64
	cycleRound  uint64
	// latestByMaker holds the last summary from each leader, by host id;
	// latestByZone holds the last one that was applied for each zone.
	latestByMaker map[string]*zoneSummary
	latestByZone  map[string]*zoneSummary
}

type ownReport struct {
	sequence uint64
	report   *balance.Report
}

// member is the state that a leader keeps of a host of its zone.
type member struct {
	report       *exchangepb.Report
	lastReceived time.Time
	// spends holds all that the host reported in its current incarnation, by
	// workspace.
	spends map[string]*spend
}

type spend struct {
	*exchangepb.Spend
	// changedAfter is the sequence number of the last summary before the total
	// changed.
	changedAfter uint64
}

// zoneSummary is the last summary received from a zone or from a host.
type zoneSummary struct {
	message    *exchangepb.Summary
	receivedAt time.Time
	// forwarded is set once this leader has put it into batches.
	forwarded bool
}

// usesSummaries reports whether there are too many hosts to report to each.
func (exchange *Exchange) usesSummaries() bool { return exchange.Hosts() > maxDirectHosts }

// isLeader reports whether a peer leads this host's zone.
func (exchange *Exchange) isLeader(peer *peer) bool {
	return peer.zone == exchange.Zone && peer.rank < leadersPerZone
}

// owesDirectReport reports whether this host must send its report to a peer that
// reports to each host: the peer may not know many hosts yet. It clears the peer's
// direct flag.
func (exchange *Exchange) owesDirectReport(peer *peer) bool {
	owesDirectReport := peer.direct && !exchange.summarises(peer.zone)
	peer.direct = false
	return owesDirectReport
}

// recordSent keeps a report of this host, to subtract it from later summaries.
func (relay *relay) recordSent(sequence uint64, report *balance.Report) {
	relay.ownReports[sequence%sentReportHistory] = ownReport{sequence: sequence, report: report}
}

// addReport adds the report of a host of the zone, or this host's own, to the
// next summary.
func (relay *relay) addReport(report *exchangepb.Report) {
	if report.GetLeaving() {
		delete(relay.members, report.GetHost())
		return
	}
	if relay.members == nil {
		relay.members = map[string]*member{}
	}
	entry := relay.members[report.GetHost()]
	if entry == nil || entry.report.GetLife() != report.GetLife() {
		entry = &member{spends: map[string]*spend{}}
		relay.members[report.GetHost()] = entry
	}
	entry.report = report
	entry.lastReceived = time.Now()
	for _, reported := range report.GetSpends() {
		previous := entry.spends[reported.GetWorkspace()]
		if previous == nil || previous.GetTotal() != reported.GetTotal() {
			entry.spends[reported.GetWorkspace()] = &spend{Spend: reported, changedAfter: relay.summaryCount}
		} else {
			previous.Spend = reported
		}
	}
	relay.speeds = append(relay.speeds, report.GetSpeeds()...)
	if excess := len(relay.speeds) - maxSummarySpeeds; excess > 0 {
		relay.speeds = relay.speeds[excess:]
	}
}

// summaries returns the reports of a round that contain summaries: those with the
// summaries of all zones for a part of the hosts of this zone and, once per cycle,
// the one with this zone's summary for the leaders of other zones.
func (exchange *Exchange) summaries(compose func(...*exchangepb.Summary) *exchangepb.Report) []delivery {
	relay := &exchange.relay
	var deliveries []delivery
	if relay.cycleRound++; relay.cycleRound >= relay.cycleRounds {
		relay.cycleRound = 0
		own := relay.summarise(exchange.Zone, exchange.Host, exchange.Incarnation)
		relay.batches = splitSummaries(append(relay.takeUnforwarded(exchange.Zone), own))
		relay.cycleRounds = exchange.cycleLength(relay.batches)
		deliveries = append(deliveries, delivery{
			report: compose(own),
			addresses: exchange.addresses(func(peer *peer) bool {
				return peer.alive && peer.zone != exchange.Zone && peer.rank < leadersPerZone
			}),
		})
	}
	recipients := exchange.addresses(func(peer *peer) bool {
		return peer.alive && peer.zone == exchange.Zone && uint64(peer.rank)%relay.cycleRounds == relay.cycleRound
	})
	if len(recipients) == 0 {
		return deliveries
	}
	for _, batch := range relay.batches {
		deliveries = append(deliveries, delivery{report: compose(batch...), addresses: recipients})
	}
	return deliveries
}

// cycleLength returns the number of rounds over which summaries are sent to the
// hosts of this zone. They take at most linkFraction of the link, unless that would
// need more than maxSummaryRounds.
func (exchange *Exchange) cycleLength(batches [][]*exchangepb.Summary) uint64 {
	size := 0
	for _, batch := range batches {
		for _, summary := range batch {
			size += proto.Size(summary)
		}
	}
	const bytesPerMegabit = 1e6 / 8
	bytesPerRound := linkFraction * float64(max(1, exchange.Link)) * bytesPerMegabit * exchange.roundInterval().Seconds()
	rounds := math.Ceil(float64(size*exchange.zoneHosts) / bytesPerRound)
	return uint64(min(max(rounds, minSummaryRounds), maxSummaryRounds))
}

// takeUnforwarded returns the summaries of other zones that this leader has not yet
// forwarded to its zone, and marks them as forwarded.
func (relay *relay) takeUnforwarded(zone string) []*exchangepb.Summary {
	var forward []*exchangepb.Summary
	for other, summary := range relay.latestByZone {
		if other != zone && !summary.forwarded {
			summary.forwarded = true
			forward = append(forward, summary.message)
		}
	}
	return forward
}

// splitSummaries distributes summaries over datagrams of at most maxSummaryBytes.
func splitSummaries(summaries []*exchangepb.Summary) [][]*exchangepb.Summary {
	var batches [][]*exchangepb.Summary
	remaining := 0
	for _, summary := range summaries {
		size := proto.Size(summary)
		if size > remaining {
			batches = append(batches, nil)
			remaining = maxSummaryBytes
		}
		remaining -= size
		batches[len(batches)-1] = append(batches[len(batches)-1], summary)
	}
	return batches
}

// summarise returns the summary of the reports of a zone's hosts.
func (relay *relay) summarise(zone, maker string, incarnation uint64) *exchangepb.Summary {
	relay.summaryCount++
	summary := &exchangepb.Summary{
		Zone: zone, Maker: maker, Life: incarnation, Sequence: relay.summaryCount, Speeds: relay.speeds,
	}
	relay.speeds = nil
	targets, queues, workspaces := map[string]int{}, map[string]*exchangepb.Queue{}, map[string]uint32{}
	leaving, brittle := map[balance.Incarnation]bool{}, map[string]*exchangepb.BrittlePool{}
	now := time.Now()
	for host, member := range relay.members {
		if now.Sub(member.lastReceived) > silenceTimeout {
			delete(relay.members, host)
			continue
		}
		entry := &exchangepb.Member{
			Host:     host,
			Address:  member.report.GetAddress(),
			Life:     member.report.GetLife(),
			Sequence: member.report.GetSequence(),
			Link:     member.report.GetLink(),

			Forwards: member.report.GetForwards(), Unreached: member.report.GetUnreached(),
		}
		for _, spend := range member.changedSpends(relay.summaryCount) {
			index, ok := workspaces[spend.GetWorkspace()]
			if !ok {
				index = uint32(len(workspaces))
				workspaces[spend.GetWorkspace()] = index
				summary.Workspaces = append(summary.Workspaces, spend.GetWorkspace())
			}
			entry.Workspaces = append(entry.Workspaces, index)
			entry.Totals = append(entry.Totals, spend.GetTotal())
			entry.Levels = append(entry.Levels, spend.GetLevel())
		}
		summary.Members = append(summary.Members, entry)
		addUses(summary, targets, member.report.GetUses())
		addQueues(queues, member.report.GetQueues())
		for _, incarnation := range decodeLeaving(member.report.GetLeavingTargets()) {
			leaving[incarnation] = true
		}
		for _, pool := range member.report.GetBrittle() {
			brittle[pool.GetPool()] = pool
		}
	}
	summary.LeavingTargets = encodeLeaving(slices.Collect(maps.Keys(leaving)))
	summary.Brittle = slices.Collect(maps.Values(brittle))
	summary.Queues = slices.Collect(maps.Values(queues))
	return summary
}

// changedSpends returns the spends to include in the summary with the given
// sequence number.
func (member *member) changedSpends(sequence uint64) []*exchangepb.Spend {
	var spends []*exchangepb.Spend
	for _, spend := range member.spends {
		if sequence%fullSummaryInterval == 1 || spend.changedAfter+1 == sequence {
			spends = append(spends, spend.Spend)
		}
	}
	return spends
}

// addUses adds uses to a summary; indexes maps a target to its index in the
// summary's lists.
func addUses(summary *exchangepb.Summary, indexes map[string]int, uses []*exchangepb.Use) {
	for _, use := range uses {
		index, ok := indexes[use.GetTarget()]
		if !ok {
			index = len(summary.GetTargets())
			indexes[use.GetTarget()] = index
			summary.Targets = append(summary.Targets, use.GetTarget())
			summary.Open = append(summary.Open, 0)
			summary.Backlog = append(summary.Backlog, 0)
		}
		summary.Open[index] += use.GetOpen()
		// The limits of reports let only this sum overflow.
		summary.Backlog[index] = uint32(min(uint64(summary.Backlog[index])+uint64(use.GetBacklog()), math.MaxUint32))
	}
}

func addQueues(sums map[string]*exchangepb.Queue, queues []*exchangepb.Queue) {
	for _, queue := range queues {
		sum := sums[queue.GetPool()]
		if sum == nil {
			sum = &exchangepb.Queue{Pool: queue.GetPool()}
			sums[queue.GetPool()] = sum
		}
		for tier, waiting := range queue.GetWaiting() {
			if tier == len(sum.GetWaiting()) {
				sum.Waiting = append(sum.Waiting, 0)
			}
			sum.Waiting[tier] += waiting
		}
	}
}
