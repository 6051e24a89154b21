package balance

import (
	"slices"
	"time"
)

func (balancer *Balancer) dispatchAll() {
	for _, pool := range balancer.pools {
		balancer.dispatch(pool)
	}
}

// dispatch grants targets to the waiting requests of a pool, the most important
// first, and refuses those that have waited until refuseAt. Requests that no target
// can answer in time get the capacity that the others leave.
func (balancer *Balancer) dispatch(pool *pool) {
	if len(pool.waiting) == 0 {
		return
	}
	now := time.Now()
	pool.holdsBack = pool.isBrittle(now)
	balancer.updateShare(pool, now)
	dispatchRound := &dispatchRound{pool: pool, now: now, freeCapacity: balancer.freeCapacity(pool, now), averages: pool.averages(), restingUntil: pool.restingUntil(now)}
	remaining := pool.waiting[:0]
	for _, ticket := range pool.waiting {
		if !balancer.grantOrRefuse(dispatchRound, ticket) {
			remaining = append(remaining, ticket)
		}
	}
	clear(pool.waiting[len(remaining):])
	pool.waiting = remaining
	for _, ticket := range dispatchRound.lateTickets {
		if *balancer.freeFor(dispatchRound, ticket) > 0 && balancer.grantLate(dispatchRound, ticket, anyTime) ||
			dispatchRound.refuseIfExpired(ticket) {
			pool.waiting = slices.DeleteFunc(pool.waiting, func(other *Ticket) bool { return other == ticket })
		}
	}
}

// dispatchRound is the state of one dispatch of a pool's waiting requests.
type dispatchRound struct {
	pool         *pool
	now          time.Time
	freeCapacity int
	// restricted are the free capacities for tickets with other restrictions than the usual.
	restricted []restrictedCapacity
	averages   poolAverages
	// restingUntil is when the first target wants requests again, if none does now.
	restingUntil time.Time
	// candidates is a buffer that choose reuses for each ticket.
	candidates []candidate
	// lateTickets are those that no target can answer in time.
	lateTickets []*Ticket
}

// isExpired reports whether a ticket has waited until its refuseAt, or will have before a
// target wants requests again.
func (dispatchRound *dispatchRound) isExpired(ticket *Ticket) bool {
	return !dispatchRound.now.Before(ticket.refuseAt) || dispatchRound.restingUntil.After(ticket.refuseAt)
}

// refuseIfExpired refuses a ticket that is expired, and reports whether it did.
func (dispatchRound *dispatchRound) refuseIfExpired(ticket *Ticket) bool {
	if !dispatchRound.isExpired(ticket) {
		return false
	}
	dispatchRound.pool.refusedFraction += averageWeight * (1 - dispatchRound.pool.refusedFraction)
	ticket.failed <- dispatchRound.pool.refusalError()
	return true
}

// grantOrRefuse grants a target to a ticket or refuses it, and reports whether it did
// either. A ticket that no target can answer in time is added to lateTickets.
func (balancer *Balancer) grantOrRefuse(dispatchRound *dispatchRound, ticket *Ticket) bool {
	pool := dispatchRound.pool
	free := balancer.freeFor(dispatchRound, ticket)
	if *free > pool.othersWaitingAbove(ticket.Tier) {
		best, allLate := balancer.choose(dispatchRound, ticket, inTime)
		if best.targetState != nil {
			*free--
			ticket.granted <- balancer.grant(pool, ticket, best, dispatchRound.now)
			return true
		}
		if allLate {
			dispatchRound.lateTickets = append(dispatchRound.lateTickets, ticket)
			return false
		}
		// Rather than be refused, a stream runs where its events come slowly.
		if dispatchRound.isExpired(ticket) && balancer.grantLate(dispatchRound, ticket, startsInTime) {
			return true
		}
	}
	return dispatchRound.refuseIfExpired(ticket)
}

// grantLate grants a target of less than the best timeliness to a ticket, and reports
// whether it did.
func (balancer *Balancer) grantLate(dispatchRound *dispatchRound, ticket *Ticket, required timeliness) bool {
	best, _ := balancer.choose(dispatchRound, ticket, required)
	if best.targetState == nil {
		return false
	}
	*balancer.freeFor(dispatchRound, ticket)--
	ticket.granted <- balancer.grant(dispatchRound.pool, ticket, best, dispatchRound.now)
	return true
}

func (pool *pool) refusalError() error {
	if len(pool.targets) == 0 {
		return Unserved.New("pool %s has no target", pool.name)
	}
	return Refused.New("no target of pool %s became free in time", pool.name)
}
