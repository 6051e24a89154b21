package pool

import (
	"math"
	"time"
)

const (
	// largeFactor is the multiple of the geometric mean of the costs above
	// which a ticket is large.
	largeFactor = 8.0
	// largeFraction is the fraction of a pool's slots that large tickets may
	// always use. Above it they must leave freeFraction of the slots free for
	// small ones.
	largeFraction = 0.5
	freeFraction  = 0.125
	// costWeight is the weight of a ticket in the mean cost, minCostSamples the
	// number of tickets before the mean is used.
	costWeight     = 0.02
	minCostSamples = 50
	// maxRestored limits how many deferred tickets are restored at once.
	maxRestored = 16
)

// largeLimiter prevents large tickets from taking all slots.
type largeLimiter struct {
	// meanLogCost is the moving average of the logarithm of the cost.
	meanLogCost float64
	samples     int
	// largeRunning is the number of grants of large tickets, totalSlots the
	// current number of slots of all targets.
	largeRunning int
	totalSlots   int
	// deferred are the large tickets that were set aside.
	deferred []*item
}

// addCost adds the cost of an arrival to the mean.
func (largeLimiter *largeLimiter) addCost(cost float64) {
	largeLimiter.samples++
	weight := max(costWeight, 1/float64(largeLimiter.samples))
	largeLimiter.meanLogCost += weight * (math.Log(cost) - largeLimiter.meanLogCost)
}

// isLarge reports whether a ticket of the given cost is large.
func (largeLimiter *largeLimiter) isLarge(cost float64) bool {
	return largeLimiter.samples >= minCostSamples && math.Log(cost) > largeLimiter.meanLogCost+math.Log(largeFactor)
}

// largeLimitReached reports whether large tickets use all the slots that they
// may, where held is the number of all grants.
func (largeLimiter *largeLimiter) largeLimitReached(held int) bool {
	if largeLimiter.largeRunning < max(1, int(largeFraction*float64(largeLimiter.totalSlots))) {
		return false
	}
	return float64(largeLimiter.totalSlots-held) <= freeFraction*float64(largeLimiter.totalSlots)
}

// deferLarge sets a large ticket aside while large tickets use all the slots that
// they may, and reports whether it did.
func (pool *Pool) deferLarge(next *item) bool {
	if !pool.largeLimiter.largeLimitReached(len(pool.holdings)) || !pool.largeLimiter.isLarge(next.cost) {
		return false
	}
	pool.queue.setAside(next)
	pool.largeLimiter.deferred = append(pool.largeLimiter.deferred, next)
	return true
}

// restoreLarge reverts deferLarge for the tickets that were set aside first, or
// isolates those that have become suspect.
func (pool *Pool) restoreLarge(now time.Time) {
	largeLimiter := &pool.largeLimiter
	if len(largeLimiter.deferred) == 0 || largeLimiter.largeLimitReached(len(pool.holdings)) {
		return
	}
	count := min(maxRestored, len(largeLimiter.deferred))
	for _, item := range largeLimiter.deferred[:count] {
		if pool.queue.items[item.ticket.ID] == item && !pool.suspects.isSuspect(item.ticket.Fingerprint, now) {
			pool.queue.putBack(item)
		} else if pool.queue.items[item.ticket.ID] == item {
			pool.isolate(item)
		}
	}
	kept := copy(largeLimiter.deferred, largeLimiter.deferred[count:])
	clear(largeLimiter.deferred[kept:])
	largeLimiter.deferred = largeLimiter.deferred[:kept]
}
