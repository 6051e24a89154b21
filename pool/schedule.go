package pool

import (
	"time"

	"nutmegfield.example/invariant"
	"nutmegfield.example/policy"
	"nutmegfield.example/request"
)

const (
	// maxCandidates limits the targets that a policy chooses from. In larger
	// pools these are the least busy ones and those that cached the prompt.
	maxCandidates = 32
	// maxHolders limits the candidates that were chosen for their cache.
	maxHolders = 12
	// lookAhead is how many tickets may be skipped in one run because the policy
	// lets them wait although slots are free. tickLookAhead applies to
	// Tick, which is not on a request's path.
	lookAhead     = 4
	tickLookAhead = 64
)

// schedule grants while a ticket is waiting and a target has a free slot.
func (pool *Pool) schedule(now time.Time) { pool.scheduleAhead(now, lookAhead) }

// scheduleAhead is schedule with a limit on the tickets that are skipped.
func (pool *Pool) scheduleAhead(now time.Time, lookAhead int) {
	if pool.settling(now) || pool.stopped {
		return
	}
	pool.scheduleIsolated(now)
	pool.restoreLarge(now)
	for pool.available.len() > 0 && len(pool.skipped) < lookAhead {
		next := pool.queue.next()
		if next == nil {
			break
		}
		pool.scheduleOne(next, now)
	}
	for i, item := range pool.skipped {
		pool.queue.putBack(item)
		pool.skipped[i] = nil
	}
	pool.skipped = pool.skipped[:0]
	pool.forgetAwaited()
}

func (pool *Pool) scheduleOne(next *item, now time.Time) {
	ticket := next.ticket
	switch {
	case pool.suspects.quarantined(ticket.Fingerprint, now):
		pool.queue.remove(ticket.ID)
		pool.refuse(ticket, request.ReasonQuarantined)
	case pool.suspects.suspected(ticket.Fingerprint, now):
		pool.isolate(next)
		pool.scheduleIsolated(now)
	case pool.missesDeadline(ticket, now):
		pool.queue.remove(ticket.ID)
		pool.refuse(ticket, request.ReasonDeadline)
	case pool.deferLarge(next):
	default:
		chosen, late := pool.choose(ticket)
		if late {
			pool.queue.remove(ticket.ID)
			pool.refuse(ticket, request.ReasonDeadline)
			return
		}
		if chosen == nil {
			pool.queue.setAside(next)
			pool.skipped = append(pool.skipped, next)
			return
		}
		pool.queue.take(next)
		pool.grant(ticket, chosen, now)
	}
}

// choose returns the target that the policy chose, or nil if the ticket should
// wait. It returns true if the ticket would miss its deadline on every target.
func (pool *Pool) choose(ticket *request.Ticket) (*target, bool) {
	pool.gather(ticket)
	if len(pool.candidates) == 0 {
		return nil, false
	}
	choice := pool.Policy.Choose(ticket, pool.candidates)
	if awaited, ok := choice.Awaited(); ok {
		pool.await(pool.chosen[awaited], ticket)
	}
	if choice < 0 {
		return nil, choice == policy.NoneInTime
	}
	return pool.chosen[choice], false
}

// await records that a ticket waits for a target, for the estimates of the
// tickets after it in the same run.
func (pool *Pool) await(target *target, ticket *request.Ticket) {
	if target.awaited == 0 {
		pool.awaited = append(pool.awaited, target)
	}
	target.awaited++
	target.awaitedPrefill += max(0, ticket.Size.PromptTokens-target.cached)
}

// forgetAwaited resets what await recorded.
func (pool *Pool) forgetAwaited() {
	for i, target := range pool.awaited {
		target.awaited = 0
		target.awaitedPrefill = 0
		pool.awaited[i] = nil
	}
	pool.awaited = pool.awaited[:0]
}

