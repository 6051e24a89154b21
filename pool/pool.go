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
	// Limit is the number of requests a second that the target takes, 0 for no limit.
	Limit float64
}

// Configuration is the part of the operators' configuration that concerns the
// pool.
type Configuration struct {
	Targets []Target
	// MaxWaiting is the number of waiting tickets above which tickets are shed.
	MaxWaiting int
	// Weights are the fair-queueing weights of the workspaces; the default is 1.
	Weights map[string]int
}

// Pool schedules the requests of one pool. Set the exported fields before Start
// or Run.
type Pool struct {
	Name string
	// Host is the ID of the host that runs the scheduler.
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
	// SendSuspect sends a suspect that is new, changed or cleared to the hosts
	// that may schedule the pool later; it may be nil. It is called with the
	// pool locked.
	SendSuspect func(suspect Suspect)
	// Jitter returns a duration below limit that is added to a retry delay; nil
	// selects a random one.
	Jitter func(limit time.Duration) time.Duration

	mutex         sync.Mutex
	started       time.Time
	stopped       bool
	configuration Configuration
	queue         *queue
	// targets holds the configured targets, byName also removed ones on which
	// requests still run.
	targets []*target
	byName  map[string]*target
	// available holds the targets with free slots, the least busy first.
	available       indexedHeap[*target]
	holdings        map[request.ID]*holding
	lastGrantNumber uint64
	// leavingSince has the targets that are leaving.
	leavingSince     map[string]time.Time
	lastOverdueCheck time.Time
	bestPerformance  bestPerformance
	meanEndInterval  meanEndInterval
	suspects         suspects
	isolation        isolation
	floors           floors
	largeLimiter     largeLimiter

	// The fields below are buffers of a scheduling run. candidateTargets are the
	// targets of candidates, at the same indexes; lookupNumber counts the tickets
	// for which candidates or cached tokens were looked up.
	candidates       []policy.Candidate
	candidateTargets []*target
	skipped          []*item
	awaitedTargets   []*target
	holders          []prefix.Holder
	lookupNumber     uint64
}

// holding is a grant that was issued and not yet released.
type holding struct {
	ticket    *request.Ticket
	grant     request.Grant
	target    *target
	grantedAt time.Time
	// confirmed is true once the entry host has shown that it received the grant.
	confirmed bool
	// started is true once the first token was reported, at firstTokenAt;
	// prefilledAtFirstToken is the value of target.prefilledTokens at that
	// time.
	started               bool
	firstTokenAt          time.Time
	prefilledAtFirstToken int
	// pendingPrefillTokens is this grant's part of target.pendingPrefillTokens,
	// 0 after the first token; ownPrefillTokens is its initial value.
	// pendingAtGrantTokens is the value of target.pendingPrefillTokens right
	// after the grant.
	pendingPrefillTokens int
	ownPrefillTokens     int
	pendingAtGrantTokens int
	// crashCounted is true once a crash of the target was counted for the
	// ticket's body.
	crashCounted bool
	// countedAsLarge is true if the grant is counted in
	// largeLimiter.largeRunning.
	countedAsLarge bool
}

// Start initializes the pool; only the first call has an effect. Run calls it.
func (pool *Pool) Start() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.holdings != nil {
		return
	}
	pool.started = time.Now()
	pool.queue = newQueue()
	pool.byName = map[string]*target{}
	pool.holdings = map[request.ID]*holding{}
	pool.leavingSince = map[string]time.Time{}
	pool.available = indexedHeap[*target]{
		less:  func(one, other *target) bool { return one.busyRank < other.busyRank },
		index: func(target *target) *int { return &target.heapIndex },
	}
	// Starting from the clock avoids the numbers of an earlier run on this host,
	// whose grants entry hosts may still hold.
	pool.lastGrantNumber = uint64(pool.started.UnixMicro())
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
	pool.largeLimiter.deferred = nil
}

// Tick refuses expired tickets, takes slots from targets with overdue requests,
// restores slots taken earlier, and grants waiting tickets.
func (pool *Pool) Tick() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	for ticket := pool.queue.popExpired(now); ticket != nil; ticket = pool.queue.popExpired(now) {
		pool.refuse(ticket, request.ReasonDeadline)
	}
	pool.checkOverdue(now)
	for _, target := range pool.targets {
		target.restoreSlots(now)
		pool.refresh(target, now)
	}
	pool.queue.resetIdleTiers(now)
	pool.refuseIfAllLeaving(now)
	pool.scheduleSkipping(now, maxSkippedInTick)
}

// Submit queues a ticket, or handles one that its entry host sends again. A
// ticket with HeldGrant set reports a grant that the entry host already holds.
func (pool *Pool) Submit(ticket *request.Ticket) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	if pool.stopped && ticket.HeldGrant == nil {
		return
	}
	if pool.isStale(ticket) {
		return
	}
	if ticket.HeldGrant != nil {
		pool.adoptGrant(ticket, now)
		return
	}
	if holding := pool.holdings[ticket.ID]; holding != nil {
		if holding.grant.Round == ticket.Round {
			pool.SendGrant(ticket.Entry, holding.grant)
			return
		}
		pool.freeSlot(holding, now)
	}
	pool.queue.remove(ticket.ID)
	if reason, ok := pool.checkAdmission(ticket, now); !ok {
		pool.refuse(ticket, reason)
		return
	}
	pool.queue.push(ticket)
	pool.largeLimiter.addCost(cost(ticket))
	if pool.suspects.isSuspect(ticket.Fingerprint, now) {
		pool.isolate(pool.queue.items[ticket.ID])
	}
	pool.enforceQueueLimit(ticket, now)
	pool.schedule(now)
}

