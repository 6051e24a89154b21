package balance

import "time"

// permitSpan is the time whose expected requests a host asks permits for in advance.
const permitSpan = 250 * time.Millisecond

// rate returns the requests a second that a target takes from all hosts together, 0 if
// it has no limit.
func (balancer *Balancer) rate(targetState *targetState) float64 {
	if balancer.Limits.Rate == nil {
		return 0
	}
	return balancer.Limits.Rate(&targetState.Target)
}

// isPermitted reports whether the limit of a target, if it has one, lets this host send
// a request to it now.
func (balancer *Balancer) isPermitted(targetState *targetState) bool {
	return balancer.rate(targetState) == 0 || balancer.Limits.Permits(&targetState.Target) > 0
}

// wantPermits says for which targets with limits this host has requests.
func (balancer *Balancer) wantPermits(now time.Time) {
	if balancer.Limits.Rate == nil {
		return
	}
	for _, pool := range balancer.pools {
		balancer.wantPoolPermits(pool, now)
	}
}

// wantPoolPermits asks for permits for the requests that wait, and for those expected
// within permitSpan.
func (balancer *Balancer) wantPoolPermits(pool *pool, now time.Time) {
	count, tier := -1, -1
	for _, targetState := range pool.targets {
		if balancer.rate(targetState) == 0 {
			continue
		}
		if count < 0 {
			count = len(pool.waiting) + pool.expectedArrivals(now, permitSpan)
			if len(pool.waiting) > 0 {
				tier = pool.waiting[0].Tier
			}
		}
		places := 0
		if targetState.isEligible(now) {
			places = max(0, pool.capacity(targetState)-targetState.totalInFlight())
		}
		balancer.Limits.Want(&targetState.Target, min(count, places), tier)
	}
}

// expectedArrivals returns the rounded number of requests of all tiers that this host
// expects in a span of time.
func (pool *pool) expectedArrivals(now time.Time, span time.Duration) int {
	pool.arrivals.decay(now)
	expected := 0.5
	for tier := range pool.arrivals.counts {
		expected += pool.arrivals.expected(tier, span)
	}
	return int(expected)
}

// limitedRate returns the requests a second that the pool's targets take together, and
// whether all that may get requests have limits.
func (balancer *Balancer) limitedRate(pool *pool, now time.Time) (rate float64, allLimited bool) {
	for _, targetState := range pool.targets {
		if !targetState.isEligible(now) {
			continue
		}
		limit := balancer.rate(targetState)
		if limit == 0 {
			return 0, false
		}
		rate += limit
	}
	return rate, rate > 0
}

// LimitedWait returns the time until targets take another request of a pool whose targets
// all have limits, behind those that wait on all hosts; 0 for other pools.
func (balancer *Balancer) LimitedWait(name string) time.Duration {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	pool := balancer.getOrCreatePool(name)
	rate, allLimited := balancer.limitedRate(pool, time.Now())
	if !allLimited {
		return 0
	}
	ahead := 1 + len(pool.waiting)
	for _, waiting := range pool.othersWaitingByTier {
		ahead += waiting
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}
