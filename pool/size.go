package pool

import (
	"math"
	"time"
)

const (
	// largeFactor is the multiple of the typical cost above which a ticket is
	// large.
	largeFactor = 8.0
	// largeFraction is the fraction of a pool's slots that large tickets may always
	// use. Beyond it they leave the fraction freeFraction free for small ones.
	largeFraction = 0.5
	freeFraction  = 0.125
	// sizeWeight is the weight of a ticket in the mean cost, sizeSamples the
	// number of tickets before the mean is used.
	sizeWeight  = 0.02
	sizeSamples = 50
	// maxRestored limits how many deferred tickets are restored at once.
	maxRestored = 16
)

// sizes keeps large tickets from taking every slot.
type sizes struct {
	// meanLogCost is the moving average of the logarithm of the cost.
	meanLogCost float64
	samples     int
	// running is the number of large grants, slots the current total of all
	// targets.
	running  int
	slots    int
	deferred []*item
}

// learn adds the cost of an arrival to the mean.
func (sizes *sizes) learn(cost float64) {
	sizes.samples++
	weight := max(sizeWeight, 1/float64(sizes.samples))
	sizes.meanLogCost += weight * (math.Log(cost) - sizes.meanLogCost)
}

func (sizes *sizes) large(cost float64) bool {
	return sizes.samples >= sizeSamples && math.Log(cost) > sizes.meanLogCost+math.Log(largeFactor)
}

// largeLimitReached reports whether large tickets use all the slots that they
// may, where held is the number of all grants.
func (sizes *sizes) largeLimitReached(held int) bool {
	if sizes.running < max(1, int(largeFraction*float64(sizes.slots))) {
		return false
	}
	return float64(sizes.slots-held) <= freeFraction*float64(sizes.slots)
}

// deferLarge sets a large ticket aside while large tickets use all the slots that
// they may, and reports whether it did.
func (pool *Pool) deferLarge(next *item) bool {
	if !pool.sizes.largeLimitReached(len(pool.held)) || !pool.sizes.large(next.cost) {
		return false
	}
	pool.queue.setAside(next)
	pool.sizes.deferred = append(pool.sizes.deferred, next)
	return true
}

// restoreLarge puts deferred tickets back into the fair order, or isolates those
// that have become suspect.
func (pool *Pool) restoreLarge(now time.Time) {
	sizes := &pool.sizes
	if len(sizes.deferred) == 0 || sizes.largeLimitReached(len(pool.held)) {
		return
	}
	count := min(maxRestored, len(sizes.deferred))
	for _, item := range sizes.deferred[:count] {
		if pool.queue.items[item.ticket.ID] == item && !pool.suspects.suspected(item.ticket.Fingerprint, now) {
			pool.queue.putBack(item)
		} else if pool.queue.items[item.ticket.ID] == item {
			pool.isolate(item)
		}
	}
	kept := copy(sizes.deferred, sizes.deferred[count:])
	clear(sizes.deferred[kept:])
	sizes.deferred = sizes.deferred[:kept]
}
