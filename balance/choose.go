package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// candidate is a target that may be granted to a ticket. Its cost is the estimate
// plus the ticket's deadline overrun.
type candidate struct {
	targetState *targetState
	estimate    time.Duration
	cost        time.Duration
	// weight is the sum of the weights up to this candidate, for a random choice.
	weight float64
}

const (
	// While reports are delayed, costs are treated as equal to the lowest one if
	// they exceed it by at most equalCostFraction of it or by equalCostTime,
	// whichever is more. If all hosts chose the best target, it would be overloaded
	// before they learn of each other's requests.
	equalCostFraction = 0.25
	equalCostTime     = 10 * time.Millisecond
	// herdFactor is the number of free slots among which a host chooses, relative to the
	// requests that all hosts send before they learn of each other's.
	herdFactor = 2
	// minZoneTargets is the number of targets of the host's own zone from which it can do
	// without those of others: with fewer it may miss the fast ones.
	minZoneTargets = 8
)

// timeliness is what choose requires of a target.
type timeliness int

const (
	// anyTime: the answer may be late.
	anyTime timeliness = iota
	// startsInTime: the first event is in time.
	startsInTime
	// inTime: the whole answer is.
	inTime
)

// timeliness returns what the answer of a target after the estimated time would be.
func (ticket *Ticket) timeliness(targetState *targetState, now time.Time, estimate time.Duration) timeliness {
	switch {
	case !ticket.isInTime(now, estimate):
		return anyTime
	case !ticket.keepsPace(targetState):
		return startsInTime
	default:
		return inTime
	}
}

// choose returns a target of the lowest cost that accepts a request, or a candidate
// without a target if there is none. It considers only targets with the required
// timeliness; allLate reports whether no eligible target could answer in time, even with
// free capacity.
func (balancer *Balancer) choose(
	dispatchRound *dispatchRound, ticket *Ticket, required timeliness,
) (best candidate, allLate bool) {
	allLate = true
	dispatchRound.candidates = dispatchRound.candidates[:0]
	lowestFailedFraction := dispatchRound.lowestFailedFraction(ticket)
	for _, targetState := range dispatchRound.pool.targets {
		if !targetState.isEligible(dispatchRound.now) || slices.Contains(ticket.Exclude, targetState.ID) || !ticket.allows(targetState) {
			continue
		}
		estimate := balancer.estimate(dispatchRound, targetState, ticket)
		timeliness := ticket.timeliness(targetState, dispatchRound.now, estimate)
		if timeliness == startsInTime && balancer.draws(trialFraction) {
			// The target may be fast again, which only a stream shows.
			timeliness = inTime
		}
		allLate = allLate && timeliness < inTime
		if timeliness < required || !balancer.accepts(dispatchRound.pool, targetState) {
			continue
		}
		if targetState.failedFraction > lowestFailedFraction+failingFraction &&
			rand.Float64() >= trialFraction {
			continue
		}
		cost := estimate + ticket.deadlineOverrun(targetState, dispatchRound.averages, dispatchRound.now, estimate)
		cost += balancer.lossCost(dispatchRound, targetState, ticket, estimate)
		if balancer.rate(targetState) > 0 {
			// A permit that isn't used soon expires.
			cost -= loadPenalty
		}
		dispatchRound.candidates = append(dispatchRound.candidates,
			candidate{targetState: targetState, estimate: estimate, cost: cost})
	}
	return balancer.pick(dispatchRound), allLate
}

// pick returns the candidate of the lowest cost or, while reports of other hosts
// are delayed, a random one of those whose cost is treated as equal. If these are too few
// for what all hosts send meanwhile, more are among them, those of lower cost first.
func (balancer *Balancer) pick(dispatchRound *dispatchRound) candidate {
	candidates := dispatchRound.candidates
	if len(candidates) == 0 {
		return candidate{}
	}
	if balancer.ReportsDelayed == nil || !balancer.ReportsDelayed() {
		return slices.MinFunc(candidates, candidate.compare)
	}
	pool := dispatchRound.pool
	candidates = balancer.preferOwnZone(pool, candidates, dispatchRound.now)
	slices.SortFunc(candidates, candidate.compare)
	best := candidates[0].cost
	maxCost := best + max(equalCostTime, time.Duration(equalCostFraction*float64(best)))
	needed := herdFactor * balancer.unseenRequests(pool, dispatchRound.now, balancer.hostCount())
	total, slots := 0.0, 0.0
	for i := range candidates {
		if candidates[i].cost > maxCost && slots >= needed {
			candidates = candidates[:i]
			break
		}
		targetState := candidates[i].targetState
		free := pool.freeSlots(targetState)
		slots += free
		// A faster target frees its slots sooner.
		total += free * targetState.relativeSpeed(dispatchRound.averages)
		candidates[i].weight = total
	}
	drawn := total * float64(balancer.randIntN(roundingResolution)) / roundingResolution
	index, _ := slices.BinarySearchFunc(candidates, drawn, func(candidate candidate, drawn float64) int {
		return cmp.Compare(candidate.weight, drawn)
	})
	return candidates[min(index, len(candidates)-1)]
}

// compare orders candidates by cost.
func (candidate candidate) compare(other candidate) int {
	return cmp.Compare(candidate.cost, other.cost)
}

// preferOwnZone returns the candidates in this host's zone, if they have room for what the
// hosts of the zone send before they learn of each other's requests, else all. Hosts of a
// zone hear of each other sooner than of others, and fewer of them choose among its targets.
func (balancer *Balancer) preferOwnZone(pool *pool, candidates []candidate, now time.Time) []candidate {
	if balancer.ZoneHostCount == nil {
		return candidates
	}
	count, slots := 0, 0.0
	for i := range candidates {
		if targetState := candidates[i].targetState; targetState.Zone == balancer.Zone {
			count++
			slots += pool.freeSlots(targetState)
		}
	}
	if count < minZoneTargets || slots < herdFactor*balancer.unseenRequests(pool, now, balancer.ZoneHostCount()) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(candidate candidate) bool { return candidate.targetState.Zone != balancer.Zone })
}