// gather collects the candidates: in a small pool all available targets in their
// configured order, else some that cached the prompt and the least busy ones.
func (pool *Pool) gather(ticket *request.Ticket) {
	pool.candidates = pool.candidates[:0]
	pool.chosen = pool.chosen[:0]
	pool.stamp++
	pool.lookUp(ticket)
	if len(pool.targets) <= maxCandidates {
		for _, target := range pool.targets {
			if pool.offered(target) {
				pool.add(target)
			}
		}
		return
	}
	for i := range pool.holders {
		if len(pool.candidates) == maxHolders {
			break
		}
		target := pool.byName[pool.holders[i].Target]
		if target != nil && pool.offered(target) {
			pool.add(target)
		}
	}
	for i := 0; i < pool.available.len() && len(pool.candidates) < maxCandidates; i++ {
		if target := pool.available.members[i]; target.stamp != pool.stamp || !target.candidate {
			pool.add(target)
		}
	}
}

// offered reports whether a target may be a candidate.
func (pool *Pool) offered(target *target) bool {
	return target.heapIndex != notInHeap || pool.Policy.IncludeFull && target.slots > 0
}

// lookUp sets how much of a ticket's prompt each target has cached.
func (pool *Pool) lookUp(ticket *request.Ticket) {
	pool.holders = pool.holders[:0]
	if pool.Prefixes == nil || len(ticket.Prefixes) == 0 {
		return
	}
	pool.holders = pool.Prefixes.Holders(ticket.Prefixes, pool.holders)
	for i := range pool.holders {
		if target := pool.byName[pool.holders[i].Target]; target != nil {
			target.stamp = pool.stamp
			target.candidate = false
			target.cached = pool.holders[i].Tokens
		}
	}
}

// mostCached returns the most prompt tokens that any target has cached.
func (pool *Pool) mostCached(ticket *request.Ticket) int {
	pool.stamp++
	pool.lookUp(ticket)
	if len(pool.holders) == 0 {
		return 0
	}
	return pool.holders[0].Tokens
}

func (pool *Pool) add(target *target) {
	if target.stamp != pool.stamp {
		target.stamp = pool.stamp
		target.cached = 0
	}
	target.candidate = true
	pool.chosen = append(pool.chosen, target)
	pool.candidates = append(pool.candidates, policy.Candidate{
		Name:                 target.Name,
		Slots:                target.slots,
		Running:              target.running,
		CachedTokens:         target.cached,
		FreeInSeconds:        target.freeIn(),
		PrefillRate:          target.prefillRate(),
		DecodeRate:           target.speed.decode.rate(),
		PendingPrefillTokens: target.pendingPrefill + target.awaitedPrefill,
		ReportedLoad:         float64(target.load.Running + target.load.Waiting),
		ReportedAt:           target.load.ReportedAt,
	})
}

// refresh updates a target's capacity and its position in the heap of available
// targets.
func (pool *Pool) refresh(target *target, now time.Time) {
	pool.sizes.slots -= target.slots
	target.slots = target.capacity(now)
	pool.sizes.slots += target.slots
	target.busyRank = target.busyness()
	if target.running >= target.slots {
		pool.available.remove(target)
		return
	}
	pool.available.fix(target)
}

func (pool *Pool) grant(ticket *request.Ticket, chosen *target, now time.Time) {
	since, leaving := pool.leaving[chosen.Name]
	invariant.LeavingTargetIdle.Check(!leaving, "grant to %s, which was reported leaving at %s", chosen.Name, since)
	pool.number++
	held := &holding{
		ticket:    ticket,
		target:    chosen,
		grantedAt: now,
		prefill:   max(0, ticket.Size.PromptTokens-chosen.cached),
		grant: request.Grant{
			Ticket:       ticket.ID,
			Round:        ticket.Round,
			Pool:         pool.Name,
			Target:       chosen.Name,
			Scheduler:    pool.Host,
			Number:       pool.number,
			CachedTokens: chosen.cached,
			Lifetime:     grantLifetime,
		},
	}
	if pool.Prefixes != nil {
		pool.Prefixes.RecordGrant(chosen.Name, ticket.Prefixes)
	}
	chosen.running++
	chosen.pendingPrefill += held.prefill
	held.ownPrefill = held.prefill
	held.expectedPrefill = chosen.pendingPrefill
	pool.held[ticket.ID] = held
	if held.large = pool.sizes.large(cost(ticket)); held.large {
		pool.sizes.running++
	}
	pool.refresh(chosen, now)
	pool.SendGrant(ticket.Entry, held.grant)
}
