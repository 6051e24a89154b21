// Package entry serves the callers of a host: it accepts requests, dispatches
// each to at most one target under a scheduler's grant, and writes the one answer
// with the outcome of the request.
package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/listener"
	"nutmegfield.example/memory"
	"nutmegfield.example/once"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
	"nutmegfield.example/settings"
	"nutmegfield.example/timeline"
)

const (
	// These are the Retry-After values of refusals, before jitter is added.
	retryAfterNoConfiguration   = 5 * time.Second
	retryAfterDraining          = time.Second
	retryAfterRecordUnavailable = 5 * time.Second
	retryAfterDeadline          = 2 * time.Second
	retryAfterLimited           = time.Second

	// initialEndRecordBackoff is the first pause before ending a record is
	// retried; it doubles up to maxEndRecordBackoff. Retries stop after
	// endRecordTimeout.
	initialEndRecordBackoff = time.Second
	maxEndRecordBackoff     = 30 * time.Second
	endRecordTimeout        = 10 * time.Minute
	// recordCallTimeout bounds one call that ends a record or returns it.
	recordCallTimeout = 5 * time.Second
	// cancelTimeout bounds the call that cancels a request on its target.
	cancelTimeout = 5 * time.Second
	// initialRequeueBackoff is the first pause of a request whose grant could
	// not be used, before it asks for another one; it doubles up to
	// maxRequeueBackoff.
	initialRequeueBackoff = 20 * time.Millisecond
	maxRequeueBackoff     = time.Second
)

// Events of this package.
var (
	eventAccepted = timeline.Define(timeline.Kind{
		Number: 1001, Name: "request accepted", Level: timeline.Trace,
		Meaning: "A caller's request was classified and waits for a grant.",
	})
	eventDispatched = timeline.Define(timeline.Kind{
		Number: 1002, Name: "request dispatched", Level: timeline.Trace,
		Meaning: "The first byte of the request is about to be sent to the target.",
	})
	eventAnswered = timeline.Define(timeline.Kind{
		Number: 1003, Name: "request answered", Level: timeline.Trace,
		Meaning: "The request has its final answer; the detail is the outcome and its reason.",
	})
	eventDraining = timeline.Define(timeline.Kind{
		Number: 1004, Name: "draining", Level: timeline.Info,
		Meaning: "The host is no longer ready; after the notice it refuses new and waiting requests and lets dispatched ones end.",
	})
	eventDrainCutShort = timeline.Define(timeline.Kind{
		Number: 1005, Name: "drain cut short", Level: timeline.Warn,
		Meaning: "The drain limit passed, or a second signal came, while requests were still active; the detail is their number.",
		Action:  "raise drain.limit if the limit was the cause",
	})
	eventRequestCut = timeline.Define(timeline.Kind{
		Number: 1006, Name: "request cut", Level: timeline.Warn,
		Meaning: "A drain that was cut short ended before this request did.",
	})
	eventClosed = timeline.Define(timeline.Kind{
		Number: 1009, Name: "entry closed to new connections", Level: timeline.Info,
		Meaning: "The dispatched requests have ended, and the host takes no new connections any more. The facts count those that had waited and were taken last, and those that are open.",
	})
	eventPanicked = timeline.Define(timeline.Kind{
		Number: 1007, Name: "handler panicked", Level: timeline.Error,
		Meaning: "A request handler panicked; the request was answered or its connection aborted, and the host keeps running.",
		Action:  "report the detail to the maintainers",
	})
	eventRecordNotWritten = timeline.Define(timeline.Kind{
		Number: 1008, Name: "record not written", Level: timeline.Trace,
		Meaning: "The end of a non-idempotent request could not be stored in its record; a resend is answered with the outcome unknown.",
	})
)

// Entry serves the callers of a host. Fields are set before use.
type Entry struct {
	Settings *settings.Callers
	// DrainSettings holds the notice and the limit of a graceful shutdown.
	DrainSettings *settings.Drain
	Store         *profile.Store
	Records       *once.Store
	Events        *timeline.Recorder
	// HostIncarnation identifies this host and its incarnation in records.
	HostIncarnation string
	// IncarnationEnded reports whether the host incarnation that a record
	// names has ended; nil reports false.
	IncarnationEnded func(incarnation string) bool
	// Callers is the listener for callers. It may be nil.
	Callers *listener.Listener
	// Memory counts answers that are held; nil has room for all.
	Memory *memory.Budget
	// Client returns the client of a protocol, nil if there is none.
	Client func(protocol string) *protocol.Client
	// TargetLeaving reports whether a target last reported that it is leaving;
	// nil reports false.
	TargetLeaving func(pool, target string) bool
	// Submit sends a ticket to the scheduler and returns the channel on which
	// its decision arrives.
	Submit func(ticket *request.Ticket) <-chan Decision
	// Withdraw cancels a waiting ticket.
	Withdraw func(ticket *request.Ticket)
	// Release returns a grant to the scheduler.
	Release func(release *request.Release)
	// Progress reports the time to a request's first token to the scheduler.
	Progress func(grant *request.Grant, firstToken time.Duration)

	// drainAnnounced is set when the drain notice begins and makes the host
	// unready; draining is set after the notice and refuses new requests.
	drainAnnounced atomic.Bool
	draining       atomic.Bool
	// drainCutShort is set when a drain ended before every request did.
	drainCutShort atomic.Bool
	// drainingBegan is closed when draining is set, so that waiting requests are
	// refused.
	drainingBegan     chan struct{}
	drainingBeganOnce sync.Once
	// running counts requests and the background work that they started.
	running sync.WaitGroup
	// activeRequests is the number of requests that have no complete answer yet.
	activeRequests atomic.Int64
	// admissionMutex keeps a request from being counted after draining is set.
	admissionMutex sync.RWMutex
	// bodyBytes is the size of all request bodies in memory.
	bodyBytes atomic.Int64
	jobs      jobSet
	limits    limits
	keys      keyLocks
}

// Ready reports whether the load balancer should send requests to this host.
func (entry *Entry) Ready() bool {
	return !entry.drainAnnounced.Load() && entry.Store.Current() != nil && !entry.Callers.IsFull()
}

// takeAnswer counts bytes of an answer that are held, and reports whether there is room.
func (entry *Entry) takeAnswer(bytes int) bool {
	return entry.Memory.Take(memory.Answers, int64(bytes), memory.Small)
}

// giveAnswer returns bytes that takeAnswer has counted.
func (entry *Entry) giveAnswer(bytes int) { entry.Memory.Give(memory.Answers, int64(bytes)) }

// beginRequest counts a request as active. It returns false while draining.
func (entry *Entry) beginRequest() bool {
	entry.admissionMutex.RLock()
	defer entry.admissionMutex.RUnlock()
	if entry.draining.Load() {
		return false
	}
	entry.running.Add(1)
	entry.activeRequests.Add(1)
	return true
}

func (entry *Entry) endRequest() {
	entry.activeRequests.Add(-1)
	entry.running.Done()
}

// startBackground runs work that outlives its request's answer, and that a drain
// waits for. Only an active request may call it.
func (entry *Entry) startBackground(work func()) { entry.running.Go(work) }
