package balance

import (
	"cmp"
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

const (
	// nearPart and nearTime are how far from the best, in parts of its estimate
	// and in time, a target may be to be taken for as good where reports come
	// late: if all hosts took the best, it would be overrun before they hear
	// of it.
	nearPart = 0.25
	nearTime = 10 * time.Millisecond
)

// choose returns the target with the lowest estimate that has room. With
// inTime only those that may answer in time count; hopeless reports that none
// could even if it had room.
func (balancer *Balancer) choose(round *round, ticket *Ticket, inTime bool) (best choice, hopeless bool) {
	hopeless = true
	round.choices = round.choices[:0]
	for _, state := range round.pool.targets {
		if !state.eligible(round.now) || slices.Contains(ticket.Exclude, state.ID) {
			continue
		}
		estimate := balancer.estimate(round, state, ticket)
		fits := ticket.fits(round.now, estimate)
		hopeless = hopeless && !fits
		if inTime && !fits || !round.pool.takes(state) {
			continue
		}
		if state.failing > round.usual.failing+failingShare && rand.Float64() >= trialShare {
			continue
		}
		order := estimate + ticket.overlong(state, round.usual, round.now, estimate)
		round.choices = append(round.choices, choice{state: state, expected: estimate, order: order})
	}
	return balancer.best(round.choices), hopeless
}

// best returns the choice that is first in order; where reports of other hosts
// come late, one at random of those that are about as good.
func (balancer *Balancer) best(choices []choice) choice {
	if len(choices) == 0 {
		return choice{}
	}
	first := slices.MinFunc(choices, func(one, other choice) int { return cmp.Compare(one.order, other.order) })
	if balancer.ReportsAreLate == nil || !balancer.ReportsAreLate() {
		return first
	}
	near := first.order + max(nearTime, time.Duration(nearPart*float64(first.order)))
	choices = slices.DeleteFunc(choices, func(choice choice) bool { return choice.order > near })
	return choices[balancer.draw(len(choices))]
}

func (balancer *Balancer) draw(below int) int {
	if balancer.Draw != nil {
		return balancer.Draw(below)
	}
	return rand.IntN(below)
}

// fits reports whether a target may answer in time.
func (ticket *Ticket) fits(now time.Time, estimate time.Duration) bool {
	return ticket.Due.IsZero() || !now.Add(estimate).After(ticket.Due)
}

// overlong is how far beyond the deadline a target is expected to end its
// answer.
func (ticket *Ticket) overlong(state *state, usual usual, now time.Time, estimate time.Duration) time.Duration {
	if ticket.ExpectedEvents == 0 || ticket.Deadline.IsZero() {
		return 0
	}
	event := state.speed.event
	if event == 0 {
		event = usual.event
	}
	length := time.Duration(lengthMargin * event * float64(ticket.ExpectedEvents))
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
func (balancer *Balancer) estimate(round *round, state *state, ticket *Ticket) time.Duration {
	estimate := time.Duration(round.pool.start)
	if round.pool.engine {
		perToken := state.perToken()
		if perToken == 0 {
			perToken = round.usual.perToken
		}
		work := float64(ticket.PromptTokens) + backlogShare*float64(state.backlog+state.peersBacklog)
		estimate += time.Duration(float64(perToken) * work)
	}
	estimate += round.pool.queued(state)
	// Of equal targets the emptier one is taken.
	estimate += crowding * time.Duration(state.total()) / time.Duration(max(1, state.Slots))
	estimate += time.Duration(failurePenalty * state.failing * float64(estimate))
	if state.Zone != balancer.Zone {
		estimate += crossZone
	}
	if round.now.Before(state.ColdUntil) {
		estimate *= 2
	}
	return estimate
}
