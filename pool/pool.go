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
	// tick is the interval of the work that only time brings about.
	tick = 50 * time.Millisecond
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
	At      time.Time
}

// Configuration is what the operators say of the pool.
type Configuration struct {
	Targets []Target
	// Waiting is the most tickets that may wait.
	Waiting int
	// Weights of the workspaces; one that is missing counts as 1.
	Weights map[string]int
}

// Pool schedules one pool. Fields are set before Run.
type Pool struct {
	Name string
	// Host is the id of the host it runs on.
	Host string
	// Settle is how long after its start the pool only listens, so that the
	// entry hosts can tell it which grants they hold.
	Settle time.Duration
	Policy *policy.Policy
	// Prefixes knows what the targets probably hold; nil for a service.
	Prefixes *prefix.Index
	// Granted and Refused pass the decisions to the entry host. They are
	// called with the pool locked and must not block or call back.
	Granted func(entry string, grant request.Grant)
	Refused func(entry string, refusal request.Refusal)
	// Suspected passes a new suspicion to the other schedulers; nil for none.
	Suspected func(suspect Suspect)
	// Spread draws a time below the limit by which a retry is put off; nil
	// for a random one.
	Spread func(limit time.Duration) time.Duration

	mutex         sync.Mutex
	started       time.Time
	configuration Configuration
	queue         *queue
	targets       []*target
	byName        map[string]*target
	held          map[request.ID]*holding
	number        uint64
	suspects      map[uint64]Suspect
	candidates    []policy.Candidate
	open          []*target
}

type target struct {
	Target
	running        int
	pendingPrefill int
	load           Load
}

// holding is a grant in use.
type holding struct {
	ticket *request.Ticket
	grant  request.Grant
	target *target
	at     time.Time
	// used is true once the entry host has shown that it got the grant.
	used bool
	// prefill is what the grant added to pendingPrefill and still counts.
	prefill int
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
}

// Run does the work that only time brings about, until the context ends.
func (pool *Pool) Run(ctx context.Context) {
	pool.Start()
	ticker := time.NewTicker(tick)
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

// Tick refuses what is past its deadline, takes unused grants back and
// schedules.
func (pool *Pool) Tick() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	for _, ticket := range pool.queue.expired(now) {
		pool.refuse(ticket, request.ReasonDeadline)
	}
	pool.schedule(now)
}

// Configure puts the operators' word on the pool in force.
func (pool *Pool) Configure(configuration Configuration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.configuration = configuration
	pool.queue.weights = configuration.Weights
	byName := map[string]*target{}
	pool.targets = pool.targets[:0]
	for _, told := range configuration.Targets {
		known := pool.byName[told.Name]
		if known == nil {
			known = &target{}
		}
		known.Target = told
		byName[told.Name] = known
		pool.targets = append(pool.targets, known)
	}
	for _, holding := range pool.held {
		if byName[holding.target.Name] == nil {
			holding.target.Leaving = true
		}
	}
	pool.byName = byName
	pool.schedule(time.Now())
}

// Submit takes a ticket, or one sent again.
func (pool *Pool) Submit(ticket *request.Ticket) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	if ticket.Held != nil {
		pool.adopt(ticket, now)
		return
	}
	if held := pool.held[ticket.ID]; held != nil {
		if held.grant.Round == ticket.Round {
			pool.Granted(ticket.Entry, held.grant)
			return
		}
		pool.free(held)
	}
	if pool.queue.has(ticket.ID) {
		pool.queue.remove(ticket.ID)
	}
	if pool.queue.len() >= pool.configuration.Waiting && !pool.makeRoom(ticket) {
		pool.refuse(ticket, request.ReasonShed)
		return
	}
	pool.queue.push(ticket)
	pool.schedule(now)
}

// Cancel withdraws a waiting ticket.
func (pool *Pool) Cancel(cancel request.Cancel) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.queue.remove(cancel.Ticket)
}

// Release gives the slot of a grant back.
func (pool *Pool) Release(release request.Release) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	held := pool.held[release.Ticket]
	if held == nil || held.grant.Number != release.Number {
		return
	}
	if release.End == request.EndLeaving {
		held.target.Leaving = true
	}
	if pool.Prefixes != nil && release.End == request.EndDone {
		pool.Prefixes.Answered(release.Target, held.ticket.Prefixes, release.Usage.CachedTokens)
	}
	pool.free(held)
	pool.schedule(time.Now())
}

// Progress learns of the first token of a running request.
func (pool *Pool) Progress(progress request.Progress) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	held := pool.held[progress.Ticket]
	if held == nil || held.grant.Number != progress.Number {
		return
	}
	held.used = true
	held.target.pendingPrefill -= held.prefill
	held.prefill = 0
}

// Observe takes a target's load report.
func (pool *Pool) Observe(name string, load Load) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if known := pool.byName[name]; known != nil {
		known.load = load
	}
}

// Leave marks a target as leaving, or as back.
func (pool *Pool) Leave(name string, leaving bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if known := pool.byName[name]; known != nil {
		known.Leaving = leaving
	}
	pool.schedule(time.Now())
}

// Waiting returns the number of waiting tickets.
func (pool *Pool) Waiting() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.queue.len()
}

// adopt takes over a grant of an earlier scheduler.
func (pool *Pool) adopt(ticket *request.Ticket, now time.Time) {
	if pool.held[ticket.ID] != nil {
		return
	}
	pool.queue.remove(ticket.ID)
	known := pool.byName[ticket.Held.Target]
	if known == nil {
		known = &target{Target: Target{Name: ticket.Held.Target, Leaving: true}}
	}
	known.running++
	pool.held[ticket.ID] = &holding{ticket: ticket, grant: *ticket.Held, target: known, at: now, used: true}
}

func (pool *Pool) free(held *holding) {
	held.target.running--
	held.target.pendingPrefill -= held.prefill
	delete(pool.held, held.ticket.ID)
}

func (pool *Pool) refuse(ticket *request.Ticket, reason request.Reason) {
	pool.Refused(ticket.Entry, request.Refusal{
		Ticket:     ticket.ID,
		Round:      ticket.Round,
		Pool:       pool.Name,
		Reason:     reason,
		RetryAfter: pool.retryAfter(),
	})
}
