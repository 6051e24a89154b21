package discovery

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/balance"
	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

const (
	// maxHoldTime is how long after an outage a target whose entry vanished is
	// held. The platform states that entries of live targets may be missing for
	// about two seconds.
	maxHoldTime = 2200 * time.Millisecond
	// outageHeartbeats is the number of heartbeats for which the platform must not have been read
	// before an entry that vanishes may have expired meanwhile. The platform removes an entry
	// after three without a write, and the last write may be one old when an outage begins.
	outageHeartbeats = 2
	defaultHeartbeat = 1200 * time.Millisecond
	// restoredCheckInterval is how often it is checked whether entries of a copy are believed.
	restoredCheckInterval = 250 * time.Millisecond
	// departureMemory is how long targets are remembered that were leaving or gone. The
	// copy that a platform comes back from may still have them.
	departureMemory = time.Minute
	// maxDepartures limits them.
	maxDepartures = 4096
	// maxDepartedTime is how long the entry in a copy of such a target is not believed,
	// unless it is written again. The platform removes entries of silent targets sooner.
	maxDepartedTime = 10 * time.Second
)

var (
	eventTargetEntry = timeline.Define(timeline.Kind{
		Number: 8103, Name: "target entry", Level: timeline.Info,
		Meaning: "The platform's entry of a target was added, changed or removed; the detail says which. If requests to the platform failed before, cause is the last failure, and unread the time for which no host had read the entries; a target is used further only if that is so long that its entry may have expired.",
	})
	eventTargetUnreadable = timeline.Define(timeline.Kind{
		Number: 8104, Name: "target entry unreadable", Level: timeline.Warn,
		Meaning: "An entry among the targets can't be decoded as a target; the detail has its key, its revision and the reason. A known target whose entry it is gets nothing new, and what it runs goes on.",
		Action:  "find out who wrote the entry; the target is used again once its entry is written again",
	})
)

// entriesHeld counts targets that are used without an entry, entriesDeparted the entries of
// targets in a copy that had left.
var (
	entriesHeld     = metrics.GetOrCreateCounter(`nutmegfield_target_entries_total{what="held"}`)
	entriesDeparted = metrics.GetOrCreateCounter(`nutmegfield_target_entries_total{what="departed"}`)
)

// Targets decodes the platform's entries, which are objects that describe one target
// each. If an entry vanishes in an outage, its target is held until maxHoldTime after
// it, as the entry may have expired. One that vanishes around calls that failed for a
// shorter time was removed, as its target leaves. If the platform came back from an older
// copy, the entries of targets that have left since are not believed. Fields must be set
// before Apply.
type Targets struct {
	// Decode returns the target that an entry describes by its name and value.
	Decode func(name string, value []byte) (balance.Target, error)
	// Heartbeat is the time between two writes of a target to its entry; 0 stands for the default.
	Heartbeat time.Duration
	Events    *timeline.Recorder
	// OnChange is called with the complete list of targets after each change.
	OnChange func([]balance.Target)

	mutex sync.Mutex
	// targets maps names of entries to targets, including those held without an
	// entry.
	targets map[string]balance.Target
	// heldUntil maps the targets held without an entry to the time until which
	// they are held.
	heldUntil map[string]time.Time
	// departures are targets that were leaving or gone, by name, and restored are those
	// that the platform's copy still has as it had them before.
	departures map[string]departure
	restored   map[string]restoredEntry
	// state is the last state that was applied.
	state    State
	reporter Reporter
}

// departure is what is remembered of a target that was leaving or gone.
type departure struct {
	startedAt time.Time
	// isGone is set if its entry was removed.
	isGone bool
	at     time.Time
}

// restoredEntry is an entry of a departed target in the copy that the platform came back
// from.
type restoredEntry struct {
	departure
	revision int64
	until    time.Time
}

// Run believes the entries of departed targets that the platform still has after
// maxDepartedTime. It returns nil when the context ends.
func (targets *Targets) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, restoredCheckInterval)
		targets.believeRestored()
	}
	return nil
}

