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
	// crowding is added to the estimate of a full target, a part of it to that
	// of one that is partly full: a batch gets slower with each request.
	crowding = 20 * time.Millisecond
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
	// marginFactor times its usual time to the first event, a request must
	// still have when it leaves the queue: times vary about as much.
	marginFactor = 2
	// leastWait is the part of its objective that a request waits at least.
	leastWait = 8
	// lengthMargin is what an answer's expected length is multiplied with
	// before it is held against the deadline.
	lengthMargin = 1.1
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
	// Events is the length of the answer to be expected, 0 if unknown.
	Events int
	// Due is when the answer, or a stream's first event, has to be there to be
	// in time; zero if nothing is said of it.
	Due time.Time
	// Deadline is when the answer is of no use any more.
	Deadline time.Time
	// Exclude are the targets that it was sent to already.
	Exclude []string
	// Repeat tickets were sent to a target before.
	Repeat bool

	arrived time.Time
	// until is when it is refused if it still waits.
	until   time.Time
	granted chan *Grant
	failed  chan error
}

// Grant is the right to send one request to a target once.
type Grant struct {
	Target Target
	// Expected is the estimated time to the first event.
	Expected time.Duration
	// Open and OthersOpen are the requests that this host and the others had
	// at the target, ReportAge the age of the oldest report of theirs.
	Open       int
	OthersOpen int
	ReportAge  time.Duration
	// Work is the work before the first event, in prompt tokens: the
	// request's own and that of others that wait for theirs.
	Work int

	balancer *Balancer
	prompt   int
	begun    time.Time
	// startedAt is when the first event came.
	startedAt time.Time
	started   bool
	ended     bool
}

// Report is what one host tells of its requests.
type Report struct {
	Host    string
	Uses    []Use
	Queues  []Queue
	Speeds  []Speed
	Arrived time.Time
}

// Use is what a host has open at a target.
type Use struct {
	Target string
	Open   int
	// Backlog is the prompt tokens of its requests without a first event.
	Backlog int
}

