package order

import (
	"context"
	"expvar"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/timeline"
)

const (
	// reconcileInterval is the time between two runs of Reconcile.
	reconcileInterval = 5 * time.Second
	// callTimeout limits a state query or an order.
	callTimeout = 10 * time.Second
)

var counts = expvar.NewMap("orders")

// Events of this package.
var (
	eventGiven = timeline.Define(timeline.Kind{
		Number: 7001, Name: "order given", Level: timeline.Info,
		Meaning: "A target accepted the order in the detail.",
	})
	eventFailed = timeline.Define(timeline.Kind{
		Number: 7002, Name: "order failed", Level: timeline.Warn,
		Meaning: "A target refused an order or did not answer; its state is read again in the next run and the order is repeated if still needed.",
	})
	eventStopped = timeline.Define(timeline.Kind{
		Number: 7003, Name: "orders stopped", Level: timeline.Info,
		Meaning: "The lease expired before the next order; another host of the zone takes over the orders.",
	})
	eventUnreadable = timeline.Define(timeline.Kind{
		Number: 7004, Name: "target state unreadable", Level: timeline.Trace,
		Meaning: "The state of a target with a wanted state could not be read.",
	})
)

// Reconciler sends orders to the targets of one zone while it holds the zone's
// lease. Exported fields are set before Run.
type Reconciler struct {
	Zone  string
	Store *profile.Store
	// CheckLease returns the fencing number of the lease, or an error if the
	// lease is not held. It is called at the start of Reconcile and right
	// before each order.
	CheckLease func() (int64, error)
	// SettlePeriod is how long an order of the previous lease holder may still
	// arrive: the term of its lease plus its longest call. Targets that don't
	// check fencing numbers get no orders until a new holder has held the
	// lease this long.
	SettlePeriod time.Duration
	// Client returns the client of a protocol, or nil if there is none.
	Client func(protocol string) *protocol.Client
	// WaitingRequests returns the number of requests that wait for the pool
	// with the given name.
	WaitingRequests func(pool string) int
	Events          *timeline.Recorder

	// fence is the fencing number of the lease, 0 if it is not held.
	// fenceSince is when that number was first seen.
	fence       int64
	fenceSince  time.Time
	loadLimiter *rate.Limiter
	loadLimit   profile.WeightLoadLimit
}

// Run calls Reconcile every reconcileInterval until the context ends, and
// returns nil.
func (reconciler *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			reconciler.Reconcile(ctx)
		}
	}
}

// Reconcile compares every target of the zone with its wanted state once and
// sends the orders that are needed.
func (reconciler *Reconciler) Reconcile(ctx context.Context) {
	snapshot := reconciler.Store.Current()
	if snapshot == nil || !reconciler.holdsLease() {
		return
	}
	reconciler.updateLoadLimiter(snapshot.Configuration.Limits.WeightLoadLimit)
	steps := reconciler.planSteps(ctx, snapshot)
	sortByPriority(steps)
	for _, step := range steps {
		if !reconciler.send(ctx, step) {
			return
		}
	}
}

// holdsLease reports whether the lease is held, and updates fence and
// fenceSince.
func (reconciler *Reconciler) holdsLease() bool {
	fence, err := reconciler.CheckLease()
	if err != nil {
		reconciler.fence = 0
		return false
	}
	if fence != reconciler.fence {
		reconciler.fence = fence
		reconciler.fenceSince = time.Now()
	}
	return true
}

// updateLoadLimiter makes a new rate limiter if the configured limit on loads
// from the weight store has changed.
func (reconciler *Reconciler) updateLoadLimiter(limit profile.WeightLoadLimit) {
	if reconciler.loadLimiter != nil && reconciler.loadLimit == limit {
		return
	}
	reconciler.loadLimit = limit
	reconciler.loadLimiter = rate.NewLimiter(rate.Every(limit.Interval), limit.Burst)
}

// planSteps queries the state of every target of the zone that has a wanted
// state, and returns the orders that are needed.
func (reconciler *Reconciler) planSteps(ctx context.Context, snapshot *profile.Snapshot) []step {
	var steps []step
	for i := range snapshot.Configuration.Pools {
		pool := &snapshot.Configuration.Pools[i]
		for j := range pool.Targets {
			target := &pool.Targets[j]
			if target.Zone != reconciler.Zone || target.Wanted.Empty() {
				continue
			}
			steps = append(steps, reconciler.planTarget(ctx, pool, target)...)
		}
	}
	return steps
}

func (reconciler *Reconciler) planTarget(ctx context.Context, pool *profile.Pool, target *profile.Target) []step {
	client := reconciler.Client(target.Protocol)
	if client == nil || client.State == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := client.State(ctx, target.Address)
	if err != nil {
		reconciler.Events.Record(eventUnreadable, timeline.Event{Target: target.Name, Detail: err.Error()})
		return nil
	}
	var steps []step
	for _, order := range ordersFor(target, state) {
		steps = append(steps, step{target: target, pool: pool.Name, order: order, priority: reconciler.priority(pool.Name, order)})
	}
	return steps
}

// priority returns the number of requests that wait for the pool, or -1 for an
// order to unload, which helps none of them and is sent last.
func (reconciler *Reconciler) priority(pool string, order protocol.Order) int {
	if order.Action == actionUnload {
		return -1
	}
	return reconciler.WaitingRequests(pool)
}

// send sends one order, or leaves it to a later run if the settle period or
// the limit on loads does not allow it yet. It returns false if the lease was
// lost, so no further order may be sent.
func (reconciler *Reconciler) send(ctx context.Context, step step) bool {
	if !step.target.Fenced && time.Since(reconciler.fenceSince) < reconciler.SettlePeriod {
		return true
	}
	if step.order.Action == actionLoad && !reconciler.loadLimiter.Allow() {
		counts.Add("paced", 1)
		return true
	}
	fence, err := reconciler.CheckLease()
	if err != nil || fence != reconciler.fence {
		counts.Add("stopped", 1)
		reconciler.Events.Record(eventStopped, timeline.Event{Target: step.target.Name})
		return false
	}
	step.order.FencingNumber = fence
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reconciler.recordResult(step, reconciler.Client(step.target.Protocol).Order(ctx, step.target.Address, step.order))
	return true
}

// recordResult counts an order and records its event; err is nil if the target
// accepted it.
func (reconciler *Reconciler) recordResult(step step, err error) {
	event := timeline.Event{Pool: step.pool, Target: step.target.Name, Detail: formatOrder(step.order)}
	if err != nil {
		counts.Add("failed", 1)
		event.Detail += ": " + err.Error()
		reconciler.Events.Record(eventFailed, event)
		return
	}
	counts.Add("given", 1)
	reconciler.Events.Record(eventGiven, event)
}

func formatOrder(order protocol.Order) string {
	return fmt.Sprintf("%s model=%q adapter=%q version=%q role=%q fence=%d",
		order.Action, order.Model, order.Adapter, order.Version, order.Role, order.FencingNumber)
}
