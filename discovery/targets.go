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
	// returnTime is how long after an outage of the platform the entries of
	// live targets may be missing: the platform says about two seconds.
	returnTime = 2200 * time.Millisecond
	// holdLook is the time between two looks at the entries that are held.
	holdLook = 250 * time.Millisecond
)

var (
	eventTarget = timeline.Define(timeline.Kind{
		Number: 8103, Name: "target entry", Level: timeline.Info,
		Meaning: "The platform's entry of a target came, changed or went; the detail says which.",
	})
	eventForeign = timeline.Define(timeline.Kind{
		Number: 8104, Name: "target entry unreadable", Level: timeline.Warn,
		Meaning: "An entry among the targets can't be read and names no target; it is passed over.",
	})
)

// Targets keeps the targets that the platform's entries name. Fields are set
// before Apply.
type Targets struct {
	// Decode reads an entry.
	Decode func(name string, value []byte) (balance.Target, error)
	Events *timeline.Recorder
	// OnChange gets each new list.
	OnChange func([]balance.Target)

	mutex   sync.Mutex
	targets map[string]balance.Target
	// held are the targets whose entries vanished after an outage, with the
	// end of their time to return.
	held map[string]time.Time
	bad  map[string]int64
}

// Run drops held targets whose entries did not return until the context ends.
func (targets *Targets) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, holdLook)
		targets.dropHeld()
	}
	return nil
}

// Apply takes a new state of the entries.
func (targets *Targets) Apply(state State) {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	next := make(map[string]balance.Target, len(state.Objects))
	for name, object := range state.Objects {
		target, err := targets.Decode(name, object.Value)
		if err != nil {
			targets.unreadable(object, err)
			continue
		}
		next[name] = target
	}
	targets.hold(next, state.Outage)
	targets.tell(next)
	targets.targets = next
	targets.set()
}

// hold keeps targets whose entries vanished around an outage.
func (targets *Targets) hold(next map[string]balance.Target, outage time.Time) {
	now := time.Now()
	for name, target := range targets.targets {
		if _, ok := next[name]; ok {
			delete(targets.held, name)
			continue
		}
		until, held := targets.held[name]
		if !held {
			if target.Leaving || outage.IsZero() {
				continue
			}
			until = outage.Add(returnTime)
		}
		if now.Before(until) {
			if targets.held == nil {
				targets.held = map[string]time.Time{}
			}
			targets.held[name] = until
			next[name] = target
		}
	}
}

func (targets *Targets) dropHeld() {
	targets.mutex.Lock()
	defer targets.mutex.Unlock()
	now := time.Now()
	dropped := false
	for name, until := range targets.held {
		if now.Before(until) {
			continue
		}
		delete(targets.held, name)
		delete(targets.targets, name)
		targets.Events.Record(eventTarget, timeline.Event{Target: name, Detail: "gone, did not return after an outage"})
		dropped = true
	}
	if dropped {
		targets.set()
	}
}

// tell records what changed.
func (targets *Targets) tell(next map[string]balance.Target) {
	for name, target := range next {
		before, known := targets.targets[name]
		switch {
		case !known:
			targets.Events.Record(eventTarget, timeline.Event{Target: name, Pool: target.Pool, Detail: "new at " + target.Address})
		case before.Leaving != target.Leaving:
			targets.Events.Record(eventTarget, timeline.Event{Target: name, Pool: target.Pool, Detail: "leaving"})
		case !before.StartedAt.Equal(target.StartedAt) || before.Address != target.Address:
			targets.Events.Record(eventTarget, timeline.Event{Target: name, Pool: target.Pool, Detail: "started again at " + target.Address})
		}
	}
	for name := range targets.targets {
		if _, ok := next[name]; !ok {
			targets.Events.Record(eventTarget, timeline.Event{Target: name, Detail: "gone"})
		}
	}
}

func (targets *Targets) unreadable(object Object, err error) {
	if targets.bad[object.Name] == object.Revision {
		return
	}
	if targets.bad == nil {
		targets.bad = map[string]int64{}
	}
	targets.bad[object.Name] = object.Revision
	targets.Events.Record(eventForeign, timeline.Event{Target: object.Name, Detail: err.Error()})
}

func (targets *Targets) set() {
	list := make([]balance.Target, 0, len(targets.targets))
	for _, target := range targets.targets {
		list = append(list, target)
	}
	targets.OnChange(list)
}
