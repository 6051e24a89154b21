// Package pool is the scheduler of one pool in one availability zone: the
// waiting tickets, the slots of the targets, the grants and the shedding. It
// does no input or output; its seams are function fields.
package pool

import (
	"context"
	"sync"
	"time"

	"nutmegfield.example/policy"
	"nutmegfield.example/prefix"
	"nutmegfield.example/request"
)

const (
	// grantLifetime is how long an entry host may take to use a grant.
	grantLifetime = 2 * time.Second
	// tickInterval is the interval of the work that only time brings about.
	tickInterval = 50 * time.Millisecond
)

// Target is what the scheduler is told of a target.
type Target struct {
	Name    string
	Slots   int
	Leaving bool
}

// Load is a target's own report, which lags.
type Load struct {
	Running int
	Waiting int
	ReportedAt      time.Time
}

// Configuration is what the operators say of the pool.
type Configuration struct {
	Targets []Target
	// MaxWaiting is the most tickets that may wait.
	MaxWaiting int
	// Weights of the workspaces; one that is missing counts as 1.
	Weights map[string]int
}

// Pool schedules one pool. Fields are set before Run.
type Pool struct {
	Name string
	// Host is the id of the host it runs on.
	Host string
	// SettlePeriod is how long after its start the pool only listens, so that the
	// entry hosts can tell it which grants they hold.
	SettlePeriod time.Duration
	Policy *policy.Policy
	// Prefixes knows what the targets probably hold; nil for a service.
	Prefixes *prefix.Index
	// SendGrant and Refused pass the decisions to the entry host. They are
	// called with the pool locked and must not block or call back.
	SendGrant func(entry string, grant request.Grant)
	SendRefusal func(entry string, refusal request.Refusal)
	// SendSuspect passes a new suspicion to the other schedulers; nil for none.
	// It is called with the pool locked.
	SendSuspect func(suspect Suspect)
	// Jitter draws a time below the limit by which a retry is put off; nil
	// for a random one.
	Jitter func(limit time.Duration) time.Duration

	mutex         sync.Mutex
	started       time.Time
	stopped       bool
	configuration Configuration
	queue         *queue
	// targets are the configured ones; byName has those removed with work
	// still on them too.
	targets []*target
	byName  map[string]*target
	// available holds the targets with room, the least busy first.
	available     indexedHeap[*target]
	held     map[request.ID]*holding
	number   uint64
	leaving  map[string]time.Time
	lastOverdueCheck   time.Time
	peak     peak
	drain    drain
	suspects suspects
	isolation    isolation
	floors   floors
	sizes    sizes

	candidates []policy.Candidate
	chosen     []*target
	passedOver      []*item
	awaited    []*target
	holders    []prefix.Holder
	stamp      uint64
}

// holding is a grant in use.
type holding struct {
	ticket *request.Ticket
	grant  request.Grant
	target *target
	grantedAt     time.Time
	// used is true once the entry host has shown that it got the grant.
	used bool
	// started is true once the first token was seen, at firstAt. prefilled is
	// what its target had computed by then.
	started   bool
	firstTokenAt   time.Time
	prefilled int
	// prefill is what the grant added to pendingPrefill and still counts,
	// ownPrefill what it added at first, expectedPrefill all that was pending
	// there with it.
	prefill         int
	ownPrefill      int
	expectedPrefill int
	// crashed is true once a crash of its target was counted against it.
	crashed bool
	// large is true where it counts as one of the large ones.
	large bool
}

// Start readies the pool; Run calls it.
func (pool *Pool) Start() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.held != nil {
		return
	}
	pool.started = time.Now()
	pool.queue = newQueue()
	pool.byName = map[string]*target{}
	pool.held = map[request.ID]*holding{}
	pool.leaving = map[string]time.Time{}
	pool.available = indexedHeap[*target]{
		less:  func(one, other *target) bool { return one.busy < other.busy },
		index: func(target *target) *int { return &target.heapIndex },
	}
	// An entry host may still name grants of an earlier run on this host.
	pool.number = uint64(pool.started.UnixMicro())
}

// Run does the work that only time brings about, until the context ends.
func (pool *Pool) Run(ctx context.Context) {
	pool.Start()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			pool.Tick()
		}
	}
}

// Stop drops the waiting tickets without a word, as another scheduler is
// responsible now: the entry hosts send them there. Running work may still be
// released.
func (pool *Pool) Stop() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.stopped = true
	pool.queue = newQueue()
	pool.queue.weights = pool.configuration.Weights
	pool.isolation.waiting = nil
	pool.sizes.deferred = nil
}

// Tick refuses what is past its deadline, gives slots back and schedules.
func (pool *Pool) Tick() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	for ticket := pool.queue.expired(now); ticket != nil; ticket = pool.queue.expired(now) {
		pool.refuse(ticket, request.ReasonDeadline)
	}
	pool.checkOverdue(now)
	for _, target := range pool.targets {
		target.grow(now)
		pool.refresh(target, now)
	}
	pool.queue.forgetIdle(now)
	pool.refuseUnserved(now)
	pool.scheduleAhead(now, tickLookAhead)
}

// Submit takes a ticket, or one sent again.
func (pool *Pool) Submit(ticket *request.Ticket) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	if pool.stopped && ticket.Held == nil {
		return
	}
	if pool.stale(ticket) {
		return
	}
	if ticket.Held != nil {
		pool.adopt(ticket, now)
		return
	}
	if held := pool.held[ticket.ID]; held != nil {
		if held.grant.Round == ticket.Round {
			pool.SendGrant(ticket.Entry, held.grant)
			return
		}
		pool.free(held, now)
	}
	pool.queue.remove(ticket.ID)
	if reason, ok := pool.admissible(ticket, now); !ok {
		pool.refuse(ticket, reason)
		return
	}
	pool.queue.push(ticket)
	pool.sizes.learn(cost(ticket))
	if pool.suspects.suspected(ticket.Fingerprint, now) {
		pool.isolate(pool.queue.items[ticket.ID])
	}
	pool.enforceQueueLimit(ticket, now)
	pool.schedule(now)
}

