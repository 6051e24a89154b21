package rollout

import (
	"context"
	"maps"
	"slices"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

// poolVersions are the versions of a pool's targets.
type poolVersions map[balance.VersionID]*poolVersion

// poolVersion is a version of a pool's targets.
type poolVersion struct {
	name string
	// seenRevision is the platform's revision of the targets at which the version appeared.
	// isKnown is set once the orders are known up to that.
	seenRevision int64
	isKnown      bool
	// oldest is the earliest start of its targets, which are the IDs of those that stay.
	oldest  time.Time
	targets []string
}

// SetTargets sets the current targets as of a revision of the platform.
func (rollouts *Rollouts) SetTargets(targets []balance.Target, revision int64) {
	rollouts.mutex.Lock()
	defer rollouts.mutex.Unlock()
	current := map[string]poolVersions{}
	for i := range targets {
		target := &targets[i]
		versions := current[target.Pool]
		if versions == nil {
			versions = poolVersions{}
			current[target.Pool] = versions
		}
		id := target.VersionID()
		version := versions[id]
		if version == nil {
			version = &poolVersion{name: target.Version, seenRevision: revision, oldest: target.StartedAt}
			if before := rollouts.pools[target.Pool][id]; before != nil {
				version.seenRevision, version.isKnown = before.seenRevision, before.isKnown
			}
			versions[id] = version
		}
		if target.StartedAt.Before(version.oldest) {
			version.oldest = target.StartedAt
		}
		if !target.Leaving {
			version.targets = append(version.targets, target.ID)
		}
	}
	for _, versions := range current {
		if len(versions) == 1 {
			// It is used in any case.
			for _, version := range versions {
				version.isKnown = true
			}
		}
	}
	rollouts.recordHeld(current)
	rollouts.pools = current
	rollouts.makePlans(time.Now())
	rollouts.wake()
}

// recordHeld records the versions that are new to pools.
func (rollouts *Rollouts) recordHeld(current map[string]poolVersions) {
	for pool, versions := range current {
		for id, version := range versions {
			if !version.isKnown && rollouts.pools[pool][id] == nil {
				rollouts.Events.Record(eventHeld, timeline.Event{Pool: pool, Detail: version.name})
			}
		}
	}
}

// neededRevision returns the revision up to which this host has to know the orders, 0 if it
// knows enough. It releases the versions of which it knows enough.
func (rollouts *Rollouts) neededRevision(now time.Time) int64 {
	known, needed := max(rollouts.Revision(), rollouts.learnedRevision), int64(0)
	for pool, versions := range rollouts.pools {
		for id, version := range versions {
			switch move := rollouts.moves[pool]; {
			case version.isKnown:
			case version.seenRevision > known:
				needed = max(needed, version.seenRevision)
			default:
				version.isKnown = true
				if move == nil || move.version != id {
					rollouts.Events.Record(eventReleased, timeline.Event{Pool: pool, Detail: version.name})
				}
			}
		}
	}
	for _, move := range rollouts.moves {
		if !move.stage.hasEnded() && !move.isRead && now.Sub(move.heardAt) > forgottenTime {
			needed = max(needed, known, 1)
		}
	}
	return needed
}

// askForOrders asks the deciding host for the orders, or reads them.
func (rollouts *Rollouts) askForOrders(ctx context.Context, decider string, revision int64, now time.Time) {
	if now.Sub(rollouts.askedAt) < questionInterval {
		return
	}
	rollouts.askedAt = now
	if rollouts.askingSince.IsZero() {
		rollouts.askingSince = now
	}
	if decider == rollouts.Address || now.Sub(rollouts.askingSince) > ownReadDelay {
		rollouts.read(ctx, revision)
	}
	if decider != rollouts.Address {
		rollouts.ask(decider, now).Question = revision
	}
}

// versionsBeside returns the versions of a pool other than the new one.
func (rollouts *Rollouts) versionsBeside(move *move) []balance.VersionID {
	var versions []balance.VersionID
	for id, version := range rollouts.pools[move.order.Pool] {
		if id != move.version && !rollouts.isYounger(move, version) {
			versions = append(versions, id)
		}
	}
	slices.Sort(versions)
	return versions
}

// isYounger reports whether a version came after that of a rollout.
func (rollouts *Rollouts) isYounger(move *move, version *poolVersion) bool {
	ordered := rollouts.pools[move.order.Pool][move.version]
	return ordered != nil && version.oldest.After(ordered.oldest)
}

// abandonedBy returns the versions to which a pool's requests may not go as a rollout that is
// replaced did not end.
func abandonedBy(move *move) []balance.VersionID {
	if move == nil {
		return nil
	}
	if move.stage == MoveCompleted || move.stage == Dropped {
		return move.abandoned
	}
	return append(slices.Clone(move.abandoned), move.version)
}

// makePlans makes the plans of all pools anew.
func (rollouts *Rollouts) makePlans(now time.Time) {
	rollouts.expire(now)
	plans := map[string]*Plan{}
	for pool, versions := range rollouts.pools {
		if plan := rollouts.makePlan(pool, versions); plan != nil {
			plans[pool] = plan
		}
	}
	if len(plans) == 0 {
		rollouts.plans.Store(nil)
		return
	}
	rollouts.plans.Store(&plans)
}

// makePlan returns the plan of a pool, nil if its requests may go to all targets.
func (rollouts *Rollouts) makePlan(pool string, versions poolVersions) *Plan {
	plan := &Plan{pool: pool, others: &balance.Restriction{IsUsual: true}}
	move := rollouts.moves[pool]
	if move != nil && move.stage != Dropped {
		rollouts.planMove(plan, move, versions)
	} else if move != nil {
		plan.others.Except = move.abandoned
	}
	if plan.stage != MoveCompleted {
		plan.others.Except = append(plan.others.Except, versions.held(plan.others.Except)...)
	}
	if plan.version == 0 && len(plan.others.Except) == 0 {
		return nil
	}
	return plan
}

// planMove sets the fields of a plan by the rollout of its pool.
func (rollouts *Rollouts) planMove(plan *Plan, move *move, versions poolVersions) {
	plan.version, plan.stage, plan.counter = move.version, move.stage, move.counter
	plan.others.Except = slices.Clone(move.abandoned)
	if move.stage == MoveCompleted {
		plan.old = move.old
		plan.others.Except, plan.counter = slices.Clone(move.old), nil
		if len(plan.old) == 0 || !slices.ContainsFunc(plan.old, func(id balance.VersionID) bool { return versions[id] != nil }) {
			// No target is left to keep from.
			plan.version = 0
			plan.others.Except = nil
		}
		return
	}
	plan.others.Except = append(plan.others.Except, move.version)
	if move.stage.hasEnded() {
		plan.counter = nil
		if versions[move.version] == nil {
			plan.version, plan.others.Except = 0, slices.Clone(move.abandoned)
		}
		return
	}
	told := &move.told
	plan.share, plan.routes = told.Share, told.Routes
	plan.validUntil = move.heardAt.Add(max(minSilence, min(maxSilence, rollouts.Bounds.RollbackWithin/2)))
	if move.decider == "" {
		plan.validUntil = time.Time{}
	}
	plan.schedule = newSchedule(move.start, told.Duration)
	plan.endsOld = move.stage == Moving && told.endsOld()
	plan.all = &balance.Restriction{Only: move.version, IsUsual: move.stage == Moving}
	plan.focus = &balance.Restriction{Only: move.version}
	if version := versions[move.version]; version != nil {
		plan.focus.Among = pickFocus(version.targets, told.FocusIndex, told.FocusCount)
	}
	plan.others.IsUsual = move.stage != Moving
}

// held returns the versions that get nothing until their orders are known, besides those that
// get nothing anyway. If none is known, the one whose targets have started first is used.
func (versions poolVersions) held(excepted []balance.VersionID) []balance.VersionID {
	var held []balance.VersionID
	isAnyKnown := false
	for _, id := range slices.Sorted(maps.Keys(versions)) {
		switch {
		case slices.Contains(excepted, id):
		case versions[id].isKnown:
			isAnyKnown = true
		default:
			held = append(held, id)
		}
	}
	if isAnyKnown || len(held) == 0 {
		return held
	}
	oldest := slices.MinFunc(held, func(one, other balance.VersionID) int { return versions[one].oldest.Compare(versions[other].oldest) })
	return slices.DeleteFunc(held, func(id balance.VersionID) bool { return id == oldest })
}
