// Package pool schedules the requests of one pool in one availability zone: it
// queues tickets, grants them slots of targets and sheds them under overload. It
// does no input or output itself; messages are sent through function fields.
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
	// tickInterval is the interval between calls of Tick.
	tickInterval = 50 * time.Millisecond
)

// Target is a configured target.
type Target struct {
	Name    string
	Slots   int
	Leaving bool
}

// Load is the load that a target reports, which may be out of date.
type Load struct {
	Running    int
	Waiting    int
	ReportedAt time.Time
}

// Configuration is the part of the operators' configuration that concerns the
// pool.
type Configuration struct {
	Targets []Target
	// MaxWaiting is the number of waiting tickets above which the pool sheds.
	MaxWaiting int
	// Weights are the fair-queueing weights of the workspaces; the default is 1.
	Weights map[string]int
}

// Pool schedules the requests of one pool. Set the exported fields before Start
// or Run.
type Pool struct {
	Name string
	// Host is the id of the host that runs the scheduler.
	Host string
	// SettlePeriod is how long after its start the pool grants nothing, so that
	// the entry hosts can report the grants that they hold.
	SettlePeriod time.Duration
	Policy       *policy.Policy
	// Prefixes estimates which prompt prefixes the targets have cached; nil for
	// a service.
	Prefixes *prefix.Index
	// SendGrant and SendRefusal send a decision to the entry host. They are
	// called with the pool locked and must neither block nor call the pool.
	SendGrant   func(entry string, grant request.Grant)
	SendRefusal func(entry string, refusal request.Refusal)
	// SendSuspect sends a new or cleared suspicion to the other schedulers; it
	// may be nil. It is called with the pool locked.
	SendSuspect func(suspect Suspect)
	// Jitter returns a duration below limit that is added to a retry delay; nil
	// selects a random one.
	Jitter func(limit time.Duration) time.Duration

	mutex         sync.Mutex
	started       time.Time
	stopped       bool
	configuration Configuration
	queue         *queue
	// targets are the configured targets. byName also has removed ones on which
	// requests still run.
	targets []*target
	byName  map[string]*target
	// available has the targets with free slots, the least busy first.
	available        indexedHeap[*target]
	held             map[request.ID]*holding
	number           uint64
	leaving          map[string]time.Time
	lastOverdueCheck time.Time
	peak             peak
	drain            drain
	suspects         suspects
	isolation        isolation
	floors           floors
	sizes            sizes

	candidates []policy.Candidate
	chosen     []*target
	skipped    []*item
	awaited    []*target
	holders    []prefix.Holder
	stamp      uint64
}

// holding is a grant that was issued and not yet released.
type holding struct {
	ticket    *request.Ticket
	grant     request.Grant
	target    *target
	grantedAt time.Time
	// confirmed is true once the entry host has shown that it received the grant.
	confirmed bool
	// started is true once the first token was seen, at firstTokenAt. prefilled
	// is the value of target.prefilled at that time.
	started      bool
	firstTokenAt time.Time
	prefilled    int
	// prefill is the part of the target's pendingPrefill that is due to this
	// grant, 0 after the first token; ownPrefill is its initial value.
	// expectedPrefill is the target's pendingPrefill right after the grant.
	prefill         int
	ownPrefill      int
	expectedPrefill int
	// crashed is true once a crash of its target was counted for the ticket's
	// body.
	crashed bool
	// large is true if the grant is counted in sizes.running.
	large bool
}

// Start initializes the pool; only the first call has an effect. Run calls it.
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
		less:  func(one, other *target) bool { return one.busyRank < other.busyRank },
		index: func(target *target) *int { return &target.heapIndex },
	}
	// Starting from the clock avoids the numbers of an earlier run on this host,
	// whose grants entry hosts may still hold.
	pool.number = uint64(pool.started.UnixMicro())
}

// Run calls Start, then Tick every 50 ms until the context ends.
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

// Stop discards the waiting tickets without refusing them, because another
// scheduler is now responsible: the entry hosts send them there. Grants can still
// be released.
func (pool *Pool) Stop() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.stopped = true
	pool.queue = newQueue()
	pool.queue.weights = pool.configuration.Weights
	pool.isolation.waiting = nil
	pool.sizes.deferred = nil
}

// Tick refuses expired tickets, checks for overdue requests, restores slots that
// targets lost and schedules.
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

