package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// candidate is a target that a ticket may get.
type candidate struct {
	targetState *targetState
	estimate    time.Duration
	cost        time.Duration
}

const (
	// nearBestFraction and nearBestTime limit how much higher than the lowest cost,
	// as a fraction of it and as a time, the cost of a target may be to count as
	// equally good while reports are late. If all hosts chose the best target, it
	// would be overloaded before they learn of each other's requests.
	nearBestFraction = 0.25
	nearBestTime     = 10 * time.Millisecond
)

// choose returns the target of the lowest cost that accepts a request. With inTime
// it considers only targets that can answer in time; noneInTime reports that no
// eligible target could, even with free capacity.
func (balancer *Balancer) choose(dispatchRound *dispatchRound, ticket *Ticket, inTime bool) (best candidate, noneInTime bool) {
	noneInTime = true
	dispatchRound.candidates = dispatchRound.candidates[:0]
	for _, targetState := range dispatchRound.pool.targets {
		if !targetState.isEligible(dispatchRound.now) || slices.Contains(ticket.Exclude, targetState.ID) {
			continue
		}
		estimate := balancer.estimate(dispatchRound, targetState, ticket)
		fits := ticket.isInTime(dispatchRound.now, estimate)
		noneInTime = noneInTime && !fits
		if inTime && !fits || !dispatchRound.pool.accepts(targetState) {
			continue
		}
		if targetState.failedFraction > dispatchRound.averages.lowestFailedFraction+failingFraction && rand.Float64() >= trialFraction {
			continue
		}
		cost := estimate + ticket.deadlineOverrun(targetState, dispatchRound.averages, dispatchRound.now, estimate)
		dispatchRound.candidates = append(dispatchRound.candidates, candidate{targetState: targetState, estimate: estimate, cost: cost})
	}
	return balancer.pick(dispatchRound.candidates), noneInTime
}

// pick returns the candidate of the lowest cost or, while reports of other hosts
// are late, a random one of those that are about as good.
func (balancer *Balancer) pick(candidates []candidate) candidate {
	if len(candidates) == 0 {
		return candidate{}
	}
	first := slices.MinFunc(candidates, func(one, other candidate) int { return cmp.Compare(one.cost, other.cost) })
	if balancer.ReportsDelayed == nil || !balancer.ReportsDelayed() {
		return first
	}
	near := first.cost + max(nearBestTime, time.Duration(nearBestFraction*float64(first.cost)))
	candidates = slices.DeleteFunc(candidates, func(candidate candidate) bool { return candidate.cost > near })
	return candidates[balancer.randIntN(len(candidates))]
}

func (balancer *Balancer) randIntN(below int) int {
	if balancer.RandIntN != nil {
		return balancer.RandIntN(below)
	}
	return rand.IntN(below)
}

// isInTime reports whether an answer after the estimated time would be in time.
func (ticket *Ticket) isInTime(now time.Time, estimate time.Duration) bool {
	return ticket.Due.IsZero() || !now.Add(estimate).After(ticket.Due)
}

// deadlineOverrun returns by how much the answer is expected to end after the
// ticket's deadline, 0 if it is not.
func (ticket *Ticket) deadlineOverrun(targetState *targetState, poolAverages poolAverages, now time.Time, estimate time.Duration) time.Duration {
	if ticket.ExpectedEvents == 0 || ticket.Deadline.IsZero() {
		return 0
	}
	event := targetState.speed.eventInterval
	if event == 0 {
		event = poolAverages.eventInterval
	}
	length := time.Duration(lengthMarginFactor * event * float64(ticket.ExpectedEvents))
	return max(0, now.Add(estimate+length).Sub(ticket.Deadline))
}

// poolAverages describes the targets of a pool together.
type poolAverages struct {
	// timePerToken and eventInterval, in nanoseconds, are averages over the targets.
	timePerToken         time.Duration
	eventInterval        float64
	lowestFailedFraction float64
}

// averages returns the averages over the pool's targets.
func (pool *pool) averages() poolAverages {
	found := poolAverages{lowestFailedFraction: 1}
	tokens, events := 0, 0
	for _, targetState := range pool.targets {
		if timePerToken := targetState.timePerToken(); timePerToken > 0 {
			found.timePerToken += timePerToken
			tokens++
		}
		if targetState.speed.eventInterval > 0 {
			found.eventInterval += targetState.speed.eventInterval
			events++
		}
		found.lowestFailedFraction = min(found.lowestFailedFraction, targetState.failedFraction)
	}
	found.timePerToken /= time.Duration(max(1, tokens))
	found.eventInterval /= float64(max(1, events))
	return found
}

// estimate returns the estimated time to the first event of a request at a target.
func (balancer *Balancer) estimate(dispatchRound *dispatchRound, targetState *targetState, ticket *Ticket) time.Duration {
	estimate := time.Duration(dispatchRound.pool.baseLatency)
	if dispatchRound.pool.isEngine {
		timePerToken := targetState.timePerToken()
		if timePerToken == 0 {
			timePerToken = dispatchRound.averages.timePerToken
		}
		work := float64(ticket.PromptTokens) + backlogFraction*float64(targetState.backlogTokens+targetState.othersBacklogTokens)
		estimate += time.Duration(float64(timePerToken) * work)
	}
	estimate += dispatchRound.pool.queueDelay(targetState)
	// Among equal targets, prefers the less loaded one.
	estimate += loadPenalty * time.Duration(targetState.totalInFlight()) / time.Duration(max(1, targetState.Slots))
	estimate += time.Duration(failurePenaltyFactor * targetState.failedFraction * float64(estimate))
	if targetState.Zone != balancer.Zone {
		estimate += crossZonePenalty
	}
	if dispatchRound.now.Before(targetState.ColdUntil) {
		estimate *= 2
	}
	return estimate
}
