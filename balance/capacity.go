package balance

import "time"

const (
	// plainDepth times its slots is the most requests a plain service's
	// target is given, as they are short and it queues a few.
	plainDepth = 2
	// engineQueue is how many requests a model engine's queue is given beyond
	// its slots while its pool is contended: a slot that becomes free is idle
	// else until a host hears of it.
	engineQueue = 1
)

// capacity is the most requests that a target is given.
func (pool *pool) capacity(state *state) int {
	switch {
	case !pool.engine:
		return plainDepth * state.Slots
	case pool.contended:
		return state.Slots + engineQueue
	default:
		return state.Slots
	}
}

// free counts the requests that the pool's targets can take now.
func (pool *pool) free(now time.Time) int {
	free := 0
	for _, state := range pool.targets {
		if state.eligible(now) {
			free += max(0, pool.capacity(state)-state.total())
		}
	}
	return free
}

func (state *state) eligible(now time.Time) bool {
	return !state.Leaving && !state.gone && !now.Before(state.pausedUntil) && !state.zone.paused(now)
}

// places counts what the pool's targets hold at once, in slots and queues.
func (pool *pool) places(now time.Time) float64 {
	places := 0
	for _, state := range pool.targets {
		if state.eligible(now) {
			places += pool.capacity(state)
		}
	}
	return float64(places)
}