// stale reports whether a newer round of the ticket is known.
func (pool *Pool) stale(ticket *request.Ticket) bool {
	if held := pool.held[ticket.ID]; held != nil && held.grant.Round > ticket.Round {
		return true
	}
	waiting := pool.queue.get(ticket.ID)
	return waiting != nil && waiting.Round > ticket.Round
}

// admissible reports whether a ticket may wait at all, and if not, why.
func (pool *Pool) admissible(ticket *request.Ticket, now time.Time) (request.Reason, bool) {
	if pool.suspects.quarantined(ticket.Fingerprint, now) {
		return request.ReasonQuarantined, false
	}
	if !pool.settling(now) && !pool.served(now) {
		return request.ReasonNoTarget, false
	}
	if pool.missesDeadline(ticket, now) {
		return request.ReasonDeadline, false
	}
	return "", true
}

func (pool *Pool) settling(now time.Time) bool { return now.Sub(pool.started) < pool.SettlePeriod }

// served reports whether any target may take work sooner or later.
func (pool *Pool) served(now time.Time) bool {
	for _, target := range pool.targets {
		if target.usable(now) {
			return true
		}
	}
	return false
}

// missesDeadline reports whether a ticket would miss its deadline even if it ran at
// once at the best speed seen.
func (pool *Pool) missesDeadline(ticket *request.Ticket, now time.Time) bool {
	left := ticket.Deadline.Sub(now)
	if left <= 0 {
		return true
	}
	if pool.peak.fastest(ticket, 0) <= left {
		return false
	}
	return pool.peak.fastest(ticket, pool.mostCached(ticket)) > left
}

// Cancel withdraws a waiting ticket.
func (pool *Pool) Cancel(cancel request.Cancel) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	waiting := pool.queue.get(cancel.Ticket)
	if waiting == nil || waiting.Round > cancel.Round {
		return
	}
	pool.queue.remove(cancel.Ticket)
}

// Release gives the slot of a grant back.
func (pool *Pool) Release(release request.Release) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	held := pool.held[release.Ticket]
	if held == nil || !held.matches(release.Number, release.Scheduler) {
		return
	}
	now := time.Now()
	pool.recordEnd(held, release, now)
	pool.free(held, now)
	pool.schedule(now)
}

// matches reports whether a message means this grant. An empty scheduler fits any.
func (held *holding) matches(number uint64, scheduler string) bool {
	return held.grant.Number == number && (scheduler == "" || scheduler == held.grant.Scheduler)
}

// recordEnd learns from the end of a grant.
func (pool *Pool) recordEnd(held *holding, release request.Release, now time.Time) {
	switch release.End {
	case request.EndLeaving:
		pool.setReportedLeaving(held.target.Name, true, now)
	case request.EndUnreachable, request.EndCut:
		held.target.recordFailure(now)
	case request.EndBroken:
		held.target.recordFailure(now)
		pool.recordTargetCrash(held, now)
	case request.EndDone:
		held.target.recordSuccess()
		pool.suspects.clear(held.ticket.Fingerprint, now, pool.SendSuspect)
		pool.drain.ended(now)
		pool.queue.correct(held.ticket, work(release.Usage.PromptTokens, release.Usage.OutputTokens))
		pool.learn(held, release, now)
		if pool.Prefixes != nil {
			pool.Prefixes.Missed(held.target.Name, held.grant.CachedTokens, release.Usage.CachedTokens)
			pool.Prefixes.Answered(held.target.Name, held.ticket.Prefixes, release.Usage.CachedTokens)
		}
	case request.EndFailed:
		held.target.recordSuccess()
		pool.drain.ended(now)
	case request.EndUnused, request.EndCancelled:
	}
	if release.End == request.EndUnused || release.End == request.EndUnreachable || release.End == request.EndLeaving {
		// Nothing ran: the workspace gets its share back.
		pool.queue.correct(held.ticket, 0)
	}
}

// Progress learns of the first token of a running request.
func (pool *Pool) Progress(progress request.Progress) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	held := pool.held[progress.Ticket]
	if held == nil || !held.matches(progress.Number, "") {
		return
	}
	now := time.Now()
	held.used = true
	if !held.started {
		pool.recordFirstToken(held, progress.FirstToken, now)
	}
	pool.refresh(held.target, now)
	pool.schedule(now)
}

// ObserveLoad takes a target's load report.
func (pool *Pool) ObserveLoad(name string, load Load) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if known := pool.byName[name]; known != nil {
		known.load = load
		known.lastReported = time.Now()
	}
}

// Waiting returns the number of waiting tickets.
func (pool *Pool) Waiting() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.queue.len()
}

func (pool *Pool) free(held *holding, now time.Time) {
	known := held.target
	known.running--
	known.pendingPrefill -= held.prefill
	held.prefill = 0
	delete(pool.held, held.ticket.ID)
	if held.large {
		pool.sizes.running--
	}
	if known.removed && known.running == 0 {
		delete(pool.byName, known.Name)
	}
	pool.isolatedEnded(held, now)
	pool.refresh(known, now)
}

func (pool *Pool) refuse(ticket *request.Ticket, reason request.Reason) {
	pool.SendRefusal(ticket.Entry, request.Refusal{
		Ticket:     ticket.ID,
		Round:      ticket.Round,
		Pool:       pool.Name,
		Reason:     reason,
		RetryAfter: pool.retryAfter(ticket, reason),
	})
}
