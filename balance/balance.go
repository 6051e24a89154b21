// Package balance assigns waiting requests to targets on one host, based on the
// host's own requests and on the reports of the other hosts. It does no network
// I/O.
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
	// Refused: no target could take the request in time, and it did not run.
	Refused = Errors.NewType("refused")
	// Unserved: the pool has no target.
	Unserved = Refused.NewSubtype("unserved")
)

// Is reports whether err, or an error that it wraps with %w, is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }

const (
	// crossZonePenalty is added to the estimate of a target in another zone.
	crossZonePenalty = 3 * time.Millisecond
	// loadPenalty is added to the estimate of a target with all slots in use, and
	// in proportion to that of a partly loaded one: a batch gets slower with each
	// request.
	loadPenalty = 20 * time.Millisecond
	// failurePenaltyFactor times its estimate is added for a target whose requests
	// all fail, and in proportion if some fail.
	failurePenaltyFactor = 8
	// failingFraction is how far the failed fraction of a target may exceed that of
	// the pool's best target; beyond it, the target only gets trial requests.
	failingFraction = 0.25
	// trialFraction is the probability that choose considers a failing target.
	trialFraction = 0.03
	// reportLifetime is the age beyond which another host's report is dropped.
	reportLifetime = 1500 * time.Millisecond
	// firstEventMarginFactor times the typical time to the first event must be
	// left when a request leaves the queue: that time varies by about as much.
	firstEventMarginFactor = 2
	// minWaitDivisor divides a request's objective to get its shortest wait.
	minWaitDivisor = 8
	// lengthMarginFactor multiplies the expected length of an answer before it is
	// compared with the deadline.
	lengthMarginFactor = 1.1
	// dispatchInterval is the longest time between two dispatches of the queues.
	dispatchInterval = 20 * time.Millisecond
)

// Ticket is a request that waits for a target.
type Ticket struct {
	Pool string
	// Tier is the rank of the request's tier, 0 for the most important.
	Tier int
	// PromptTokens is the length of the prompt that a model engine has to read, 0
	// for plain services.
	PromptTokens int
	// ExpectedEvents is the expected length of the answer, 0 if unknown.
	ExpectedEvents int
	// Due is when the answer, or the first event of a stream, must be there to be
	// in time; zero if there is no objective.
	Due time.Time
	// Deadline is when the answer becomes useless; zero if there is none.
	Deadline time.Time
	// Exclude are the IDs of the targets to which the request was sent already.
	Exclude []string

	arrived time.Time
	// refuseAt is when the ticket is refused if it still waits.
	refuseAt time.Time
	granted  chan *Grant
	failed   chan error
}

// Report describes the requests and observations of one host.
type Report struct {
	Host       string
	Uses       []Use
	Queues     []Queue
	Speeds     []Speed
	ReceivedAt time.Time
}

// Use describes the requests of a host at a target.
type Use struct {
	Target   string
	InFlight int
	// Backlog is the prompt tokens of the requests without a first event.
	Backlog int
}

// Speed describes the speed of a target as observed by a host.
type Speed struct {
	Target string
	// TimePerToken is the time for one prompt token.
	TimePerToken time.Duration
}

// Queue counts a pool's waiting requests by tier.
type Queue struct {
	Pool    string
	Waiting []int
}

// Balancer grants targets to requests. Its fields are set before Run.
type Balancer struct {
	// Zone is the zone of this host.
	Zone string
	// ReportsDelayed reports whether the reports of other hosts are so late that
	// several hosts may act on the same state; nil if they never are.
	ReportsDelayed func() bool
	// PropagationDelay returns the time until all other hosts have received what this one
	// reports, 0 if there are no others. Nil is 0.
	PropagationDelay func() time.Duration
	// HostCount returns the number of hosts that share the targets, this one
	// included; nil is 1.
	HostCount func() int
	// OnZoneChange is called when another zone is considered unreachable (cut is
	// true) or answers again. It must not block or call the balancer. It may be nil.
	OnZoneChange func(zone string, cut bool)
	// RandIntN returns a random number from 0 to below-1; nil uses math/rand.
	RandIntN func(below int) int

	mutex   sync.Mutex
	targets map[string]*targetState
	// removed are targets that SetTargets no longer named.
	removed map[string]*targetState
	pools   map[string]*pool
	reports map[string]*Report
	zones   map[string]*zone
}

