package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/discovery"
	"nutmegfield.example/kernel"
	"nutmegfield.example/pause"
	"nutmegfield.example/rollout"
	"nutmegfield.example/timeline"
)

const (
	// ordersWithin is the time within which a change of orders is noticed that the watch has
	// missed. A new version of targets is held until the orders are known anyway.
	ordersWithin = 10 * time.Second
	// watchCheckInterval is the time between two checks whether this host has to watch the
	// orders.
	watchCheckInterval = 500 * time.Millisecond
	// unlikeStatus is the lowest status that counts as a failure of a version: also those of
	// callers' mistakes, which both versions give alike.
	unlikeStatus = 400
)

// rolloutHost connects a gateway to the orders of rollouts.
type rolloutHost struct {
	*rollout.Rollouts
	follower *discovery.Follower
	decode   func(object *discovery.Object) (rollout.Order, error)
	// watches reports whether this host watches the orders for its zone.
	watches func() bool

	// revision is the one up to which the orders were applied, targetsRevision that of the
	// last change of targets.
	revision, targetsRevision atomic.Int64
	// changed receives a value when the platform's orders have changed.
	changed chan struct{}
	mutex   sync.Mutex
	applied int64
}

// addRollouts lets requests move to new versions of targets as the platform's orders say.
func (host *host) addRollouts(kernelHost *kernel.Host, sources *Sources, outage *discovery.Outage) {
	settings := &kernelHost.Settings.Gateway.Rollouts
	if !settings.Enabled() {
		return
	}
	rollouts := &rolloutHost{decode: sources.DecodeOrder, changed: make(chan struct{}, 1)}
	rollouts.Rollouts = &rollout.Rollouts{
		Address: host.exchange.Address, Incarnation: host.exchange.Incarnation,
		Bounds: rollout.Bounds{Share: settings.ExposureShare, Slack: settings.ExposureSlack, RollbackWithin: settings.RollbackWithin},
		Hosts:  host.exchange.Order, IsQuorate: host.exchange.IsQuorate, Send: host.exchange.SendRollouts,
		Store: sources.OrderStatus, Revision: rollouts.revision.Load, Read: rollouts.read,
		Use: host.balancer.Use, Serves: host.balancer.Serves, Events: kernelHost.Events,
	}
	rollouts.watches = func() bool { return rollouts.Watches(host.exchange.ZoneOrder()) }
	rollouts.follower = &discovery.Follower{
		Outage: outage, Eras: sources.Eras, ShouldWatch: rollouts.watches, Kind: "rollouts", Source: sources.Orders, Events: kernelHost.Events,
		Hosts: host.exchange.Hosts, Turn: host.exchange.Turn, Within: ordersWithin,
		OnChange: func(discovery.State) { rollouts.wake() },
	}
	host.rollouts, host.exchange.Rollouts, host.gateway.Rollouts = rollouts, rollouts.Rollouts, rollouts.Rollouts
	apply := host.targetFollower.OnChange
	host.targetFollower.OnChange = func(state discovery.State) {
		rollouts.targetsRevision.Store(state.Revision)
		apply(state)
	}
}

// wake lets the orders be applied. The follower's mutex may be held.
func (rollouts *rolloutHost) wake() {
	select {
	case rollouts.changed <- struct{}{}:
	default:
		// The last change was not seen to yet.
	}
}

// setTargets sets the current targets.
func (rollouts *rolloutHost) setTargets(targets []balance.Target) {
	if rollouts != nil {
		rollouts.SetTargets(targets, rollouts.targetsRevision.Load())
	}
}

// run follows the orders while this host watches them for its zone, until the context ends. It
// returns nil.
func (rollouts *rolloutHost) run(ctx context.Context) error {
	if rollouts == nil {
		return nil
	}
	var group sync.WaitGroup
	group.Go(func() { rollouts.recordRun(ctx) })
	group.Go(func() {
		for pause.For(ctx, pause.Jitter(watchCheckInterval)) {
			if rollouts.watches() {
				rollouts.follow(ctx)
			}
		}
	})
	ticker := time.NewTicker(watchCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-rollouts.changed:
		case <-ticker.C:
			// The revision rises without changes.
		}
		rollouts.apply()
	}
	group.Wait()
	return nil
}

