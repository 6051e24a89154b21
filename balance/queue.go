package balance

import "time"

// until is when a ticket that waits is refused: when a usual target could not
// be expected to answer in time any more, or soon if the queue before it is too
// long for that.
func (balancer *Balancer) until(pool *pool, ticket *Ticket) time.Time {
	if ticket.Due.IsZero() {
		return ticket.Deadline
	}
	objective := ticket.Due.Sub(ticket.arrived)
	usual := time.Duration(pool.start) + pool.typical().perToken*time.Duration(ticket.PromptTokens)
	wait := max(objective-marginFactor*usual, objective/leastWait)
	if pool.contended && balancer.queueing(pool, ticket) > wait {
		wait = objective / leastWait
	}
	until := ticket.arrived.Add(wait)
	if !ticket.Deadline.IsZero() && until.After(ticket.Deadline) {
		return ticket.Deadline
	}
	return until
}

// hopelessWait stands for a queue that gets longer.
const hopelessWait = time.Hour

// queueing is how long the requests before a ticket are expected to take, on
// all hosts: those of its tier and higher ones that wait, at the rate at which
// slots become free, less that of new requests of higher tiers.
func (balancer *Balancer) queueing(pool *pool, ticket *Ticket) time.Duration {
	pool.arrivals.decay(ticket.arrived)
	rate := pool.places(ticket.arrived) / max(pool.held, 1) * float64(time.Second)
	ahead := 0
	for tier, waiting := range pool.waitingByTier(pool.tiers()) {
		if tier > ticket.Tier {
			break
		}
		ahead += waiting + pool.othersWaiting(tier)
		if tier < ticket.Tier {
			rate -= pool.arrivals.within(tier, time.Second) * float64(balancer.hosts())
		}
	}
	if rate <= 0 {
		return hopelessWait
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// othersAhead counts the other hosts' waiting requests of higher tiers.
func (pool *pool) othersAhead(tier int) int {
	ahead := 0
	for other, waiting := range pool.others {
		if other < tier {
			ahead += waiting
		}
	}
	return ahead
}

// tiers is how many tiers have requests, as far as is known, on any host.
func (pool *pool) tiers() int { return max(len(pool.others), len(pool.arrivals.counts)) }

// waitingByTier counts this host's waiting requests; none may be of a tier beyond
// the given number.
func (pool *pool) waitingByTier(tiers int) []int {
	waiting := make([]int, tiers)
	for _, ticket := range pool.waiting {
		waiting[ticket.Tier]++
	}
	return waiting
}

func (pool *pool) othersWaiting(tier int) int {
	if tier >= len(pool.others) {
		return 0
	}
	return pool.others[tier]
}

// queued is how long a new request is expected to wait in an engine's queue for
// a slot.
func (pool *pool) queued(state *state) time.Duration {
	before := state.total() + 1 - state.Slots
	if !pool.engine || before <= 0 {
		return 0
	}
	return time.Duration(pool.held) * time.Duration(before) / time.Duration(max(1, state.Slots))
}
