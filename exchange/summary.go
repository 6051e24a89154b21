package exchange

import (
	"cmp"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/quota"
)

// zoneHost is the name under which the balancer knows a zone's summary.
func zoneHost(zone string) string { return "zone " + zone }

// summarised reports whether a zone's hosts are known by its summaries, and
// drops a summary that is too old.
func (exchange *Exchange) summarised(zone string) bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	summary := exchange.relay.zones[zone]
	if summary == nil {
		return false
	}
	if time.Since(summary.heard) > deadRelayed || exchange.addsUp(zone) {
		delete(exchange.relay.zones, zone)
		exchange.Balancer.RemoveHost(zoneHost(zone))
		return false
	}
	return true
}

// addsUp reports whether this host adds up the reports of a zone.
func (exchange *Exchange) addsUp(zone string) bool {
	return zone == exchange.Zone && exchange.leads(zoneLeaders)
}

// takeSummary takes the sums of a zone, less this host's own part.
func (exchange *Exchange) takeSummary(summary *exchangepb.Summary) {
	exchange.mutex.Lock()
	words, news := exchange.noteSummary(summary)
	var others *balance.Report
	if news && !exchange.addsUp(summary.GetZone()) {
		others = exchange.withoutOwn(summary)
	}
	if others != nil {
		exchange.relay.zones[summary.GetZone()] = &zoneSummary{message: summary, heard: time.Now()}
	}
	exchange.mutex.Unlock()
	for _, word := range words {
		exchange.Ledger.Heard(word.host, word.life, word.spends)
	}
	if others == nil {
		return
	}
	for _, member := range summary.GetMembers() {
		exchange.Balancer.RemoveHost(member.GetHost())
	}
	exchange.Balancer.ReceiveReport(others)
}

// word is what a host spent, as a summary tells it.
type word struct {
	host   string
	life   uint64
	spends []quota.Spend
}

// noteSummary notes the members of a summary and reports whether it is its
// maker's newest.
func (exchange *Exchange) noteSummary(summary *exchangepb.Summary) (words []word, news bool) {
	relay := &exchange.relay
	if relay.taken == nil {
		relay.taken = map[string]*zoneSummary{}
		relay.zones = map[string]*zoneSummary{}
	}
	if last := relay.taken[summary.GetMaker()]; last != nil && time.Since(last.heard) <= deadRelayed {
		lives := cmp.Compare(summary.GetLife(), last.message.GetLife())
		if cmp.Or(lives, cmp.Compare(summary.GetSequence(), last.message.GetSequence())) <= 0 {
			return nil, false
		}
	}
	relay.taken[summary.GetMaker()] = &zoneSummary{message: summary, heard: time.Now()}
	for _, member := range summary.GetMembers() {
		newest := exchange.note(sign{
			host: member.GetHost(), address: member.GetAddress(), zone: summary.GetZone(),
			life: member.GetLife(), sequence: member.GetSequence(), link: member.GetLink(),
		})
		if newest {
			words = append(words, word{host: member.GetHost(), life: member.GetLife(), spends: memberSpends(summary, member)})
		}
	}
	return words, true
}

// withoutOwn returns a summary's sums less what this host had put in, nil if
// that is not known any more.
func (exchange *Exchange) withoutOwn(summary *exchangepb.Summary) *balance.Report {
	others := &balance.Report{
		Host:   zoneHost(summary.GetZone()),
		Uses:   summaryUses(summary),
		Queues: queuesIn(summary.GetQueues()),
		Speeds: speedsIn(summary.GetSpeeds()),
	}
	for _, member := range summary.GetMembers() {
		if member.GetHost() != exchange.Host || member.GetLife() != exchange.Life {
			continue
		}
		own := exchange.relay.own[member.GetSequence()%sentReports]
		if own.sequence != member.GetSequence() {
			return nil
		}
		others.Subtract(own.report)
	}
	return others
}
