// Package entry is the callers' side of a host: it takes requests, holds the
// only right to dispatch them, and gives every caller one true answer.
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/once"
	"nutmegfield.example/profile"
	"nutmegfield.example/settings"
	"nutmegfield.example/target"
	"nutmegfield.example/timeline"
)

const (
	retryNoConfiguration = 5 * time.Second
	retryDraining        = time.Second
	retryNoRecord        = 5 * time.Second
	retryDeadline        = 2 * time.Second
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
		Meaning: "The host takes nothing new and lets running answers end.",
	})
	eventCut = timeline.Define(timeline.Kind{
		Number: 1005, Name: "drain cut short", Level: timeline.Warn,
		Meaning: "The drain limit passed, or a second signal came, while answers still ran; the detail is their number.",
		Action:  "raise drain.limit if it was the limit",
	})
)

// Entry takes the callers' requests of a host. Fields are set before use.
type Entry struct {
	Settings *settings.Callers
	Store    *profile.Store
	Tickets  *Tickets
	Records  *once.Store
	Events   *timeline.Recorder
	Host     string
	// Client returns the client of a protocol, nil if there is none.
	Client func(protocol string) *target.Client

	draining atomic.Bool
	// drained is closed by Drain: waiting requests answer notRun.
	drained   chan struct{}
	once      sync.Once
	running   sync.WaitGroup
	inFlight  atomic.Int64
	admission sync.RWMutex
}

// Ready reports whether the host takes new requests.
func (entry *Entry) Ready() bool {
	return !entry.draining.Load() && entry.Store.Current() != nil
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

func (entry *Entry) drainSignal() chan struct{} {
	entry.once.Do(func() { entry.drained = make(chan struct{}) })
	return entry.drained
}

// Drain takes nothing new, answers waiting requests notRun and returns when
// running answers have ended. It fails at the end of the context.
func (entry *Entry) Drain(ctx context.Context) error {
	entry.Events.Record(eventDraining, timeline.Event{})
	entry.admission.Lock()
	entry.draining.Store(true)
	entry.admission.Unlock()
	close(entry.drainSignal())
	ended := make(chan struct{})
	go func() {
		entry.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return entry.cut()
	}
}
