package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// plannedFraction and plannedSlack are the parts of the bounds that the share uses; the
	// rest is for the time in which all requests move, and for what was sent and is not
	// counted yet. minFraction is what the share gets at least where long requests leave
	// less.
	plannedFraction = 0.6
	plannedSlack    = 0.7
	minFraction     = 0.2
	// maxShare keeps enough requests at the old version to compare with.
	maxShare = 0.3
	// shareHorizon is the time in which the share uses up what is planned. It changes slowly,
	// as the answers of short and long requests come at different times after a change.
	shareHorizon = 3 * time.Second
	// countDelay is the time until requests that were sent are counted here.
	countDelay = 500 * time.Millisecond
	// detectTime is the time in which a version that is bad under load is told apart and
	// withdrawn.
	detectTime = 500 * time.Millisecond
	// rateTime is the time constant of the rate of requests.
	rateTime = 2 * time.Second
	// minAnswers and minAnsweredFraction bound the answers of the new version, as a part of
	// all requests, without which the rest does not move.
	minAnswers          = 20
	minAnsweredFraction = 0.02
	// maxFailed is the part of the new version's answers that may fail, also if those of the old
	// one do: where most fail, they hardly tell a bad version, and none was seen to serve.
	maxFailed = 0.5
	// neededRoom is the part of the requests in flight for which the new version must have
	// slots.
	neededRoom = 0.8
	// focusParts is the number of groups of targets that get the share in turn, of minFocus
	// targets or more: single answers of many targets don't tell slow machines from a bad
	// version.
	focusParts = 8
	minFocus   = 3
	// goneFraction is the part of the time for the write in which the end waits for a host that
	// is no longer heard; the rest is for the write.
	goneFraction = 2
	// reportLifetime is the time for which a host counts as one that takes part after its last
	// report; hosts of earlier builds never do.
	reportLifetime = 10 * time.Second
)

// view is what the deciding host sees of its pool and the other hosts.
type view struct {
	// hosts are the addresses of the hosts that are heard, with this one.
	hosts []string
	// isQuorate is set if no other part of the hosts can decide.
	isQuorate bool
	// targets is the number of targets of the new version that take requests, slots the sum
	// of their slots.
	targets, slots int
	// inFlight is the number of requests that run at targets of the other versions, of all
	// hosts.
	inFlight int
}

// hostRecord is what the deciding host knows of a host.
type hostRecord struct {
	incarnation    uint64
	requests, sent uint64
	runningOld     int
	acknowledged   uint64
	receivedAt     time.Time
	// isSettled is set once the host has acknowledged an instruction that ends the use of the
	// other versions, and runs nothing there: it sends them nothing later.
	isSettled bool
	cells     map[Key]Cell
}

// decision decides on one rollout.
type decision struct {
	bounds Bounds
	// duration is that of the order, reserve the part of it that is left for slow writes.
	duration, reserve time.Duration
	schedule          schedule
	evidence          *evidence
	hosts             map[string]*hostRecord
	// unseen are the answers that the evidence does not have yet.
	unseen map[Key]*tally
	// requests and sent are the sums over all hosts; countedRequests and countedSent are those
	// of the reports that this host got.
	requests, sent               uint64
	countedRequests, countedSent uint64
	// inheritedAnswers are those of the new version that a host had compared which decided
	// before. The hosts that got them may have ended.
	inheritedAnswers uint64
	// rate is the number of requests a second.
	rate      float64
	steppedAt time.Time
	stepCount uint64
	stage     Stage
	share     float64
	// leads are the times that requests to the old version take by route.
	leads      map[uint32]time.Duration
	focusIndex int
	focusCount int
	// sequence numbers the instructions. Those from firstEnding on end the use of the other
	// versions; 0 stands for none.
	sequence    uint64
	firstEnding uint64
	// reason says why the stage was last changed.
	reason string
	// finding is the last result of the tests.
	finding finding
	// wanted is the state that has to be written to the platform, Unset for none.
	wanted State
	// isEndCalled is set once the store may have been called to write the end.
	isEndCalled bool
	// isLate is set once the old version still runs requests at the deadline.
	isLate bool
}

// newDecision returns the decision on an order that was first read at a time.
func newDecision(bounds Bounds, start time.Time, duration time.Duration) *decision {
	decision := &decision{
		bounds: bounds, evidence: newEvidence(duration), hosts: map[string]*hostRecord{},
		unseen: map[Key]*tally{},
	}
	decision.reschedule(start, duration)
	return decision
}