// freeSlots returns the free capacity of a target that accepts requests.
func (pool *pool) freeSlots(targetState *targetState) float64 {
	return float64(max(1, pool.capacity(targetState)-targetState.totalInFlight()))
}

// unseenRequests returns the number of requests that a number of hosts send to a pool until
// they learn of each other's, assuming that as many arrive at each.
func (balancer *Balancer) unseenRequests(pool *pool, now time.Time, hosts int) float64 {
	pool.arrivals.decay(now)
	span := balancer.propagationDelay()
	if pool.averageHoldTime > 0 {
		span = min(span, time.Duration(pool.averageHoldTime))
	}
	own := 0.0
	for tier := range pool.arrivals.counts {
		own += pool.arrivals.expected(tier, span)
	}
	return own * float64(max(1, hosts))
}

// relativeSpeed returns the speed at which a target reads prompts, relative to the average
// of its pool; 1 if it is unknown.
func (targetState *targetState) relativeSpeed(averages poolAverages) float64 {
	timePerToken := targetState.timePerToken()
	if timePerToken == 0 || averages.timePerToken == 0 {
		return 1
	}
	return min(max(float64(averages.timePerToken)/float64(timePerToken), 1/maxRelativeSpeed), maxRelativeSpeed)
}

// maxRelativeSpeed bounds the speeds that single observations suggest.
const maxRelativeSpeed = 4

// draws reports true with a probability.
func (balancer *Balancer) draws(probability float64) bool {
	return float64(balancer.randIntN(roundingResolution)) < probability*roundingResolution
}

func (balancer *Balancer) randIntN(bound int) int {
	if balancer.RandIntN != nil {
		return balancer.RandIntN(bound)
	}
	return rand.IntN(bound)
}

// isInTime reports whether an answer after the estimated time would be in time.
func (ticket *Ticket) isInTime(now time.Time, estimate time.Duration) bool {
	return ticket.Due.IsZero() || !now.Add(estimate).After(ticket.Due)
}

const (
	// longestGapFactor is the longest time between two events of a stream relative to the
	// average: engines read the prompts of others in between.
	longestGapFactor = 2
	// minPacedEvents is the number of events from which the time between them matters.
	minPacedEvents = 3
)

// keepsPace reports whether a target probably sends the events of the answer without a gap
// that is too long.
func (ticket *Ticket) keepsPace(targetState *targetState) bool {
	return ticket.EventGap == 0 || ticket.ExpectedEvents < minPacedEvents ||
		longestGapFactor*targetState.eventInterval() <= ticket.EventGap
}

// deadlineOverrun returns the time by which the end of the answer is expected to
// miss the ticket's deadline, 0 if it is not.
func (ticket *Ticket) deadlineOverrun(
	targetState *targetState, poolAverages poolAverages, now time.Time, estimate time.Duration,
) time.Duration {
	if ticket.ExpectedEvents == 0 || ticket.Deadline.IsZero() {
		return 0
	}
	timePerEvent := float64(targetState.eventInterval())
	if timePerEvent == 0 {
		timePerEvent = poolAverages.eventInterval
	}
	duration := time.Duration(lengthMarginFactor * timePerEvent * float64(ticket.ExpectedEvents))
	return max(0, now.Add(estimate+duration).Sub(ticket.Deadline))
}

// poolAverages holds averages over the targets of a pool, and the lowest of their
// failed fractions.
type poolAverages struct {
	// timePerToken and eventInterval, in nanoseconds, are averages over the targets
	// for which they are known, 0 if there are none.
	timePerToken         time.Duration
	eventInterval        float64
	lowestFailedFraction float64
	// tells is set if a target has told how long work takes there now. Those that have not
	// yet, such as new ones, are not preferred for it.
	tells bool
}

// averages returns the averages over the pool's targets.
func (pool *pool) averages() poolAverages {
	result := poolAverages{lowestFailedFraction: 1}
	tokenTimes, eventIntervals := 0, 0
	for _, targetState := range pool.targets {
		if timePerToken := targetState.timePerToken(); timePerToken > 0 {
			result.timePerToken += timePerToken
			tokenTimes++
		}
		if eventInterval := targetState.eventInterval(); eventInterval > 0 {
			result.eventInterval += float64(eventInterval)
			eventIntervals++
		}
		result.tells = result.tells || targetState.present != nil
		result.lowestFailedFraction = min(result.lowestFailedFraction, targetState.failedFraction)
	}
	result.timePerToken /= time.Duration(max(1, tokenTimes))
	result.eventInterval /= float64(max(1, eventIntervals))
	return result
}

// estimate returns the estimated time to the first event of a request at a target.
func (balancer *Balancer) estimate(
	dispatchRound *dispatchRound, targetState *targetState, ticket *Ticket,
) time.Duration {
	estimate := time.Duration(dispatchRound.pool.baseLatency)
	if dispatchRound.pool.isEngine {
		timePerToken := targetState.timePerToken()
		if timePerToken == 0 {
			timePerToken = dispatchRound.averages.timePerToken
		}
		promptTokens := float64(ticket.PromptTokens) +
			backlogFraction*float64(targetState.backlogTokens+targetState.othersBacklogTokens)
		estimate += time.Duration(float64(timePerToken) * promptTokens * targetState.present.promptFactor(dispatchRound.now))
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
