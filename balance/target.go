package balance

import (
	"time"
)

// Target is one server behind a pool, in one life.
type Target struct {
	// ID is new with each life of the server, mostly.
	ID      string
	Pool    string
	Address string
	Zone    string
	// Slots is the most requests that it runs at once.
	Slots int
	// Born is when this life began.
	Born time.Time
	// Leaving targets get no new work.
	Leaving bool
	// ColdUntil is when the target reaches its usual speed after its start.
	ColdUntil time.Time
}

const (
	// startWork is the work of starting any request, in prompt tokens that
	// take as long; from the first events of short prompts on the bench.
	startWork = 4000
	// costGain is the weight of a new observation in the running means.
	costGain = 0.15
	// failureGain is the weight of a new outcome in the share of failures.
	failureGain = 0.1
	// firstPause and mostPause bound how long a target that can't be reached
	// is passed over; the pause doubles with each failure in a row.
	firstPause = 250 * time.Millisecond
	mostPause  = 4 * time.Second
	// fullPause is how long a target that refused work as full is passed over.
	fullPause = 60 * time.Millisecond
	// overdueFactor times the expected time to the first event, and at least
	// overdueLeast, a request without one counts as a failure.
	overdueFactor = 4
	overdueLeast  = time.Second
)

// state is what this host believes of a target.
type state struct {
	Target
	// open are this host's running requests, backlog the work of those
	// without a first event.
	open    int
	backlog int
	// peersOpen and peersBacklog are the sums over the other hosts.
	peersOpen    int
	peersBacklog int
	// cost is the time to the first event for a unit of work; 0 is unknown.
	cost time.Duration
	// failing is the running share of requests that failed.
	failing float64
	// failures counts failures to reach it in a row.
	failures int
	// pausedUntil is when it is tried again.
	pausedUntil time.Time
	// gone targets answered that they are another life.
	gone bool
}

func (state *state) total() int { return state.open + state.peersOpen }

// learn takes the observed time of an amount of work.
func (state *state) learn(took time.Duration, work int) {
	sample := took / time.Duration(max(1, work))
	if state.cost == 0 {
		state.cost = sample
		return
	}
	state.cost += time.Duration(costGain * float64(sample-state.cost))
}

func (state *state) outcome(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	state.failing += failureGain * (value - state.failing)
}

// unreachable pauses the target, longer with each failure in a row.
func (state *state) unreachable(now time.Time) {
	pause := min(mostPause, firstPause<<min(state.failures, 10))
	state.failures++
	state.pausedUntil = now.Add(pause)
}
