package balance

import "time"

// Grant permits sending one request to a target once. It must be ended by End or
// Cancel.
type Grant struct {
	Target Target
	// Estimate is the estimated time to the first event.
	Estimate time.Duration
	// EventInterval is the average time between two events of the target's streams, 0 if
	// it is unknown.
	EventInterval time.Duration
	// InFlight and OthersInFlight are the numbers of requests that this host and
	// the others had in flight at the target before this one. ReportAge is the age
	// of the oldest report of another host.
	InFlight       int
	OthersInFlight int
	ReportAge      time.Duration
	// PrefillTokens is the estimated number of prompt tokens that the target reads
	// before the first event: the request's own, and a fraction of those of other
	// requests without a first event.
	PrefillTokens int
	// Limit is the requests a second that the target takes from all hosts together, 0
	// for no limit.
	Limit float64

	balancer     *Balancer
	targetState  *targetState
	promptTokens int
	grantedAt    time.Time
	// firstEventAt and hasFirstEvent are set by RecordFirstEvent.
	firstEventAt  time.Time
	hasFirstEvent bool
	ended         bool
	// told is the duration of work that the target told with the answer, 0 if none.
	told float64
}

// grant creates the grant of a target to a ticket.
func (balancer *Balancer) grant(pool *pool, ticket *Ticket, best candidate, now time.Time) *Grant {
	pool.refusedFraction -= averageWeight * pool.refusedFraction
	targetState := best.targetState
	grant := &Grant{
		Target:         targetState.Target,
		Estimate:       best.estimate,
		EventInterval:  targetState.eventInterval(),
		InFlight:       targetState.inFlight,
		OthersInFlight: targetState.othersInFlight,
		ReportAge:      balancer.oldestReportAge(now),
		PrefillTokens: ticket.PromptTokens +
			int(backlogFraction*float64(targetState.backlogTokens+targetState.othersBacklogTokens)),
		balancer:     balancer,
		targetState:  targetState,
		promptTokens: ticket.PromptTokens,
		grantedAt:    now,
	}
	if grant.Limit = balancer.rate(targetState); grant.Limit > 0 {
		balancer.Limits.Take(&targetState.Target)
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
	if grant.hasFirstEvent || grant.ended {
		return
	}
	grant.hasFirstEvent = true
	targetState := grant.targetState
	targetState.backlogTokens -= grant.promptTokens
	targetState.consecutiveFailures, targetState.consecutiveRefusals = 0, 0
	targetState.zone.recordSuccess()
	balancer.recordLatency(targetState, grant)
	balancer.dispatch(balancer.getOrCreatePool(grant.Target.Pool))
}

// recordLatency records the time to the first event of a request.
func (balancer *Balancer) recordLatency(targetState *targetState, grant *Grant) {
	pool := balancer.getOrCreatePool(grant.Target.Pool)
	latency := time.Since(grant.grantedAt)
	grant.firstEventAt = grant.grantedAt.Add(latency)
	usual := targetState.timePerToken() * time.Duration(grant.PrefillTokens)
	sample := float64(latency - usual)
	if pool.baseLatency == 0 {
		pool.baseLatency = max(0, sample)
	}
	pool.baseLatency = max(0, pool.baseLatency+averageWeight*(sample-pool.baseLatency))
	if pool.isEngine && grant.PrefillTokens > 0 {
		duration := latency - time.Duration(pool.baseLatency)
		if present := targetState.present; present != nil {
			duration = present.normalize(&present.prompts, grant.told, duration, usual)
		}
		targetState.speed.addPrompt(duration, float64(grant.PrefillTokens))
		pool.recordObserved(targetState)
	}
}

// Outcome is how a request ended at its target.
type Outcome int

// The outcomes.
const (
	// Served means that the target answered, whatever the answer was.
	Served Outcome = iota
	// Failed means that the target reported an internal error, or that its answer
	// was incomplete or invalid.
	Failed
	// Unreachable means that the target received nothing of the request.
	Unreachable
	// Full means that the target refused the request for lack of capacity.
	Full
	// Replaced means that another incarnation answered at the target's address.
	Replaced
	// Cancelled means that the caller closed its connection, or that the request
	// was not sent.
	Cancelled
)

// Cancel ends a grant that was not used.
func (grant *Grant) Cancel() { grant.End(Cancelled) }

// RecordStreamEnd records the number of events of a complete stream, from which
// the average time between events is computed.
func (grant *Grant) RecordStreamEnd(events int) {
	balancer := grant.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if grant.hasFirstEvent && events > 1 {
		targetState := grant.targetState
		duration := time.Since(grant.firstEventAt)
		if present := targetState.present; present != nil {
			usual := targetState.eventInterval() * time.Duration(events-1)
			duration = present.normalize(&present.events, grant.told, duration, usual)
		}
		targetState.speed.addEvents(duration, events-1)
		balancer.getOrCreatePool(grant.Target.Pool).recordObserved(targetState)
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
	pool := balancer.getOrCreatePool(grant.Target.Pool)
	targetState.inFlight--
	targetState.remainingShare++
	pool.averageHoldTime += averageWeight * (float64(time.Since(grant.grantedAt)) - pool.averageHoldTime)
	if !grant.hasFirstEvent {
		targetState.backlogTokens -= grant.promptTokens
	}
	targetState.recordEnd(outcome, grant)
	if now := time.Now(); outcome == Full && pool.isBrittle(now) {
		targetState.brittleBackoffUntil = now.Add(balancer.brittleBackoff(pool))
	}
	balancer.dispatch(pool)
}

func (targetState *targetState) recordEnd(outcome Outcome, grant *Grant) {
	now := time.Now()
	switch outcome {
	case Served:
		targetState.zone.recordSuccess()
		targetState.recordOutcome(false)
		targetState.consecutiveFailures, targetState.consecutiveRefusals = 0, 0
	case Failed:
		targetState.recordOutcome(true)
	case Unreachable:
		targetState.recordUnreachable(now)
		targetState.zone.recordFailure(targetState.ID, now)
	case Full:
		targetState.zone.recordSuccess()
		targetState.recordFull(now)
	case Replaced:
		targetState.zone.recordSuccess()
		targetState.replaced = true
	case Cancelled:
		if !grant.hasFirstEvent && now.Sub(grant.grantedAt) > max(minOverdue, overdueFactor*grant.Estimate) {
			targetState.recordOutcome(true)
		}
	}
}
