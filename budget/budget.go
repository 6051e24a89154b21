// Package budget implements a retry budget: it bounds how many requests are
// sent to a second target. Each host keeps to its own share, so that all hosts
// together keep the budget whether or not they receive each other's reports.
package budget

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The number of one-second buckets; a window must be shorter.
	bucketCount = 64
	// Only this fraction of the budget is used: the budget must hold in windows
	// that begin at any time, while the buckets begin at full seconds.
	safetyFraction = 0.8
	// startFraction is used until a window has passed since the start of the process, and
	// nothing of Spare: the process before this one may have used safetyFraction just
	// before it ended.
	startFraction = 1 - safetyFraction
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
	// StartedAt is when the process started.
	StartedAt time.Time

	mutex sync.Mutex
	pools map[string]*counts
}

// counts is a ring of the numbers of a pool's requests and retries in each second;
// lastSecond is the latest one.
type counts struct {
	requests   [bucketCount]int
	retries    [bucketCount]int
	lastSecond int64
	// reserved is the number of retries that were allowed and not sent yet.
	reserved int
}

// Retry is the permission to send one request to another target. It counts in the windows
// that its sending falls into, which may be long after it was given. A nil one stands for a
// request's first target.
type Retry struct {
	budget *Budget
	pool   string
	ended  atomic.Bool
}

// RecordRequest counts a caller's request for a pool.
func (budget *Budget) RecordRequest(pool string) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	counts := budget.currentCounts(pool)
	counts.requests[counts.lastSecond%bucketCount]++
}

// Reserve returns a retry if one is within the budget, else nil. It must be sent or
// returned.
func (budget *Budget) Reserve(pool string) *Retry {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	counts := budget.currentCounts(pool)
	used, allowed := budget.use(counts)
	if float64(used+1) > allowed {
		return nil
	}
	counts.reserved++
	return &Retry{budget: budget, pool: pool}
}

// Use returns the number of retries of a pool that count now, and that of those allowed.
func (budget *Budget) Use(pool string) (used int, allowed float64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.use(budget.currentCounts(pool))
}

func (budget *Budget) use(counts *counts) (used int, allowed float64) {
	requests, retries := counts.sum(int64(budget.Window / time.Second))
	used, allowed = retries+counts.reserved, budget.Ratio*float64(requests)
	if time.Since(budget.StartedAt) <= budget.Window+time.Second {
		return used, startFraction * allowed
	}
	return used, safetyFraction * (allowed + budget.Spare/float64(max(1, budget.Hosts())))
}

// Send counts the retry at the present time.
func (retry *Retry) Send() { retry.end(1) }

// Return gives back a retry that was not sent. One that was sent stays counted.
func (retry *Retry) Return() { retry.end(0) }

// end ends the reservation, once, and counts a number of sent retries.
func (retry *Retry) end(sent int) {
	if retry == nil || retry.ended.Swap(true) {
		return
	}
	retry.budget.mutex.Lock()
	defer retry.budget.mutex.Unlock()
	counts := retry.budget.currentCounts(retry.pool)
	counts.reserved--
	counts.retries[counts.lastSecond%bucketCount] += sent
}

// currentCounts returns a pool's counts, advanced to the current second. It clears
// the counts of seconds that are too old for any window.
func (budget *Budget) currentCounts(pool string) *counts {
	if budget.pools == nil {
		budget.pools = map[string]*counts{}
	}
	if budget.StartedAt.IsZero() {
		budget.StartedAt = time.Now()
	}
	poolCounts := budget.pools[pool]
	now := int64(time.Since(budget.StartedAt)/time.Second) + bucketCount
	if poolCounts == nil {
		poolCounts = &counts{lastSecond: now}
		budget.pools[pool] = poolCounts
	}
	if now-poolCounts.lastSecond >= bucketCount {
		*poolCounts = counts{lastSecond: now, reserved: poolCounts.reserved}
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
