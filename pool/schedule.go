package pool

import (
	"time"

	"nutmegfield.example/invariant"
	"nutmegfield.example/policy"
	"nutmegfield.example/request"
)

const (
	// maxCandidates limits the targets that a policy chooses from. In larger
	// pools these are the least busy targets and those that have cached a part
	// of the prompt.
	maxCandidates = 32
	// maxHolders limits the candidates that are included for their cache.
	maxHolders = 12
	// maxSkippedTickets is how many tickets one run may skip because the policy
	// lets them wait although slots are free. maxSkippedInTick applies to Tick,
	// which no request waits for.
	maxSkippedTickets = 4
	maxSkippedInTick  = 64
)

// schedule grants waiting tickets while targets have free slots.
func (pool *Pool) schedule(now time.Time) { pool.scheduleSkipping(now, maxSkippedTickets) }

// scheduleSkipping is schedule with a limit on the number of tickets that are
// skipped.
func (pool *Pool) scheduleSkipping(now time.Time, maxSkipped int) {
	if pool.isSettling(now) || pool.stopped {
		return
	}
	pool.scheduleIsolated(now)
	pool.restoreLarge(now)
	for pool.available.len() > 0 && len(pool.skipped) < maxSkipped {
		next := pool.queue.nextToGrant()
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
	pool.resetAwaited()
}

func (pool *Pool) scheduleOne(next *item, now time.Time) {
	ticket := next.ticket
	switch {
	case pool.suspects.isQuarantined(ticket.Fingerprint, now):
		pool.queue.remove(ticket.ID)
		pool.refuse(ticket, request.ReasonQuarantined)
	case pool.suspects.isSuspect(ticket.Fingerprint, now):
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
		pool.queue.takeGranted(next)
		pool.grant(ticket, chosen, now)
	}
}

// choose returns the target that the policy chose, or nil if the ticket should
// wait. It returns true if the ticket would miss its deadline on every target.
func (pool *Pool) choose(ticket *request.Ticket) (*target, bool) {
	pool.gatherCandidates(ticket)
	if len(pool.candidates) == 0 {
		return nil, false
	}
	choice := pool.Policy.Choose(ticket, pool.candidates)
	if awaited, ok := choice.Awaited(); ok {
		pool.recordAwaited(pool.candidateTargets[awaited], ticket)
	}
	if choice < 0 {
		return nil, choice == policy.NoneInTime
	}
	return pool.candidateTargets[choice], false
}

// recordAwaited records that a ticket waits for a target, for the estimates of the
// tickets after it in the same run.
func (pool *Pool) recordAwaited(target *target, ticket *request.Ticket) {
	if target.awaited == 0 {
		pool.awaitedTargets = append(pool.awaitedTargets, target)
	}
	target.awaited++
	target.awaitedPrefillTokens += max(0, ticket.Size.PromptTokens-target.cachedTokens)
}

// resetAwaited resets what recordAwaited recorded.
func (pool *Pool) resetAwaited() {
	for i, target := range pool.awaitedTargets {
		target.awaited = 0
		target.awaitedPrefillTokens = 0
		pool.awaitedTargets[i] = nil
	}
	pool.awaitedTargets = pool.awaitedTargets[:0]
}

// gatherCandidates collects the candidates: in a small pool all available
// targets in their configured order, else some that have cached a part of the
// prompt, and the least busy ones.
func (pool *Pool) gatherCandidates(ticket *request.Ticket) {
	pool.candidates = pool.candidates[:0]
	pool.candidateTargets = pool.candidateTargets[:0]
	pool.lookupNumber++
	pool.lookUpCached(ticket)
	if len(pool.targets) <= maxCandidates {
		for _, target := range pool.targets {
			if pool.mayBeCandidate(target) {
				pool.addCandidate(target)
			}
		}
		return
	}
	for i := range pool.holders {
		if len(pool.candidates) == maxHolders {
			break
		}
		target := pool.byName[pool.holders[i].Target]
		if target != nil && pool.mayBeCandidate(target) {
			pool.addCandidate(target)
		}
	}
	for i := 0; i < pool.available.len() && len(pool.candidates) < maxCandidates; i++ {
		if target := pool.available.members[i]; target.lookupNumber != pool.lookupNumber || !target.candidate {
			pool.addCandidate(target)
		}
	}
}

// mayBeCandidate reports whether a target may be a candidate.
func (pool *Pool) mayBeCandidate(target *target) bool {
	return target.heapIndex != notInHeap || pool.Policy.IncludeFull && target.slots > 0
}

// lookUpCached sets cachedTokens of each target that has cached a part of a
// ticket's prompt.
func (pool *Pool) lookUpCached(ticket *request.Ticket) {
	pool.holders = pool.holders[:0]
	if pool.Prefixes == nil || len(ticket.Prefixes) == 0 {
		return
	}
	pool.holders = pool.Prefixes.Holders(ticket.Prefixes, pool.holders)
	for i := range pool.holders {
		if target := pool.byName[pool.holders[i].Target]; target != nil {
			target.lookupNumber = pool.lookupNumber
			target.candidate = false
			target.cachedTokens = pool.holders[i].Tokens
		}
	}
}

// mostCached returns the greatest number of a ticket's prompt tokens that any
// target has cached.
func (pool *Pool) mostCached(ticket *request.Ticket) int {
	pool.lookupNumber++
	pool.lookUpCached(ticket)
	if len(pool.holders) == 0 {
		return 0
	}
	return pool.holders[0].Tokens
}

// addCandidate adds a target to the candidates of the current ticket.
func (pool *Pool) addCandidate(target *target) {
	if target.lookupNumber != pool.lookupNumber {
		target.lookupNumber = pool.lookupNumber
		target.cachedTokens = 0
	}
	target.candidate = true
	pool.candidateTargets = append(pool.candidateTargets, target)
	pool.candidates = append(pool.candidates, policy.Candidate{
		Name:                 target.Name,
		Slots:                target.slots,
		Running:              target.running,
		CachedTokens:         target.cachedTokens,
		FreeInSeconds:        target.secondsUntilFree(),
		PrefillRate:          target.prefillRate(),
		DecodeRate:           target.speed.decode.rate(),
		PendingPrefillTokens: target.pendingPrefillTokens + target.awaitedPrefillTokens,
		ReportedLoad:         float64(target.reportedLoad.Running + target.reportedLoad.Waiting),
		ReportedAt:           target.reportedLoad.ReportedAt,
	})
}

// refresh updates a target's capacity and its position in the heap of available
// targets.
func (pool *Pool) refresh(target *target, now time.Time) {
	pool.largeLimiter.totalSlots -= target.slots
	target.slots = target.capacity(now)
	pool.largeLimiter.totalSlots += target.slots
	target.busyRank = target.busyness()
	if target.running >= target.slots {
		pool.available.remove(target)
		return
	}
	pool.available.addOrFix(target)
}

func (pool *Pool) grant(ticket *request.Ticket, chosen *target, now time.Time) {
	since, leaving := pool.leavingSince[chosen.Name]
	invariant.LeavingTargetIdle.Check(!leaving, "grant to %s, which was reported leaving at %s", chosen.Name, since)
	pool.lastGrantNumber++
	holding := &holding{
		ticket:               ticket,
		target:               chosen,
		grantedAt:            now,
		pendingPrefillTokens: max(0, ticket.Size.PromptTokens-chosen.cachedTokens),
		grant: request.Grant{
			Ticket:       ticket.ID,
			Round:        ticket.Round,
			Pool:         pool.Name,
			Target:       chosen.Name,
			Scheduler:    pool.Host,
			Number:       pool.lastGrantNumber,
			CachedTokens: chosen.cachedTokens,
			Lifetime:     grantLifetime,
		},
	}
	if pool.Prefixes != nil {
		pool.Prefixes.RecordGrant(chosen.Name, ticket.Prefixes)
	}
	chosen.running++
	if chosen.reportedLoad.Limit > 0 {
		chosen.limitLevel--
	}
	chosen.pendingPrefillTokens += holding.pendingPrefillTokens
	holding.ownPrefillTokens = holding.pendingPrefillTokens
	holding.pendingAtGrantTokens = chosen.pendingPrefillTokens
	pool.holdings[ticket.ID] = holding
	if holding.countedAsLarge = pool.largeLimiter.isLarge(cost(ticket)); holding.countedAsLarge {
		pool.largeLimiter.largeRunning++
	}
	pool.refresh(chosen, now)
	pool.SendGrant(ticket.Entry, holding.grant)
}
