// Package invariant defines the guarantees of the system as named assertions.
// They are always checked: a breach is counted in expvar and recorded as an event,
// and fails a test that has registered a handler.
package invariant

import (
	"expvar"
	"fmt"
	"sync/atomic"

	"nutmegfield.example/timeline"
)

// Invariant is a guarantee to the users.
type Invariant struct {
	Name  string
	event timeline.Kind
}

// The invariants.
var (
	DispatchedOnce      = define(9001, "dispatchedOnce", "a request was dispatched twice")
	TierOrder           = define(9002, "tierOrder", "a request was shed while a lower tier waited")
	WholeOwnAnswer      = define(9003, "wholeOwnAnswer", "an answer was truncated, duplicated or belonged to another request")
	NotRunIsTrue        = define(9004, "notRunIsTrue", "a dispatched request was reported as notRun")
	NonIdempotentOnce   = define(9005, "nonIdempotentOnce", "a non-idempotent request ran without a record of its own")
	LeavingTargetIdle   = define(9006, "leavingTargetIdle", "a leaving target received a new request")
	DrainCutsNothing    = define(9007, "drainCutsNothing", "a graceful shutdown cut a running request")
	ConfigurationStands = define(9008, "configurationStands", "a configuration was replaced by a lower version")
)

var breaches = expvar.NewMap("invariantBreaches")

var breachHandler atomic.Pointer[func(message string)]

// OnBreach sets the function that is called for each breach and returns a function
// that restores the previous one. Tests use it to fail on a breach.
func OnBreach(handler func(message string)) (restore func()) {
	previous := breachHandler.Swap(&handler)
	return func() { breachHandler.Store(previous) }
}

// Recorder records the breaches of this process as events.
var Recorder atomic.Pointer[timeline.Recorder]

// Check reports a breach, with the formatted message, if holds is false.
func (invariant Invariant) Check(holds bool, format string, arguments ...any) {
	if holds {
		return
	}
	message := invariant.Name + ": " + fmt.Sprintf(format, arguments...)
	breaches.Add(invariant.Name, 1)
	Recorder.Load().Record(invariant.event, timeline.Event{Detail: message})
	if handler := breachHandler.Load(); handler != nil {
		(*handler)(message)
	}
}

func define(number int, name, meaning string) Invariant {
	kind := timeline.Define(timeline.Kind{
		Number:  number,
		Name:    "invariant broken: " + name,
		Level:   timeline.Error,
		Meaning: "Violated invariant: " + meaning + ".",
		Action:  "save the time line and report it to the maintainers",
	})
	return Invariant{Name: name, event: kind}
}