// reschedule changes the duration.
func (decision *decision) reschedule(start time.Time, duration time.Duration) {
	decision.duration = duration
	decision.reserve = min(decision.reserve, duration/maxReserveFraction)
	decision.schedule = newSchedule(start, duration-decision.reserve)
	// Hosts may use the old version again until the new time for the end.
	decision.firstEnding = 0
	for _, host := range decision.hosts {
		host.isSettled = false
	}
	if duration < MinDuration && decision.stage < RollingBack {
		decision.rollBack("the duration is too short to tell anything")
	}
}

// reserveFor leaves time for a write that takes as long as one that was seen.
func (decision *decision) reserveFor(wroteIn time.Duration) {
	needed := min(reserveFactor*wroteIn, decision.duration/maxReserveFraction)
	if needed > decision.reserve {
		decision.reserveTime(needed)
	}
}

// reserveTime has the rollout end earlier by a time, unless it is too long to be one that was
// reserved for writes.
func (decision *decision) reserveTime(reserve time.Duration) {
	if reserve > 0 && reserve <= decision.duration/maxReserveFraction {
		decision.reserve = reserve
		decision.reschedule(decision.schedule.start, decision.duration)
	}
}

// inherit takes over from a host that decided before.
func (decision *decision) inherit(instruction *Instruction) {
	decision.stage = max(decision.stage, instruction.Stage)
	decision.requests = max(decision.requests, instruction.Requests)
	decision.sent = max(decision.sent, instruction.Sent)
	decision.inheritedAnswers = max(decision.inheritedAnswers, instruction.Answers)
	decision.sequence = max(decision.sequence, instruction.Sequence)
	// The host that decided before may have called the store.
	decision.isEndCalled = decision.isEndCalled || instruction.endsOld()
	if decision.stage == RollingBack {
		decision.wanted = RolledBack
	}
}

// receive adds a host's report.
func (decision *decision) receive(address string, report *Report, now time.Time) {
	host := decision.hosts[address]
	if host == nil || host.incarnation < report.Incarnation {
		host = &hostRecord{incarnation: report.Incarnation, cells: map[Key]Cell{}}
		decision.hosts[address] = host
	}
	if host.incarnation != report.Incarnation || host.requests > report.Requests {
		// It has been overtaken by a later one.
		return
	}
	// What was inherited may have the same, or that of hosts that have ended since.
	decision.countedRequests += report.Requests - host.requests
	decision.countedSent += max(report.Sent, host.sent) - host.sent
	decision.requests = max(decision.requests, decision.countedRequests)
	decision.sent = max(decision.sent, decision.countedSent)
	host.requests, host.sent = report.Requests, max(report.Sent, host.sent)
	host.runningOld, host.acknowledged, host.receivedAt = report.RunningOld, report.Acknowledged, now
	host.isSettled = host.runningOld == 0 && (host.isSettled || decision.hasEnded(report.Acknowledged))
	for _, cell := range report.Cells {
		earlier, isKnown := host.cells[cell.Key]
		if !isKnown && len(host.cells) >= maxHostCells || cell.Answers < earlier.Answers {
			continue
		}
		if decision.unseen[cell.Key] == nil {
			decision.unseen[cell.Key] = &tally{}
		}
		decision.unseen[cell.Key].addDifference(&cell, &earlier)
		host.cells[cell.Key] = cell
	}
}

// step takes the decisions that are due, and sets the share.
func (decision *decision) step(now time.Time, view *view) {
	decision.updateRate(now)
	decision.evidence.add(decision.unseen, now, decision.stage == Moving && !now.Before(decision.schedule.fullAt))
	clear(decision.unseen)
	if decision.stage >= RollingBack {
		decision.share = 0
		return
	}
	decision.finding = decision.evidence.find()
	if !view.isQuorate {
		// Another part of the hosts may decide.
		decision.share = 0
		return
	}
	decision.updateLeads()
	switch {
	case decision.finding.isBad(alpha):
		decision.rollBack("the new version is worse")
		return
	case decision.stage == Sharing && !now.Before(decision.moveAt()):
		decision.move(now, view)
	case decision.stage == Moving && !now.Before(decision.schedule.endAt):
		decision.end(now, view)
	}
	if decision.stage == Moving && view.targets == 0 && decision.wanted == Unset {
		decision.rollBack("the new version has no target any more")
	}
	decision.setShare(now, view)
}

