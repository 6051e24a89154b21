package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// choice is a target, the estimate for it and what it is ordered by.
type choice struct {
	state    *state
	expected time.Duration
	order    time.Duration
}

// choose returns the target with the lowest estimate that has room. With
// inTime only those that may answer in time count; hopeless reports that none
// could even if it had room.
func (balancer *Balancer) choose(pool *pool, ticket *Ticket, now time.Time, inTime bool) (best choice, hopeless bool) {
	usual := pool.typical()
	hopeless = true
	for _, state := range pool.targets {
		if !state.eligible(now) || slices.Contains(ticket.Exclude, state.ID) {
			continue
		}
		estimate := balancer.estimate(pool, state, ticket, usual, now)
		fits := ticket.fits(now, estimate)
		hopeless = hopeless && !fits
		if inTime && !fits || state.total() >= pool.capacity(state) {
			continue
		}
		if state.failing > usual.failing+failingShare && rand.Float64() >= trialShare {
			continue
		}
		order := estimate + ticket.overlong(state, usual, now, estimate)
		if best.state == nil || order < best.order {
			best = choice{state: state, expected: estimate, order: order}
		}
	}
	return best, hopeless
}

// fits reports whether a target may answer in time.
func (ticket *Ticket) fits(now time.Time, estimate time.Duration) bool {
	return ticket.Due.IsZero() || !now.Add(estimate).After(ticket.Due)
}

// overlong is how far beyond the deadline a target is expected to end its
// answer.
func (ticket *Ticket) overlong(state *state, usual usual, now time.Time, estimate time.Duration) time.Duration {
	if ticket.Events == 0 || ticket.Deadline.IsZero() {
		return 0
	}
	event := state.speed.event
	if event == 0 {
		event = usual.event
	}
	length := time.Duration(lengthMargin * event * float64(ticket.Events))
	return max(0, now.Add(estimate+length).Sub(ticket.Deadline))
}

// usual is what is known of a pool's targets together.
type usual struct {
	// perToken and event are means, failing is the least share of failures.
	perToken time.Duration
	event    float64
	failing  float64
}

// typical returns what is usual among the pool's targets.
func (pool *pool) typical() usual {
	found := usual{failing: 1}
	tokens, events := 0, 0
	for _, state := range pool.targets {
		if perToken := state.perToken(); perToken > 0 {
			found.perToken += perToken
			tokens++
		}
		if state.speed.event > 0 {
			found.event += state.speed.event
			events++
		}
		found.failing = min(found.failing, state.failing)
	}
	found.perToken /= time.Duration(max(1, tokens))
	found.event /= float64(max(1, events))
	return found
}

// estimate is the time to the first event of a request at a target.
func (balancer *Balancer) estimate(pool *pool, state *state, ticket *Ticket, usual usual, now time.Time) time.Duration {
	estimate := time.Duration(pool.start)
	if pool.engine {
		perToken := state.perToken()
		if perToken == 0 {
			perToken = usual.perToken
		}
		work := float64(ticket.PromptTokens) + backlogShare*float64(state.backlog+state.peersBacklog)
		estimate += time.Duration(float64(perToken) * work)
	}
	// Of equal targets the emptier one is taken.
	estimate += crowding * time.Duration(state.total()) / time.Duration(max(1, state.Slots))
	estimate += time.Duration(failurePenalty * state.failing * float64(estimate))
	if state.Zone != balancer.Zone {
		estimate += crossZone
	}
	if now.Before(state.ColdUntil) {
		estimate *= 2
	}
	return estimate
}
