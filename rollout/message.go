package rollout

import (
	"time"

	"nutmegfield.example/balance"
)

// Message is what a host sends to another one about rollouts.
type Message struct {
	// Reports are for the deciding host. A message without anything asks whether the receiver
	// decides.
	Reports []Report
	// Instructions are those of the host at Decider, also if another one passes them on, or
	// tells them the next host that decides.
	Decider      string
	Instructions []Instruction
	// Question asks for the orders that the platform has at a revision or later; 0 for none.
	Question int64
	// Knowledge answers a question; nil for none.
	Knowledge *Knowledge
}

// Report is what a host counted for a rollout.
type Report struct {
	// Rollout is the id of the rollout.
	Rollout uint32
	// Incarnation is that of the host: its numbers begin at 0 with each.
	Incarnation uint64
	// Acknowledged is the last instruction that the host keeps to.
	Acknowledged uint64
	// Requests counts the requests of callers for the pool, Sent those that were sent to the
	// new version.
	Requests, Sent uint64
	// RunningOld is the number of requests that run at targets of other versions.
	RunningOld int
	// Cells are those that changed.
	Cells []Cell
}

// Instruction says how a pool's requests are shared between versions.
type Instruction struct {
	// Rollout is chosen at random by the first host that decides on the order.
	Rollout  uint32
	Pool     string
	Version  string
	Sequence uint64
	Stage    Stage
	// Share is the part of the requests that goes to the new version.
	Share float64
	// Age is the time since the order was first read, Duration that of the order less what is
	// left for slow writes.
	Age, Duration time.Duration
	// FocusIndex and FocusCount say which targets of the new version get the share, in the
	// order of all of them; a count of 0 stands for all.
	FocusIndex, FocusCount int
	// Requests and Sent are the sums over all hosts, and Answers those of the new version that
	// were compared, for a host that decides next.
	Requests, Sent, Answers uint64
	// Incarnation is that of the host that decides: it knows no reports of before.
	Incarnation uint64
	// Routes has what holds for single routes.
	Routes []RouteInstruction
}

// endsOld reports whether the instruction is one of the time in which the end is written. A host
// that keeps to it sends nothing to the other versions any more, also if it hears nothing later:
// a slow write may take effect at any time.
func (instruction *Instruction) endsOld() bool {
	if instruction.Stage != Moving || instruction.Share < 1 {
		// Of a host that can't decide, or one that was recalled from before.
		return false
	}
	schedule := newSchedule(time.Time{}, instruction.Duration)
	return instruction.Age >= schedule.endAt.Sub(schedule.start)
}

// RouteInstruction is the part of an instruction that holds for a route.
type RouteInstruction struct {
	Route uint32
	// Share goes before the one of the instruction.
	Share float64
	// Lead is the time that requests to the old version are expected to take, SlowAfter the
	// one after which the first event of an answer of the new version counts as slow; 0 for
	// unknown.
	Lead, SlowAfter time.Duration
}

// Knowledge is what a host knows of the platform's orders.
type Knowledge struct {
	// Revision is the platform's revision up to which it knows them.
	Revision int64
	Orders   []KnownOrder
}

// KnownOrder is an order that has not ended.
type KnownOrder struct {
	Pool    string
	Version balance.VersionID
}
