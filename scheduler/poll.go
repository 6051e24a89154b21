package scheduler

import (
	"context"
	"expvar"
	"sync"
	"time"

	"nutmegfield.example/pause"
	"nutmegfield.example/pool"
	"nutmegfield.example/profile"
)

const (
	// pollInterval is the interval between polls of a target.
	pollInterval = time.Second
	// pollTimeout limits each call to a target.
	pollTimeout = time.Second
)

// pollCounts counts the calls to targets, those that failed, and gaps in the
// cache events.
var pollCounts = expvar.NewMap("polls")

// poll asks the targets of the pools that are scheduled here for their load and
// cache events, spread evenly over pollInterval, until the context ends. A
// target is skipped while its last poll is still running.
func (scheduler *Scheduler) poll(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	polls := map[targetKey]*targetPoll{}
	for ctx.Err() == nil {
		targets := scheduler.polledTargets()
		wait := pollInterval / time.Duration(len(targets)+1)
		for _, target := range targets {
			poll := polls[target.targetKey]
			if poll == nil {
				poll = &targetPoll{}
				polls[target.targetKey] = poll
			}
			if poll.TryLock() {
				group.Go(func() {
					defer poll.Unlock()
					scheduler.pollLoad(ctx, target)
					scheduler.pollCacheEvents(ctx, target, poll)
				})
			}
			pause.For(ctx, wait)
		}
		pause.For(ctx, wait)
	}
}

// targetPoll is the state of the polls of one target. It is locked while a poll
// runs.
type targetPoll struct {
	sync.Mutex
	// pool is the pool to whose index the cache events up to lastSequence were
	// applied.
	pool         *pool.Pool
	lastSequence uint64
}

// polledTarget is a target of a pool that is scheduled here.
type polledTarget struct {
	targetKey
	target *profile.Target
	pool   *pool.Pool
}

func (scheduler *Scheduler) polledTargets() []polledTarget {
	snapshot := scheduler.Store.Current()
	if snapshot == nil {
		return nil
	}
	var targets []polledTarget
	for name, running := range scheduler.runningPools() {
		profilePool := snapshot.Pool(name)
		if profilePool == nil || scheduler.Responsible(name) != scheduler.Host {
			continue
		}
		for i := range profilePool.Targets {
			target := &profilePool.Targets[i]
			if target.Zone == scheduler.Zone {
				targets = append(targets, polledTarget{targetKey{name, target.Name}, target, running})
			}
		}
	}
	return targets
}

func (scheduler *Scheduler) pollLoad(ctx context.Context, polledTarget polledTarget) {
	client := scheduler.Client(polledTarget.target.Protocol)
	if client == nil || client.Load == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	pollCounts.Add("asked", 1)
	load, err := client.Load(ctx, polledTarget.target.Address)
	if err != nil {
		pollCounts.Add("failed", 1)
		return
	}
	scheduler.recordLimit(polledTarget.targetKey, load.Limit)
	polledTarget.pool.ObserveLoad(polledTarget.targetKey.target, pool.Load{
		Running: load.Running, Waiting: load.Waiting, Limit: load.Limit, ReportedAt: load.ReportedAt,
	})
	scheduler.recordLeaving(polledTarget.targetKey, load.Leaving)
}

// pollCacheEvents applies the target's cache events since the last poll to the
// pool's index, and records gaps in them.
func (scheduler *Scheduler) pollCacheEvents(ctx context.Context, polledTarget polledTarget, targetPoll *targetPoll) {
	client := scheduler.Client(polledTarget.target.Protocol)
	index := polledTarget.pool.Prefixes
	if client == nil || client.CacheEvents == nil || index == nil {
		return
	}
	if targetPoll.pool != polledTarget.pool {
		targetPoll.pool, targetPoll.lastSequence = polledTarget.pool, 0
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	pollCounts.Add("asked", 1)
	events, err := client.CacheEvents(ctx, polledTarget.target.Address, targetPoll.lastSequence)
	if err != nil {
		pollCounts.Add("failed", 1)
		return
	}
	for _, event := range events {
		if event.Sequence > targetPoll.lastSequence+1 {
			pollCounts.Add("gaps", 1)
			index.RecordGap(polledTarget.targetKey.target)
		}
		index.ApplyEvent(polledTarget.targetKey.target, event.Stored, event.Removed)
		targetPoll.lastSequence = event.Sequence
	}
}