// recordRun runs the rollouts; Run returns nil.
func (rollouts *rolloutHost) recordRun(ctx context.Context) { _ = rollouts.Run(ctx) }

// follow follows the orders until another host of the zone watches them.
func (rollouts *rolloutHost) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { _ = rollouts.follower.Run(ctx) })
	for rollouts.watches() && pause.For(ctx, watchCheckInterval) {
		continue
	}
	cancel()
	group.Wait()
}

// read reads the orders up to a revision of the platform.
func (rollouts *rolloutHost) read(ctx context.Context, revision int64) error {
	if rollouts.follower.State().Revision < revision {
		if err := rollouts.follower.ReadUnlessAt(ctx, revision, discovery.Verification{}); err != nil {
			return err
		}
	}
	rollouts.apply()
	return nil
}

// apply applies the orders of the follower's state.
func (rollouts *rolloutHost) apply() {
	rollouts.mutex.Lock()
	defer rollouts.mutex.Unlock()
	state := rollouts.follower.State()
	if state.Revision == 0 {
		return
	}
	if state.ChangedRevision != rollouts.applied {
		rollouts.applied = state.ChangedRevision
		var orders []rollout.Order
		var unreadable []string
		for name, object := range state.Objects {
			// Objects that can't be read were reported by those who read them.
			order, err := rollouts.decode(&object)
			if object.Unreadable != "" || err != nil {
				unreadable = append(unreadable, name)
				continue
			}
			orders = append(orders, order)
		}
		rollouts.SetOrders(orders, unreadable, state.Revision)
	}
	rollouts.revision.Store(state.Revision)
}

// chooseVersion chooses the version of a request's next target while requests of its pool move
// to another one. A stream that has begun keeps its version.
func (forwarding *forwarding) chooseVersion(ticket *balance.Ticket) {
	forwarding.choice = rollout.Choice{}
	if forwarding.version != 0 || forwarding.gateway.Rollouts == nil {
		return
	}
	forwarding.choice = forwarding.gateway.Rollouts.Choose(
		forwarding.pool.Name, forwarding.route.Name, time.Until(forwarding.deadline), len(forwarding.triedTargets) > 0)
	ticket.Restriction = forwarding.choice.Restriction
}

// maySendVersion reports whether the request may be sent to a target of a version now, and
// begins to count its answer if so.
func (forwarding *forwarding) maySendVersion(target *balance.Target) bool {
	rollouts := forwarding.gateway.Rollouts
	if rollouts == nil {
		return true
	}
	left := time.Until(forwarding.deadline)
	if forwarding.version != 0 && !rollouts.MayGoOn(target.Pool, forwarding.version, forwarding.route.Name, left) ||
		forwarding.version == 0 && !rollouts.MaySend(target, forwarding.choice, forwarding.route.Name, left) {
		return false
	}
	if forwarding.counted == nil {
		isFar := target.Zone != forwarding.gateway.Balancer.Zone
		forwarding.counted = rollouts.Begin(target, forwarding.route.Name, forwarding.sends == 0, isFar)
	}
	return true
}

// countWhole counts a whole answer that is no stream. Its time says something if it serves the
// caller.
func (forwarding *forwarding) countWhole(status int) {
	if status < unlikeStatus {
		forwarding.counted.First()
	}
	forwarding.counted.End(0, status >= unlikeStatus)
}

// endCounted ends the count of an attempt with a verdict. What a caller that has left would have
// got is not known.
func (forwarding *forwarding) endCounted(verdict verdict) {
	switch {
	case forwarding.request.Context().Err() != nil:
		forwarding.counted.Abandon()
	case verdict == failed || verdict == failedWhole:
		forwarding.counted.End(0, true)
	default:
		// The answer was counted when it was passed on; other targets got nothing to run.
		forwarding.counted.Abandon()
	}
	forwarding.counted = nil
}

// choiceFacts returns the facts of a sent request for the choice of its version.
func (forwarding *forwarding) choiceFacts() []timeline.Fact {
	if forwarding.choice.Reason == "" {
		return nil
	}
	return []timeline.Fact{{Key: "chosen", Value: forwarding.choice.Reason}}
}
