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
	// hardLimitFactor times MaxWaiting is the hard limit on waiting tickets,
	// which applies while those above MaxWaiting may not be shed.
	hardLimitFactor = 2
	// endIntervalWeight is the weight of a new interval in meanEndInterval.
	endIntervalWeight = 0.05
)

// enforceQueueLimit keeps the queue within its limit after an arrival, by
// shedding a ticket that may be the arrival itself. If no ticket of its tier or a
// lower one may be shed, or another zone still admits a lower tier, the queue may
// grow up to the hard limit. Beyond that the arrival is refused with ReasonLimited
// if no ticket of its tier or a lower one may be shed.
func (pool *Pool) enforceQueueLimit(arrival *request.Ticket, now time.Time) {
	pool.enforcePeerFloors(now)
	waiting := pool.queue.len()
	if waiting <= pool.configuration.MaxWaiting {
		return
	}
	full := waiting > hardLimitFactor*pool.configuration.MaxWaiting
	victim := pool.queue.nextVictim()
	if victim != nil && victim.Tier >= arrival.Tier {
		if pool.floors.requestShedding(victim.Tier, now) || full {
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

// enforcePeerFloors sheds the sheddable tickets below the floor that another zone
// wants.
func (pool *Pool) enforcePeerFloors(now time.Time) {
	floor := pool.floors.peersWanted(now)
	for victim := pool.queue.nextVictim(); victim != nil && victim.Tier > floor; victim = pool.queue.nextVictim() {
		pool.shed(victim)
	}
}

func (pool *Pool) shed(victim *request.Ticket) {
	pool.queue.remove(victim.ID)
	pool.assertTierOrder(victim)
	pool.refuse(victim, request.ReasonShed)
}

// assertTierOrder checks that no sheddable ticket of a lower tier than the shed
// one is waiting, independently of the heap that chose the shed one.
func (pool *Pool) assertTierOrder(shed *request.Ticket) {
	for number := int(shed.Tier) + 1; number < len(pool.queue.tiers); number++ {
		waiting := &pool.queue.tiers[number].victims
		invariant.TierOrder.Check(waiting.len() == 0, "shed tier %d while tier %d waits", shed.Tier, number)
	}
	invariant.TierOrder.Check(shed.Sheddable, "shed a ticket of tier %d that may not be shed", shed.Tier)
}

// meanEndInterval is the moving average of the seconds between the ends of
// requests.
type meanEndInterval struct {
	lastEnd time.Time
	seconds float64
}

// recordEnd adds the time since the last end of a request to the average.
func (meanEndInterval *meanEndInterval) recordEnd(now time.Time) {
	if !meanEndInterval.lastEnd.IsZero() {
		meanEndInterval.seconds += endIntervalWeight * (now.Sub(meanEndInterval.lastEnd).Seconds() - meanEndInterval.seconds)
	}
	meanEndInterval.lastEnd = now
}

// retryAfter returns the estimated time until all waiting tickets have run,
// with jitter so that callers do not retry at the same time; for a quarantine,
// the time until it ends.
func (pool *Pool) retryAfter(ticket *request.Ticket, reason request.Reason) time.Duration {
	if reason == request.ReasonQuarantined {
		return pool.suspects.remainingQuarantine(ticket.Fingerprint, time.Now())
	}
	seconds := pool.meanEndInterval.seconds * float64(pool.queue.len())
	wait := time.Duration(seconds * float64(time.Second))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	if pool.Jitter != nil {
		return wait + pool.Jitter(wait)
	}
	return wait + rand.N(wait)
}
