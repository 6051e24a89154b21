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
	// directHosts is the most hosts that all report to each other; among more,
	// the datagrams would grow with the square of their number.
	directHosts = 16
	// zoneLeaders is how many hosts of a zone each add up the reports of all,
	// so that one may be lost without a gap.
	zoneLeaders = 2
	// relayInterval is the least time between two reports to the leaders.
	relayInterval = 50 * time.Millisecond
	// summaryRounds is how many rounds of reports there are to a summary at
	// least, mostRounds at most. A part of the hosts gets it in each.
	summaryRounds = 2
	mostRounds    = 8
	// linkShare is the part of its link that a leader uses for summaries.
	linkShare = 0.1
	// summaryBytes bounds the summaries in a datagram, unless it is one.
	summaryBytes = 16 << 10
	// sentReports is how many of its own reports a host remembers, to take its
	// part off a summary.
	sentReports = 64
	// wholeSummary is how many summaries there are to one with all spends.
	wholeSummary = 8
	// toldSpeeds is how many of the last speeds told a summary passes on.
	toldSpeeds = 32
)

// relay is what a host keeps for summaries.
type relay struct {
	// own are the last reports of this host, by their numbers.
	own [sentReports]ownReport
	// members are the last reports of the hosts of this zone.
	members map[string]*member
	// speeds were told since the last summary.
	speeds []*exchangepb.Speed
	// made counts the summaries of this host, parts are the datagrams' shares
	// of the summaries that the hosts of this zone get now.
	made  uint64
	parts [][]*exchangepb.Summary
	// rounds is over how many rounds they are sent, turn how many of these
	// have passed.
	rounds uint64
	turn   uint64
	// taken are the last summaries of each maker, zones those of each zone.
	taken map[string]*zoneSummary
	zones map[string]*zoneSummary
}

type ownReport struct {
	sequence uint64
	report   *balance.Report
}

// member is a host of this host's zone, as a leader knows it.
type member struct {
	report *exchangepb.Report
	heard  time.Time
	// spends are all that it told in its life.
	spends map[string]*spend
}

type spend struct {
	*exchangepb.Spend
	// changed is the number of the summary before which it changed.
	changed uint64
}

// zoneSummary is the last summary of a zone, or of a maker.
type zoneSummary struct {
	message *exchangepb.Summary
	heard   time.Time
	// forwarded tells that this host's zone has it.
	forwarded bool
}

// relayed reports whether there are too many hosts to report to each.
func (exchange *Exchange) relayed() bool { return exchange.Hosts() > directHosts }

// leader reports whether another host leads this host's zone.
func (exchange *Exchange) leader(peer *neighbour) bool {
	return peer.zone == exchange.Zone && peer.place < zoneLeaders
}

// owed reports whether a host that reports to each is to hear from this one: it
// may know few hosts yet.
func (exchange *Exchange) owed(peer *neighbour) bool {
	owed := peer.direct && !exchange.addsUp(peer.zone)
	peer.direct = false
	return owed
}

// sent notes a report of this host.
func (relay *relay) sent(sequence uint64, report *balance.Report) {
	relay.own[sequence%sentReports] = ownReport{sequence: sequence, report: report}
}

// join takes the report of a host of the zone, or this host's own.
func (relay *relay) join(report *exchangepb.Report) {
	if report.GetLeaving() {
		delete(relay.members, report.GetHost())
		return
	}
	if relay.members == nil {
		relay.members = map[string]*member{}
	}
	known := relay.members[report.GetHost()]
	if known == nil || known.report.GetLife() != report.GetLife() {
		known = &member{spends: map[string]*spend{}}
		relay.members[report.GetHost()] = known
	}
	known.report = report
	known.heard = time.Now()
	for _, told := range report.GetSpends() {
		before := known.spends[told.GetWorkspace()]
		if before == nil || before.GetTotal() != told.GetTotal() {
			known.spends[told.GetWorkspace()] = &spend{Spend: told, changed: relay.made}
		} else {
			before.Spend = told
		}
	}
	relay.speeds = append(relay.speeds, report.GetSpeeds()...)
	if over := len(relay.speeds) - toldSpeeds; over > 0 {
		relay.speeds = relay.speeds[over:]
	}
}

