package discovery

import (
	"context"
	"sync"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

const (
	// maxReturnTime is how long after an outage of the platform the entries of
	// live targets may be missing. The platform states about two seconds.
	maxReturnTime = 2200 * time.Millisecond
	// heldCheckInterval is how often held targets are checked for expiry.
	heldCheckInterval = 250 * time.Millisecond
)

var (
	eventTargetEntry = timeline.Define(timeline.Kind{
		Number: 8103, Name: "target entry", Level: timeline.Info,
		Meaning: "The platform's entry of a target was added, changed or removed; the detail says which.",
	})
	eventTargetUnreadable = timeline.Define(timeline.Kind{
		Number: 8104, Name: "target entry unreadable", Level: timeline.Warn,
		Meaning: "An entry among the targets can't be decoded as a target; it is ignored.",
	})
)

// Targets decodes the platform's entries and holds the targets that they describe.
// Fields are set before Apply.
type Targets struct {
	// Decode decodes the value of the entry with a name.
	Decode func(name string, value []byte) (balance.Target, error)
	Events *timeline.Recorder
	// OnChange is called with each new list of targets.
	OnChange func([]balance.Target)

	mutex   sync.Mutex
	targets map[string]balance.Target
	// heldUntil holds, for each target whose entry vanished after an outage, the
	// time until which it is kept.
	heldUntil map[string]time.Time
	// unreadableRevisions holds the last revision of each entry that could not
	// be decoded, to record its event once.
	unreadableRevisions map[string]int64
}

// Run drops held targets whose entries did not return in time. It returns nil when
// the context ends.
func (targets *Targets) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, heldCheckInterval)
		targets.dropExpired()
	}
	return nil
}

// Apply replaces the targets with those of a new state. Entries that can't be
// decoded are ignored; targets that vanished in an outage are held for a while.
func (targets *Targets) Apply(state State) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	next := make(map[string]balance.Target, len(state.Objects))
	for name, object := range state.Objects {
		target, err := targets.Decode(name, object.Value)
		if err != nil {
			targets.recordUnreadable(object, err)
			continue
		}
		next[name] = target
	}
	targets.holdVanished(next, state.OutageAt)
	targets.recordChanges(next)
	targets.targets = next
	targets.publish()
}

// holdVanished adds to next the targets whose entries vanished after an outage,
// until maxReturnTime after it. Targets that were leaving are not held.
func (targets *Targets) holdVanished(next map[string]balance.Target, outageAt time.Time) {
	now := time.Now()
	for name, target := range targets.targets {
		if _, ok := next[name]; ok {
			delete(targets.heldUntil, name)
			continue
		}
		until, held := targets.heldUntil[name]
		if !held {
			if target.Leaving || outageAt.IsZero() {
				continue
			}
			until = outageAt.Add(maxReturnTime)
		}
		if now.Before(until) {
			if targets.heldUntil == nil {
				targets.heldUntil = map[string]time.Time{}
			}
			targets.heldUntil[name] = until
			next[name] = target
		}
	}
}

// dropExpired drops the held targets whose time to return is over.
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
		delete(targets.targets, name)
		targets.Events.Record(eventTargetEntry, timeline.Event{Target: name, Detail: "gone, did not return after an outage"})
		dropped = true
	}
	if dropped {
		targets.publish()
	}
}

// recordChanges records an event for each target that is new, leaving, restarted
// or gone.
func (targets *Targets) recordChanges(next map[string]balance.Target) {
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
		if _, ok := next[name]; !ok {
			targets.Events.Record(eventTargetEntry, timeline.Event{Target: name, Detail: "gone"})
		}
	}
}

// recordUnreadable records an event for an entry that can't be decoded, once for
// each of its revisions.
func (targets *Targets) recordUnreadable(object Object, err error) {
	if targets.unreadableRevisions[object.Name] == object.Revision {
		return
	}
	if targets.unreadableRevisions == nil {
		targets.unreadableRevisions = map[string]int64{}
	}
	targets.unreadableRevisions[object.Name] = object.Revision
	targets.Events.Record(eventTargetUnreadable, timeline.Event{Target: object.Name, Detail: err.Error()})
}

// publish calls OnChange with the current targets.
func (targets *Targets) publish() {
	list := make([]balance.Target, 0, len(targets.targets))
	for _, target := range targets.targets {
		list = append(list, target)
	}
	targets.OnChange(list)
}
