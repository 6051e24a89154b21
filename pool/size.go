package pool

import (
	"math"
	"time"
)

const (
	// largeFactor is how many times the usual cost makes a ticket large.
	largeFactor = 8.0
	// largeShare is the share of a pool's slots that large tickets may always
	// take. Beyond it they leave freeShare free for small ones.
	largeShare = 0.5
	freeShare  = 0.125
	// sizeWeight is the weight of a ticket in the usual cost, and sizeSamples
	// how many it takes to know it.
	sizeWeight  = 0.02
	sizeSamples = 50
	// maxRestored is how many set-aside tickets come back at once.
	maxRestored = 16
)

// sizes keeps large tickets from taking every slot.
type sizes struct {
	// meanLogCost is the mean of the logarithm of the cost.
	meanLogCost   float64
	samples int
	// running are the large grants, slots those of all targets now.
	running int
	slots   int
	deferred   []*item
}

// learn takes the cost of an arrival.
func (sizes *sizes) learn(cost float64) {
	sizes.samples++
	weight := max(sizeWeight, 1/float64(sizes.samples))
	sizes.meanLogCost += weight * (math.Log(cost) - sizes.meanLogCost)
}

func (sizes *sizes) large(cost float64) bool {
	return sizes.samples >= sizeSamples && math.Log(cost) > sizes.meanLogCost+math.Log(largeFactor)
}

// largeLimitReached reports whether large tickets have all the slots they may take, where
// held is the number of all grants.
func (sizes *sizes) largeLimitReached(held int) bool {
	if sizes.running < max(1, int(largeShare*float64(sizes.slots))) {
		return false
	}
	return float64(sizes.slots-held) <= freeShare*float64(sizes.slots)
}

// deferLarge sets a large ticket aside until another one ends, and reports
// whether it did.
func (pool *Pool) deferLarge(next *item) bool {
	if !pool.sizes.largeLimitReached(len(pool.held)) || !pool.sizes.large(next.cost) {
		return false
	}
	pool.queue.setAside(next)
	pool.sizes.deferred = append(pool.sizes.deferred, next)
	return true
}

// restoreLarge puts large tickets that were set aside into their turns again.
func (pool *Pool) restoreLarge(now time.Time) {
	sizes := &pool.sizes
	if len(sizes.deferred) == 0 || sizes.largeLimitReached(len(pool.held)) {
		return
	}
	count := min(maxRestored, len(sizes.deferred))
	for _, each := range sizes.deferred[:count] {
		if pool.queue.items[each.ticket.ID] == each && !pool.suspects.suspected(each.ticket.Fingerprint, now) {
			pool.queue.putBack(each)
		} else if pool.queue.items[each.ticket.ID] == each {
			pool.isolate(each)
		}
	}
	kept := copy(sizes.deferred, sizes.deferred[count:])
	clear(sizes.deferred[kept:])
	sizes.deferred = sizes.deferred[:kept]
}
