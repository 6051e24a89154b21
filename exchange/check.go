package exchange

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/discovery"
	"nutmegfield.example/exchange/exchangepb"
	"nutmegfield.example/timeline"
)

// Bounds of what is accepted in reports of other hosts. Each is some orders of magnitude
// beyond what hosts send. What is beyond one is left out of the report, the rest is applied.
const (
	// maxReceivedInFlight limits the requests of a host at a target, maxSummedInFlight those of
	// a zone.
	maxReceivedInFlight = 1 << 16
	maxSummedInFlight   = 1 << 28
	maxReceivedBacklog  = 1 << 30
	// maxReceivedTiers limits the tiers of a queue: three for each rank, of which there are
	// eight for each priority of a workspace.
	maxReceivedTiers   = 3072
	maxReceivedWaiting = 1 << 20
	// maxReceivedUnits limits the units of a quota; float64 counts them exactly up to there.
	maxReceivedUnits = 1 << 53
	// maxReceivedLink is in Mbit/s.
	maxReceivedLink = 1_000_000
	// maxReceivedNumber limits sequence numbers, incarnations and versions.
	maxReceivedNumber = 1 << 60
	// maxReceivedItems limits the elements of a list, maxReceivedPeers the addresses of other
	// hosts, maxKnownPeers those that are remembered.
	maxReceivedItems = 4096
	maxReceivedPeers = 4 * maxReportedPeers
	maxKnownPeers    = 4096
	// rejectedInterval is the shortest time between two events about a host.
	rejectedInterval = time.Minute
	// maxRejecting limits the hosts that are remembered for that.
	maxRejecting = 1024
)

var eventReportRejected = timeline.Define(timeline.Kind{
	Number: 8113, Name: "part of a report rejected", Level: timeline.Warn,
	Meaning: "A report of the host at the address in the detail contains what can't be: a count out of its range, a number that is none, a name that is too long. That part is ignored, or the report if its sender can't be read. The event comes at most once a minute for a host.",
	Action:  "if it continues, look for a host of another release, or for another sender",
})

// checker leaves out of a report what is out of range, and counts it.
type checker struct {
	rejected int
	// reason describes the first of it.
	reason string
}

func (checker *checker) reject(format string, arguments ...any) {
	if checker.rejected++; checker.rejected == 1 {
		checker.reason = fmt.Sprintf(format, arguments...)
	}
}

// isName reports whether a text may be the name of something.
func isName(name string) bool { return discovery.CheckName(name) == nil }

// checkReport leaves out what is out of range. It returns false if the report can't be
// applied, as its sender is unknown.
func (checker *checker) checkReport(report *exchangepb.Report) bool {
	if !isName(report.GetHost()) || !isName(report.GetAddress()) || report.GetZone() != "" && !isName(report.GetZone()) {
		checker.reject("host, address or zone")
		return false
	}
	if report.GetLife() > maxReceivedNumber || report.GetSequence() > maxReceivedNumber {
		checker.reject("life %d, sequence %d", report.GetLife(), report.GetSequence())
		return false
	}
	if version := report.GetConfiguration(); version < 0 || version > maxReceivedNumber {
		checker.reject("configuration %d", version)
		report.Configuration = 0
	}
	if revision := report.GetTargets(); revision < 0 {
		checker.reject("targets %d", revision)
		report.Targets = 0
	}
	report.Link = checker.link(report.GetLink())
	report.Uses = filter(checker, report.GetUses(), "use", func(use *exchangepb.Use) bool {
		return isName(use.GetTarget()) && use.GetOpen() <= maxReceivedInFlight && use.GetBacklog() <= maxReceivedBacklog
	})
	report.Queues = checker.queues(report.GetQueues())
	report.Spends = filter(checker, report.GetSpends(), "spend", func(spend *exchangepb.Spend) bool {
		return isName(spend.GetWorkspace()) && isUnits(spend.GetTotal()) && isUnits(spend.GetLevel())
	})
	report.Speeds = checker.speeds(report.GetSpeeds())
	report.LeavingTargets = checker.leaving(report.GetLeavingTargets())
	report.Brittle = checker.brittle(report.GetBrittle())
	report.Unreached = filter(checker, report.GetUnreached(), "unreached pool", isName)
	report.Peers = filter(checker, report.GetPeers(), "address of a peer", isName)
	report.Peers = report.Peers[:min(len(report.Peers), maxReceivedPeers)]
	report.Summaries = filter(checker, report.GetSummaries(), "summary", checker.checkSummary)
	return true
}

// checkSummary leaves out what is out of range. It returns false if the summary can't be
// applied, as its zone or its maker is unknown.
func (checker *checker) checkSummary(summary *exchangepb.Summary) bool {
	if !isName(summary.GetMaker()) || summary.GetZone() != "" && !isName(summary.GetZone()) ||
		summary.GetLife() > maxReceivedNumber || summary.GetSequence() > maxReceivedNumber {
		return false
	}
	checker.checkSums(summary)
	summary.Queues = checker.queues(summary.GetQueues())
	summary.Speeds = checker.speeds(summary.GetSpeeds())
	summary.LeavingTargets = checker.leaving(summary.GetLeavingTargets())
	summary.Brittle = checker.brittle(summary.GetBrittle())
	summary.Members = filter(checker, summary.GetMembers(), "member", func(member *exchangepb.Member) bool {
		return isName(member.GetHost()) && isName(member.GetAddress()) &&
			member.GetLife() <= maxReceivedNumber && member.GetSequence() <= maxReceivedNumber
	})
	for _, member := range summary.GetMembers() {
		member.Link = checker.link(member.GetLink())
		member.Unreached = filter(checker, member.GetUnreached(), "unreached pool", isName)
		checker.checkSpends(summary, member)
	}
	return true
}

