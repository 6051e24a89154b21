package balance

import "time"

// patienceDivisor divides the objective for the time that a request waits at least if its turn
// probably comes within it. Its answer may be late then, but that of a caller who is told to
// come back is late in any case.
const patienceDivisor = 2

// refusalTime returns the time at which a ticket that still waits is refused: when a
// typical target could no longer answer in time, or after a short wait if the queue
// ahead of the ticket is too long for it to be served by then. While the pool is contended,
// it waits longer if its turn comes soon.
func (balancer *Balancer) refusalTime(pool *pool, ticket *Ticket) time.Time {
	_, allLimited := balancer.limitedRate(pool, ticket.arrived)
	if ticket.Due.IsZero() {
		if timeout := ticket.Deadline.Sub(ticket.arrived); allLimited && !ticket.Deadline.IsZero() && balancer.estimatedWait(pool, ticket) > timeout {
			return ticket.arrived.Add(timeout / minWaitDivisor)
		}
		return ticket.Deadline
	}
	objective := ticket.Due.Sub(ticket.arrived)
	typicalLatency := time.Duration(pool.baseLatency) + pool.averages().timePerToken*time.Duration(ticket.PromptTokens)
	wait := max(objective-firstEventMarginFactor*typicalLatency, objective/minWaitDivisor)
	if pool.contended || allLimited {
		patience := max(wait, objective/patienceDivisor)
		if balancer.estimatedWait(pool, ticket) > patience {
			patience = objective / minWaitDivisor
		}
		wait = patience
	}
	refuseAt := ticket.arrived.Add(wait)
	if !ticket.Deadline.IsZero() && refuseAt.After(ticket.Deadline) {
		return ticket.Deadline
	}
	return refuseAt
}

// unboundedWait is the estimated wait in a queue that grows.
const unboundedWait = time.Hour

// estimatedWait estimates how long a ticket waits for the waiting requests of its
// own and higher tiers on all hosts. It divides their number by the rate at which
// slots become free, less the arrival rate of higher tiers.
func (balancer *Balancer) estimatedWait(pool *pool, ticket *Ticket) time.Duration {
	pool.arrivals.decay(ticket.arrived)
	rate := balancer.servingRate(pool, ticket.arrived)
	ahead := 0
	for tier, waiting := range pool.waitingByTier(pool.tierCount()) {
		if tier > ticket.Tier {
			break
		}
		ahead += waiting + pool.othersWaitingInTier(tier)
		if tier < ticket.Tier {
			rate -= pool.arrivals.expected(tier, time.Second) * float64(balancer.hostCount())
		}
	}
	if rate <= 0 {
		return unboundedWait
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// othersWaitingAbove returns the number of waiting requests of other hosts whose
// tiers are more important than the given one.
func (pool *pool) othersWaitingAbove(tier int) int {
	ahead := 0
	for other, waiting := range pool.othersWaitingByTier {
		if other < tier {
			ahead += waiting
		}
	}
	return ahead
}

// tierCount returns the number of tiers for which this host counts arrivals or
// another one reports waiting requests.
func (pool *pool) tierCount() int {
	return max(len(pool.othersWaitingByTier), len(pool.arrivals.counts))
}

// waitingByTier returns the number of this host's waiting requests by tier. All of
// their tiers must be less than the argument.
func (pool *pool) waitingByTier(tiers int) []int {
	waiting := make([]int, tiers)
	for _, ticket := range pool.waiting {
		waiting[ticket.Tier]++
	}
	return waiting
}

func (pool *pool) othersWaitingInTier(tier int) int {
	if tier >= len(pool.othersWaitingByTier) {
		return 0
	}
	return pool.othersWaitingByTier[tier]
}

// queueDelay estimates how long a new request waits in an engine's own queue for a
// slot.
func (pool *pool) queueDelay(targetState *targetState) time.Duration {
	ahead := targetState.totalInFlight() + 1 - targetState.Slots
	if !pool.isEngine || ahead <= 0 {
		return 0
	}
	return time.Duration(pool.averageHoldTime) * time.Duration(ahead) / time.Duration(max(1, targetState.Slots))
}
