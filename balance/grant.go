package balance

import "time"

// Grant is the right to send one request to a target once.
type Grant struct {
	Target Target
	// Estimate is the estimated time to the first event.
	Estimate time.Duration
	// InFlight and OthersOpen are the requests that this host and the others had
	// at the target, ReportAge the age of the oldest report of theirs.
	InFlight       int
	OthersInFlight int
	ReportAge  time.Duration
	// PrefillTokens is the work before the first event, in prompt tokens: the
	// request's own and that of others that wait for theirs.
	PrefillTokens int

	balancer *Balancer
	state    *state
	prompt   int
	begun    time.Time
	// startedAt is when the first event came.
	startedAt time.Time
	started   bool
	ended     bool
}

// grant gives a target to a ticket.
func (balancer *Balancer) grant(pool *pool, ticket *Ticket, best choice, now time.Time) *Grant {
	pool.refused -= gain * pool.refused
	state := best.state
	grant := &Grant{
		Target:     state.Target,
		Estimate:   best.expected,
		InFlight:       state.open,
		OthersInFlight: state.peersOpen,
		ReportAge:  balancer.reportAge(now),
		PrefillTokens:       ticket.PromptTokens + int(backlogShare*float64(state.backlog+state.peersBacklog)),
		balancer:   balancer,
		state:      state,
		prompt:     ticket.PromptTokens,
		begun:      now,
	}
	state.open++
	state.claimed--
	state.zone.tried(now)
	state.backlog += ticket.PromptTokens
	return grant
}

// RecordFirstEvent tells that the first event of the answer has come.
func (grant *Grant) RecordFirstEvent() {
	balancer := grant.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if grant.started || grant.ended {
		return
	}
	grant.started = true
	state := grant.state
	state.backlog -= grant.prompt
	state.failures = 0
	state.zone.reached()
	balancer.learn(state, grant)
	balancer.pump(balancer.pool(grant.Target.Pool))
}

// learn takes the time to the first event of a request.
func (balancer *Balancer) learn(state *state, grant *Grant) {
	pool := balancer.pool(grant.Target.Pool)
	took := time.Since(grant.begun)
	grant.startedAt = grant.begun.Add(took)
	rest := float64(took - state.perToken()*time.Duration(grant.PrefillTokens))
	if pool.start == 0 {
		pool.start = max(0, rest)
	}
	pool.start = max(0, pool.start+gain*(rest-pool.start))
	if pool.engine && grant.PrefillTokens > 0 {
		state.speed.learn(took-time.Duration(pool.start), float64(grant.PrefillTokens))
	}
}

// Outcome is how a request ended at its target.
type Outcome int

// The outcomes.
const (
	// Served: the target answered, whatever its answer was.
	Served Outcome = iota
	// Failed: the target answered with a failure of its own, or broke off.
	Failed
	// Unreachable: the target read nothing.
	Unreachable
	// Full: the target refused the request.
	Full
	// Replaced: another life answers at the target's address.
	Replaced
	// Cancelled: the caller left, or the request was never sent.
	Cancelled
)

// Cancel gives back a grant that was not used.
func (grant *Grant) Cancel() { grant.End(Cancelled) }

// RecordStreamEnd tells how many events a whole stream had.
func (grant *Grant) RecordStreamEnd(events int) {
	balancer := grant.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if grant.started && events > 1 {
		grant.state.speed.learnEvents(time.Since(grant.startedAt), events-1)
	}
}

// End tells how the request ended. Only the first call counts.
func (grant *Grant) End(outcome Outcome) {
	balancer := grant.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if grant.ended {
		return
	}
	grant.ended = true
	state := grant.state
	pool := balancer.pool(grant.Target.Pool)
	state.open--
	state.claimed++
	pool.held += gain * (float64(time.Since(grant.begun)) - pool.held)
	if !grant.started {
		state.backlog -= grant.prompt
	}
	state.end(outcome, grant)
	balancer.pump(pool)
}

func (state *state) end(outcome Outcome, grant *Grant) {
	now := time.Now()
	switch outcome {
	case Served:
		state.zone.reached()
		state.outcome(false)
		state.failures = 0
	case Failed:
		state.outcome(true)
	case Unreachable:
		state.unreachable(now)
		state.zone.unreachable(state.ID, now)
	case Full:
		state.zone.reached()
		state.pausedUntil = now.Add(fullPause)
	case Replaced:
		state.zone.reached()
		state.gone = true
	case Cancelled:
		if !grant.started && now.Sub(grant.begun) > max(overdueLeast, overdueFactor*grant.Estimate) {
			state.outcome(true)
		}
	}
}
