// Package discovery keeps a host at the newest state of the platform's
// objects: by a watch, by plain reads for what a watch did not tell, and from
// other hosts while the platform does not serve this one.
package discovery

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/errorkind"
	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

// Errors of this package; a source returns them.
var (
	Errors = errorx.NewNamespace("discovery")
	// Gone: the history that a watch asked for is not kept any more.
	Gone = Errors.NewType("gone")
	// Unavailable: the platform did not answer, or refused.
	Unavailable = Errors.NewType("unavailable")
)

// Is reports whether an error, however wrapped with %w, is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }

const (
	// watchWait is how long one watch waits for a change.
	watchWait = 25 * time.Second
	// readTimeout bounds a plain read. The platform answers in milliseconds;
	// a slow one in up to half a second.
	readTimeout = time.Second
	// retryFirst and retryMost bound the pause after a call that failed.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// pollInterval is the time between two plain reads by all hosts taken
	// together: a part of the time in which a change must be in force.
	pollInterval = 500 * time.Millisecond
	// roleInterval is the time between two looks at whether to watch.
	roleInterval = 500 * time.Millisecond
	// freshly is how long ago the state may have been seen to be the newest
	// for nothing to be read again: half of the time in which a change must
	// be in force where that is shortest.
	freshly = time.Second
)

// Events of this package.
var (
	eventLost = timeline.Define(timeline.Kind{
		Number: 8101, Name: "platform lost", Level: timeline.Warn,
		Meaning: "The platform does not answer this host's reads; what was known stays in force.",
	})
	eventBack = timeline.Define(timeline.Kind{
		Number: 8102, Name: "platform back", Level: timeline.Info,
		Meaning: "The platform answers this host's reads again.",
	})
)

// Object is one object of the platform, as it was read.
type Object struct {
	Name     string
	Revision int64
	Value    []byte
}

// Listing is all objects of a kind at a revision.
type Listing struct {
	Objects  []Object
	Revision int64
}

// Change is one change of an object.
type Change struct {
	Object  Object
	Removed bool
}

// Changes are the changes up to a revision.
type Changes struct {
	Changes  []Change
	Revision int64
}

// Source reads the objects of one kind. Errors are those of this package.
type Source struct {
	List  func(ctx context.Context) (Listing, error)
	Watch func(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}

// State is what a follower knows. It is never changed once made.
type State struct {
	Objects map[string]Object
	// Revision is the revision up to which the state is whole.
	Revision int64
	// ChangedRevision is the revision of the last difference seen.
	ChangedRevision int64
	// Outage is when the platform last failed to answer this host, where that
	// was between the state before and this one.
	Outage time.Time
}

// Outage is when the platform last failed to answer this host, whatever it
// was asked. Followers of the same platform share one.
type Outage struct {
	mutex sync.Mutex
	last  time.Time
}

func (outage *Outage) note() {
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	outage.last = time.Now()
}

// since returns when the last failure was if it came after a time, and zero
// otherwise.
func (outage *Outage) since(then time.Time) time.Time {
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	if !outage.last.After(then) {
		return time.Time{}
	}
	return outage.last
}

// Follower keeps the objects of one kind. Fields are set before Run.
type Follower struct {
	// Kind names the objects in events.
	Kind   string
	Source Source
	Events *timeline.Recorder
	Outage *Outage
	// Hosts returns how many hosts share the plain reads.
	Hosts func() int
	// ShouldWatch reports whether this host holds a watch; one that does not hears
	// of changes from those that do.
	ShouldWatch func() bool
	// OnChange gets each new state, one at a time.
	OnChange func(State)

	mutex     sync.Mutex
	state     State
	confirmed time.Time
	verified  time.Time
	lost      bool
	reading   *reading
}

// reading is a plain read that is under way.
type reading struct {
	done chan struct{}
	err  error
}

// Run follows the platform until the context ends.
func (follower *Follower) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { follower.watch(ctx) })
	group.Go(func() { follower.poll(ctx) })
	group.Wait()
	return nil
}

func (follower *Follower) watch(ctx context.Context) {
	retry := retryFirst
	for ctx.Err() == nil {
		if follower.State().Revision > 0 && !follower.ShouldWatch() {
			pause.For(ctx, pause.Jitter(roleInterval))
			continue
		}
		if err := follower.watchOnce(ctx); err != nil {
			pause.For(ctx, pause.Jitter(retry))
			retry = min(retryMost, 2*retry)
			continue
		}
		retry = retryFirst
	}
}

func (follower *Follower) watchOnce(ctx context.Context) error {
	at := follower.State().Revision
	if at == 0 {
		return follower.Refresh(ctx)
	}
	waiting, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
	defer cancel()
	changes, err := follower.Source.Watch(waiting, at, watchWait)
	if Is(err, Gone) {
		return follower.read(ctx)
	}
	if err != nil {
		follower.trouble(err)
		return err
	}
	follower.change(changes, follower.confirm())
	return nil
}

