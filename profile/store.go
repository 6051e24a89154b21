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
		Meaning: "The host now works by the configuration version in the detail.",
	})
	eventOlder = timeline.Define(timeline.Kind{
		Number: 8002, Name: "older configuration ignored", Level: timeline.Trace,
		Meaning: "A version not above the one in force was offered and ignored.",
	})
)

// Store holds the configuration in force on a host. Readers load it without
// a lock; it only ever moves to a higher version.
type Store struct {
	// Events receives the changes; nil for none.
	Events *timeline.Recorder

	current   atomic.Pointer[Snapshot]
	mutex     sync.Mutex
	listeners []func(*Snapshot)
}

// Current returns the snapshot in force, nil before the first one.
func (store *Store) Current() *Snapshot { return store.current.Load() }

// Listen calls back with each snapshot put in force from now on, and at once
// with the present one.
func (store *Store) Listen(listener func(*Snapshot)) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.listeners = append(store.listeners, listener)
	if snapshot := store.Current(); snapshot != nil {
		listener(snapshot)
	}
}

// ApplyIfNewer puts the snapshot in force if its version is higher than the present
// one, and reports whether it did.
func (store *Store) ApplyIfNewer(snapshot *Snapshot) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	before := store.Current()
	if before != nil && snapshot.Version <= before.Version {
		store.Events.Record(eventOlder, timeline.Event{Detail: versionText(snapshot.Version)})
		return false
	}
	store.current.Store(snapshot)
	invariant.ConfigurationStands.Check(
		before == nil || store.Current().Version > before.Version,
		"version %d after a higher one", snapshot.Version)
	store.Events.Record(eventInForce, timeline.Event{Detail: versionText(snapshot.Version)})
	for _, listener := range store.listeners {
		listener(snapshot)
	}
	return true
}
