package balance

import (
	"slices"
	"time"
)

func (balancer *Balancer) pumpAll() {
	for _, pool := range balancer.pools {
		balancer.pump(pool)
	}
}

// pump grants targets to the waiting requests of a pool, the most important
// first, and refuses those whose time is over. Requests that can't be in time
// anywhere get what the others leave.
func (balancer *Balancer) pump(pool *pool) {
	if len(pool.waiting) == 0 {
		return
	}
	now := time.Now()
	balancer.claim(pool, now)
	round := &round{pool: pool, now: now, free: pool.free(now), usual: pool.typical()}
	kept := pool.waiting[:0]
	for _, ticket := range pool.waiting {
		if !balancer.serve(round, ticket) {
			kept = append(kept, ticket)
		}
	}
	clear(pool.waiting[len(kept):])
	pool.waiting = kept
	for _, ticket := range round.late {
		if round.free > 0 && balancer.grantLate(round, ticket) || round.refuse(ticket) {
			pool.waiting = slices.DeleteFunc(pool.waiting, func(other *Ticket) bool { return other == ticket })
		}
	}
}

// round is one look at the waiting requests of a pool.
type round struct {
	pool  *pool
	now   time.Time
	free  int
	usual usual
	// choices is room for the targets that a ticket may get.
	choices []choice
	// late are the requests that can't be in time.
	late []*Ticket
}

// refuse refuses a ticket whose time is over, and reports whether it was.
func (round *round) refuse(ticket *Ticket) bool {
	if round.now.Before(ticket.until) {
		return false
	}
	round.pool.refused += gain * (1 - round.pool.refused)
	ticket.failed <- round.pool.refusal()
	return true
}

// serve grants or refuses a ticket, and reports whether it did. One that can't
// be in time is left for what the others leave.
func (balancer *Balancer) serve(round *round, ticket *Ticket) bool {
	pool := round.pool
	if round.free > pool.othersAhead(ticket.Tier) {
		best, hopeless := balancer.choose(round, ticket, true)
		if best.state != nil {
			round.free--
			ticket.granted <- balancer.grant(pool, ticket, best, round.now)
			return true
		}
		if hopeless {
			round.late = append(round.late, ticket)
			return false
		}
	}
	return round.refuse(ticket)
}

// grantLate grants a target to a ticket that can't be in time.
func (balancer *Balancer) grantLate(round *round, ticket *Ticket) bool {
	best, _ := balancer.choose(round, ticket, false)
	if best.state == nil {
		return false
	}
	round.free--
	ticket.granted <- balancer.grant(round.pool, ticket, best, round.now)
	return true
}

func (pool *pool) refusal() error {
	if len(pool.targets) == 0 {
		return Unserved.New("pool %s has no target", pool.name)
	}
	return Refused.New("no target of pool %s became free in time", pool.name)
}
