// Package balance decides on one host which waiting request goes to which
// target, from the host's own requests and what the other hosts report of
// theirs. It uses no network.
package balance

import (
	"context"
	"maps"
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
	// ExpectedEvents is the length of the answer to be expected, 0 if unknown.
	ExpectedEvents int
	// Due is when the answer, or a stream's first event, has to be there to be
	// in time; zero if nothing is said of it.
	Due time.Time
	// Deadline is when the answer is of no use any more.
	Deadline time.Time
	// Exclude are the targets that it was sent to already.
	Exclude []string

	arrived time.Time
	// until is when it is refused if it still waits.
	until   time.Time
	granted chan *Grant
	failed  chan error
}

// Report is what one host tells of its requests.
type Report struct {
	Host    string
	Uses    []Use
	Queues  []Queue
	Speeds  []Speed
	ReceivedAt time.Time
}

// Use is what a host has open at a target.
type Use struct {
	Target string
	InFlight   int
	// Backlog is the prompt tokens of its requests without a first event.
	Backlog int
}

// Speed is what a host observed of a target.
type Speed struct {
	Target string
	// TimePerToken is the time for a prompt token.
	TimePerToken time.Duration
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
	// ReportsAreLate reports whether the reports of other hosts come so late that these
	// may act on the same state; nil is for never.
	ReportsAreLate func() bool
	// ReportLag is the time until all hosts have heard what one does, 0 if there are
	// no others; nil for 0.
	ReportLag func() time.Duration
	// HostCount is how many share the targets, this one included; nil for 1.
	HostCount func() int
	// OnZoneChange is told when another zone is taken to be cut off, or is reached
	// again; it must not block or call the balancer. Nil is for nobody.
	OnZoneChange func(zone string, cut bool)
	// Draw returns a number from 0 to below another; nil draws at random.
	Draw func(below int) int

	mutex   sync.Mutex
	targets map[string]*state
	// departed are targets that are not known any more.
	departed map[string]*state
	pools    map[string]*pool
	reports  map[string]*Report
	zones    map[string]*zone
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
	// arrivals are those of this host's tickets, held is the mean time for
	// which a request holds its slot, in nanoseconds.
	arrivals arrivals
	held     float64
	// contended pools have too few free slots for all hosts; claimed is when
	// this host's part of them was drawn.
	contended bool
	claimed   time.Time
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
	before := balancer.known()
	balancer.targets = map[string]*state{}
	for _, pool := range balancer.pools {
		pool.targets = nil
	}
	for _, target := range targets {
		known := before[target.ID]
		if known == nil || !known.StartedAt.Equal(target.StartedAt) || known.Address != target.Address {
			known = &state{}
		}
		delete(before, target.ID)
		known.Target = target
		known.zone = balancer.zone(target.Zone)
		balancer.targets[target.ID] = known
		pool := balancer.pool(target.Pool)
		pool.targets = append(pool.targets, known)
	}
	balancer.departed = before
	for name, pool := range balancer.pools {
		pool.engine = engines[name]
	}
	balancer.recount()
	balancer.pumpAll()
}

// known returns the targets, and those that left while they still run requests
// of this host: an entry may lapse and return.
func (balancer *Balancer) known() map[string]*state {
	known := map[string]*state{}
	for id, state := range balancer.departed {
		if state.open > 0 {
			known[id] = state
		}
	}
	maps.Copy(known, balancer.targets)
	return known
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

// Acquire waits for a target. It fails with Refused, or with the context's error.
func (balancer *Balancer) Acquire(ctx context.Context, ticket *Ticket) (*Grant, error) {
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
	ticket.until = balancer.until(pool, ticket)
	pool.arrivals.note(ticket.Tier, ticket.arrived)
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

// RefusedFraction is the share of a pool's requests that this host refuses of late.
func (balancer *Balancer) RefusedFraction(name string) float64 {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	return balancer.pool(name).refused
}
