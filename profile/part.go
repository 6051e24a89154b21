package profile

import (
	"context"
	"time"

	"nutmegfield.example/kernel"
	"nutmegfield.example/platform"
	"nutmegfield.example/timeline"
)

const (
	// ObjectKind is the kind of the configuration in the platform.
	ObjectKind = "configuration"
	// ObjectName is its name.
	ObjectName = "current"

	// watchWait is how long one watch waits for a change.
	watchWait = 30 * time.Second
	// watchRetry is the pause after a watch that failed.
	watchRetry = 500 * time.Millisecond
)

var eventUnreadable = timeline.Define(timeline.Kind{
	Number: 8003, Name: "configuration unreadable", Level: timeline.Error,
	Meaning: "The platform holds a configuration that this program can't read; the one in force stays.",
	Action:  "apply a configuration that passes nutmegfield check",
})

func init() {
	kernel.Register(kernel.Plugin{Name: "configuration", Rank: kernel.RankConfiguration, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	client, err := kernel.Need[platform.Client](host)
	if err != nil {
		return nil, err
	}
	store := &Store{Events: host.Events}
	kernel.Provide(host, store)
	follower := &Follower{Client: client, Store: store, Events: host.Events}
	return &kernel.Part{Run: follower.Run}, nil
}

// Follower keeps a store equal to the platform's object. Fields are set
// before Run.
type Follower struct {
	Client *platform.Client
	Store  *Store
	Events *timeline.Recorder
}

// Run watches until the context ends.
func (follower *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !follower.watch(ctx) {
			pause(ctx, watchRetry)
		}
	}
	return nil
}

func (follower *Follower) watch(ctx context.Context) bool {
	var after int64
	if current := follower.Store.Current(); current != nil {
		after = current.Version
	}
	object, changed, err := follower.Client.Watch(ctx, ObjectKind, ObjectName, after, watchWait)
	if err != nil {
		return false
	}
	if !changed {
		return true
	}
	configuration, err := Decode(ObjectKind+"/"+ObjectName, object.Value)
	if err != nil {
		detail := versionText(object.Version) + ": " + err.Error()
		follower.Events.Record(eventUnreadable, timeline.Event{Detail: detail})
		return false
	}
	follower.Store.Offer(NewSnapshot(object.Version, *configuration))
	return true
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
