package balance

import "time"

const (
	// plainCapacityPerSlot is the number of requests that may be in flight for each
	// slot of a plain service: they are short, and the service can queue a few.
	plainCapacityPerSlot = 2
	// engineQueueSlots is the number of requests beyond its slots that a model
	// engine gets for its own queue while its pool is contended. Without them a
	// freed slot would be idle until a host learns of it.
	engineQueueSlots = 1
)

// capacity returns the maximum number of requests in flight at a target.
func (pool *pool) capacity(targetState *targetState) int {
	switch {
	case pool.holdsBack:
		return targetState.Slots
	case !pool.isEngine:
		return plainCapacityPerSlot * targetState.Slots
	case pool.contended:
		return targetState.Slots + engineQueueSlots
	default:
		return targetState.Slots
	}
}

// freeCapacity returns how many more requests the targets can take that the usual tickets of
// the pool may get, those with limits from this host.
func (balancer *Balancer) freeCapacity(pool *pool, now time.Time) int {
	return balancer.freeCapacityOf(pool, pool.usual.allows, now)
}

// freeCapacityOf is freeCapacity for the targets that are allowed.
func (balancer *Balancer) freeCapacityOf(pool *pool, allows func(*targetState) bool, now time.Time) int {
	total := 0
	for _, targetState := range pool.targets {
		if !targetState.isEligible(now) || !allows(targetState) {
			continue
		}
		free := max(0, pool.capacity(targetState)-targetState.totalInFlight())
		if free > 0 && balancer.rate(targetState) > 0 {
			free = min(free, balancer.Limits.Permits(&targetState.Target))
		}
		total += free
	}
	return total
}

// isEligible reports whether the target may get new requests, whatever its load.
func (targetState *targetState) isEligible(now time.Time) bool {
	return !targetState.Leaving && !targetState.replaced && targetState.announcement.allows(now) &&
		!now.Before(targetState.backoffUntil) && !targetState.zone.isBackingOff(now)
}

// servingRate returns the requests a second that the eligible targets of the usual tickets can
// take.
func (balancer *Balancer) servingRate(pool *pool, now time.Time) float64 {
	total := 0.0
	for _, targetState := range pool.targets {
		if !targetState.isEligible(now) || !pool.usual.allows(targetState) {
			continue
		}
		rate := float64(pool.capacity(targetState)) / max(pool.averageHoldTime, 1) * float64(time.Second)
		if limit := balancer.rate(targetState); limit > 0 {
			rate = min(rate, limit)
		}
		total += rate
	}
	return total
}
