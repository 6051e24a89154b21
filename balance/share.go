package balance

import (
	"math"
	"time"
)

// Hosts learn of each other's requests with a delay. If each used every slot that
// appears free, all would use the same ones, and their requests would queue at the
// targets. So while the free slots don't suffice for all hosts, each host uses only
// a share of them, which it computes anew, with random rounding, after each
// propagation delay.

// arrivalDecayTime is the time constant of the arrival counts: it covers several
// bursts of a busy host, but is shorter than the time in which the load rises.
const arrivalDecayTime = time.Second

// queueSlotFraction is the weight of a free place in an engine's queue, relative to
// a free slot.
const queueSlotFraction = 0.5

// roundingResolution is the number of steps between two integers from which the
// random rounding of shares draws.
const roundingResolution = 1 << 16

// arrivals counts a pool's tickets by tier, with exponential decay.
type arrivals struct {
	counts    []float64
	decayedAt time.Time
}

// add counts a ticket.
func (arrivals *arrivals) add(tier int, now time.Time) {
	arrivals.decay(now)
	for len(arrivals.counts) <= tier {
		arrivals.counts = append(arrivals.counts, 0)
	}
	arrivals.counts[tier]++
}

func (arrivals *arrivals) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(arrivals.decayedAt)) / float64(arrivalDecayTime))
	for tier := range arrivals.counts {
		arrivals.counts[tier] *= factor
	}
	arrivals.decayedAt = now
}

// expected returns the expected number of tickets of a tier in a span of time.
func (arrivals *arrivals) expected(tier int, span time.Duration) float64 {
	if tier >= len(arrivals.counts) {
		return 0
	}
	return arrivals.counts[tier] * float64(span) / float64(arrivalDecayTime)
}

// updateShare computes this host's share of a pool's free slots anew if the last
// one is older than the propagation delay. The host may reuse a slot that it frees.
func (balancer *Balancer) updateShare(pool *pool, now time.Time) {
	propagationDelay := balancer.propagationDelay()
	if propagationDelay == 0 || !pool.isEngine {
		pool.contended = false
		return
	}
	if now.Sub(pool.shareDrawnAt) < propagationDelay {
		return
	}
	pool.shareDrawnAt = now
	// The pool's slots alone, without queues, decide whether it is contended.
	pool.contended = false
	fraction := balancer.shareFraction(pool, propagationDelay, now)
	pool.contended = fraction < 1
	if !pool.contended {
		return
	}
	for _, targetState := range pool.targets {
		shareable := pool.shareableSlots(targetState)
		targetState.remainingShare = int(shareable*fraction +
			float64(balancer.randIntN(roundingResolution))/roundingResolution)
	}
}

// shareFraction returns this host's fraction of the demand for a pool during the
// propagation delay, 1 if the free slots suffice for all hosts. It counts tiers,
// highest first, up to the one for which the slots don't suffice, and assumes that
// new requests arrive at all hosts at the same rate.
func (balancer *Balancer) shareFraction(pool *pool, propagationDelay time.Duration, now time.Time) float64 {
	pool.arrivals.decay(now)
	available := float64(balancer.freeCapacity(pool, now))
	span := min(propagationDelay, time.Duration(pool.averageHoldTime))
	hosts := float64(balancer.hostCount())
	ownDemand, totalDemand := 0.0, 0.0
	for tier, waiting := range pool.waitingByTier(pool.tierCount()) {
		expectedArrivals := pool.arrivals.expected(tier, span)
		ownDemand += expectedArrivals + float64(waiting)
		totalDemand += expectedArrivals*hosts + float64(waiting+pool.othersWaitingInTier(tier))
		if totalDemand > available {
			return ownDemand / totalDemand
		}
	}
	return 1
}

// propagationDelay returns the time until all other hosts have received a change on
// this one, 0 if there are none.
func (balancer *Balancer) propagationDelay() time.Duration {
	if balancer.PropagationDelay == nil {
		return 0
	}
	return balancer.PropagationDelay()
}

// hostCount returns the number of hosts that share the targets, at least 1.
func (balancer *Balancer) hostCount() int {
	if balancer.HostCount == nil {
		return 1
	}
	return max(1, balancer.HostCount())
}

// accepts reports whether this host may send one more request to a target. The permits
// of targets with limits take the place of shares.
func (balancer *Balancer) accepts(pool *pool, targetState *targetState) bool {
	if targetState.totalInFlight() >= pool.capacity(targetState) {
		return false
	}
	if balancer.rate(targetState) > 0 {
		return balancer.isPermitted(targetState)
	}
	if pool.holdsBack {
		return balancer.acceptsBrittle(pool, targetState, time.Now())
	}
	return !pool.contended || targetState.remainingShare > 0
}

// shareableSlots returns a target's free slots plus a fraction of the free places in
// its queue: a conflict of two hosts over a place costs more than over a slot.
func (pool *pool) shareableSlots(targetState *targetState) float64 {
	slots := max(0, targetState.Slots-targetState.totalInFlight())
	queuePlaces := max(0, pool.capacity(targetState)-targetState.totalInFlight()) - slots
	return float64(slots) + queueSlotFraction*float64(queuePlaces)
}