// Submit queues a ticket, or handles one that its entry host sends again. A ticket
// with Held set reports a grant that the entry host already holds.
func (pool *Pool) Submit(ticket *request.Ticket) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	if pool.stopped && ticket.HeldGrant == nil {
		return
	}
	if pool.stale(ticket) {
		return
	}
	if ticket.HeldGrant != nil {
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

// stale reports whether a newer round of the ticket is waiting or granted.
func (pool *Pool) stale(ticket *request.Ticket) bool {
	if held := pool.held[ticket.ID]; held != nil && held.grant.Round > ticket.Round {
		return true
	}
	waiting := pool.queue.get(ticket.ID)
	return waiting != nil && waiting.Round > ticket.Round
}

// admissible reports whether a ticket may wait and, if not, the reason to refuse
// it.
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

// served reports whether any target is usable.
func (pool *Pool) served(now time.Time) bool {
	for _, target := range pool.targets {
		if target.usable(now) {
			return true
		}
	}
	return false
}

// missesDeadline reports whether a ticket would miss its deadline even if it
// started at once and ran at the best observed speed.
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

// Cancel removes a waiting ticket from the queue.
func (pool *Pool) Cancel(cancel request.Cancel) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	waiting := pool.queue.get(cancel.Ticket)
	if waiting == nil || waiting.Round > cancel.Round {
		return
	}
	pool.queue.remove(cancel.Ticket)
}

// Release frees the slot of a grant.
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

// matches reports whether a message refers to this grant. An empty scheduler
// matches any.
func (held *holding) matches(number uint64, scheduler string) bool {
	return held.grant.Number == number && (scheduler == "" || scheduler == held.grant.Scheduler)
}

// recordEnd updates health, speed and accounting by how a grant ended.
func (pool *Pool) recordEnd(held *holding, release request.Release, now time.Time) {
	switch release.End {
	case request.EndTargetLeaving:
		pool.setReportedLeaving(held.target.Name, true, now)
	case request.EndUnreachable, request.EndConnectionLost:
		held.target.recordFailure(now)
	case request.EndTargetLost:
		held.target.recordFailure(now)
		pool.recordTargetCrash(held, now)
	case request.EndDone:
		held.target.recordSuccess()
		pool.suspects.clear(held.ticket.Fingerprint, now, pool.SendSuspect)
		pool.drain.ended(now)
		pool.queue.correct(held.ticket, work(release.Usage.PromptTokens, release.Usage.OutputTokens))
		pool.learn(held, release, now)
		if pool.Prefixes != nil {
			pool.Prefixes.RecordShortfall(held.target.Name, held.grant.CachedTokens, release.Usage.CachedTokens)
			pool.Prefixes.RecordAnswer(held.target.Name, held.ticket.Prefixes, release.Usage.CachedTokens)
		}
	case request.EndFailed:
		held.target.recordSuccess()
		pool.drain.ended(now)
	case request.EndUnused, request.EndCancelled:
	}
	if release.End == request.EndUnused || release.End == request.EndUnreachable || release.End == request.EndTargetLeaving {
		// Nothing ran: the workspace isn't charged.
		pool.queue.correct(held.ticket, 0)
	}
}

// Progress records the first token of a running request.
func (pool *Pool) Progress(progress request.Progress) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	held := pool.held[progress.Ticket]
	if held == nil || !held.matches(progress.Number, "") {
		return
	}
	now := time.Now()
	held.confirmed = true
	if !held.started {
		pool.recordFirstToken(held, progress.FirstToken, now)
	}
	pool.refresh(held.target, now)
	pool.schedule(now)
}

// ObserveLoad records the load that a target reports.
func (pool *Pool) ObserveLoad(name string, load Load) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if target := pool.byName[name]; target != nil {
		target.load = load
		target.lastReported = time.Now()
	}
}

// Waiting returns the number of waiting tickets.
func (pool *Pool) Waiting() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.queue.len()
}

func (pool *Pool) free(held *holding, now time.Time) {
	target := held.target
	target.running--
	target.pendingPrefill -= held.prefill
	held.prefill = 0
	delete(pool.held, held.ticket.ID)
	if held.large {
		pool.sizes.running--
	}
	if target.removed && target.running == 0 {
		delete(pool.byName, target.Name)
	}
	pool.isolatedEnded(held, now)
	pool.refresh(target, now)
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
