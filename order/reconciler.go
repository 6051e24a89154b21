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
	// interval is the time between two looks at the targets.
	interval = 5 * time.Second
	// callTimeout bounds one question or order.
	callTimeout = 10 * time.Second
)

var counts = expvar.NewMap("orders")

// Events of this package.
var (
	eventGiven = timeline.Define(timeline.Kind{
		Number: 7001, Name: "order given", Level: timeline.Info,
		Meaning: "A target was asked for the state in the detail.",
	})
	eventFailed = timeline.Define(timeline.Kind{
		Number: 7002, Name: "order failed", Level: timeline.Warn,
		Meaning: "A target refused an order or did not answer; its state is read back and the order given again.",
	})
	eventStopped = timeline.Define(timeline.Kind{
		Number: 7003, Name: "orders stopped", Level: timeline.Info,
		Meaning: "The lease had run out before the next order; another host of the zone gives the orders.",
	})
	eventUnreadable = timeline.Define(timeline.Kind{
		Number: 7004, Name: "target state unreadable", Level: timeline.Trace,
		Meaning: "A target with a wanted state did not say what it has.",
	})
)

// Keeper gives the orders of one zone while it holds the lease. Fields are
// set before Run.
type Keeper struct {
	Zone  string
	Store *profile.Store
	// Check returns the fencing number of the lease, or an error when it is
	// not held now. It is called right before each order.
	Check func() (int64, error)
	// Settled is how long an old holder's last order may still be on its way:
	// its lease, and its longest call. Targets that do not check fencing
	// numbers get no order from a new holder before.
	Settled time.Duration
	// Client returns the client of a protocol, nil if there is none.
	Client func(protocol string) *protocol.Client
	// Waiting returns the number of requests that wait for a pool.
	Waiting func(pool string) int
	Events  *timeline.Recorder

	fence   int64
	since   time.Time
	limiter *rate.Limiter
	limit   profile.WeightLoads
}

// Run compares and repairs until the context ends.
func (keeper *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			keeper.Step(ctx)
		}
	}
}

// Step looks at every target of the zone once and gives the orders that are
// needed.
func (keeper *Keeper) Step(ctx context.Context) {
	snapshot := keeper.Store.Current()
	if snapshot == nil || !keeper.held() {
		return
	}
	keeper.pace(snapshot.Configuration.Limits.WeightLoads)
	steps := keeper.compare(ctx, snapshot)
	sortSteps(steps)
	for _, step := range steps {
		if !keeper.give(ctx, step) {
			return
		}
	}
}

// held notes a new fencing number and reports whether the lease is held.
func (keeper *Keeper) held() bool {
	fence, err := keeper.Check()
	if err != nil {
		keeper.fence = 0
		return false
	}
	if fence != keeper.fence {
		keeper.fence = fence
		keeper.since = time.Now()
	}
	return true
}

// pace follows the weight store's limit.
func (keeper *Keeper) pace(limit profile.WeightLoads) {
	if keeper.limiter != nil && keeper.limit == limit {
		return
	}
	keeper.limit = limit
	keeper.limiter = rate.NewLimiter(rate.Every(limit.Interval), limit.Burst)
}

// compare asks every target with a wanted state what it has.
func (keeper *Keeper) compare(ctx context.Context, snapshot *profile.Snapshot) []step {
	var steps []step
	for i := range snapshot.Configuration.Pools {
		pool := &snapshot.Configuration.Pools[i]
		for j := range pool.Targets {
			described := &pool.Targets[j]
			if described.Zone != keeper.Zone || described.Wanted.Empty() {
				continue
			}
			steps = append(steps, keeper.steps(ctx, pool, described)...)
		}
	}
	return steps
}

func (keeper *Keeper) steps(ctx context.Context, pool *profile.Pool, described *profile.Target) []step {
	client := keeper.Client(described.Protocol)
	if client == nil || client.State == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := client.State(ctx, described.Address)
	if err != nil {
		keeper.Events.Record(eventUnreadable, timeline.Event{Target: described.Name, Detail: err.Error()})
		return nil
	}
	var steps []step
	for _, order := range missing(described, found) {
		steps = append(steps, step{target: described, pool: pool.Name, order: order, worth: keeper.worth(pool.Name, order)})
	}
	return steps
}

// worth counts the requests that an order helps; to unload helps none.
func (keeper *Keeper) worth(pool string, order protocol.Order) int {
	if order.Action == actionUnload {
		return -1
	}
	return keeper.Waiting(pool)
}

// give sends one order if it may be sent now. It returns false when no further
// one may follow.
func (keeper *Keeper) give(ctx context.Context, step step) bool {
	if !step.target.Fenced && time.Since(keeper.since) < keeper.Settled {
		return true
	}
	if step.order.Action == actionLoad && !keeper.limiter.Allow() {
		counts.Add("paced", 1)
		return true
	}
	fence, err := keeper.Check()
	if err != nil || fence != keeper.fence {
		counts.Add("stopped", 1)
		keeper.Events.Record(eventStopped, timeline.Event{Target: step.target.Name})
		return false
	}
	step.order.Fence = fence
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	keeper.note(step, keeper.Client(step.target.Protocol).Order(ctx, step.target.Address, step.order))
	return true
}

func (keeper *Keeper) note(step step, err error) {
	event := timeline.Event{Pool: step.pool, Target: step.target.Name, Detail: describe(step.order)}
	if err != nil {
		counts.Add("failed", 1)
		event.Detail += ": " + err.Error()
		keeper.Events.Record(eventFailed, event)
		return
	}
	counts.Add("given", 1)
	keeper.Events.Record(eventGiven, event)
}

func describe(order protocol.Order) string {
	return fmt.Sprintf("%s model=%q adapter=%q version=%q role=%q fence=%d",
		order.Action, order.Model, order.Adapter, order.Version, order.Role, order.Fence)
}
