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
	// returned is how many set-aside tickets come back at once.
	returned = 16
)

// sizes keeps large tickets from taking every slot.
type sizes struct {
	// usual is the mean of the logarithm of the cost.
	usual   float64
	samples int
	// running are the large grants, slots those of all targets now.
	running int
	slots   int
	aside   []*item
}

// learn takes the cost of an arrival.
func (sizes *sizes) learn(cost float64) {
	sizes.samples++
	weight := max(sizeWeight, 1/float64(sizes.samples))
	sizes.usual += weight * (math.Log(cost) - sizes.usual)
}

func (sizes *sizes) large(cost float64) bool {
	return sizes.samples >= sizeSamples && math.Log(cost) > sizes.usual+math.Log(largeFactor)
}

// full reports whether large tickets have all the slots they may take, where
// held is the number of all grants.
func (sizes *sizes) full(held int) bool {
	if sizes.running < max(1, int(largeShare*float64(sizes.slots))) {
		return false
	}
	return float64(sizes.slots-held) <= freeShare*float64(sizes.slots)
}

// holdBack sets a large ticket aside until another one ends, and reports
// whether it did.
func (pool *Pool) holdBack(next *item) bool {
	if !pool.sizes.full(len(pool.held)) || !pool.sizes.large(next.cost) {
		return false
	}
	pool.queue.setAside(next)
	pool.sizes.aside = append(pool.sizes.aside, next)
	return true
}

// bringBack puts large tickets that were set aside into their turns again.
func (pool *Pool) bringBack(now time.Time) {
	sizes := &pool.sizes
	if len(sizes.aside) == 0 || sizes.full(len(pool.held)) {
		return
	}
	count := min(returned, len(sizes.aside))
	for _, each := range sizes.aside[:count] {
		if pool.queue.items[each.ticket.ID] == each && !pool.suspects.suspected(each.ticket.Fingerprint, now) {
			pool.queue.putBack(each)
		} else if pool.queue.items[each.ticket.ID] == each {
			pool.isolate(each)
		}
	}
	kept := copy(sizes.aside, sizes.aside[count:])
	clear(sizes.aside[kept:])
	sizes.aside = sizes.aside[:kept]
}
