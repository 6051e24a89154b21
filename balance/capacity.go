package balance

import "time"

const (
	// plainCapacityFactor times its slots is the capacity of a plain service's
	// target: its requests are short, and it can queue a few.
	plainCapacityFactor = 2
	// engineQueueSlots is how many requests beyond its slots are sent to a model
	// engine's own queue while its pool is contended. Without them a freed slot
	// would be idle until a host learns of it.
	engineQueueSlots = 1
)

// capacity returns the most requests that may be in flight at a target.
func (pool *pool) capacity(targetState *targetState) int {
	switch {
	case !pool.isEngine:
		return plainCapacityFactor * targetState.Slots
	case pool.contended:
		return targetState.Slots + engineQueueSlots
	default:
		return targetState.Slots
	}
}

// freeCapacity returns how many more requests the pool's targets can take.
func (pool *pool) freeCapacity(now time.Time) int {
	free := 0
	for _, targetState := range pool.targets {
		if targetState.isEligible(now) {
			free += max(0, pool.capacity(targetState)-targetState.totalInFlight())
		}
	}
	return free
}

func (targetState *targetState) isEligible(now time.Time) bool {
	return !targetState.Leaving && !targetState.replaced && !now.Before(targetState.pausedUntil) && !targetState.zone.isPaused(now)
}

// totalCapacity returns the sum of the capacities of the eligible targets.
func (pool *pool) totalCapacity(now time.Time) float64 {
	places := 0
	for _, targetState := range pool.targets {
		if targetState.isEligible(now) {
			places += pool.capacity(targetState)
		}
	}
	return float64(places)
}
