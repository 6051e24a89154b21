package balance

import (
	"math"
	"time"
)

// Hosts hear of each other's requests with a delay. If each used every slot
// that looks free, all would use the same ones, and their requests would queue
// at the targets. So while the free slots don't suffice for all hosts, each
// claims a part of them, drawn at random anew as often as news comes.

// arrivalMemory is the time over which arrivals are averaged: several bursts
// of a busy host, and less than a wave of load takes to rise.
const arrivalMemory = time.Second

// queuePart is the part of a free place in an engine's queue that is claimed.
const queuePart = 0.5

// drawSteps is how finely parts of a slot are told apart when they are drawn.
const drawSteps = 1 << 16

// arrivals is the decayed number of a pool's tickets by tier.
type arrivals struct {
	counts []float64
	at     time.Time
}

// note counts a ticket.
func (arrivals *arrivals) note(tier int, now time.Time) {
	arrivals.decay(now)
	for len(arrivals.counts) <= tier {
		arrivals.counts = append(arrivals.counts, 0)
	}
	arrivals.counts[tier]++
}

func (arrivals *arrivals) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(arrivals.at)) / float64(arrivalMemory))
	for tier := range arrivals.counts {
		arrivals.counts[tier] *= factor
	}
	arrivals.at = now
}

// within is the number of tickets of a tier to be expected in a time.
func (arrivals *arrivals) within(tier int, span time.Duration) float64 {
	if tier >= len(arrivals.counts) {
		return 0
	}
	return arrivals.counts[tier] * float64(span) / float64(arrivalMemory)
}

// claim draws this host's part of a pool's free slots, if the last draw is
// older than news are. A slot that the host frees itself it may use again.
func (balancer *Balancer) claim(pool *pool, now time.Time) {
	lag := balancer.lag()
	if lag == 0 || !pool.engine {
		pool.contended = false
		return
	}
	if now.Sub(pool.claimed) < lag {
		return
	}
	pool.claimed = now
	// Whether a pool is contended is judged by its slots, without queues.
	pool.contended = false
	part := balancer.part(pool, lag, now)
	pool.contended = part < 1
	if !pool.contended {
		return
	}
	for _, state := range pool.targets {
		free := pool.claimable(state)
		state.claimed = int(free*part + float64(balancer.draw(drawSteps))/drawSteps)
	}
}

// part is this host's part of the demand for a pool until the next news, 1 if
// the free slots suffice for all hosts. It counts only the tiers that the slots
// suffice for, and takes new requests to come to all hosts alike.
func (balancer *Balancer) part(pool *pool, lag time.Duration, now time.Time) float64 {
	pool.arrivals.decay(now)
	free := float64(pool.free(now))
	span := min(lag, time.Duration(pool.held))
	hosts := float64(balancer.hosts())
	own, all := 0.0, 0.0
	for tier, waiting := range pool.waitingByTier(pool.tiers()) {
		coming := pool.arrivals.within(tier, span)
		own += coming + float64(waiting)
		all += coming*hosts + float64(waiting+pool.othersWaiting(tier))
		if all > free {
			return own / all
		}
	}
	return 1
}

// lag is the time until all hosts have heard what one does.
func (balancer *Balancer) lag() time.Duration {
	if balancer.ReportLag == nil {
		return 0
	}
	return balancer.ReportLag()
}

// hosts is how many hosts share the targets.
func (balancer *Balancer) hosts() int {
	if balancer.HostCount == nil {
		return 1
	}
	return max(1, balancer.HostCount())
}

// takes reports whether this host may send one more request to a target.
func (pool *pool) takes(state *state) bool {
	return state.total() < pool.capacity(state) && (!pool.contended || state.claimed > 0)
}

// claimable counts a target's free slots, and the free places in its queue in
// part: two hosts that claim the same place are worse off than with a slot.
func (pool *pool) claimable(state *state) float64 {
	slots := max(0, state.Slots-state.total())
	places := max(0, pool.capacity(state)-state.total()) - slots
	return float64(slots) + queuePart*float64(places)
}