// checkSums leaves out the sums of targets that are out of range, and what the longer ones of
// the lists have more.
func (checker *checker) checkSums(summary *exchangepb.Summary) {
	targets, open, backlog := summary.GetTargets(), summary.GetOpen(), summary.GetBacklog()
	count := min(len(targets), len(open), len(backlog))
	if count < max(len(targets), len(open), len(backlog)) {
		checker.reject("%d targets, %d open, %d backlog", len(targets), len(open), len(backlog))
	}
	kept := 0
	for i := range count {
		if !isName(targets[i]) || open[i] > maxSummedInFlight {
			checker.reject("sum of a target")
			continue
		}
		targets[kept], open[kept], backlog[kept] = targets[i], open[i], backlog[i]
		kept++
	}
	summary.Targets, summary.Open, summary.Backlog = targets[:kept], open[:kept], backlog[:kept]
}

// checkSpends does the same for the spends of a member.
func (checker *checker) checkSpends(summary *exchangepb.Summary, member *exchangepb.Member) {
	workspaces, totals, levels := member.GetWorkspaces(), member.GetTotals(), member.GetLevels()
	count := min(len(workspaces), len(totals), len(levels))
	if count < max(len(workspaces), len(totals), len(levels)) {
		checker.reject("%d workspaces, %d totals, %d levels", len(workspaces), len(totals), len(levels))
	}
	kept := 0
	for i := range count {
		isKnown := uint64(workspaces[i]) < uint64(len(summary.GetWorkspaces())) && isName(summary.GetWorkspaces()[workspaces[i]])
		if !isKnown || !isUnits(totals[i]) || !isUnits(levels[i]) {
			checker.reject("spend of a member")
			continue
		}
		workspaces[kept], totals[kept], levels[kept] = workspaces[i], totals[i], levels[i]
		kept++
	}
	member.Workspaces, member.Totals, member.Levels = workspaces[:kept], totals[:kept], levels[:kept]
}

func (checker *checker) queues(queues []*exchangepb.Queue) []*exchangepb.Queue {
	return filter(checker, queues, "queue", func(queue *exchangepb.Queue) bool {
		return isName(queue.GetPool()) && len(queue.GetWaiting()) <= maxReceivedTiers &&
			!slices.ContainsFunc(queue.GetWaiting(), func(waiting uint32) bool { return waiting > maxReceivedWaiting })
	})
}

func (checker *checker) speeds(speeds []*exchangepb.Speed) []*exchangepb.Speed {
	return filter(checker, speeds, "speed", func(speed *exchangepb.Speed) bool { return isName(speed.GetTarget()) })
}

func (checker *checker) leaving(targets []*exchangepb.LeavingTarget) []*exchangepb.LeavingTarget {
	return filter(checker, targets, "leaving target", func(target *exchangepb.LeavingTarget) bool { return isName(target.GetTarget()) })
}

func (checker *checker) brittle(pools []*exchangepb.BrittlePool) []*exchangepb.BrittlePool {
	return filter(checker, pools, "brittle pool", func(pool *exchangepb.BrittlePool) bool { return isName(pool.GetPool()) })
}

// link returns the bandwidth of a link, 0 if it is out of range: hosts with wide links lead.
func (checker *checker) link(link uint32) uint32 {
	if link > maxReceivedLink {
		checker.reject("link %d", link)
		return 0
	}
	return link
}

// filter returns the elements that are valid, up to maxReceivedItems.
func filter[T any](checker *checker, elements []T, name string, isValid func(T) bool) []T {
	kept := slices.DeleteFunc(elements, func(element T) bool {
		if isValid(element) {
			return false
		}
		checker.reject("%s", name)
		return true
	})
	if len(kept) > maxReceivedItems {
		checker.reject("%d elements: %s", len(kept), name)
		kept = kept[:maxReceivedItems]
	}
	return kept
}

// isUnits reports whether a number may be units of a quota; a comparison with one that isn't a
// number is false.
func isUnits(units float64) bool { return math.Abs(units) <= maxReceivedUnits }

// check leaves out of a report what is out of range, and reports whether it can be applied.
func (exchange *Exchange) check(report *exchangepb.Report) bool {
	checker := &checker{}
	isUsable := checker.checkReport(report)
	if checker.rejected == 0 {
		return isUsable
	}
	metrics.GetOrCreateCounter("nutmegfield_report_parts_rejected_total").Add(checker.rejected)
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	now, address := time.Now(), report.GetAddress()
	maps.DeleteFunc(exchange.rejectedAt, func(_ string, at time.Time) bool { return now.Sub(at) > rejectedInterval })
	if _, ok := exchange.rejectedAt[address]; ok || len(exchange.rejectedAt) >= maxRejecting {
		return isUsable
	}
	if exchange.rejectedAt == nil {
		exchange.rejectedAt = map[string]time.Time{}
	}
	exchange.rejectedAt[address] = now
	exchange.Events.Record(eventReportRejected, timeline.Event{
		Detail: fmt.Sprintf("%.80q: %.80s", address, checker.reason), Facts: []timeline.Fact{timeline.Count("parts", checker.rejected)},
	})
	return isUsable
}
