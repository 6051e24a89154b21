// Package balance decides on one host which waiting request goes to which
// target, from the host's own requests and what the other hosts report of
// theirs. It uses no network.
package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/errorkind"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("balance")
	// Refused: no target could take the request in time; it did not run.
	Refused = Errors.NewType("refused")
	// Unserved: the pool has no target.
	Unserved = Refused.NewSubtype("unserved")
)

// Is reports whether an error, however wrapped with %w, is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }

const (
	// crossZone is added to the estimate of a target in another zone.
	crossZone = 3 * time.Millisecond
	// failurePenalty is the factor on the estimate of a target all of whose
	// requests fail, less one.
	failurePenalty = 8
	// failingShare is the share of failures, above that of the pool's best
	// target, from which a target only gets a request now and then.
	failingShare = 0.25
	// trialShare is how often a failing target is tried nevertheless.
	trialShare = 0.03
	// plainDepth times its slots is the most requests a plain service's
	// target is given, as they are short and it queues a few.
	plainDepth = 2
	// reportLife is how long a report of another host is held for true.
	reportLife = 1500 * time.Millisecond
	// tick is the longest time between two looks at the waiting requests.
	tick = 20 * time.Millisecond
)

// Ticket is one request that asks for a target.
type Ticket struct {
	Pool string
	// Tier is its rank, 0 the most important.
	Tier int
	// PromptTokens is the prompt that a model engine has to read; 0 for plain
	// services.
	PromptTokens int
	// Until is when it is refused if it still waits.
	Until time.Time
	// Exclude are the targets that it was sent to already.
	Exclude []string
	// Repeat tickets were sent to a target before.
	Repeat bool

	arrived time.Time
	granted chan *Grant
	failed  chan error
}

// Grant is the right to send one request to a target once.
type Grant struct {
	Target Target
	// Expected is the estimated time to the first event.
	Expected time.Duration

	balancer *Balancer
	work     int
	backlog  int
	begun    time.Time
	started  bool
	overdue  bool
	ended    bool
}

// Report is what one host tells of its requests.
type Report struct {
	Host    string
	Uses    []Use
	Queues  []Queue
	Arrived time.Time
}

// Use is what a host has open at a target.
type Use struct {
	Target  string
	Open    int
	Backlog int
	Cost    time.Duration
}

// Queue counts a pool's waiting requests by tier.
type Queue struct {
	Pool    string
	Waiting []int
}

// Balancer grants targets to requests. Fields are set before Run.
type Balancer struct {
	// Zone is the host's own.
	Zone string

	mutex   sync.Mutex
	targets map[string]*state
	pools   map[string]*pool
	reports map[string]*Report
}

// pool is the waiting requests and the targets of a pool.
type pool struct {
	name    string
	targets []*state
	// waiting is ordered by tier, then by arrival.
	waiting []*Ticket
	// others counts the waiting requests of the other hosts by tier.
	others []int
	// engine pools run model engines.
	engine bool
}

// Run looks at the waiting requests now and then until the context ends.
func (balancer *Balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			balancer.mutex.Lock()
			balancer.fold(time.Now())
			balancer.pumpAll()
			balancer.mutex.Unlock()
		}
	}
}

// SetTargets replaces the known targets. What is known of those that stay is
// kept. Engines says which pools run model engines.
func (balancer *Balancer) SetTargets(targets []Target, engines map[string]bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	before := balancer.targets
	balancer.targets = map[string]*state{}
	for _, pool := range balancer.pools {
		pool.targets = nil
	}
	for _, target := range targets {
		known := before[target.ID]
		if known == nil || !known.Born.Equal(target.Born) || known.Address != target.Address {
			open, backlog := 0, 0
			if known != nil {
				open, backlog = known.open, known.backlog
			}
			known = &state{open: open, backlog: backlog}
		}
		known.Target = target
		balancer.targets[target.ID] = known
		pool := balancer.pool(target.Pool)
		pool.targets = append(pool.targets, known)
	}
	for name, pool := range balancer.pools {
		pool.engine = engines[name]
	}
	balancer.fold(time.Now())
	balancer.pumpAll()
}

