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
	// Refused means that no target could take the request in time; it did not run.
	Refused = Errors.NewType("refused")
	// Unserved means that the pool has no target.
	Unserved = Refused.NewSubtype("unserved")
)

// Is reports whether err, or an error that it wraps with %w, is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }

const (
	// crossZonePenalty is added to the estimate of a target in another zone.
	crossZonePenalty = 3 * time.Millisecond
	// loadPenalty is added to the estimate of a target with all slots in use; a
	// partly loaded target gets a proportional part of it. A batch gets slower with
	// each request.
	loadPenalty = 20 * time.Millisecond
	// failurePenaltyFactor multiplies a target's failed fraction and estimate to
	// get the penalty that is added to the estimate.
	failurePenaltyFactor = 8
	// failingFraction is the most by which the failed fraction of a target may
	// exceed the lowest of the pool; beyond it, the target only gets trial requests.
	failingFraction = 0.25
	// trialFraction is the probability that choose considers a failing target for
	// a request, or a target that does not keep pace for a stream.
	trialFraction = 0.03
	// reportLifetime is the age beyond which another host's report is dropped.
	reportLifetime = 1500 * time.Millisecond
	// firstEventMarginFactor multiplies the typical time to the first event; the
	// product must be left of a request's objective when it leaves the queue. That
	// time varies by about its own length.
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
	// ExpectedEvents is the expected number of events of the answer, 0 if unknown.
	ExpectedEvents int
	// EventGap is the longest time between two events with which the answer is in time, 0
	// if there is no such limit.
	EventGap time.Duration
	// Due is the latest time at which the answer, or the first event of a stream,
	// is in time; zero if there is no objective.
	Due time.Time
	// Deadline is the time after which the caller no longer needs the answer; zero
	// if there is none.
	Deadline time.Time
	// Version is the only version of targets that may be granted, 0 for any.
	Version VersionID
	// Restriction says which targets may be granted besides, nil for all.
	Restriction *Restriction
	// Exclude holds the IDs of the targets to which the request was already sent.
	Exclude []string

	arrived time.Time
	// refuseAt is when the ticket is refused if it still waits.
	refuseAt time.Time
	granted  chan *Grant
	failed   chan error
}

// Report describes the requests and observations of one host.
type Report struct {
	Host   string
	Uses   []Use
	Queues []Queue
	Speeds []Speed
	// Leaving are targets that recently said to the host that they leave.
	Leaving []Incarnation
	// Brittle are the pools whose targets recently said to the host that they are.
	Brittle    []BrittlePool
	ReceivedAt time.Time
}

// Use describes the requests that a host has in flight at a target.
type Use struct {
	Target   string
	InFlight int
	// Backlog is the number of prompt tokens of those without a first event.
	Backlog int
}

// Speed describes the speed of a target as observed by a host. Unknown times are 0.
type Speed struct {
	Target string
	// TimePerToken is the time for one prompt token, EventInterval that between two events
	// of a stream.
	TimePerToken  time.Duration
	EventInterval time.Duration
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
	// ReportsDelayed reports whether the reports of other hosts arrive so late that
	// several hosts may choose the same target. Nil means never.
	ReportsDelayed func() bool
	// PropagationDelay returns the time until all other hosts have received a change
	// on this one, 0 if there are no others. Nil means 0.
	PropagationDelay func() time.Duration
	// HostCount returns the number of hosts that share the targets, this one
	// included. Nil means 1.
	HostCount func() int
	// HostShare returns this host's number among the hosts that share the targets, from 0
	// on, and their count. Nil means the only one.
	HostShare func() (index, count int)
	// ZoneHostCount is HostCount for the hosts of this host's zone. If it is not nil, targets
	// of the zone are preferred while reports are delayed.
	ZoneHostCount func() int
	// OnZoneChange is called when another zone is considered unreachable, and when
	// it answers again. It must not block or call the balancer. It may be nil.
	OnZoneChange func(zone string, unreachable bool)
	// OnLeavingLearned is called when a report says that a target leaves and this host did
	// not know it; from is the host of the report. It must not block or call the
	// balancer. It may be nil.
	OnLeavingLearned func(target, from string)
	// Limits are the calls for targets that name the rate of requests that they take
	// from all hosts together.
	Limits Limits
	// RandIntN returns a random number from 0 to bound-1; nil uses math/rand.
	RandIntN func(bound int) int

	mutex   sync.Mutex
	targets map[string]*targetState
	// removed holds the targets that the last call of SetTargets dropped, by ID:
	// requests of this host may still run there.
	removed map[string]*targetState
	pools   map[string]*pool
	reports map[string]*Report
	// announcements are what targets said about further requests.
	announcements map[Incarnation]*announcement
	zones         map[string]*zone
}

// Limits are calls for the limits of targets. They may be nil, if there are none.
type Limits struct {
	// Rate returns the requests a second that a target takes from all hosts together, 0
	// if it has no limit.
	Rate func(target *Target) float64
	// Permits returns the number of requests that this host may send to a target with a
	// limit now; Take uses one.
	Permits func(target *Target) int
	Take    func(target *Target) bool
	// Want sets the number of requests that this host could send to a target with a
	// limit, and the tier of the most important one that waits, -1 if none does.
	Want func(target *Target, count, tier int)
}

