package pool

import (
	"time"

	"nutmegfield.example/request"
)

// Configure applies a configuration. A target's own report that it is leaving
// or no longer leaving stays in force until its configured Leaving changes.
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
			pool.dropTarget(target, now)
		}
	}
	pool.refuseIfAllLeaving(now)
	pool.schedule(now)
}

func (pool *Pool) configureTarget(configured Target, now time.Time) {
	target := pool.byName[configured.Name]
	if target == nil {
		target = newTarget(configured)
		target.reportedLeaving = !pool.leavingSince[configured.Name].IsZero()
		pool.byName[configured.Name] = target
	}
	if target.Leaving != configured.Leaving {
		pool.recordLeaving(configured.Name, configured.Leaving, now)
		target.reportedLeaving = configured.Leaving
	}
	if target.slotLimit >= float64(target.Slots) {
		target.slotLimit = float64(configured.Slots)
	}
	target.Target = configured
	target.slotLimit = min(target.slotLimit, float64(configured.Slots))
	if configured.Leaving {
		pool.recordLeaving(configured.Name, true, now)
	}
	target.removed = false
	pool.targets = append(pool.targets, target)
	pool.refresh(target, now)
}

// dropTarget removes a target that is no longer configured, from byName only if no
// request runs there.
func (pool *Pool) dropTarget(target *target, now time.Time) {
	pool.refresh(target, now)
	if target.running == 0 {
		delete(pool.byName, target.Name)
	}
	delete(pool.leavingSince, target.Name)
	if pool.Prefixes != nil {
		pool.Prefixes.RemoveTarget(target.Name)
	}
	if pool.isolation.target == target && !pool.isolation.hasRunning {
		pool.isolation.unreserve()
	}
}

// SetLeaving records a report that a target is leaving or no longer leaving.
func (pool *Pool) SetLeaving(name string, leaving bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	pool.setReportedLeaving(name, leaving, now)
	pool.refuseIfAllLeaving(now)
	pool.schedule(now)
}

// setReportedLeaving applies a report by the target itself or by the platform.
// A target that is configured as leaving stays so, whatever it reports.
func (pool *Pool) setReportedLeaving(name string, leaving bool, now time.Time) {
	target := pool.byName[name]
	if target == nil {
		return
	}
	target.reportedLeaving = leaving
	pool.recordLeaving(name, leaving || target.Leaving, now)
	if pool.isolation.target == target && leaving && !pool.isolation.hasRunning {
		pool.isolation.unreserve()
	}
	pool.refresh(target, now)
}

// recordLeaving records since when a target has been leaving. The invariant
// LeavingTargetIdle is checked against this record, independently of the state
// that decides the grants.
func (pool *Pool) recordLeaving(name string, leaving bool, now time.Time) {
	if !leaving {
		delete(pool.leavingSince, name)
		return
	}
	if pool.leavingSince[name].IsZero() {
		pool.leavingSince[name] = now
	}
}

// hasNonLeavingTarget reports whether any target with slots is not leaving.
func (pool *Pool) hasNonLeavingTarget() bool {
	for _, target := range pool.targets {
		if !target.Leaving && !target.reportedLeaving && target.Slots > 0 {
			return true
		}
	}
	return false
}

// refuseIfAllLeaving refuses all waiting tickets if every target is leaving, so
// that the entry hosts can try another zone.
func (pool *Pool) refuseIfAllLeaving(now time.Time) {
	if pool.isSettling(now) || pool.queue.len() == 0 || pool.hasNonLeavingTarget() {
		return
	}
	for pool.queue.len() > 0 {
		ticket := pool.queue.expiry.first().ticket
		pool.queue.remove(ticket.ID)
		pool.refuse(ticket, request.ReasonNoTarget)
	}
}