// Apply replaces the targets with those of a new state. It ignores entries that
// can't be decoded, so that the use of their targets ends, and holds targets whose entries
// vanished in an outage until maxHoldTime after it.
func (targets *Targets) Apply(state State) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	targets.apply(state)
}

func (targets *Targets) apply(state State) {
	targets.state = state
	next := make(map[string]balance.Target, len(state.Objects))
	unreadable := map[string]Object{}
	for name, object := range state.Objects {
		if object.Unreadable == "" {
			target, err := targets.Decode(name, object.Value)
			if err == nil {
				next[name] = target
				continue
			}
			object.Unreadable = err.Error()
		}
		unreadable[name] = object
	}
	targets.reporter.Kind, targets.reporter.Event, targets.reporter.Events = "targets", eventTargetUnreadable, targets.Events
	targets.reporter.Report(slices.Collect(maps.Values(unreadable)))
	targets.depart(next, state)
	targets.holdVanished(next, unreadable, state)
	dropReplaced(next)
	targets.recordChanges(next, unreadable, state)
	targets.recordDepartures(next, unreadable)
	targets.targets = next
	targets.publish()
}

// recordDepartures remembers the targets that are leaving or gone, and forgets old ones. Those
// whose entries can't be read have not left, and may write them again.
func (targets *Targets) recordDepartures(next map[string]balance.Target, unreadable map[string]Object) {
	now := time.Now()
	if targets.departures == nil {
		targets.departures = map[string]departure{}
	}
	for name, target := range next {
		if target.Leaving {
			targets.departures[name] = departure{startedAt: target.StartedAt, at: now}
		} else {
			delete(targets.departures, name)
		}
	}
	for name, target := range targets.targets {
		_, isUnreadable := unreadable[name]
		if _, ok := next[name]; !ok && !isUnreadable {
			targets.departures[name] = departure{startedAt: target.StartedAt, isGone: true, at: now}
		}
	}
	for name, departure := range targets.departures {
		if now.Sub(departure.at) > departureMemory || len(targets.departures) > maxDepartures {
			delete(targets.departures, name)
		}
	}
}

// depart lets targets be leaving or gone that were so before the platform came back from
// an older copy, until their entries are written again or maxDepartedTime has passed.
func (targets *Targets) depart(next map[string]balance.Target, state State) {
	now := time.Now()
	if state.IsRestored {
		targets.restored = map[string]restoredEntry{}
		for name, target := range next {
			departure, ok := targets.departures[name]
			if ok && departure.startedAt.Equal(target.StartedAt) && now.Sub(departure.at) <= departureMemory {
				entriesDeparted.Inc()
				targets.Events.Record(eventTargetEntry, timeline.Event{
					Target: name, Pool: target.Pool, Detail: "in the copy that the platform came back from, but had left: gets nothing new",
				})
				targets.restored[name] = restoredEntry{departure: departure, revision: state.Objects[name].Revision, until: now.Add(maxDepartedTime)}
			}
		}
	}
	for name, restored := range targets.restored {
		target, ok := next[name]
		if !ok || state.Objects[name].Revision != restored.revision || !now.Before(restored.until) {
			delete(targets.restored, name)
			continue
		}
		if restored.isGone {
			delete(next, name)
			continue
		}
		target.Leaving = true
		next[name] = target
	}
}

// believeRestored applies the last state again once maxDepartedTime has passed for the
// entry of a departed target.
func (targets *Targets) believeRestored() {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	for _, restored := range targets.restored {
		if !time.Now().Before(restored.until) {
			state := targets.state
			state.IsRestored = false
			targets.apply(state)
			return
		}
	}
}

// dropReplaced drops targets whose address another one of their pool has that started later.
// One of another pool may be the entry of another writer, which must not cost a pool its target;
// if it is not, the old target answers that it is misdirected.
func dropReplaced(next map[string]balance.Target) {
	type place struct{ pool, address string }
	latest := map[place]balance.Target{}
	for _, target := range next {
		place := place{target.Pool, target.Address}
		if other, ok := latest[place]; !ok || target.StartedAt.After(other.StartedAt) {
			latest[place] = target
		}
	}
	for name, target := range next {
		if latest[place{target.Pool, target.Address}].StartedAt.After(target.StartedAt) {
			delete(next, name)
		}
	}
}