// Speed is what a host observed of a target.
type Speed struct {
	Target string
	// PerToken is the time for a prompt token.
	PerToken time.Duration
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
	// start is the mean time to a first event besides that for the prompts,
	// in nanoseconds.
	start float64
	// refused is the running share of tickets that were refused.
	refused float64
	// told is the number of speeds that were told.
	told int
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
			balancer.expire(time.Now())
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
	balancer.recount()
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
	ticket.until = pool.until(ticket)
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
// first, and refuses those whose time is over. Requests that can't be in time
// anywhere get what the others leave.
func (balancer *Balancer) pump(pool *pool) {
	if len(pool.waiting) == 0 {
		return
	}
	now := time.Now()
	round := &round{pool: pool, now: now, free: pool.free(now)}
	kept := pool.waiting[:0]
	for _, ticket := range pool.waiting {
		if !balancer.serve(round, ticket) {
			kept = append(kept, ticket)
		}
	}
	clear(pool.waiting[len(kept):])
	pool.waiting = kept
	for _, ticket := range round.late {
		if round.free > 0 && balancer.grantLate(round, ticket) {
			pool.waiting = slices.DeleteFunc(pool.waiting, func(other *Ticket) bool { return other == ticket })
		}
	}
}

// round is one look at the waiting requests of a pool.
type round struct {
	pool *pool
	now  time.Time
	free int
	// late are the requests that can't be in time.
	late []*Ticket
}

// serve grants or refuses a ticket, and reports whether it did.
func (balancer *Balancer) serve(round *round, ticket *Ticket) bool {
	pool := round.pool
	if round.free > pool.othersAhead(ticket.Tier) {
		best, hopeless := balancer.choose(pool, ticket, round.now, true)
		if best.state != nil {
			round.free--
			ticket.granted <- balancer.grant(pool, ticket, best, round.now)
			return true
		}
		if hopeless {
			round.late = append(round.late, ticket)
		}
	}
	if round.now.Before(ticket.until) {
		return false
	}
	pool.refused += gain * (1 - pool.refused)
	ticket.failed <- pool.refusal()
	return true
}

// grantLate grants a target to a ticket that can't be in time.
func (balancer *Balancer) grantLate(round *round, ticket *Ticket) bool {
	best, _ := balancer.choose(round.pool, ticket, round.now, false)
	if best.state == nil {
		return false
	}
	round.free--
	ticket.granted <- balancer.grant(round.pool, ticket, best, round.now)
	return true
}

// until is when a ticket that waits is refused: when a usual target could not
// be expected to answer in time any more.
func (pool *pool) until(ticket *Ticket) time.Time {
	if ticket.Due.IsZero() {
		return ticket.Deadline
	}
	objective := ticket.Due.Sub(ticket.arrived)
	usual := time.Duration(pool.start) + pool.typical().perToken*time.Duration(ticket.PromptTokens)
	wait := max(objective-marginFactor*usual, objective/leastWait)
	until := ticket.arrived.Add(wait)
	if !ticket.Deadline.IsZero() && until.After(ticket.Deadline) {
		return ticket.Deadline
	}
	return until
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

// choice is a target, the estimate for it and what it is ordered by.
type choice struct {
	state    *state
	expected time.Duration
	order    time.Duration
}

// choose returns the target with the lowest estimate that has room. With
// inTime only those that may answer in time count; hopeless reports that none
// could even if it had room.
func (balancer *Balancer) choose(pool *pool, ticket *Ticket, now time.Time, inTime bool) (best choice, hopeless bool) {
	usual := pool.typical()
	hopeless = true
	for _, state := range pool.targets {
		if !state.eligible(now) || slices.Contains(ticket.Exclude, state.ID) {
			continue
		}
		estimate := balancer.estimate(pool, state, ticket, usual, now)
		fits := ticket.fits(now, estimate)
		hopeless = hopeless && !fits
		if inTime && !fits || state.total() >= pool.capacity(state) {
			continue
		}
		if state.failing > usual.failing+failingShare && rand.Float64() >= trialShare {
			continue
		}
		order := estimate + ticket.overlong(state, usual, now, estimate)
		if best.state == nil || order < best.order {
			best = choice{state: state, expected: estimate, order: order}
		}
	}
	return best, hopeless
}

// fits reports whether a target may answer in time.
func (ticket *Ticket) fits(now time.Time, estimate time.Duration) bool {
	return ticket.Due.IsZero() || !now.Add(estimate).After(ticket.Due)
}

// overlong is how far beyond the deadline a target is expected to end its
// answer.
func (ticket *Ticket) overlong(state *state, usual usual, now time.Time, estimate time.Duration) time.Duration {
	if ticket.Events == 0 || ticket.Deadline.IsZero() {
		return 0
	}
	event := state.speed.event
	if event == 0 {
		event = usual.event
	}
	length := time.Duration(lengthMargin * event * float64(ticket.Events))
	return max(0, now.Add(estimate+length).Sub(ticket.Deadline))
}

// grant gives a target to a ticket.
func (balancer *Balancer) grant(pool *pool, ticket *Ticket, best choice, now time.Time) *Grant {
	pool.refused -= gain * pool.refused
	state := best.state
	grant := &Grant{
		Target:     state.Target,
		Expected:   best.expected,
		Open:       state.open,
		OthersOpen: state.peersOpen,
		ReportAge:  balancer.reportAge(now),
		Work:       ticket.PromptTokens + int(backlogShare*float64(state.backlog+state.peersBacklog)),
		balancer:   balancer,
		prompt:     ticket.PromptTokens,
		begun:      now,
	}
	state.open++
	state.backlog += ticket.PromptTokens
	return grant
}

// usual is what is known of a pool's targets together.
type usual struct {
	// perToken and event are means, failing is the least share of failures.
	perToken time.Duration
	event    float64
	failing  float64
}

// typical returns what is usual among the pool's targets.
func (pool *pool) typical() usual {
	found := usual{failing: 1}
	tokens, events := 0, 0
	for _, state := range pool.targets {
		if perToken := state.perToken(); perToken > 0 {
			found.perToken += perToken
			tokens++
		}
		if state.speed.event > 0 {
			found.event += state.speed.event
			events++
		}
		found.failing = min(found.failing, state.failing)
	}
	found.perToken /= time.Duration(max(1, tokens))
	found.event /= float64(max(1, events))
	return found
}

// estimate is the time to the first event of a request at a target.
func (balancer *Balancer) estimate(pool *pool, state *state, ticket *Ticket, usual usual, now time.Time) time.Duration {
	estimate := time.Duration(pool.start)
	if pool.engine {
		perToken := state.perToken()
		if perToken == 0 {
			perToken = usual.perToken
		}
		work := float64(ticket.PromptTokens) + backlogShare*float64(state.backlog+state.peersBacklog)
		estimate += time.Duration(float64(perToken) * work)
	}
	// Of equal targets the emptier one is taken.
	estimate += crowding * time.Duration(state.total()) / time.Duration(max(1, state.Slots))
	estimate += time.Duration(failurePenalty * state.failing * float64(estimate))
	if state.Zone != balancer.Zone {
		estimate += crossZone
	}
	if now.Before(state.ColdUntil) {
		estimate *= 2
	}
	return estimate
}

// Pressure is the share of a pool's requests that this host refuses of late.
func (balancer *Balancer) Pressure(name string) float64 {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	return balancer.pool(name).refused
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
		state.backlog -= grant.prompt
		state.failures = 0
		balancer.learn(state, grant)
	}
	balancer.pump(balancer.pool(grant.Target.Pool))
}

// learn takes the time to the first event of a request.
func (balancer *Balancer) learn(state *state, grant *Grant) {
	pool := balancer.pool(grant.Target.Pool)
	took := time.Since(grant.begun)
	grant.startedAt = grant.begun.Add(took)
	rest := float64(took - state.perToken()*time.Duration(grant.Work))
	if pool.start == 0 {
		pool.start = max(0, rest)
	}
	pool.start = max(0, pool.start+gain*(rest-pool.start))
	if pool.engine && grant.Work > 0 {
		state.speed.learn(took-time.Duration(pool.start), float64(grant.Work))
	}
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

// Streamed tells how many events a whole stream had.
func (grant *Grant) Streamed(events int) {
	balancer := grant.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if state := balancer.stateOf(grant); state != nil && grant.started && events > 1 {
		state.speed.learnEvents(time.Since(grant.startedAt), events-1)
	}
}

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
			state.backlog -= grant.prompt
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
