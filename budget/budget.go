// Package budget bounds how many requests are sent to a second target. Each
// host keeps to its own part, so that all hosts together keep the whole
// whether or not they hear each other.
package budget

import (
	"sync"
	"time"
)

const (
	// seconds is how many buckets of a second a window may have.
	seconds = 64
	// safety is the part of the budget that is used: the window of who judges
	// it begins anywhere.
	safety = 0.8
)

// Budget bounds the repeats of each pool. Fields are set before use.
type Budget struct {
	// Ratio is the repeats allowed for each request in a window.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration
	// Spare is the repeats allowed besides, over all hosts.
	Spare float64
	// Hosts returns how many hosts share the spare ones.
	Hosts func() int

	mutex sync.Mutex
	pools map[string]*counts
	// began is the start of second 0, by the clock that never jumps.
	began time.Time
}

// counts holds a pool's requests and repeats by second.
type counts struct {
	requests [seconds]int
	repeats  [seconds]int
	last     int64
}

// RecordRequest counts a caller's request for a pool.
func (budget *Budget) RecordRequest(pool string) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	counts := budget.at(pool)
	counts.requests[counts.last%seconds]++
}

// AllowRetry counts a repeat and reports whether it is allowed.
func (budget *Budget) AllowRetry(pool string) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	counts := budget.at(pool)
	window := int64(budget.Window / time.Second)
	requests, repeats := counts.sum(window)
	allowed := safety * (budget.Ratio*float64(requests) + budget.Spare/float64(max(1, budget.Hosts())))
	if float64(repeats+1) > allowed {
		return false
	}
	counts.repeats[counts.last%seconds]++
	return true
}

// at returns a pool's counts, moved on to the present second.
func (budget *Budget) at(pool string) *counts {
	if budget.pools == nil {
		budget.pools = map[string]*counts{}
	}
	if budget.began.IsZero() {
		budget.began = time.Now()
	}
	found := budget.pools[pool]
	now := int64(time.Since(budget.began)/time.Second) + seconds
	if found == nil {
		found = &counts{last: now}
		budget.pools[pool] = found
	}
	if now-found.last >= seconds {
		*found = counts{last: now}
	}
	for found.last < now {
		found.last++
		found.requests[found.last%seconds] = 0
		found.repeats[found.last%seconds] = 0
	}
	return found
}

// sum adds up the requests of the last window and the repeats of one second
// more, as that window may begin within a second.
func (counts *counts) sum(window int64) (requests, repeats int) {
	for i := range window {
		requests += counts.requests[(counts.last-i)%seconds]
	}
	for i := range window + 1 {
		repeats += counts.repeats[(counts.last-i)%seconds]
	}
	return requests, repeats
}