// pool holds the targets of a pool and its waiting requests.
type pool struct {
	name    string
	targets []*targetState
	// waiting is ordered by tier, then by arrival.
	waiting []*Ticket
	// othersWaitingByTier is the number of the other hosts' waiting requests, by
	// tier.
	othersWaitingByTier []int
	// isEngine is true for pools that run model engines.
	isEngine bool
	// baseLatency is the average time to a first event without the time for the
	// prompts, in nanoseconds.
	baseLatency float64
	// refusedFraction is the running average of the fraction of tickets refused.
	refusedFraction float64
	// brittleLimit is the number of requests that a target can turn away in a second, as
	// one said; it holds until brittleUntil.
	brittleLimit int
	brittleUntil time.Time
	// brittleSeenAt is when a target last said so to this host. holdsBack is set while the
	// targets are brittle; dispatch updates it.
	brittleSeenAt time.Time
	holdsBack     bool
	// usual is the restriction of the usual tickets, nil for none.
	usual *Restriction
	// observed are the targets that ended requests since their speeds were last reported.
	observed []*targetState
	// arrivals counts this host's tickets. averageHoldTime is the running average
	// of the time for which a request occupies its slot, in nanoseconds.
	arrivals        arrivals
	averageHoldTime float64
	// contended is true while the free slots don't suffice for all hosts;
	// shareDrawnAt is when this host's share of them was last computed.
	contended    bool
	shareDrawnAt time.Time
	// emptyAt is when the pool was first seen without targets and waiting tickets, zero if
	// it has some.
	emptyAt time.Time
}

// maxEmptyTime is how long what is known of a pool without targets is kept. Entries of other
// writers may name ever new pools.
const maxEmptyTime = 10 * time.Minute

// forgetPools forgets pools that have had neither targets nor waiting tickets for long.
func (balancer *Balancer) forgetPools(now time.Time) {
	for name, pool := range balancer.pools {
		switch {
		case len(pool.targets) > 0 || len(pool.waiting) > 0:
			pool.emptyAt = time.Time{}
		case pool.emptyAt.IsZero():
			pool.emptyAt = now
		case now.Sub(pool.emptyAt) >= maxEmptyTime:
			delete(balancer.pools, name)
		}
	}
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
			balancer.wantPermits(time.Now())
			balancer.mutex.Unlock()
		}
	}
}

// Dispatch grants targets to waiting requests after permits for targets with limits have
// arrived.
func (balancer *Balancer) Dispatch() {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.dispatchAll()
}

// SetTargets replaces the targets, but keeps the state of those that stay. The
// map engines has the value true for pools that run model engines.
func (balancer *Balancer) SetTargets(targets []Target, engines map[string]bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	previous := balancer.trackedTargets()
	balancer.targets = map[string]*targetState{}
	for _, pool := range balancer.pools {
		pool.targets = nil
	}
	for _, target := range targets {
		state := previous[target.ID]
		if state == nil || !state.StartedAt.Equal(target.StartedAt) || state.Address != target.Address {
			state = &targetState{}
		}
		delete(previous, target.ID)
		state.Target, state.versionID = target, target.VersionID()
		state.zone = balancer.getOrCreateZone(target.Zone)
		state.announcement = balancer.announcement(target.Incarnation())
		balancer.targets[target.ID] = state
		pool := balancer.getOrCreatePool(target.Pool)
		pool.targets = append(pool.targets, state)
	}
	balancer.removed = previous
	for name, pool := range balancer.pools {
		pool.isEngine = engines[name]
	}
	balancer.forgetAnnouncements(time.Now())
	balancer.forgetPools(time.Now())
	balancer.recomputeSums()
	balancer.dispatchAll()
}

// trackedTargets returns the current targets, and the removed ones that still run
// requests of this host: a target's registration may expire and be renewed.
func (balancer *Balancer) trackedTargets() map[string]*targetState {
	tracked := map[string]*targetState{}
	for id, targetState := range balancer.removed {
		if targetState.inFlight > 0 {
			tracked[id] = targetState
		}
	}
	maps.Copy(tracked, balancer.targets)
	return tracked
}

func (balancer *Balancer) getOrCreatePool(name string) *pool {
	if balancer.pools == nil {
		balancer.pools = map[string]*pool{}
	}
	entry := balancer.pools[name]
	if entry == nil {
		entry = &pool{name: name}
		balancer.pools[name] = entry
	}
	return entry
}

// Acquire waits for a target. It returns a Refused error if none becomes free in
// time, or the context's error.
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
	pool := balancer.getOrCreatePool(ticket.Pool)
	if ticket.Version == 0 && (ticket.Restriction == nil || ticket.Restriction.IsUsual) {
		pool.usual = ticket.Restriction
	}
	ticket.refuseAt = balancer.refusalTime(pool, ticket)
	pool.arrivals.add(ticket.Tier, ticket.arrived)
	index, _ := slices.BinarySearchFunc(pool.waiting, ticket, compareTickets)
	pool.waiting = slices.Insert(pool.waiting, index, ticket)
	balancer.dispatch(pool)
	if len(pool.waiting) > 0 {
		balancer.wantPoolPermits(pool, ticket.arrived)
	}
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
	pool := balancer.getOrCreatePool(ticket.Pool)
	pool.waiting = slices.DeleteFunc(pool.waiting, func(other *Ticket) bool { return other == ticket })
	select {
	case grant := <-ticket.granted:
		return grant
	default:
		return nil
	}
}

// RefusedFraction returns the fraction of the pool's requests that this host
// recently refused, as a running average.
func (balancer *Balancer) RefusedFraction(name string) float64 {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	return balancer.getOrCreatePool(name).refusedFraction
}
