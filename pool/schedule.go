package pool

import (
	"time"

	"nutmegfield.example/invariant"
	"nutmegfield.example/policy"
	"nutmegfield.example/request"
)

// schedule grants as long as a ticket waits and a target has room.
func (pool *Pool) schedule(now time.Time) {
	if now.Sub(pool.started) < pool.Settle {
		return
	}
	for pool.queue.len() > 0 {
		ticket := pool.queue.next()
		chosen := pool.choose(ticket)
		if chosen == nil {
			return
		}
		pool.queue.take(ticket)
		pool.grant(ticket, chosen, now)
	}
}

func (pool *Pool) choose(ticket *request.Ticket) *target {
	pool.candidates = pool.candidates[:0]
	pool.open = pool.open[:0]
	for _, target := range pool.targets {
		if target.Leaving || target.running >= target.Slots {
			continue
		}
		pool.open = append(pool.open, target)
		pool.candidates = append(pool.candidates, pool.candidate(ticket, target))
	}
	if len(pool.candidates) == 0 {
		return nil
	}
	choice := pool.Policy.Choose(ticket, pool.candidates)
	if choice == policy.Wait {
		return nil
	}
	return pool.open[choice]
}

func (pool *Pool) candidate(ticket *request.Ticket, target *target) policy.Candidate {
	return policy.Candidate{
		Name:           target.Name,
		Slots:          target.Slots,
		Running:        target.running,
		CachedTokens:   pool.cached(target, ticket),
		PendingPrefill: target.pendingPrefill,
		Reported:       float64(target.load.Running + target.load.Waiting),
		ReportedAt:     target.load.At,
	}
}

func (pool *Pool) cached(target *target, ticket *request.Ticket) int {
	if pool.Prefixes == nil || len(ticket.Prefixes) == 0 {
		return 0
	}
	return pool.Prefixes.Cached(target.Name, ticket.Prefixes)
}

func (pool *Pool) grant(ticket *request.Ticket, chosen *target, now time.Time) {
	invariant.LeavingTargetIdle.Check(!chosen.Leaving, "grant to %s", chosen.Name)
	cached := pool.cached(chosen, ticket)
	pool.number++
	held := &holding{
		ticket:  ticket,
		target:  chosen,
		at:      now,
		prefill: max(0, ticket.Size.PromptTokens-cached),
		grant: request.Grant{
			Ticket:       ticket.ID,
			Round:        ticket.Round,
			Pool:         pool.Name,
			Target:       chosen.Name,
			Scheduler:    pool.Host,
			Number:       pool.number,
			CachedTokens: cached,
			Lifetime:     grantLifetime,
		},
	}
	if pool.Prefixes != nil {
		pool.Prefixes.Granted(chosen.Name, ticket.Prefixes)
	}
	chosen.running++
	chosen.pendingPrefill += held.prefill
	pool.held[ticket.ID] = held
	pool.Granted(ticket.Entry, held.grant)
}
