// Package budget implements a retry budget: it bounds how many requests are
// sent to a second target. Each host keeps to its own share, so that all hosts
// together keep the budget whether or not they receive each other's reports.
package budget

import (
	"sync"
	"time"
)

const (
	// The number of one-second buckets; a window must be shorter.
	bucketCount = 64
	// Only this fraction of the budget is used: the budget must hold in windows
	// that begin at any time, while the buckets begin at full seconds.
	safetyFraction = 0.8
)

// Budget bounds the retries of each pool. Exported fields are set before use.
type Budget struct {
	// Ratio is the number of retries allowed per request in a window.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Spare is the number of retries allowed in a window in addition to Ratio, over
	// all hosts.
	Spare float64
	// Hosts returns the number of hosts that share Spare.
	Hosts func() int

	mutex sync.Mutex
	pools map[string]*counts
	// startedAt is the time of the first use; seconds are counted from it by the
	// monotonic clock.
	startedAt time.Time
}

// counts is a ring of the numbers of a pool's requests and retries in each second;
// lastSecond is the latest one.
type counts struct {
	requests   [bucketCount]int
	retries    [bucketCount]int
	lastSecond int64
}

// RecordRequest counts a caller's request for a pool.
func (budget *Budget) RecordRequest(pool string) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	counts := budget.currentCounts(pool)
	counts.requests[counts.lastSecond%bucketCount]++
}

// AllowRetry reports whether a retry is within the budget, and counts it if so.
func (budget *Budget) AllowRetry(pool string) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	counts := budget.currentCounts(pool)
	window := int64(budget.Window / time.Second)
	requests, retries := counts.sum(window)
	allowed := safetyFraction * (budget.Ratio*float64(requests) + budget.Spare/float64(max(1, budget.Hosts())))
	if float64(retries+1) > allowed {
		return false
	}
	counts.retries[counts.lastSecond%bucketCount]++
	return true
}

// currentCounts returns a pool's counts, advanced to the current second. It clears
// the counts of seconds that are too old for any window.
func (budget *Budget) currentCounts(pool string) *counts {
	if budget.pools == nil {
		budget.pools = map[string]*counts{}
	}
	if budget.startedAt.IsZero() {
		budget.startedAt = time.Now()
	}
	poolCounts := budget.pools[pool]
	now := int64(time.Since(budget.startedAt)/time.Second) + bucketCount
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

// sum returns the requests in the last window, of the given number of seconds, and
// the retries in the window and the second before: a window for which the budget
// must hold may begin within that second.
func (counts *counts) sum(window int64) (requests, retries int) {
	for i := range window {
		requests += counts.requests[(counts.lastSecond-i)%bucketCount]
	}
	for i := range window + 1 {
		retries += counts.retries[(counts.lastSecond-i)%bucketCount]
	}
	return requests, retries
}
