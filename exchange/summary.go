package exchange

import (
	"cmp"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/quota"
)

// zoneHost returns the host id under which the balancer stores a zone's summary.
func zoneHost(zone string) string { return "zone " + zone }

// hasSummary reports whether the balancer uses a summary for the hosts of a zone,
// rather than their reports. It drops the summary if it is stale or if this host
// now makes the zone's summaries itself.
func (exchange *Exchange) hasSummary(zone string) bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	summary := exchange.relay.latestByZone[zone]
	if summary == nil {
		return false
	}
	if time.Since(summary.receivedAt) > relayedSilenceTimeout || exchange.summarises(zone) {
		delete(exchange.relay.latestByZone, zone)
		exchange.Balancer.RemoveHost(zoneHost(zone))
		return false
	}
	return true
}

// summarises reports whether this host makes the summaries of a zone.
func (exchange *Exchange) summarises(zone string) bool {
	return zone == exchange.Zone && exchange.leads(leadersPerZone)
}

// applySummary applies a zone's summary without this host's own requests.
func (exchange *Exchange) applySummary(summary *exchangepb.Summary) {
	exchange.mutex.Lock()
	updates, isNew := exchange.recordSummary(summary)
	var others *balance.Report
	if isNew && !exchange.summarises(summary.GetZone()) {
		others = exchange.subtractOwn(summary)
	}
	if others != nil {
		exchange.relay.latestByZone[summary.GetZone()] = &zoneSummary{message: summary, receivedAt: time.Now()}
	}
	exchange.mutex.Unlock()
	for _, hostSpends := range updates {
		exchange.Ledger.ApplyReport(hostSpends.host, hostSpends.incarnation, hostSpends.spends)
	}
	if others == nil {
		return
	}
	for _, member := range summary.GetMembers() {
		exchange.Balancer.RemoveHost(member.GetHost())
	}
	exchange.Balancer.ApplyReport(others)
}

// hostSpends holds the spends of a host in a summary.
type hostSpends struct {
	host        string
	incarnation uint64
	spends      []quota.Spend
}

// recordSummary updates the peers that are members of a summary and returns the
// spends of those whose reports are new. It reports whether the summary is newer
// than the previous ones of its maker.
func (exchange *Exchange) recordSummary(summary *exchangepb.Summary) (updates []hostSpends, isNew bool) {
	relay := &exchange.relay
	if relay.latestByMaker == nil {
		relay.latestByMaker = map[string]*zoneSummary{}
		relay.latestByZone = map[string]*zoneSummary{}
	}
	if last := relay.latestByMaker[summary.GetMaker()]; last != nil &&
		time.Since(last.receivedAt) <= relayedSilenceTimeout {
		order := cmp.Compare(summary.GetLife(), last.message.GetLife())
		if cmp.Or(order, cmp.Compare(summary.GetSequence(), last.message.GetSequence())) <= 0 {
			return nil, false
		}
	}
	relay.latestByMaker[summary.GetMaker()] = &zoneSummary{message: summary, receivedAt: time.Now()}
	for _, member := range summary.GetMembers() {
		isNewest := exchange.recordHeartbeat(heartbeat{
			host: member.GetHost(), address: member.GetAddress(), zone: summary.GetZone(),
			incarnation: member.GetLife(), sequence: member.GetSequence(), link: member.GetLink(),
			forwards: member.GetForwards(), unreached: member.GetUnreached(),
		})
		if isNewest {
			updates = append(updates, hostSpends{
				host: member.GetHost(), incarnation: member.GetLife(), spends: memberSpends(summary, member),
			})
		}
	}
	return updates, true
}

// subtractOwn returns a summary's sums without this host's own requests, or nil if
// its report that the summary contains is no longer kept.
func (exchange *Exchange) subtractOwn(summary *exchangepb.Summary) *balance.Report {
	others := &balance.Report{
		Host:   zoneHost(summary.GetZone()),
		Uses:   summaryUses(summary),
		Queues: decodeQueues(summary.GetQueues()),
		Speeds: decodeSpeeds(summary.GetSpeeds()),

		Leaving: decodeLeaving(summary.GetLeavingTargets()),
		Brittle: decodeBrittle(summary.GetBrittle()),
	}
	for _, member := range summary.GetMembers() {
		if member.GetHost() != exchange.Host || member.GetLife() != exchange.Incarnation {
			continue
		}
		own := exchange.relay.ownReports[member.GetSequence()%sentReportHistory]
		if own.sequence != member.GetSequence() {
			return nil
		}
		others.Subtract(own.report)
	}
	return others
}
