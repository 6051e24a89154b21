package balance

import "time"

// Grant is the right to send one request to a target once. It must be ended by End
// or Cancel.
type Grant struct {
	Target Target
	// Estimate is the estimated time to the first event.
	Estimate time.Duration
	// InFlight and OthersInFlight count the requests of this host and of the
	// others at the target before this one. ReportAge is the age of the oldest
	// report of another host.
	InFlight       int
	OthersInFlight int
	ReportAge      time.Duration
	// PrefillTokens is the prompt tokens to be read before the first event: the
	// request's own, and a fraction of those of requests without a first event.
	PrefillTokens int

	balancer     *Balancer
	targetState  *targetState
	promptTokens int
	grantedAt    time.Time
	// firstEventAt is set by RecordFirstEvent.
	firstEventAt time.Time
	started      bool
	ended        bool
}

// grant creates the grant of a target to a ticket.
func (balancer *Balancer) grant(pool *pool, ticket *Ticket, best candidate, now time.Time) *Grant {
	pool.refusedFraction -= averageWeight * pool.refusedFraction
	targetState := best.targetState
	grant := &Grant{
		Target:         targetState.Target,
		Estimate:       best.estimate,
		InFlight:       targetState.inFlight,
		OthersInFlight: targetState.othersInFlight,
		ReportAge:      balancer.oldestReportAge(now),
		PrefillTokens:  ticket.PromptTokens + int(backlogFraction*float64(targetState.backlogTokens+targetState.othersBacklogTokens)),
		balancer:       balancer,
		targetState:    targetState,
		promptTokens:   ticket.PromptTokens,
		grantedAt:      now,
	}
	targetState.inFlight++
	targetState.remainingShare--
	targetState.zone.recordAttempt(now)
	targetState.backlogTokens += ticket.PromptTokens
	return grant
}

// RecordFirstEvent records that the first event of the answer has arrived. Only
// the first call counts.
func (grant *Grant) RecordFirstEvent() {
	balancer := grant.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if grant.started || grant.ended {
		return
	}
	grant.started = true
	targetState := grant.targetState
	targetState.backlogTokens -= grant.promptTokens
	targetState.consecutiveFailures = 0
	targetState.zone.recordSuccess()
	balancer.recordLatency(targetState, grant)
	balancer.dispatch(balancer.pool(grant.Target.Pool))
}

// recordLatency records the time to the first event of a request.
func (balancer *Balancer) recordLatency(targetState *targetState, grant *Grant) {
	pool := balancer.pool(grant.Target.Pool)
	took := time.Since(grant.grantedAt)
	grant.firstEventAt = grant.grantedAt.Add(took)
	rest := float64(took - targetState.timePerToken()*time.Duration(grant.PrefillTokens))
	if pool.baseLatency == 0 {
		pool.baseLatency = max(0, rest)
	}
	pool.baseLatency = max(0, pool.baseLatency+averageWeight*(rest-pool.baseLatency))
	if pool.isEngine && grant.PrefillTokens > 0 {
		targetState.speed.addPrompt(took-time.Duration(pool.baseLatency), float64(grant.PrefillTokens))
	}
}

// Outcome is how a request ended at its target.
type Outcome int

// The outcomes.
const (
	// Served: the target answered, whatever the answer was.
	Served Outcome = iota
	// Failed: the target answered with an error of its own, or broke off.
	Failed
	// Unreachable: the target read nothing of the request.
	Unreachable
	// Full: the target refused the request for lack of capacity.
	Full
	// Replaced: another incarnation answered at the target's address.
	Replaced
	// Cancelled: the caller left, or the request was never sent.
	Cancelled
)

// Cancel returns a grant that was not used.
func (grant *Grant) Cancel() { grant.End(Cancelled) }

// RecordStreamEnd records the number of events of a complete stream.
func (grant *Grant) RecordStreamEnd(events int) {
	balancer := grant.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if grant.started && events > 1 {
		grant.targetState.speed.addEvents(time.Since(grant.firstEventAt), events-1)
	}
}

// End records how the request ended and frees its slot. Only the first call
// counts.
func (grant *Grant) End(outcome Outcome) {
	balancer := grant.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if grant.ended {
		return
	}
	grant.ended = true
	targetState := grant.targetState
	pool := balancer.pool(grant.Target.Pool)
	targetState.inFlight--
	targetState.remainingShare++
	pool.averageHoldTime += averageWeight * (float64(time.Since(grant.grantedAt)) - pool.averageHoldTime)
	if !grant.started {
		targetState.backlogTokens -= grant.promptTokens
	}
	targetState.recordEnd(outcome, grant)
	balancer.dispatch(pool)
}

func (targetState *targetState) recordEnd(outcome Outcome, grant *Grant) {
	now := time.Now()
	switch outcome {
	case Served:
		targetState.zone.recordSuccess()
		targetState.recordOutcome(false)
		targetState.consecutiveFailures = 0
	case Failed:
		targetState.recordOutcome(true)
	case Unreachable:
		targetState.recordUnreachable(now)
		targetState.zone.recordFailure(targetState.ID, now)
	case Full:
		targetState.zone.recordSuccess()
		targetState.pausedUntil = now.Add(fullPause)
	case Replaced:
		targetState.zone.recordSuccess()
		targetState.replaced = true
	case Cancelled:
		if !grant.started && now.Sub(grant.grantedAt) > max(minOverdue, overdueFactor*grant.Estimate) {
			targetState.recordOutcome(true)
		}
	}
}
