// Package invariant holds the promises of the system as named assertions.
// They are always on: a breach is counted by expvar and logged by number, and
// under test it is fatal.
package invariant

import (
	"expvar"
	"fmt"
	"sync/atomic"

	"nutmegfield.example/timeline"
)

// Promise is one of the promises to the users.
type Promise struct {
	Name  string
	event timeline.Kind
}

// The promises.
var (
	DispatchedOnce      = promise(9001, "dispatchedOnce", "a request was dispatched a second time")
	TierOrder           = promise(9002, "tierOrder", "a request was shed while a lower tier waited")
	WholeOwnAnswer      = promise(9003, "wholeOwnAnswer", "an answer was cut, doubled or another request's")
	NotRunIsTrue        = promise(9004, "notRunIsTrue", "notRun was said of a request that was dispatched")
	NonIdempotentOnce   = promise(9005, "nonIdempotentOnce", "a non-idempotent request ran without a record of its own")
	LeavingTargetIdle   = promise(9006, "leavingTargetIdle", "a leaving target got new work")
	DrainCutsNothing    = promise(9007, "drainCutsNothing", "a graceful shutdown cut a running request")
	ConfigurationStands = promise(9008, "configurationStands", "a configuration went back to a lower version")
)

var breaches = expvar.NewMap("invariantBreaches")

var fatal atomic.Pointer[func(message string)]

// OnBreach calls fail with each breach from now on, until the returned function
// is called. Tests use it to fail.
func OnBreach(fail func(message string)) (restore func()) {
	before := fatal.Swap(&fail)
	return func() { fatal.Store(before) }
}

// Recorder receives the breaches of this process.
var Recorder atomic.Pointer[timeline.Recorder]

// Check asserts the promise: where holds is false it reports a breach.
func (promise Promise) Check(holds bool, format string, arguments ...any) {
	if holds {
		return
	}
	message := promise.Name + ": " + fmt.Sprintf(format, arguments...)
	breaches.Add(promise.Name, 1)
	Recorder.Load().Record(promise.event, timeline.Event{Detail: message})
	if fail := fatal.Load(); fail != nil {
		(*fail)(message)
	}
}

func promise(number int, name, meaning string) Promise {
	kind := timeline.Define(timeline.Kind{
		Number:  number,
		Name:    "invariant broken: " + name,
		Level:   timeline.Error,
		Meaning: "Breach of a promise: " + meaning + ".",
		Action:  "keep the time line and report it to the maintainers",
	})
	return Promise{Name: name, event: kind}
}
