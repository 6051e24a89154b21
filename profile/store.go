package profile

import (
	"sync"
	"sync/atomic"

	"nutmegfield.example/invariant"
	"nutmegfield.example/timeline"
)

// Events of this package.
var (
	eventInForce = timeline.Define(timeline.Kind{
		Number: 8001, Name: "configuration in force", Level: timeline.Info,
		Meaning: "The host now uses the configuration version in the detail.",
	})
	eventOlderIgnored = timeline.Define(timeline.Kind{
		Number: 8002, Name: "older configuration ignored", Level: timeline.Trace,
		Meaning: "The host received a version that is not newer than the one in force, and ignored it.",
	})
)

// Store holds the configuration in force on a host, whose version only increases.
// Reading it takes no lock.
type Store struct {
	// Events records the versions put in force and those ignored; nil records
	// none.
	Events *timeline.Recorder

	current   atomic.Pointer[Snapshot]
	mutex     sync.Mutex
	listeners []func(*Snapshot)
}

// Current returns the snapshot in force, nil if there is none yet.
func (store *Store) Current() *Snapshot { return store.current.Load() }

// Listen calls the listener with the current snapshot, if there is one, and with
// each later one. The listener must not call Listen or ApplyIfNewer.
func (store *Store) Listen(listener func(*Snapshot)) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.listeners = append(store.listeners, listener)
	if snapshot := store.Current(); snapshot != nil {
		listener(snapshot)
	}
}

// ApplyIfNewer puts the snapshot in force if its version is higher than the
// current one, and reports whether it did.
func (store *Store) ApplyIfNewer(snapshot *Snapshot) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	previous := store.Current()
	if previous != nil && snapshot.Version <= previous.Version {
		store.Events.Record(eventOlderIgnored, timeline.Event{Detail: versionText(snapshot.Version)})
		return false
	}
	store.current.Store(snapshot)
	invariant.ConfigurationStands.Check(
		previous == nil || store.Current().Version > previous.Version,
		"version %d after a higher one", snapshot.Version)
	store.Events.Record(eventInForce, timeline.Event{Detail: versionText(snapshot.Version)})
	for _, listener := range store.listeners {
		listener(snapshot)
	}
	return true
}