func (balancer *Balancer) pool(name string) *pool {
	if balancer.pools == nil {
		balancer.pools = map[string]*pool{}
	}
	found := balancer.pools[name]
	if found == nil {
		found = &pool{name: name}
		balancer.pools[name] = found
	}
	return found
}

// Take waits for a target. It fails with Refused, or with the context's error.
func (balancer *Balancer) Take(ctx context.Context, ticket *Ticket) (*Grant, error) {
	ticket.arrived = time.Now()
	ticket.granted = make(chan *Grant, 1)
	ticket.failed = make(chan error, 1)
	balancer.submit(ticket)
	select {
	case grant := <-ticket.granted:
		return grant, nil
	case err := <-ticket.failed:
		return nil, err
	case <-ctx.Done():
	}
	if grant := balancer.withdraw(ticket); grant != nil {
		grant.Cancel()
	}
	return nil, ctx.Err()
}

func (balancer *Balancer) submit(ticket *Ticket) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	pool := balancer.pool(ticket.Pool)
	at, _ := slices.BinarySearchFunc(pool.waiting, ticket, compareTickets)
	pool.waiting = slices.Insert(pool.waiting, at, ticket)
	balancer.pump(pool)
}

func compareTickets(one, other *Ticket) int {
	if one.Tier != other.Tier {
		return one.Tier - other.Tier
	}
	return one.arrived.Compare(other.arrived)
}

// withdraw takes a ticket out of the queue, or returns its grant.
func (balancer *Balancer) withdraw(ticket *Ticket) *Grant {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	pool := balancer.pool(ticket.Pool)
	pool.waiting = slices.DeleteFunc(pool.waiting, func(other *Ticket) bool { return other == ticket })
	select {
	case grant := <-ticket.granted:
		return grant
	default:
		return nil
	}
}

func (balancer *Balancer) pumpAll() {
	for _, pool := range balancer.pools {
		balancer.pump(pool)
	}
}

// pump grants targets to the waiting requests of a pool, the most important
// first, and refuses those whose time is over.
func (balancer *Balancer) pump(pool *pool) {
	if len(pool.waiting) == 0 {
		return
	}
	now := time.Now()
	free := pool.free(now)
	ahead := 0
	tier := -1
	kept := pool.waiting[:0]
	for _, ticket := range pool.waiting {
		if ticket.Tier != tier {
			ahead = pool.othersAhead(ticket.Tier)
			tier = ticket.Tier
		}
		if free > ahead {
			if grant := balancer.grant(pool, ticket, now); grant != nil {
				free--
				ticket.granted <- grant
				continue
			}
		}
		if !now.Before(ticket.Until) {
			ticket.failed <- pool.refusal()
			continue
		}
		kept = append(kept, ticket)
	}
	clear(pool.waiting[len(kept):])
	pool.waiting = kept
}

func (pool *pool) refusal() error {
	if len(pool.targets) == 0 {
		return Unserved.New("pool %s has no target", pool.name)
	}
	return Refused.New("no target of pool %s became free in time", pool.name)
}

// othersAhead counts the other hosts' waiting requests of higher tiers.
func (pool *pool) othersAhead(tier int) int {
	ahead := 0
	for other, waiting := range pool.others {
		if other < tier {
			ahead += waiting
		}
	}
	return ahead
}

func (pool *pool) capacity(state *state) int {
	if pool.engine {
		return state.Slots
	}
	return plainDepth * state.Slots
}

// free counts the requests that the pool's targets can take now.
func (pool *pool) free(now time.Time) int {
	free := 0
	for _, state := range pool.targets {
		if state.eligible(now) {
			free += max(0, pool.capacity(state)-state.total())
		}
	}
	return free
}

func (state *state) eligible(now time.Time) bool {
	return !state.Leaving && !state.gone && !now.Before(state.pausedUntil)
}

