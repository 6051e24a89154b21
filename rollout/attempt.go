package rollout

import (
	"sync/atomic"
	"time"

	"nutmegfield.example/balance"
)

// gapEvents is the number of events after which the time between those of a stream is known
// well enough: slow streams should not have to end before.
const gapEvents = 8

// Attempt counts what a target answers to a request. Its methods may be called on nil, which
// counts nothing.
type Attempt struct {
	cell      *countedCell
	isNew     bool
	isCold    bool
	startedAt time.Time
	// hasFirst is set once the time to the first event is counted, firstAt is when it came.
	hasFirst atomic.Bool
	firstAt  time.Time
	hasGap   bool
	timer    *time.Timer
}

// Begin records that a request is sent to a target. IsFirst is set for the first target that
// it is sent to, isFar if the target is in another zone than this host. The result is nil if
// there is no rollout of the pool.
func (rollouts *Rollouts) Begin(target *balance.Target, route string, isFirst, isFar bool) *Attempt {
	plan := rollouts.plan(target.Pool)
	if plan == nil || plan.counter == nil {
		return nil
	}
	if isFirst {
		plan.counter.requests.Add(1)
	}
	now := time.Now()
	key := Key{Route: hashName(route), IsFar: isFar}
	if _, isKnown := rollouts.routeNames.Load(key.Route); !isKnown {
		rollouts.routeNames.Store(key.Route, route)
	}
	attempt := &Attempt{isNew: target.VersionID() == plan.version, isCold: now.Before(target.ColdUntil), startedAt: now}
	if attempt.isNew {
		key.Target = hashName(target.ID)
		plan.counter.sent.Add(1)
		countSent(plan.pool)
	}
	if attempt.cell = plan.counter.cell(key); attempt.cell == nil {
		return nil
	}
	if slow := plan.slowAfter(key.Route); attempt.isNew && !attempt.isCold && slow > 0 {
		attempt.timer = time.AfterFunc(slow, func() { attempt.countFirst(slow) })
	}
	return attempt
}

// First records the first event of a stream, or another whole answer that serves its caller.
func (attempt *Attempt) First() {
	if attempt == nil || !attempt.firstAt.IsZero() {
		return
	}
	attempt.firstAt = time.Now()
	attempt.countFirst(attempt.firstAt.Sub(attempt.startedAt))
}

// countFirst counts the time to the first event, once: also if it has not come by the time by
// which that of the old version has.
func (attempt *Attempt) countFirst(duration time.Duration) {
	if attempt.isCold || !attempt.hasFirst.CompareAndSwap(false, true) {
		return
	}
	countTime(&attempt.cell.first, duration)
	attempt.cell.tell()
}

// Events records that a number of events of a stream has come.
func (attempt *Attempt) Events(count int) {
	if attempt != nil && count >= gapEvents {
		attempt.countGap(count)
	}
}

func (attempt *Attempt) countGap(events int) {
	if attempt.hasGap || attempt.isCold || events < 2 || attempt.firstAt.IsZero() {
		return
	}
	attempt.hasGap = true
	countTime(&attempt.cell.gap, time.Since(attempt.firstAt)/time.Duration(events-1))
	attempt.cell.tell()
}

// End records the end of a stream of events, 0 for other answers, and whether it failed.
func (attempt *Attempt) End(events int, hasFailed bool) {
	if attempt == nil {
		return
	}
	attempt.Abandon()
	attempt.countGap(events)
	attempt.cell.answers.Add(1)
	if hasFailed {
		attempt.cell.failures.Add(1)
	}
	if !attempt.isNew {
		countTime(&attempt.cell.took, time.Since(attempt.startedAt))
	}
	attempt.cell.tell()
}

// Abandon records that nobody waits for the answer any more: it is not known.
func (attempt *Attempt) Abandon() {
	if attempt != nil && attempt.timer != nil {
		attempt.timer.Stop()
	}
}
