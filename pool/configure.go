package pool

import (
	"time"

	"nutmegfield.example/request"
)

// Configure puts the operators' word on the pool in force. What a target said
// of itself stands until the operators change their own word on it.
func (pool *Pool) Configure(configuration Configuration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	pool.configuration = configuration
	pool.queue.setWeights(configuration.Weights)
	before := pool.targets
	pool.targets = make([]*target, 0, len(configuration.Targets))
	for _, known := range before {
		known.removed = true
	}
	for _, told := range configuration.Targets {
		pool.configureTarget(told, now)
	}
	for _, known := range before {
		if known.removed {
			pool.drop(known, now)
		}
	}
	pool.refuseUnserved(now)
	pool.schedule(now)
}

func (pool *Pool) configureTarget(told Target, now time.Time) {
	known := pool.byName[told.Name]
	if known == nil {
		known = newTarget(told)
		known.reportedLeaving = !pool.leaving[told.Name].IsZero()
		pool.byName[told.Name] = known
	}
	if known.Leaving != told.Leaving {
		pool.recordLeaving(told.Name, told.Leaving, now)
		known.reportedLeaving = told.Leaving
	}
	if known.limit >= float64(known.Slots) {
		known.limit = float64(told.Slots)
	}
	known.Target = told
	known.limit = min(known.limit, float64(told.Slots))
	if told.Leaving {
		pool.recordLeaving(told.Name, true, now)
	}
	known.removed = false
	pool.targets = append(pool.targets, known)
	pool.refresh(known, now)
}

// drop forgets a target that is no longer configured, once nothing runs there.
func (pool *Pool) drop(known *target, now time.Time) {
	pool.refresh(known, now)
	if known.running == 0 {
		delete(pool.byName, known.Name)
	}
	delete(pool.leaving, known.Name)
	if pool.Prefixes != nil {
		pool.Prefixes.Forget(known.Name)
	}
	if pool.isolation.target == known && !pool.isolation.busy {
		pool.isolation.release()
	}
}

// SetLeaving marks a target as leaving, or as back.
func (pool *Pool) SetLeaving(name string, leaving bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	pool.setReportedLeaving(name, leaving, now)
	pool.refuseUnserved(now)
	pool.schedule(now)
}

// setReportedLeaving takes a word from the target itself or from the platform's list. A
// word that the target is back cancels the operators' flag only until they
// state it anew.
func (pool *Pool) setReportedLeaving(name string, leaving bool, now time.Time) {
	known := pool.byName[name]
	if known == nil {
		return
	}
	known.reportedLeaving = leaving
	pool.recordLeaving(name, leaving || known.Leaving, now)
	if pool.isolation.target == known && leaving && !pool.isolation.busy {
		pool.isolation.release()
	}
	pool.refresh(known, now)
}

// recordLeaving notes when a target was said to leave; the invariant is held against
// this, apart from the bookkeeping that decides the grants.
func (pool *Pool) recordLeaving(name string, leaving bool, now time.Time) {
	if !leaving {
		delete(pool.leaving, name)
		return
	}
	if pool.leaving[name].IsZero() {
		pool.leaving[name] = now
	}
}

// present reports whether any target is there that does not leave.
func (pool *Pool) present() bool {
	for _, target := range pool.targets {
		if !target.Leaving && !target.reportedLeaving && target.Slots > 0 {
			return true
		}
	}
	return false
}

// refuseUnserved refuses all that waits when no target is left to serve it,
// so that the entry hosts can turn to another zone.
func (pool *Pool) refuseUnserved(now time.Time) {
	if pool.settling(now) || pool.queue.len() == 0 || pool.present() {
		return
	}
	for pool.queue.len() > 0 {
		ticket := pool.queue.expiry.first().ticket
		pool.queue.remove(ticket.ID)
		pool.refuse(ticket, request.ReasonNoTarget)
	}
}
