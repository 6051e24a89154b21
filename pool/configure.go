package pool

import (
	"time"

	"nutmegfield.example/request"
)

// Configure applies a configuration. A target's own report that it leaves or is
// back stays in force until its configured Leaving changes.
func (pool *Pool) Configure(configuration Configuration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	pool.configuration = configuration
	pool.queue.setWeights(configuration.Weights)
	previous := pool.targets
	pool.targets = make([]*target, 0, len(configuration.Targets))
	for _, target := range previous {
		target.removed = true
	}
	for _, configured := range configuration.Targets {
		pool.configureTarget(configured, now)
	}
	for _, target := range previous {
		if target.removed {
			pool.drop(target, now)
		}
	}
	pool.refuseUnserved(now)
	pool.schedule(now)
}

func (pool *Pool) configureTarget(configured Target, now time.Time) {
	target := pool.byName[configured.Name]
	if target == nil {
		target = newTarget(configured)
		target.reportedLeaving = !pool.leaving[configured.Name].IsZero()
		pool.byName[configured.Name] = target
	}
	if target.Leaving != configured.Leaving {
		pool.recordLeaving(configured.Name, configured.Leaving, now)
		target.reportedLeaving = configured.Leaving
	}
	if target.limit >= float64(target.Slots) {
		target.limit = float64(configured.Slots)
	}
	target.Target = configured
	target.limit = min(target.limit, float64(configured.Slots))
	if configured.Leaving {
		pool.recordLeaving(configured.Name, true, now)
	}
	target.removed = false
	pool.targets = append(pool.targets, target)
	pool.refresh(target, now)
}

// drop removes a target that is no longer configured, from byName only if no
// request runs there.
func (pool *Pool) drop(target *target, now time.Time) {
	pool.refresh(target, now)
	if target.running == 0 {
		delete(pool.byName, target.Name)
	}
	delete(pool.leaving, target.Name)
	if pool.Prefixes != nil {
		pool.Prefixes.RemoveTarget(target.Name)
	}
	if pool.isolation.target == target && !pool.isolation.busy {
		pool.isolation.release()
	}
}

// SetLeaving records a report that a target leaves, or is back.
func (pool *Pool) SetLeaving(name string, leaving bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	pool.setReportedLeaving(name, leaving, now)
	pool.refuseUnserved(now)
	pool.schedule(now)
}

// setReportedLeaving applies a report by the target itself or the platform's list.
// A target that is configured as leaving stays so, whatever it reports.
func (pool *Pool) setReportedLeaving(name string, leaving bool, now time.Time) {
	target := pool.byName[name]
	if target == nil {
		return
	}
	target.reportedLeaving = leaving
	pool.recordLeaving(name, leaving || target.Leaving, now)
	if pool.isolation.target == target && leaving && !pool.isolation.busy {
		pool.isolation.release()
	}
	pool.refresh(target, now)
}

// recordLeaving records when a target was reported to leave. The invariant
// LeavingTargetIdle is checked against this record, independently of the state
// that decides the grants.
func (pool *Pool) recordLeaving(name string, leaving bool, now time.Time) {
	if !leaving {
		delete(pool.leaving, name)
		return
	}
	if pool.leaving[name].IsZero() {
		pool.leaving[name] = now
	}
}

// present reports whether any target with slots is not leaving.
func (pool *Pool) present() bool {
	for _, target := range pool.targets {
		if !target.Leaving && !target.reportedLeaving && target.Slots > 0 {
			return true
		}
	}
	return false
}

// refuseUnserved refuses all waiting tickets if every target is leaving, so that
// the entry hosts can try another zone.
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