// pool holds the targets of a pool and its waiting requests.
type pool struct {
	name    string
	targets []*targetState
	// waiting is ordered by tier, then by arrival.
	waiting []*Ticket
	// othersWaitingByTier counts the waiting requests of the other hosts.
	othersWaitingByTier []int
	// isEngine is true for pools that run model engines.
	isEngine bool
	// baseLatency is the average time to a first event without the time for the
	// prompts, in nanoseconds.
	baseLatency float64
	// refusedFraction is a running average over the tickets.
	refusedFraction float64
	// reportedSpeeds counts the turns of nextSpeed over the targets.
	reportedSpeeds int
	// arrivals counts this host's tickets. averageHoldTime is the average time for
	// which a request holds its slot, in nanoseconds.
	arrivals        arrivals
	averageHoldTime float64
	// contended is true while the free slots don't suffice for all hosts;
	// shareUpdatedAt is when this host's share of them was last drawn.
	contended      bool
	shareUpdatedAt time.Time
}

// Run dispatches the waiting requests every 20 ms until the context ends. It
// returns nil.
func (balancer *Balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			balancer.mutex.Lock()
			balancer.expireReports(time.Now())
			balancer.dispatchAll()
			balancer.mutex.Unlock()
		}
	}
}

// SetTargets replaces the targets, but keeps the state of those that stay. The
// map engines tells which pools run model engines.
func (balancer *Balancer) SetTargets(targets []Target, engines map[string]bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	before := balancer.knownTargets()
	balancer.targets = map[string]*targetState{}
	for _, pool := range balancer.pools {
		pool.targets = nil
	}
	for _, target := range targets {
		known := before[target.ID]
		if known == nil || !known.StartedAt.Equal(target.StartedAt) || known.Address != target.Address {
			known = &targetState{}
		}
		delete(before, target.ID)
		known.Target = target
		known.zone = balancer.zone(target.Zone)
		balancer.targets[target.ID] = known
		pool := balancer.pool(target.Pool)
		pool.targets = append(pool.targets, known)
	}
	balancer.removed = before
	for name, pool := range balancer.pools {
		pool.isEngine = engines[name]
	}
	balancer.recomputeSums()
	balancer.dispatchAll()
}

// knownTargets returns the current targets, and the removed ones that still run
// requests of this host: a target's entry may lapse and return.
func (balancer *Balancer) knownTargets() map[string]*targetState {
	known := map[string]*targetState{}
	for id, targetState := range balancer.removed {
		if targetState.inFlight > 0 {
			known[id] = targetState
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

// Acquire waits for a target. It returns a Refused error if there is none in time,
// or the context's error.
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
	ticket.refuseAt = balancer.refusalTime(pool, ticket)
	pool.arrivals.add(ticket.Tier, ticket.arrived)
	at, _ := slices.BinarySearchFunc(pool.waiting, ticket, compareTickets)
	pool.waiting = slices.Insert(pool.waiting, at, ticket)
	balancer.dispatch(pool)
}

func compareTickets(one, other *Ticket) int {
	if one.Tier != other.Tier {
		return one.Tier - other.Tier
	}
	return one.arrived.Compare(other.arrived)
}

// withdraw removes a ticket from the queue; it returns the ticket's grant if there
// is one already.
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

// RefusedFraction returns the recent fraction of the pool's requests that this
// host refused, as a running average.
func (balancer *Balancer) RefusedFraction(name string) float64 {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	return balancer.pool(name).refusedFraction
}
