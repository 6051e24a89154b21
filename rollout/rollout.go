// Package rollout decides how the requests of a pool move to targets of a new version of
// their software: a small share first, all when the time of the order is nearly over, none as
// soon as the new version is known to be worse than the old one. One host decides for all; the
// others count what targets answer and keep to the share that they are told. The package does
// no network I/O.
package rollout

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/balance"
	"nutmegfield.example/errorkind"
)

// Errors of the calls of a Store.
var (
	Errors = errorx.NewNamespace("rollout")
	// Changed means that the platform has another revision of the order.
	Changed = Errors.NewType("changed")
	// Removed means that the platform no longer has the order.
	Removed = Errors.NewType("removed")
)

// Is reports whether an error, or one that it wraps, is of one of the types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }

// State is the state of an order that the platform shows.
type State int

// The states.
const (
	// Unset means that nothing was written yet, or nothing that can be read.
	Unset State = iota
	Running
	Completed
	RolledBack
)

// String returns the state as it appears in events.
func (state State) String() string {
	return [...]string{"unset", "running", "completed", "rolledBack"}[state]
}

// Order asks that the requests of a pool move to targets of a version.
type Order struct {
	// Name is the name of the platform's object.
	Name string
	Pool string
	// Version is that of the targets that the requests move to.
	Version string
	// Duration is the time from the order until it must have ended.
	Duration time.Duration
	// State is what the platform shows of the move to StateVersion.
	State        State
	StateVersion string
	// Revision is the platform's revision of the object.
	Revision int64
}

// shown returns the state that the platform shows for the order's own version.
func (order *Order) shown() State {
	if order.StateVersion != order.Version {
		return Unset
	}
	return order.State
}

// hasEnded reports whether the platform shows that the order has ended.
func (order *Order) hasEnded() bool { return order.shown() == Completed || order.shown() == RolledBack }

// versionID returns the id of the order's version.
func (order *Order) versionID() balance.VersionID {
	return balance.NewVersionID(order.Pool, order.Version)
}

// Bounds are the limits that a version which is bad must not exceed, over all hosts.
type Bounds struct {
	// Share and Slack bound the requests that are sent to it: Share of all that reach its
	// pool between the order and its deadline, and Slack more.
	Share float64
	Slack float64
	// RollbackWithin is the time after its 50th bad answer from which it gets none.
	RollbackWithin time.Duration
}

// Stage is the stage of a rollout that the deciding host tells the others.
type Stage int

// The stages. Those that end are the last two.
const (
	// Sharing: a share of the requests goes to the new version.
	Sharing Stage = iota
	// Moving: all requests move to the new version.
	Moving
	// RollingBack: nothing goes to the new version; the platform does not show it yet.
	RollingBack
	// MoveCompleted: the platform shows that the order is completed.
	MoveCompleted
	// MoveRolledBack: the platform shows that the order is rolled back.
	MoveRolledBack
	// Dropped: the platform has another order, or none.
	Dropped
)

// Stages is the number of stages.
const Stages = 6

// String returns the stage as it appears in events.
func (stage Stage) String() string {
	return [...]string{"sharing", "moving", "rollingBack", "completed", "rolledBack", "dropped"}[stage]
}

// hasEnded reports whether the platform shows that the rollout has ended.
func (stage Stage) hasEnded() bool { return stage >= MoveCompleted }

// withdraws reports whether nothing may be sent to the new version.
func (stage Stage) withdraws() bool { return stage == RollingBack || stage == MoveRolledBack }

// Store writes the states of orders.
type Store struct {
	// Write sets the state of an order for its version, on condition that the platform has
	// the order's revision. It returns the order as the platform has it, also with an error of
	// type Changed. It fails with Removed if the platform has no such order.
	Write func(ctx context.Context, order Order, state State) (Order, error)
	// SaveMark writes what the platform keeps of the rollout of a pool, and LoadMarks reads it
	// of all pools. They may be nil.
	SaveMark  func(ctx context.Context, pool string, value []byte) error
	LoadMarks func(ctx context.Context) (map[string][]byte, error)
}
