package rollout

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"nutmegfield.example/balance"
)

// Reasons of choices, for events.
const (
	reasonShare     = "share "
	reasonOthers    = "not in the share "
	reasonRepeated  = "the old version, as it was sent before"
	reasonMoved     = "all requests move"
	reasonMayEnd    = "it ends before the old version does"
	reasonSilent    = "the old version, as the deciding host is not heard"
	reasonWithdrawn = "the new version is withdrawn"
	reasonCompleted = "the rollout is completed"
	reasonHeld      = "a version is held until its order is known"
	reasonNoOther   = "no target of another version"
)

// Plan says how the requests of a pool are shared between versions. It is not changed.
type Plan struct {
	pool string
	// version is the new version, 0 if versions are only held.
	version balance.VersionID
	stage   Stage
	share   float64
	// validUntil is the time until which the share holds.
	validUntil time.Time
	// endsOld is set once nothing more may be sent to the other versions, whether or not the
	// deciding host is heard: the end may be written at any time.
	endsOld  bool
	schedule schedule
	routes   []RouteInstruction
	// others allows the targets of the other versions, focus those of the new one that get
	// the share, and all its targets.
	others, focus, all *balance.Restriction
	// old are the versions that nothing is sent to after the end.
	old     []balance.VersionID
	counter *counter
}

// Choice is the choice of a version for a request.
type Choice struct {
	// Restriction is nil if all targets may get it.
	Restriction *balance.Restriction
	// Reason says why, empty if there was nothing to choose.
	Reason string
}

// demand is what a choice depends on.
type demand struct {
	route string
	// left is the time that the caller waits.
	left time.Duration
	// isRepeated is set if the request was sent before.
	isRepeated bool
	// drawn is a random number from 0 to 1.
	drawn float64
	// serves is balance.Balancer.Serves for the pool.
	serves func(restriction *balance.Restriction) (exists, hasRoom bool)
}

// isSilent reports whether the deciding host is not heard.
func (plan *Plan) isSilent(now time.Time) bool {
	return plan.stage < RollingBack && !plan.endsOld && !now.Before(plan.validUntil)
}

// choose chooses the version for a request.
func (plan *Plan) choose(now time.Time, demand *demand) Choice {
	isSilent := plan.isSilent(now)
	reason := reasonHeld
	switch {
	case plan.version == 0:
	case plan.stage == MoveCompleted:
		return Choice{Restriction: plan.others, Reason: reasonCompleted}
	case plan.stage.withdraws():
		return Choice{Restriction: plan.others, Reason: reasonWithdrawn}
	case isSilent:
		reason = reasonSilent
	case plan.mustMove(now, demand.route, demand.left):
		return Choice{Restriction: plan.all, Reason: reasonMoved}
	case demand.isRepeated:
		reason = reasonRepeated
	default:
		share := plan.shareOf(demand.route)
		text := strconv.FormatFloat(share, 'g', 2, 64)
		if demand.drawn < share {
			if _, hasRoom := demand.serves(plan.focus); hasRoom {
				return Choice{Restriction: plan.focus, Reason: reasonShare + text}
			}
		}
		if reason = reasonOthers + text; plan.stage == Moving {
			reason = reasonMayEnd
		}
	}
	if exists, _ := demand.serves(plan.others); !exists {
		return Choice{Reason: reasonNoOther}
	}
	return Choice{Restriction: plan.others, Reason: reason}
}

// mustMove reports whether a request goes to the new version as it would not end in time at
// the old one.
func (plan *Plan) mustMove(now time.Time, route string, left time.Duration) bool {
	if plan.stage != Moving {
		return false
	}
	lead := plan.schedule.maxLead
	if known := plan.route(hashName(route)); known != nil && known.Lead > 0 {
		lead = known.Lead
	}
	return !now.Before(plan.schedule.fullAt) || now.Add(min(lead, left)).After(plan.schedule.endAt)
}

// route returns what holds for a route, nil for nothing.
func (plan *Plan) route(route uint32) *RouteInstruction {
	for i := range plan.routes {
		if plan.routes[i].Route == route {
			return &plan.routes[i]
		}
	}
	return nil
}

// shareOf returns the share of a route's requests that goes to the new version.
func (plan *Plan) shareOf(route string) float64 {
	if known := plan.route(hashName(route)); known != nil {
		return known.Share
	}
	return plan.share
}

// slowAfter returns the time after which a first event of the new version counts as slow, 0 if
// that is not known.
func (plan *Plan) slowAfter(route uint32) time.Duration {
	if known := plan.route(route); known != nil {
		return known.SlowAfter
	}
	return 0
}

// maySend reports whether a request that was granted a target of a version may be sent now.
func (plan *Plan) maySend(now time.Time, version balance.VersionID, choice Choice, route string, left time.Duration) bool {
	switch {
	case plan.version == 0:
		return choice.Reason == reasonNoOther || !slices.Contains(plan.others.Except, version)
	case version == plan.version:
		return !plan.stage.withdraws() && (choice.Reason == reasonNoOther || !plan.isSilent(now))
	case plan.stage == MoveCompleted:
		return !slices.Contains(plan.old, version)
	default:
		return plan.isSilent(now) || choice.Reason == reasonNoOther || !plan.mustMove(now, route, left)
	}
}

// pickFocus returns the targets that get the share: a group of count with an index, in the
// order of all by the hash of their ids, by which hosts agree.
func pickFocus(targets []string, index, count int) []string {
	if count <= 0 || count >= len(targets) {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(targets), func(one, other string) int {
		return cmp.Compare(hashName(one), hashName(other))
	})
	focus := make([]string, count)
	for i := range focus {
		focus[i] = sorted[(index*count+i)%len(sorted)]
	}
	return focus
}
