package pool

import (
	"math/rand/v2"
	"time"

	"nutmegfield.example/invariant"
	"nutmegfield.example/request"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// reserveFactor is how many times the configured number of tickets may wait
	// where those that are too many may not be shed.
	reserveFactor = 2
	// drainWeight is the weight of a new interval in the drain rate.
	drainWeight = 0.05
)

// enforceQueueLimit keeps the queue within its bound after an arrival. The ticket shed
// may be the arrival itself. Where nothing may be shed for it, or another cell
// still admits a lower tier, the queue uses its reserve. Past the reserve the
// arrival is refused as limited if nothing that matters less may be shed.
func (pool *Pool) enforceQueueLimit(arrival *request.Ticket, now time.Time) {
	pool.enforcePeerFloors(now)
	waiting := pool.queue.len()
	if waiting <= pool.configuration.MaxWaiting {
		return
	}
	full := waiting > reserveFactor*pool.configuration.MaxWaiting
	victim := pool.queue.victim()
	if victim != nil && victim.Tier >= arrival.Tier {
		if pool.floors.allow(victim.Tier, now) || full {
			pool.shed(victim)
		}
		return
	}
	if !full {
		return
	}
	pool.queue.remove(arrival.ID)
	pool.refuse(arrival, request.ReasonLimited)
}

// enforcePeerFloors sheds what is below the floor of another cell.
func (pool *Pool) enforcePeerFloors(now time.Time) {
	floor := pool.floors.others(now)
	for victim := pool.queue.victim(); victim != nil && victim.Tier > floor; victim = pool.queue.victim() {
		pool.shed(victim)
	}
}

func (pool *Pool) shed(victim *request.Ticket) {
	pool.queue.remove(victim.ID)
	pool.assertTierOrder(victim)
	pool.refuse(victim, request.ReasonShed)
}

// assertTierOrder holds a shed ticket against what still waits, apart from
// the heap that chose it.
func (pool *Pool) assertTierOrder(shed *request.Ticket) {
	for number := int(shed.Tier) + 1; number < len(pool.queue.tiers); number++ {
		waiting := &pool.queue.tiers[number].victims
		invariant.TierOrder.Check(waiting.len() == 0, "shed tier %d while tier %d waits", shed.Tier, number)
	}
	invariant.TierOrder.Check(shed.Sheddable, "shed a ticket of tier %d that may not be shed", shed.Tier)
}

// drain is the rate at which requests end.
type drain struct {
	last     time.Time
	interval float64
}

func (drain *drain) ended(now time.Time) {
	if !drain.last.IsZero() {
		drain.interval += drainWeight * (now.Sub(drain.last).Seconds() - drain.interval)
	}
	drain.last = now
}

// retryAfter is when the queue should have drained, spread so that callers do
// not return in step; for a quarantine, when it ends.
func (pool *Pool) retryAfter(ticket *request.Ticket, reason request.Reason) time.Duration {
	if reason == request.ReasonQuarantined {
		return pool.suspects.quarantineLeft(ticket.Fingerprint, time.Now())
	}
	seconds := pool.drain.interval * float64(pool.queue.len())
	wait := time.Duration(seconds * float64(time.Second))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	if pool.Jitter != nil {
		return wait + pool.Jitter(wait)
	}
	return wait + rand.N(wait)
}