// summaries returns the reports with summaries of a round: to some hosts of this
// zone those of all zones, and to the leaders of other zones this zone's.
func (exchange *Exchange) summaries(compose func(...*exchangepb.Summary) *exchangepb.Report) []delivery {
	relay := &exchange.relay
	var deliveries []delivery
	if relay.turn++; relay.turn >= relay.rounds {
		relay.turn = 0
		own := relay.summarise(exchange.Zone, exchange.Host, exchange.Life)
		relay.parts = pack(append(relay.toForward(exchange.Zone), own))
		relay.rounds = exchange.roundsFor(relay.parts)
		deliveries = append(deliveries, delivery{
			report: compose(own),
			addresses: exchange.addresses(func(peer *neighbour) bool {
				return peer.alive && peer.zone != exchange.Zone && peer.place < zoneLeaders
			}),
		})
	}
	inTurn := exchange.addresses(func(peer *neighbour) bool {
		return peer.alive && peer.zone == exchange.Zone && uint64(peer.place)%relay.rounds == relay.turn
	})
	if len(inTurn) == 0 {
		return deliveries
	}
	for _, part := range relay.parts {
		deliveries = append(deliveries, delivery{report: compose(part...), addresses: inTurn})
	}
	return deliveries
}

// roundsFor is over how many rounds summaries are sent to the hosts of this
// zone, so that they take a small part of the link.
func (exchange *Exchange) roundsFor(parts [][]*exchangepb.Summary) uint64 {
	size := 0
	for _, part := range parts {
		for _, summary := range part {
			size += proto.Size(summary)
		}
	}
	const bytesPerMegabit = 1e6 / 8
	perRound := linkShare * float64(max(1, exchange.Link)) * bytesPerMegabit * exchange.roundInterval().Seconds()
	rounds := math.Ceil(float64(size*exchange.zoneHosts) / perRound)
	return uint64(min(max(rounds, summaryRounds), mostRounds))
}

// toForward returns the summaries of other zones that this zone has not got.
func (relay *relay) toForward(zone string) []*exchangepb.Summary {
	var forward []*exchangepb.Summary
	for other, summary := range relay.zones {
		if other != zone && !summary.forwarded {
			summary.forwarded = true
			forward = append(forward, summary.message)
		}
	}
	return forward
}

// pack divides summaries over datagrams.
func pack(summaries []*exchangepb.Summary) [][]*exchangepb.Summary {
	var parts [][]*exchangepb.Summary
	room := 0
	for _, summary := range summaries {
		size := proto.Size(summary)
		if size > room {
			parts = append(parts, nil)
			room = summaryBytes
		}
		room -= size
		parts[len(parts)-1] = append(parts[len(parts)-1], summary)
	}
	return parts
}

// summarise adds up the reports of a zone's hosts.
func (relay *relay) summarise(zone, maker string, life uint64) *exchangepb.Summary {
	relay.made++
	summary := &exchangepb.Summary{Zone: zone, Maker: maker, Life: life, Sequence: relay.made, Speeds: relay.speeds}
	relay.speeds = nil
	targets, queues, workspaces := map[string]int{}, map[string]*exchangepb.Queue{}, map[string]uint32{}
	now := time.Now()
	for host, member := range relay.members {
		if now.Sub(member.heard) > deadAfter {
			delete(relay.members, host)
			continue
		}
		written := &exchangepb.Member{
			Host:     host,
			Address:  member.report.GetAddress(),
			Life:     member.report.GetLife(),
			Sequence: member.report.GetSequence(),
			Link:     member.report.GetLink(),
		}
		for _, spend := range member.changed(relay.made) {
			place, ok := workspaces[spend.GetWorkspace()]
			if !ok {
				place = uint32(len(workspaces))
				workspaces[spend.GetWorkspace()] = place
				summary.Workspaces = append(summary.Workspaces, spend.GetWorkspace())
			}
			written.Workspaces = append(written.Workspaces, place)
			written.Totals = append(written.Totals, spend.GetTotal())
			written.Levels = append(written.Levels, spend.GetLevel())
		}
		summary.Members = append(summary.Members, written)
		addUses(summary, targets, member.report.GetUses())
		addQueues(queues, member.report.GetQueues())
	}
	summary.Queues = slices.Collect(maps.Values(queues))
	return summary
}

// changed returns the spends that the summary of a number tells.
func (member *member) changed(number uint64) []*exchangepb.Spend {
	var spends []*exchangepb.Spend
	for _, spend := range member.spends {
		if number%wholeSummary == 1 || spend.changed+1 == number {
			spends = append(spends, spend.Spend)
		}
	}
	return spends
}

// addUses adds to a summary; places are those of the targets in its lists.
func addUses(summary *exchangepb.Summary, places map[string]int, uses []*exchangepb.Use) {
	for _, use := range uses {
		place, ok := places[use.GetTarget()]
		if !ok {
			place = len(summary.GetTargets())
			places[use.GetTarget()] = place
			summary.Targets = append(summary.Targets, use.GetTarget())
			summary.Open = append(summary.Open, 0)
			summary.Backlog = append(summary.Backlog, 0)
		}
		summary.Open[place] += use.GetOpen()
		summary.Backlog[place] += use.GetBacklog()
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