// isStale reports whether a newer round of the ticket is waiting or granted.
func (pool *Pool) isStale(ticket *request.Ticket) bool {
	if holding := pool.holdings[ticket.ID]; holding != nil && holding.grant.Round > ticket.Round {
		return true
	}
	waiting := pool.queue.get(ticket.ID)
	return waiting != nil && waiting.Round > ticket.Round
}

// checkAdmission reports whether a ticket may wait and, if not, the reason to
// refuse it.
func (pool *Pool) checkAdmission(ticket *request.Ticket, now time.Time) (request.Reason, bool) {
	if pool.suspects.isQuarantined(ticket.Fingerprint, now) {
		return request.ReasonQuarantined, false
	}
	if !pool.isSettling(now) && !pool.hasUsableTarget(now) {
		return request.ReasonNoTarget, false
	}
	if pool.missesDeadline(ticket, now) {
		return request.ReasonDeadline, false
	}
	return "", true
}

func (pool *Pool) isSettling(now time.Time) bool { return now.Sub(pool.started) < pool.SettlePeriod }

// hasUsableTarget reports whether any target is usable.
func (pool *Pool) hasUsableTarget(now time.Time) bool {
	for _, target := range pool.targets {
		if target.usable(now) {
			return true
		}
	}
	return false
}

// missesDeadline reports whether a ticket would miss its deadline even if it
// started now and ran at bestMargin times the best observed speed.
func (pool *Pool) missesDeadline(ticket *request.Ticket, now time.Time) bool {
	left := ticket.Deadline.Sub(now)
	if left <= 0 {
		return true
	}
	if pool.bestPerformance.minAnswerTime(ticket, 0) <= left {
		return false
	}
	return pool.bestPerformance.minAnswerTime(ticket, pool.mostCached(ticket)) > left
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
	holding := pool.holdings[release.Ticket]
	if holding == nil || !holding.matches(release.Number, release.Scheduler) {
		return
	}
	now := time.Now()
	pool.recordEnd(holding, release, now)
	pool.freeSlot(holding, now)
	pool.schedule(now)
}

// matches reports whether a message is about this grant. An empty scheduler
// matches any scheduler.
func (holding *holding) matches(number uint64, scheduler string) bool {
	return holding.grant.Number == number && (scheduler == "" || scheduler == holding.grant.Scheduler)
}

// recordEnd updates the target's health and speeds, the suspects, the
// workspace's charge and the prefix index by how a grant ended.
func (pool *Pool) recordEnd(holding *holding, release request.Release, now time.Time) {
	switch release.End {
	case request.EndTargetLeaving:
		pool.setReportedLeaving(holding.target.Name, true, now)
	case request.EndUnreachable, request.EndConnectionLost:
		holding.target.recordFailure(now)
	case request.EndTargetLost:
		holding.target.recordFailure(now)
		pool.recordTargetCrash(holding, now)
	case request.EndDone:
		holding.target.recordSuccess()
		pool.suspects.clear(holding.ticket.Fingerprint, now, pool.SendSuspect)
		pool.meanEndInterval.recordEnd(now)
		pool.queue.adjustCharge(holding.ticket, tokenCost(release.Usage.PromptTokens, release.Usage.OutputTokens))
		pool.updateSpeeds(holding, release, now)
		if pool.Prefixes != nil {
			pool.Prefixes.RecordShortfall(holding.target.Name, holding.grant.CachedTokens, release.Usage.CachedTokens)
			pool.Prefixes.RecordAnswer(holding.target.Name, holding.ticket.Prefixes, release.Usage.CachedTokens)
		}
	case request.EndFailed:
		holding.target.recordSuccess()
		pool.meanEndInterval.recordEnd(now)
	case request.EndUnused, request.EndCancelled:
	}
	if release.End == request.EndUnused || release.End == request.EndUnreachable || release.End == request.EndTargetLeaving {
		// Nothing ran: the workspace isn't charged.
		pool.queue.adjustCharge(holding.ticket, 0)
	}
}

// Progress records the first token of a running request.
func (pool *Pool) Progress(progress request.Progress) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	holding := pool.holdings[progress.Ticket]
	if holding == nil || !holding.matches(progress.Number, "") {
		return
	}
	now := time.Now()
	holding.confirmed = true
	if !holding.started {
		pool.recordFirstToken(holding, progress.FirstToken, now)
	}
	pool.refresh(holding.target, now)
	pool.schedule(now)
}

// ObserveLoad records the load that a target reports.
func (pool *Pool) ObserveLoad(name string, load Load) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if target := pool.byName[name]; target != nil {
		now := time.Now()
		target.fillLimit(now)
		target.reportedLoad = load
		target.lastReported = now
		pool.refresh(target, now)
	}
}

// Waiting returns the number of waiting tickets.
func (pool *Pool) Waiting() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.queue.len()
}

// freeSlot deletes a grant and frees its slot.
func (pool *Pool) freeSlot(holding *holding, now time.Time) {
	target := holding.target
	target.running--
	target.pendingPrefillTokens -= holding.pendingPrefillTokens
	holding.pendingPrefillTokens = 0
	delete(pool.holdings, holding.ticket.ID)
	if holding.countedAsLarge {
		pool.largeLimiter.largeRunning--
	}
	if target.removed && target.running == 0 {
		delete(pool.byName, target.Name)
	}
	pool.recordIsolatedEnd(holding, now)
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