// rollBack withdraws the new version. Once the store was called to write the end, only a rollback
// that is written takes effect: the old targets may be stopping.
func (decision *decision) rollBack(reason string) {
	decision.wanted, decision.reason = RolledBack, reason
	if !decision.isEndCalled {
		decision.stage, decision.share = RollingBack, 0
	}
}

// updateRate updates the rate of requests.
func (decision *decision) updateRate(now time.Time) {
	elapsed := now.Sub(decision.steppedAt)
	if decision.steppedAt.IsZero() {
		decision.stepCount, decision.steppedAt = decision.requests, now
		return
	}
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(rateTime))
	decision.rate += weight * (float64(decision.requests-decision.stepCount)/elapsed.Seconds() - decision.rate)
	decision.stepCount, decision.steppedAt = decision.requests, now
}

// updateLeads updates the times that requests to the old version take.
func (decision *decision) updateLeads() {
	if decision.stage == Moving && len(decision.leads) > 0 {
		// Few requests tell of them now.
		return
	}
	decision.leads = map[uint32]time.Duration{}
	for _, route := range decision.evidence.routes {
		if longest := decision.evidence.longest(route); longest > 0 {
			decision.leads[route] = decision.schedule.lead(longest)
		}
	}
}

// moveAt returns the time from which requests move: when the ones that take longest would
// otherwise not end in time.
func (decision *decision) moveAt() time.Time {
	at := decision.schedule.rampAt
	for _, lead := range decision.leads {
		if before := decision.schedule.endAt.Add(-lead); before.Before(at) {
			at = before
		}
	}
	return at
}

// move lets all requests move, unless the new version can't take them, or it is too likely
// that it is worse. What is missing may come until the ramp begins.
func (decision *decision) move(now time.Time, view *view) {
	answers := decision.answers()
	compared, failed := decision.evidence.answered()
	needed := min(minAnswers, uint64(minAnsweredFraction*float64(decision.requests)))
	missing := ""
	switch {
	case decision.finding.isBad(finalAlpha):
		decision.rollBack("the new version is probably worse")
		return
	case view.targets == 0:
		missing = "no target has the version"
	case float64(view.slots) < neededRoom*float64(view.inFlight):
		missing = fmt.Sprintf("the version's targets have %d slots, %d requests run", view.slots, view.inFlight)
	case float64(failed) > maxFailed*float64(compared):
		missing = fmt.Sprintf("%d of %d answers of the new version failed, too many to tell", failed, compared)
	case answers < needed:
		missing = fmt.Sprintf("%d answers of the new version are too few to tell", answers)
	}
	switch {
	case missing == "":
		decision.stage, decision.reason = Moving, fmt.Sprintf("%d answers show nothing against the new version", answers)
	case !now.Before(decision.schedule.rampAt):
		decision.rollBack(missing)
	}
}

// answers returns the number of answers of the new version that were compared.
func (decision *decision) answers() uint64 {
	answers, _ := decision.evidence.answered()
	return max(decision.inheritedAnswers, uint64(answers))
}

// end has the end written once no host runs requests at the old version.
func (decision *decision) end(now time.Time, view *view) {
	if decision.finding.isBad(finalAlpha) {
		decision.rollBack("the new version is probably worse")
		return
	}
	decision.isLate = decision.isLate || now.After(decision.schedule.deadline)
	if decision.wanted == RolledBack {
		return
	}
	decision.wanted = Unset
	if decision.isIdle(now, view) {
		decision.isEndCalled = true
		decision.wanted, decision.reason = Completed, "no request runs at the old version"
	}
}

// hasEnded reports whether a host that keeps to an instruction sends nothing to the other versions
// any more.
func (decision *decision) hasEnded(sequence uint64) bool {
	return decision.firstEnding > 0 && sequence >= decision.firstEnding && sequence <= decision.sequence
}

// isIdle reports whether all hosts that take part run nothing at the old version, and have
// acknowledged that they send it nothing more. What a host that is no longer heard runs there
// may go on, as it may only be slow: it is waited for during goneFraction of the time for the
// write.
func (decision *decision) isIdle(now time.Time, view *view) bool {
	schedule := &decision.schedule
	waitsUntil := schedule.endAt.Add(schedule.deadline.Sub(schedule.endAt) / goneFraction)
	for address, host := range decision.hosts {
		isGone := now.Sub(host.receivedAt) > reportLifetime || !slices.Contains(view.hosts, address)
		if !host.isSettled && (!isGone || host.runningOld > 0 && now.Before(waitsUntil)) {
			return false
		}
	}
	return true
}

