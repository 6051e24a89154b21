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
	// pollInterval is the interval at which each target is asked for its load.
	pollInterval = time.Second
	// pollTimeout bounds each question.
	pollTimeout = time.Second
)

// pollCounts counts the questions to targets and those that failed.
var pollCounts = expvar.NewMap("polls")

// poll asks the targets of the pools that are scheduled here, spread over the
// interval, until the context ends. A target that does not answer is asked
// again only when its question has ended.
func (scheduler *Scheduler) poll(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	asked := map[place]*questions{}
	for ctx.Err() == nil {
		targets := scheduler.polled()
		wait := pollInterval / time.Duration(len(targets)+1)
		for _, target := range targets {
			busy := asked[target.place]
			if busy == nil {
				busy = &questions{}
				asked[target.place] = busy
			}
			if busy.TryLock() {
				group.Go(func() {
					defer busy.Unlock()
					scheduler.ask(ctx, target)
					scheduler.askCache(ctx, target, busy)
				})
			}
			pause.For(ctx, wait)
		}
		pause.For(ctx, wait)
	}
}

// questions are those to one target, one at a time.
type questions struct {
	sync.Mutex
	// pool is the one that was told the cache events up to sequence.
	pool     *pool.Pool
	sequence uint64
}

// polledTarget is a target of a pool that is scheduled here.
type polledTarget struct {
	place
	target *profile.Target
	pool   *pool.Pool
}

func (scheduler *Scheduler) polled() []polledTarget {
	snapshot := scheduler.Store.Current()
	if snapshot == nil {
		return nil
	}
	var targets []polledTarget
	for name, running := range scheduler.running() {
		described := snapshot.Pool(name)
		if described == nil || scheduler.Responsible(name) != scheduler.Host {
			continue
		}
		for i := range described.Targets {
			target := &described.Targets[i]
			if target.Zone == scheduler.Zone {
				targets = append(targets, polledTarget{place{name, target.Name}, target, running})
			}
		}
	}
	return targets
}

func (scheduler *Scheduler) ask(ctx context.Context, polled polledTarget) {
	client := scheduler.Client(polled.target.Protocol)
	if client == nil || client.Load == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	pollCounts.Add("asked", 1)
	load, err := client.Load(ctx, polled.target.Address)
	if err != nil {
		pollCounts.Add("failed", 1)
		return
	}
	polled.pool.ObserveLoad(polled.place.target, pool.Load{Running: load.Running, Waiting: load.Waiting, ReportedAt: load.At})
	scheduler.reported(polled.place, load.Leaving)
}

// askCache tells the pool's index which prefixes the target stored and removed
// since it was asked last, and of events that it missed.
func (scheduler *Scheduler) askCache(ctx context.Context, polled polledTarget, questions *questions) {
	client := scheduler.Client(polled.target.Protocol)
	index := polled.pool.Prefixes
	if client == nil || client.CacheEvents == nil || index == nil {
		return
	}
	if questions.pool != polled.pool {
		questions.pool, questions.sequence = polled.pool, 0
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	pollCounts.Add("asked", 1)
	events, err := client.CacheEvents(ctx, polled.target.Address, questions.sequence)
	if err != nil {
		pollCounts.Add("failed", 1)
		return
	}
	for _, event := range events {
		if event.Sequence > questions.sequence+1 {
			pollCounts.Add("gaps", 1)
			index.Gap(polled.place.target)
		}
		index.Event(polled.place.target, event.Stored, event.Removed)
		questions.sequence = event.Sequence
	}
}
