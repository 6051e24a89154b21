// Package budget implements a retry budget: it bounds how many requests are
// sent to a second target. Each host keeps to its own share, so that all hosts
// together keep the budget whether or not they receive each other's reports.
package budget

import (
	"sync"
	"time"
)

const (
	// A window may be this many seconds long; each has its own counters.
	bucketCount = 64
	// Only this fraction of the budget is used: a window over which somebody
	// checks the budget may begin at any time, not only at a full second.
	safetyFraction = 0.8
)

// Budget bounds the retries of each pool. Exported fields are set before use.
type Budget struct {
	// Ratio is the retries allowed per request in a window.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Spare is the retries allowed in a window in addition to Ratio, over all
	// hosts.
	Spare float64
	// Hosts returns the number of hosts that share Spare.
	Hosts func() int

	mutex sync.Mutex
	pools map[string]*counts
	// started is the time from which seconds are counted, by the monotonic
	// clock.
	started time.Time
}

// counts holds a pool's requests and retries by second, up to the second
// lastSecond.
type counts struct {
	requests   [bucketCount]int
	retries    [bucketCount]int
	lastSecond int64
}

// RecordRequest counts a caller's request for a pool.
func (budget *Budget) RecordRequest(pool string) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	counts := budget.current(pool)
	counts.requests[counts.lastSecond%bucketCount]++
}

// AllowRetry reports whether a retry is within the budget, and counts it if so.
func (budget *Budget) AllowRetry(pool string) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	counts := budget.current(pool)
	window := int64(budget.Window / time.Second)
	requests, retries := counts.sum(window)
	allowed := safetyFraction * (budget.Ratio*float64(requests) + budget.Spare/float64(max(1, budget.Hosts())))
	if float64(retries+1) > allowed {
		return false
	}
	counts.retries[counts.lastSecond%bucketCount]++
	return true
}

// current returns a pool's counts, advanced to the current second. Counts of
// seconds that are too old for any window are cleared.
func (budget *Budget) current(pool string) *counts {
	if budget.pools == nil {
		budget.pools = map[string]*counts{}
	}
	if budget.started.IsZero() {
		budget.started = time.Now()
	}
	poolCounts := budget.pools[pool]
	now := int64(time.Since(budget.started)/time.Second) + bucketCount
	if poolCounts == nil {
		poolCounts = &counts{lastSecond: now}
		budget.pools[pool] = poolCounts
	}
	if now-poolCounts.lastSecond >= bucketCount {
		*poolCounts = counts{lastSecond: now}
	}
	for poolCounts.lastSecond < now {
		poolCounts.lastSecond++
		poolCounts.requests[poolCounts.lastSecond%bucketCount] = 0
		poolCounts.retries[poolCounts.lastSecond%bucketCount] = 0
	}
	return poolCounts
}

// sum adds up the requests of the last window and the retries of one second
// more, as the window that is checked may begin within a second.
func (counts *counts) sum(window int64) (requests, retries int) {
	for i := range window {
		requests += counts.requests[(counts.lastSecond-i)%bucketCount]
	}
	for i := range window + 1 {
		retries += counts.retries[(counts.lastSecond-i)%bucketCount]
	}
	return requests, retries
}