// holdVanished adds to next the targets that have no entry any more but are still
// to be held after an outage. Targets that were leaving are not held, nor are those whose
// entries can't be read: the outage is not the cause of that.
func (targets *Targets) holdVanished(next map[string]balance.Target, unreadable map[string]Object, state State) {
	now := time.Now()
	for name, target := range targets.targets {
		_, isUnreadable := unreadable[name]
		if _, ok := next[name]; ok || isUnreadable {
			delete(targets.heldUntil, name)
			continue
		}
		until, held := targets.heldUntil[name]
		if !held {
			if target.Leaving || !targets.wasOutage(state) {
				continue
			}
			until = state.OutageAt.Add(maxHoldTime)
		}
		if now.Before(until) {
			if !held {
				entriesHeld.Inc()
				targets.Events.Record(eventTargetEntry, timeline.Event{
					Target: name, Pool: target.Pool, Detail: "missing after an outage, used further", Facts: []timeline.Fact{
						{Key: "cause", Value: state.OutageCause}, timeline.Duration("outageAge", now.Sub(state.OutageAt)),
						timeline.Duration("unread", state.Unread), timeline.Duration("held", until.Sub(now)),
					},
				})
			}
			if targets.heldUntil == nil {
				targets.heldUntil = map[string]time.Time{}
			}
			if !held {
				time.AfterFunc(until.Sub(now), targets.dropExpired)
			}
			targets.heldUntil[name] = until
			next[name] = target
		}
	}
}

// wasOutage reports whether the platform was away before a state for so long that entries may
// have expired.
func (targets *Targets) wasOutage(state State) bool {
	if state.OutageAt.IsZero() {
		return false
	}
	return state.IsRestored || state.Unread >= outageHeartbeats*cmp.Or(targets.Heartbeat, defaultHeartbeat)
}

// dropExpired drops the held targets whose time in heldUntil has passed.
func (targets *Targets) dropExpired() {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	now := time.Now()
	dropped := false
	for name, until := range targets.heldUntil {
		if now.Before(until) {
			continue
		}
		delete(targets.heldUntil, name)
		if _, ok := targets.targets[name]; !ok {
			// Another target has its address.
			continue
		}
		delete(targets.targets, name)
		targets.Events.Record(eventTargetEntry, timeline.Event{Target: name, Detail: "gone, did not return after an outage"})
		dropped = true
	}
	if dropped {
		targets.publish()
	}
}

// recordChanges records an event for each target that is new or gone, changed its
// leaving state, or has a new start time or address.
func (targets *Targets) recordChanges(next map[string]balance.Target, unreadable map[string]Object, state State) {
	for name, target := range next {
		before, found := targets.targets[name]
		switch {
		case !found:
			targets.Events.Record(eventTargetEntry, timeline.Event{Target: name, Pool: target.Pool, Detail: "new at " + target.Address})
		case before.Leaving != target.Leaving:
			targets.Events.Record(eventTargetEntry, timeline.Event{Target: name, Pool: target.Pool, Detail: "leaving"})
		case !before.StartedAt.Equal(target.StartedAt) || before.Address != target.Address:
			targets.Events.Record(eventTargetEntry, timeline.Event{Target: name, Pool: target.Pool, Detail: "started again at " + target.Address})
		}
	}
	for name := range targets.targets {
		if _, ok := next[name]; ok {
			continue
		}
		event := timeline.Event{Target: name, Detail: "gone"}
		if _, ok := unreadable[name]; ok {
			event.Detail = "unreadable: gets nothing new"
		} else if !state.OutageAt.IsZero() {
			event.Facts = []timeline.Fact{{Key: "cause", Value: state.OutageCause}, timeline.Duration("unread", state.Unread)}
		}
		targets.Events.Record(eventTargetEntry, event)
	}
}

// publish calls OnChange with the current targets.
func (targets *Targets) publish() {
	list := make([]balance.Target, 0, len(targets.targets))
	for _, target := range targets.targets {
		list = append(list, target)
	}
	targets.OnChange(list)
}
