// Package entry is the callers' side of a host: it takes requests, holds the
// only right to dispatch them, and gives every caller one true answer.
package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/once"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
	"nutmegfield.example/settings"
	"nutmegfield.example/timeline"
)

const (
	retryNoConfiguration = 5 * time.Second
	retryDraining        = time.Second
	retryNoRecord        = 5 * time.Second
	retryDeadline        = 2 * time.Second
	retryLimited         = time.Second

	// endFirst and endMost bound the pause before a record that could not be
	// ended is tried again, endSpan for how long.
	endFirst = time.Second
	endMost  = 30 * time.Second
	endSpan  = 10 * time.Minute
	// recordTimeout bounds the calls that end a record or give it back.
	recordTimeout = 5 * time.Second
	// cancelTimeout bounds the call that cancels a request on its target.
	cancelTimeout = 5 * time.Second
	// pauseFirst and pauseMost bound the pause before a request waits again
	// after a grant that could not be used.
	pauseFirst = 20 * time.Millisecond
	pauseMost  = time.Second
)

// Events of this package.
var (
	eventAccepted = timeline.Define(timeline.Kind{
		Number: 1001, Name: "request accepted", Level: timeline.Trace,
		Meaning: "A caller's request was classified and waits for a grant.",
	})
	eventDispatched = timeline.Define(timeline.Kind{
		Number: 1002, Name: "request dispatched", Level: timeline.Trace,
		Meaning: "The first byte of the request is about to leave for the target.",
	})
	eventAnswered = timeline.Define(timeline.Kind{
		Number: 1003, Name: "request answered", Level: timeline.Trace,
		Meaning: "The caller got its final answer; the detail is the outcome and its reason.",
	})
	eventDraining = timeline.Define(timeline.Kind{
		Number: 1004, Name: "draining", Level: timeline.Info,
		Meaning: "The host is no longer ready; after the notice it takes nothing new and lets running answers end.",
	})
	eventCut = timeline.Define(timeline.Kind{
		Number: 1005, Name: "drain cut short", Level: timeline.Warn,
		Meaning: "The drain limit passed, or a second signal came, while answers still ran; the detail is their number.",
		Action:  "raise drain.limit if it was the limit",
	})
	eventCutRequest = timeline.Define(timeline.Kind{
		Number: 1006, Name: "request cut", Level: timeline.Warn,
		Meaning: "A drain that was cut short ended before this request did.",
	})
	eventPanicked = timeline.Define(timeline.Kind{
		Number: 1007, Name: "handler panicked", Level: timeline.Error,
		Meaning: "The program failed while it handled a request; the request was answered and the host goes on.",
		Action:  "report the detail to the maintainers",
	})
	eventRecordLeft = timeline.Define(timeline.Kind{
		Number: 1008, Name: "record not written", Level: timeline.Trace,
		Meaning: "The end of a non-idempotent request could not be kept in its record; a resend hears unknown.",
	})
)

// Entry takes the callers' requests of a host. Fields are set before use.
type Entry struct {
	Settings *settings.Callers
	// Drains bounds a graceful shutdown.
	Drains  *settings.Drain
	Store   *profile.Store
	Records *once.Store
	Events  *timeline.Recorder
	// Host names this life of the host in the records.
	Host string
	// Dead reports whether a life of a host that a record names is over; nil
	// for never.
	Dead func(life string) bool
	// Client returns the client of a protocol, nil if there is none.
	Client func(protocol string) *protocol.Client
	// Leaving reports whether a target was last said to be leaving; nil for
	// never.
	Leaving func(pool, target string) bool
	// Submit sends a ticket and returns the channel of its decision, Withdraw
	// takes a waiting one back.
	Submit   func(ticket *request.Ticket) <-chan Decision
	Withdraw func(ticket *request.Ticket)
	// Release gives a grant back.
	Release func(release *request.Release)
	// Progress tells of a request's first token.
	Progress func(grant *request.Grant, firstToken time.Duration)

	// leaving makes the host unready, draining refuses new requests.
	leaving  atomic.Bool
	draining atomic.Bool
	// forced is set when a drain ended before the running answers did.
	forced atomic.Bool
	// drained is closed when draining begins: waiting requests answer notRun.
	drained   chan struct{}
	once      sync.Once
	running   sync.WaitGroup
	inFlight  atomic.Int64
	admission sync.RWMutex
	bodyBytes atomic.Int64
	jobs      jobSet
	limits    limits
	keys      keyLocks
}

// Ready reports whether the balancer should send requests here.
func (entry *Entry) Ready() bool {
	return !entry.leaving.Load() && entry.Store.Current() != nil
}

// enter counts a request in, unless the host drains.
func (entry *Entry) enter() bool {
	entry.admission.RLock()
	defer entry.admission.RUnlock()
	if entry.draining.Load() {
		return false
	}
	entry.running.Add(1)
	entry.inFlight.Add(1)
	return true
}

func (entry *Entry) leave() {
	entry.inFlight.Add(-1)
	entry.running.Done()
}

// background runs work that outlives its request's answer. The request must
// be counted in while it is called.
func (entry *Entry) background(work func()) { entry.running.Go(work) }
