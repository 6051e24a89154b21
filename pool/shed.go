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
	// retryPerWaiting is how much each waiting ticket per slot adds.
	retryPerWaiting = time.Second
)

// makeRoom sheds a waiting ticket that matters less than the arrival, and
// reports whether it did.
func (pool *Pool) makeRoom(arrival *request.Ticket) bool {
	victim := pool.queue.lowest()
	if victim == nil || victim.Tier <= arrival.Tier {
		return false
	}
	pool.queue.remove(victim.ID)
	invariant.TierOrder.Check(pool.noneBelow(victim.Tier), "shed tier %d while a lower one waits", victim.Tier)
	pool.refuse(victim, request.ReasonShed)
	return true
}

// noneBelow reports whether no sheddable ticket of a lower tier waits.
func (pool *Pool) noneBelow(tier request.Tier) bool {
	lowest := pool.queue.lowest()
	return lowest == nil || lowest.Tier <= tier
}

// retryAfter grows with the queue and is spread, so that callers do not
// return in step.
func (pool *Pool) retryAfter() time.Duration {
	slots := 1
	for _, target := range pool.targets {
		slots += target.Slots
	}
	wait := minRetryAfter + time.Duration(pool.queue.len()/slots)*retryPerWaiting
	wait = min(wait, maxRetryAfter)
	if pool.Spread != nil {
		return wait + pool.Spread(wait)
	}
	return wait + rand.N(wait)
}