// grant chooses the target with the lowest estimate, nil if none has room.
func (balancer *Balancer) grant(pool *pool, ticket *Ticket, now time.Time) *Grant {
	typical, least := pool.typical()
	var best *state
	var lowest time.Duration
	for _, state := range pool.targets {
		if !state.eligible(now) || state.total() >= pool.capacity(state) || slices.Contains(ticket.Exclude, state.ID) {
			continue
		}
		if state.failing > least+failingShare && rand.Float64() >= trialShare {
			continue
		}
		estimate := balancer.estimate(pool, state, ticket, typical, now)
		if best == nil || estimate < lowest {
			best, lowest = state, estimate
		}
	}
	if best == nil {
		return nil
	}
	work := ticket.PromptTokens + startWork
	grant := &Grant{
		Target:   best.Target,
		Expected: lowest,
		balancer: balancer,
		work:     work,
		backlog:  work + best.backlog + best.peersBacklog,
		begun:    now,
	}
	if !pool.engine {
		grant.backlog = startWork
	}
	best.open++
	best.backlog += work
	return grant
}

// typical returns the mean cost of the pool's targets, for those that are not
// known yet, and the least share of failures.
func (pool *pool) typical() (cost time.Duration, failing float64) {
	var sum time.Duration
	known := 0
	failing = 1
	for _, state := range pool.targets {
		if state.cost > 0 {
			sum += state.cost
			known++
		}
		failing = min(failing, state.failing)
	}
	if known == 0 {
		return 0, failing
	}
	return sum / time.Duration(known), failing
}

// estimate is the time to the first event of a request at a target.
func (balancer *Balancer) estimate(pool *pool, state *state, ticket *Ticket, typical time.Duration, now time.Time) time.Duration {
	cost := state.cost
	if cost == 0 {
		cost = max(typical, 1)
	}
	work := startWork
	if pool.engine {
		work += ticket.PromptTokens + state.backlog + state.peersBacklog
	}
	estimate := cost * time.Duration(work)
	// Of equal targets the emptier one is taken.
	estimate += estimate * time.Duration(state.total()) / time.Duration(4*max(1, state.Slots))
	estimate += time.Duration(failurePenalty * state.failing * float64(estimate))
	if state.Zone != balancer.Zone {
		estimate += crossZone
	}
	if now.Before(state.ColdUntil) {
		estimate *= 2
	}
	return estimate
}

// Started tells that the first event of the answer has come.
func (grant *Grant) Started() {
	balancer := grant.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if grant.started || grant.ended {
		return
	}
	grant.started = true
	if state := balancer.stateOf(grant); state != nil {
		state.backlog -= grant.work
		state.learn(time.Since(grant.begun), grant.backlog)
		state.failures = 0
	}
	balancer.pump(balancer.pool(grant.Target.Pool))
}

// Outcome is how a request ended at its target.
type Outcome int

// The outcomes.
const (
	// Served: the target answered, whatever its answer was.
	Served Outcome = iota
	// Failed: the target answered with a failure of its own, or broke off.
	Failed
	// Unreachable: the target read nothing.
	Unreachable
	// Full: the target refused the request.
	Full
	// Replaced: another life answers at the target's address.
	Replaced
	// Cancelled: the caller left, or the request was never sent.
	Cancelled
)

// Cancel gives back a grant that was not used.
func (grant *Grant) Cancel() { grant.End(Cancelled) }

// End tells how the request ended. Only the first call counts.
func (grant *Grant) End(outcome Outcome) {
	balancer := grant.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if grant.ended {
		return
	}
	grant.ended = true
	if state := balancer.stateOf(grant); state != nil {
		state.open--
		if !grant.started {
			state.backlog -= grant.work
		}
		state.end(outcome, grant)
	}
	balancer.pump(balancer.pool(grant.Target.Pool))
}

func (state *state) end(outcome Outcome, grant *Grant) {
	now := time.Now()
	switch outcome {
	case Served:
		state.outcome(false)
		state.failures = 0
	case Failed:
		state.outcome(true)
	case Unreachable:
		state.unreachable(now)
	case Full:
		state.pausedUntil = now.Add(fullPause)
	case Replaced:
		state.gone = true
	case Cancelled:
		if !grant.started && now.Sub(grant.begun) > max(overdueLeast, overdueFactor*grant.Expected) {
			state.outcome(true)
		}
	}
}

// stateOf returns the state of a grant's target, nil if another life took its
// place.
func (balancer *Balancer) stateOf(grant *Grant) *state {
	state := balancer.targets[grant.Target.ID]
	if state == nil {
		return nil
	}
	return state
}