// poll reads now and then, in turn with the other hosts.
func (follower *Follower) poll(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, pause.Jitter(pollInterval*time.Duration(max(1, follower.Hosts()))))
		if ctx.Err() != nil {
			return
		}
		// A failure is told by an event; the next read comes in time.
		_ = follower.read(ctx)
	}
}

// Refresh makes sure that the state was the newest a moment ago, by a plain
// read if need be.
func (follower *Follower) Refresh(ctx context.Context) error {
	if time.Since(follower.VerifiedAt()) < freshly {
		return nil
	}
	return follower.read(ctx)
}

// VerifiedAt is when the platform was last seen, by any host, to hold no newer
// state.
func (follower *Follower) VerifiedAt() time.Time {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.verified
}

// MarkVerified takes another host's word for the state at a revision.
func (follower *Follower) MarkVerified(at time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if at.After(follower.verified) {
		follower.verified = at
	}
}

// read lists all objects; calls at the same time share one read.
func (follower *Follower) read(ctx context.Context) error {
	follower.mutex.Lock()
	shared := follower.reading
	if shared == nil {
		shared = &reading{done: make(chan struct{})}
		follower.reading = shared
		go follower.readOnce(context.WithoutCancel(ctx), shared)
	}
	follower.mutex.Unlock()
	select {
	case <-shared.done:
		return shared.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (follower *Follower) readOnce(ctx context.Context, shared *reading) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := time.Now()
	listing, err := follower.Source.List(ctx)
	shared.err = err
	if err != nil {
		follower.trouble(err)
	} else {
		follower.replace(listing, follower.confirm())
		follower.MarkVerified(begun)
	}
	follower.mutex.Lock()
	follower.reading = nil
	follower.mutex.Unlock()
	close(shared.done)
}

// State returns what is known now.
func (follower *Follower) State() State {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.state
}

// ApplyDelta puts what another host read in force: the objects that changed since
// this host's state, and the names of all. It reports whether the state was the
// one that the other host built on.
func (follower *Follower) ApplyDelta(after int64, listing Listing, names []string) bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.state.Revision != after || listing.Revision < after {
		return false
	}
	objects := make(map[string]Object, len(names))
	for _, name := range names {
		if known, ok := follower.state.Objects[name]; ok {
			objects[name] = known
		}
	}
	for _, object := range listing.Objects {
		objects[object.Name] = object
	}
	follower.put(objects, listing.Revision, time.Time{})
	return true
}

// Replace puts a whole state that another host read in force, unless a later
// one is.
func (follower *Follower) Replace(listing Listing) { follower.replace(listing, time.Time{}) }

func (follower *Follower) replace(listing Listing, outage time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if listing.Revision < follower.state.Revision {
		return
	}
	objects := make(map[string]Object, len(listing.Objects))
	for _, object := range listing.Objects {
		objects[object.Name] = object
	}
	follower.put(objects, listing.Revision, outage)
}

// change applies what a watch told.
func (follower *Follower) change(changes Changes, outage time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if changes.Revision <= follower.state.Revision {
		return
	}
	objects := maps.Clone(follower.state.Objects)
	for _, change := range changes.Changes {
		if change.Removed {
			delete(objects, change.Object.Name)
			continue
		}
		if known, ok := objects[change.Object.Name]; !ok || known.Revision < change.Object.Revision {
			objects[change.Object.Name] = change.Object
		}
	}
	follower.put(objects, changes.Revision, outage)
}

func (follower *Follower) put(objects map[string]Object, at int64, outage time.Time) {
	same := follower.state.Revision > 0 && maps.EqualFunc(follower.state.Objects, objects, func(one, other Object) bool {
		return one.Revision == other.Revision
	})
	follower.state.Revision = at
	if same {
		return
	}
	follower.state.Objects = objects
	follower.state.ChangedRevision = at
	follower.state.Outage = outage
	follower.OnChange(follower.state)
}

// confirm notes an answer and returns when the last failure since the answer
// before was.
func (follower *Follower) confirm() time.Time {
	follower.mutex.Lock()
	outage := follower.Outage.since(follower.confirmed)
	follower.confirmed = time.Now()
	back := follower.lost
	follower.lost = false
	follower.mutex.Unlock()
	if back {
		follower.Events.Record(eventBack, timeline.Event{Detail: follower.Kind})
	}
	return outage
}

func (follower *Follower) trouble(err error) {
	follower.Outage.note()
	follower.mutex.Lock()
	first := !follower.lost
	follower.lost = true
	follower.mutex.Unlock()
	if first {
		follower.Events.Record(eventLost, timeline.Event{Detail: follower.Kind + ": " + err.Error()})
	}
}
