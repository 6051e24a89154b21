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
	case !pool.isEngine:
		return plainCapacityPerSlot * targetState.Slots
	case pool.contended:
		return targetState.Slots + engineQueueSlots
	default:
		return targetState.Slots
	}
}

// freeCapacity returns how many more requests the pool's targets can take.
func (pool *pool) freeCapacity(now time.Time) int {
	total := 0
	for _, targetState := range pool.targets {
		if targetState.isEligible(now) {
			total += max(0, pool.capacity(targetState)-targetState.totalInFlight())
		}
	}
	return total
}

// isEligible reports whether the target may get new requests, whatever its load.
func (targetState *targetState) isEligible(now time.Time) bool {
	return !targetState.Leaving && !targetState.replaced &&
		!now.Before(targetState.backoffUntil) && !targetState.zone.isBackingOff(now)
}

// totalCapacity returns the sum of the capacities of the eligible targets.
func (pool *pool) totalCapacity(now time.Time) float64 {
	total := 0
	for _, targetState := range pool.targets {
		if targetState.isEligible(now) {
			total += pool.capacity(targetState)
		}
	}
	return float64(total)
}
