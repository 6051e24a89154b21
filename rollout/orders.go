package rollout

import (
	"slices"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/discovery"
	"nutmegfield.example/timeline"
)

const (
	// withdrawnTime is how long a version that was withdrawn gets nothing after its order was
	// removed: its targets leave meanwhile.
	withdrawnTime = time.Minute
	// restoredTime is how long an order counts as there that is missing in the copy from which
	// the platform came back: the operator writes it again.
	restoredTime = 10 * time.Second
)

// SetOrders sets the orders that the platform has at a revision. The orders of the pools in
// unreadable can't be read at present; what is known of them stays in force.
func (rollouts *Rollouts) SetOrders(orders []Order, unreadable []string, revision int64) {
	rollouts.mutex.Lock()
	defer rollouts.mutex.Unlock()
	defer rollouts.wake()
	now := time.Now()
	isListed := map[string]bool{}
	for _, pool := range unreadable {
		isListed[pool] = true
	}
	for _, order := range orders {
		isListed[order.Pool] = true
		rollouts.applyOrder(order, now)
	}
	for pool, move := range rollouts.moves {
		switch {
		case !move.isRead || move.stage == Dropped:
		case isListed[pool]:
			move.missingSince = time.Time{}
		case eraOf(revision) == eraOf(move.order.Revision):
			rollouts.drop(move, "its order was removed", now)
		case move.missingSince.IsZero():
			move.missingSince = now
		}
	}
}

// applyOrder applies an order as the platform has it, unless a later revision is known. The
// caller holds the mutex.
func (rollouts *Rollouts) applyOrder(order Order, now time.Time) {
	move := rollouts.moves[order.Pool]
	switch {
	case move == nil || move.stage == Dropped:
		rollouts.begin(order, nil, now)
		return
	case move.isRead && order.Revision <= move.order.Revision:
		return
	case order.versionID() != move.version:
		abandoned := move.abandoned
		if move.stage != MoveCompleted {
			abandoned = append(slices.Clone(abandoned), move.version)
		}
		rollouts.forget(move)
		rollouts.recordStage(move, Dropped, "its order asks for "+order.Version+" now", nil)
		rollouts.begin(order, abandoned, now)
		return
	case !order.hasEnded() && move.stage.hasEnded() && eraOf(order.Revision) == eraOf(move.endedRevision):
		// The same version is asked for once more.
		rollouts.forget(move)
		rollouts.begin(order, move.abandoned, now)
		return
	}
	durationChanged := move.order.Duration != order.Duration
	move.order, move.isRead = order, true
	switch {
	case order.hasEnded():
		rollouts.end(move, now)
	case durationChanged && move.decision != nil:
		move.decision.reschedule(move.start, order.Duration)
	}
}

// eraOf returns the platform's era of a revision: in a later one it may have come back from a
// copy that shows what was before the end.
func eraOf(revision int64) int64 {
	era, _ := discovery.SplitRevision(revision)
	return era
}

// begin begins the rollout of an order.
func (rollouts *Rollouts) begin(order Order, abandoned []balance.VersionID, now time.Time) *move {
	move := &move{order: order, isRead: true, version: order.versionID(), seenAt: now, counter: &counter{}, abandoned: abandoned}
	rollouts.addMove(move)
	if order.hasEnded() {
		rollouts.end(move, now)
		return move
	}
	rollouts.Events.Record(eventOrdered, timeline.Event{Pool: order.Pool, Detail: order.Version, Facts: []timeline.Fact{
		timeline.Duration("duration", order.Duration), {Key: "state", Value: order.shown().String()},
	}})
	return move
}

func (rollouts *Rollouts) addMove(added *move) {
	if rollouts.moves == nil {
		rollouts.moves = map[string]*move{}
	}
	rollouts.moves[added.order.Pool] = added
}

// forget lets late instructions of a rollout have no effect any more.
func (rollouts *Rollouts) forget(move *move) {
	if move.id == 0 {
		return
	}
	if rollouts.obsolete == nil {
		rollouts.obsolete = map[uint32]bool{}
	}
	rollouts.obsolete[move.id] = true
}

// end records that the platform shows that a rollout has ended.
func (rollouts *Rollouts) end(move *move, now time.Time) {
	stage := MoveRolledBack
	if move.order.shown() == Completed {
		stage = MoveCompleted
	}
	rollouts.setEnded(move, stage, "the platform shows it", now)
}

// setEnded sets the stage of a rollout that has ended.
func (rollouts *Rollouts) setEnded(move *move, stage Stage, reason string, now time.Time) {
	move.endedRevision = max(move.endedRevision, move.order.Revision)
	if move.stage == stage {
		return
	}
	move.stage, move.endedAt, move.repeats = stage, now, changeRepeats
	move.old = rollouts.versionsBeside(move)
	rollouts.recordStage(move, stage, reason, nil)
	move.decision = nil
}

// drop ends a rollout whose order the platform no longer has.
func (rollouts *Rollouts) drop(move *move, reason string, now time.Time) {
	if move.stage.withdraws() {
		move.abandoned = append(move.abandoned, move.version)
	}
	rollouts.forget(move)
	rollouts.setEnded(move, Dropped, reason, now)
}

// expire forgets rollouts whose orders were dropped long ago, and drops those whose orders the
// platform has lost.
func (rollouts *Rollouts) expire(now time.Time) {
	for pool, move := range rollouts.moves {
		if !move.missingSince.IsZero() && now.Sub(move.missingSince) > restoredTime && move.stage != Dropped {
			rollouts.drop(move, "its order is missing since the platform came back", now)
		}
		if move.stage == Dropped && now.Sub(move.endedAt) > withdrawnTime {
			delete(rollouts.moves, pool)
		}
	}
}
