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
	// StartedAt is when this life began.
	StartedAt time.Time
	// Leaving targets get no new work.
	Leaving bool
	// ColdUntil is when the target reaches its usual speed after its start.
	ColdUntil time.Time
}

const (
	// backlogShare is the part of the other requests' prompts that a new one
	// waits for: some of it is read by then, and engines read in turns.
	backlogShare = 0.5
	// memory is the weight that an observation keeps with each new one.
	memory = 0.97
	// gain is the weight of a new observation in a running mean.
	gain = 0.05
	// fewSamples is how many observations of its own a host prefers to the
	// word of others.
	fewSamples = 8
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
	// zone is the way to its zone, nil in the host's own.
	zone *zone
	// open are this host's running requests, backlog the work of those
	// without a first event.
	open    int
	backlog int
	// peersOpen and peersBacklog are the sums over the other hosts.
	peersOpen    int
	peersBacklog int
	// claimed is how many more requests this host may send while the pool is
	// contended.
	claimed int
	// speed is this host's knowledge of its speed, told that of others.
	speed speed
	told  time.Duration
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

// speed is a least-squares line through the origin of the time that prompt
// tokens take, by decayed sums, and the time between events.
type speed struct {
	samples int
	xx, xy  float64
	// event is the mean time from one event to the next, in nanoseconds.
	event float64
}

// learn takes the time that some prompt tokens took.
func (speed *speed) learn(took time.Duration, tokens float64) {
	speed.samples++
	speed.xx = memory*speed.xx + tokens*tokens
	speed.xy = memory*speed.xy + tokens*float64(max(0, took))
}

// perToken is the time for a prompt token, 0 if it is not known.
func (speed *speed) perToken() time.Duration {
	if speed.xx == 0 {
		return 0
	}
	return time.Duration(speed.xy / speed.xx)
}

// learnEvents takes the time that some events took.
func (speed *speed) learnEvents(took time.Duration, events int) {
	sample := float64(took) / float64(events)
	if speed.event == 0 {
		speed.event = sample
		return
	}
	speed.event += 2 * gain * (sample - speed.event)
}

// perToken is the time that the target takes for a prompt token, 0 if nobody
// knows.
func (state *state) perToken() time.Duration {
	if state.speed.samples >= fewSamples || state.told == 0 {
		return state.speed.perToken()
	}
	return state.told
}

// tell takes another host's word of the time for a prompt token.
func (state *state) tell(perToken time.Duration) {
	if state.told == 0 {
		state.told = perToken
		return
	}
	state.told += time.Duration(gain * float64(perToken-state.told))
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