// running returns the number of requests that run at the old version, by the last reports.
func (decision *decision) running() int {
	running := 0
	for _, host := range decision.hosts {
		running += host.runningOld
	}
	return running
}

// setShare sets the share, and the targets that get it.
func (decision *decision) setShare(now time.Time, view *view) {
	schedule := &decision.schedule
	decision.focusIndex, decision.focusCount = 0, 0
	switch {
	case decision.stage == Moving:
		decision.share = schedule.ramp(now, decision.steadyShare(now))
		return
	case decision.stage != Sharing || view.targets == 0:
		decision.share = 0
		return
	}
	decision.share = decision.steadyShare(now)
	if count := max(minFocus, (view.targets+focusParts-1)/focusParts); count < view.targets {
		decision.focusCount = count
		period := max(schedule.rampAt.Sub(schedule.start)/focusParts, time.Second)
		decision.focusIndex = int(now.Sub(schedule.start) / period)
	}
}

// steadyShare returns the share by which the new version gets what is planned for it.
func (decision *decision) steadyShare(now time.Time) float64 {
	requests, sent, slack := float64(decision.requests), float64(decision.sent), plannedSlack*decision.bounds.Slack
	if sent >= decision.bounds.Share*requests+decision.bounds.Slack-slack/2 && decision.stage == Sharing {
		return 0
	}
	ahead := decision.rate * shareHorizon.Seconds()
	if ahead <= 0 {
		return decision.bounds.Share * plannedFraction
	}
	sent += decision.share * decision.rate * countDelay.Seconds()
	planned := decision.plannedFraction(now)*(requests+ahead) + slack
	return min(max(0, (planned-sent)/ahead), maxShare)
}

// plannedFraction returns the part of all requests that is planned for the share: what the
// bound leaves beside the requests that move before the end.
func (decision *decision) plannedFraction(now time.Time) float64 {
	schedule, share := &decision.schedule, decision.bounds.Share
	all := float64(decision.requests) + decision.rate*max(0, schedule.deadline.Sub(now).Seconds())
	if all == 0 {
		return plannedFraction * share
	}
	watchTime := schedule.endAt.Sub(schedule.fullAt)
	moving := decision.rate * (watchTime + watchTime/2 + detectTime).Seconds()
	for route, part := range decision.evidence.routeParts() {
		moving += part * decision.rate * max(0, (decision.leads[route]-watchTime).Seconds())
	}
	left := share - (moving-(1-plannedSlack)*decision.bounds.Slack)/all
	return min(max(left, minFraction*share), plannedFraction*share)
}

// instruction returns the next instruction.
func (decision *decision) instruction(now time.Time) Instruction {
	decision.sequence++
	instruction := Instruction{
		Sequence: decision.sequence, Stage: decision.stage, Share: decision.share,
		Age: now.Sub(decision.schedule.start).Truncate(time.Millisecond), Duration: decision.duration - decision.reserve,
		FocusIndex: decision.focusIndex, FocusCount: decision.focusCount,
		Requests: decision.requests, Sent: decision.sent, Answers: decision.answers(), Routes: decision.routeInstructions(),
	}
	switch {
	case !instruction.endsOld():
		decision.firstEnding = 0
	case decision.firstEnding == 0:
		decision.firstEnding = decision.sequence
	}
	return instruction
}

// maxRoutes limits the routes in an instruction.
const maxRoutes = 16

// routeInstructions returns what holds for single routes. The share is divided among them so
// that each gets as many requests as the others, as far as it has them: the new version may be
// bad on one only.
func (decision *decision) routeInstructions() []RouteInstruction {
	parts := decision.evidence.routeParts()
	routes := slices.SortedFunc(slices.Values(decision.evidence.routes), func(one, other uint32) int {
		return cmp.Or(cmp.Compare(parts[one], parts[other]), cmp.Compare(one, other))
	})
	var instructions []RouteInstruction
	left := decision.share
	for i, route := range routes[:min(len(routes), maxRoutes)] {
		share := decision.share
		if decision.stage == Sharing && parts[route] > 0 {
			share = min(maxShare, left/float64(len(routes)-i)/parts[route])
			left -= share * parts[route]
		}
		instructions = append(instructions, RouteInstruction{
			Route: route, Share: share, Lead: decision.leads[route], SlowAfter: decision.evidence.slowAfter(route),
		})
	}
	return instructions
}
