// Package discovery keeps a host's copy of the platform's objects up to date.
// Followers watch the platform, list all objects periodically for changes that the
// watch missed, and apply what other hosts read, so that a host stays up to date
// while the platform does not answer it.
package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"nutmegfield.example/errorkind"
	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

// Errors of this package, as returned by a Source.
var (
	Errors = errorx.NewNamespace("discovery")
	// Gone means that the platform no longer keeps the changes after the
	// requested revision.
	Gone = Errors.NewType("gone")
	// Unavailable means that the platform did not answer or answered with an error.
	Unavailable = Errors.NewType("unavailable")
	// CutOff means that a watch was sent and ended without a complete answer: its connection
	// was closed, or silent for too long. The platform may do so at any time.
	CutOff = Errors.NewType("cutOff")
)

// Is reports whether an error, or one that it wraps, is of one of the types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }

const (
	// watchWait is how long one watch request waits for a change.
	watchWait = 25 * time.Second
	// ReadTimeout is the timeout of a request for one page of a list. The platform answers
	// within milliseconds, a slow one within half a second.
	ReadTimeout = time.Second
	// maxReadTime limits a list of all pages. Most lists have one page; a thousand pages of
	// one large object each need some seconds, and over a link of 10 Mbit/s two minutes.
	maxReadTime = 2 * time.Minute
	// A list that took longer than longRead is not repeated for pollPause times as long, so
	// that it leaves most of a narrow link and of a slow processor to other work, or for
	// gonePause times as long if changes are not known without it.
	longRead  = 2 * ReadTimeout
	pollPause = 4
	gonePause = 1
	// minBackoff and maxBackoff bound the pause, before jitter, after a failed watch.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// Fractions of Within: pollFraction is the average time between two list requests,
	// over all hosts, if they don't take turns or after a failure, when no host pauses for
	// longer than maxFailedFraction on average; verifyFraction is the
	// age of the last verification, by whichever host, at which the first host lists the
	// objects, and turnFraction what each next one waits for more.
	pollFraction      = 0.25
	maxFailedFraction = 2
	verifyFraction    = 0.3
	turnFraction      = 0.15
	// maxAgeFraction is the age up to which Refresh relies on the last verification.
	maxAgeFraction = 0.5
	// defaultWithin is used where Within is not set.
	defaultWithin = 2 * time.Second
	// startCheckInterval is how often a host that starts looks for what others told it.
	startCheckInterval = 20 * time.Millisecond
	// watchGrace is how long a watch may take to tell of a change that is known already. A slow
	// platform answers within half a second.
	watchGrace = 500 * time.Millisecond
	// roleCheckInterval is the time between two checks of a host that does not
	// watch whether it has to.
	roleCheckInterval = 500 * time.Millisecond
)

// watchesCutOff counts watches that ended without an answer, watchesSilent those that did not
// tell of a change.
var (
	watchesCutOff = metrics.GetOrCreateCounter("nutmegfield_platform_watches_cut_total")
	watchesSilent = metrics.GetOrCreateCounter("nutmegfield_platform_watches_silent_total")
)

// Events of this package.
var (
	eventPlatformLost = timeline.Define(timeline.Kind{
		Number: 8101, Name: "platform lost", Level: timeline.Warn,
		Meaning: "The platform does not answer this host's reads; the last known state stays in force.",
	})
	eventPlatformBack = timeline.Define(timeline.Kind{
		Number: 8102, Name: "platform back", Level: timeline.Info,
		Meaning: "The platform answers this host's reads again.",
	})
	eventWatchCutOff = timeline.Define(timeline.Kind{
		Number: 8114, Name: "watch cut off", Level: timeline.Info,
		Meaning: "A watch of the platform that had waited for the fact waitedMs ended without an answer; its connection was closed or silent. It goes on from the last revision, at once or, if that is cut off too, after a short pause, and the platform is not taken for lost. The event comes again only after an answer to a watch of the kind in the detail.",
	})
	eventWatchSilent = timeline.Define(timeline.Kind{
		Number: 8115, Name: "watch silent", Level: timeline.Info,
		Meaning: "A list or another host told of a change that the watch of the kind in the detail should have told of, and it said nothing for half a second more: its connection is held to be silent. It was ended after the fact waitedMs, and goes on over a new connection; known is by how many revisions it was behind.",
	})
)

// Object is one object of the platform. Its value is not decoded.
type Object struct {
	Name string
	// Revision is the one at which the object was last written. Revisions are results
	// of NewRevision.
	Revision int64
	Value    []byte
	// Status is what became of what the value asks for, for kinds that have it.
	Status []byte
	// Unreadable is the reason why the object can't be read, empty if it can. Its value is
	// not kept then.
	Unreadable string
	// IsUndated is set if the object's own revision can't be read. Revision is then that of
	// the answer with the object.
	IsUndated bool
}

// Listing holds all objects of a kind at a revision of the platform.
type Listing struct {
	Objects  []Object
	Revision int64
	// LeftOut is the number of objects that are not in the listing, as there are too many.
	LeftOut int
}

// Change is one write of an object or, if Removed is set, its removal.
type Change struct {
	Object  Object
	Removed bool
}

// Changes holds changes to the objects of a kind, up to a revision of the platform.
type Changes struct {
	Changes  []Change
	Revision int64
}

// Source reads the objects of one kind. Its functions return errors of type Gone,
// Unavailable or, for a watch, CutOff.
type Source struct {
	List func(ctx context.Context) (Listing, error)
	// Watch waits for changes after a revision. If there are none for the
	// duration of wait it returns no changes and no error.
	Watch func(ctx context.Context, after int64, wait time.Duration) (Changes, error)
}

// State holds the objects that a follower knows. It is immutable.
type State struct {
	// Objects maps names to objects.
	Objects map[string]Object
	// Revision is the platform's revision up to which the state is complete.
	Revision int64
	// ChangedRevision is the revision at which the objects last changed.
	ChangedRevision int64
	// OutageAt is the time of this host's last failed request to the platform if
	// one failed between the platform's previous answer and the one that led to
	// this state. It is zero otherwise, and in a state from another host.
	OutageAt time.Time
	// OutageCause says what failed then. Unread is for how long no host had read the objects.
	OutageCause string
	Unread      time.Duration
	// IsRestored is set in the first state of an era: the platform came back from an
	// older copy, from which the objects may be.
	IsRestored bool
}

// Outage holds this host's last failed request to the platform. All followers of a
// platform share one.
type Outage struct {
	mutex sync.Mutex
	last  failure
}

// failure is a failed request to the platform.
type failure struct {
	at    time.Time
	cause string
	// unread is the time from the last verification, or this host's start, to the answer after it.
	unread time.Duration
}

func (outage *Outage) recordFailure(cause string) {
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	outage.last = failure{at: time.Now(), cause: cause}
}

// lastAfter returns the last failed request, the zero value if none failed after the
// given time.
func (outage *Outage) lastAfter(after time.Time) failure {
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	if !outage.last.at.After(after) {
		return failure{}
	}
	return outage.last
}

// Follower keeps a host's copy of the objects of one kind up to date. Its fields
// must be set before Run.
type Follower struct {
	// Kind names the kind of objects in the details of events.
	Kind   string
	Source Source
	Events *timeline.Recorder
	Outage *Outage
	// Eras are those of the platform. Nil stands for one era.
	Eras *Eras
	// Hosts returns the number of hosts that list the objects periodically.
	Hosts func() int
	// Within is the time within which a change must be in force on all hosts.
	Within time.Duration
	// Patience is how much longer the host waits for a verification before it lists the
	// objects, as those of another follower verify them too.
	Patience time.Duration
	// Turn returns the number of hosts before this one that list the objects if the last
	// verification is old. Nil means that all do so at random.
	Turn func() int
	// StartDelay is how long a host that starts waits for another one's state before it
	// asks the platform itself.
	StartDelay time.Duration
	// OnRead is called after each listing, with its revision. It may be nil.
	OnRead func(revision int64, verification Verification)
	// ShouldWatch reports whether this host has to watch the platform. One that
	// does not receives changes from the hosts that do.
	ShouldWatch func() bool
	// OnChange is called with each new state, one at a time. It must not call
	// the follower, whose mutex is held.
	OnChange func(State)

	mutex sync.Mutex
	state State
	// answeredAt is when the platform last answered this host.
	answeredAt time.Time
	// verified is the last read that found the state to be the platform's newest.
	verified   Verification
	heardReads heardReads
	startedAt  time.Time
	// platformLost is set from the first failed request until the next answer.
	platformLost bool
	// pendingRead is the list request in progress, nil for none.
	pendingRead *sharedRead
	// readEndedAt is when the last list ended that took long, and readTime what it took.
	readEndedAt time.Time
	readTime    time.Duration
	// isCrowded is set while objects are left out.
	isCrowded bool
	// isCut is set from the first watch that was cut off until the next answer to one, and
	// isCutEarly if the last one had hardly waited. Only watch uses them.
	isCut, isCutEarly bool
	// pendingWatch is the watch that waits, nil for none.
	pendingWatch *pendingWatch
}

// pendingWatch is a watch that waits for changes after a revision.
type pendingWatch struct {
	after  int64
	cancel context.CancelCauseFunc
}

// errSilent ends a watch that did not tell of a change.
var errSilent = errors.New("the watch did not tell of a change")

// sharedRead is a list request in progress, whose callers wait for done.
type sharedRead struct {
	begunAt time.Time
	done    chan struct{}
	err     error
}

// Run watches the platform and lists its objects until the context ends. It
// returns nil.
func (follower *Follower) Run(ctx context.Context) error {
	follower.mutex.Lock()
	follower.startedAt = time.Now()
	follower.mutex.Unlock()
	for follower.State().Revision == 0 && time.Since(follower.startedAt) < follower.StartDelay && ctx.Err() == nil {
		pause.For(ctx, startCheckInterval)
	}
	var group sync.WaitGroup
	group.Go(func() { follower.watch(ctx) })
	group.Go(func() { follower.poll(ctx) })
	group.Wait()
	return nil
}

// watch sends one watch request after the other while this host has to watch.
func (follower *Follower) watch(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if follower.State().Revision > 0 && !follower.ShouldWatch() {
			pause.For(ctx, pause.Jitter(roleCheckInterval))
			continue
		}
		if err := follower.watchOnce(ctx); err != nil {
			pause.For(ctx, pause.Jitter(backoff))
			backoff = min(maxBackoff, 2*backoff)
			continue
		}
		backoff = minBackoff
	}
}

// watchOnce sends one watch request and applies the changes. It reads the complete
// state instead if there is none yet or if the platform no longer keeps the changes
// after its revision.
func (follower *Follower) watchOnce(ctx context.Context) error {
	revision := follower.State().Revision
	if revision == 0 {
		return follower.Refresh(ctx)
	}
	watchContext, cancel := context.WithTimeout(ctx, watchWait+ReadTimeout)
	defer cancel()
	calledAt := time.Now()
	changes, err := follower.watchAfter(watchContext, revision)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, errSilent) {
		watchesSilent.Inc()
		follower.Events.Record(eventWatchSilent, timeline.Event{
			Detail: follower.Kind, Facts: []timeline.Fact{timeline.Duration("waited", time.Since(calledAt)), timeline.Count("known", follower.State().Revision-revision)},
		})
		return nil
	}
	if Is(err, CutOff) {
		return follower.resume(time.Since(calledAt), err)
	}
	follower.isCutEarly = false
	if Is(err, Gone) {
		follower.awaitRead(ctx, gonePause)
		return follower.read(ctx)
	}
	if err != nil {
		follower.recordFailure(err)
		return err
	}
	follower.isCut = false
	follower.applyChanges(changes, follower.recordAnswer())
	return nil
}

// watchAfter sends a watch. It returns errSilent if a change became known otherwise and the watch
// did not tell of it within watchGrace.
func (follower *Follower) watchAfter(ctx context.Context, revision int64) (Changes, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := &pendingWatch{after: revision, cancel: cancel}
	follower.setPendingWatch(watch)
	defer follower.setPendingWatch(nil)
	changes, err := follower.Source.Watch(ctx, revision, watchWait)
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		return Changes{}, errSilent
	}
	return changes, err
}

func (follower *Follower) setPendingWatch(watch *pendingWatch) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.pendingWatch = watch
}

// expectWatch ends the watch that waits if it does not tell within watchGrace of the change that
// led to the state: its connection is silent then. The caller holds the mutex.
func (follower *Follower) expectWatch() {
	watch := follower.pendingWatch
	if watch == nil || watch.after >= follower.state.Revision {
		return
	}
	time.AfterFunc(watchGrace, func() { watch.cancel(errSilent) })
}

// resume returns nil if a watch that was cut off is to go on at once, as it had waited and was the
// first one since the last answer. That it was cut off says nothing about the platform: if it is
// away, the next call fails otherwise. Only the second watch in a row that is cut off before it has
// waited is a failed request.
func (follower *Follower) resume(waited time.Duration, err error) error {
	watchesCutOff.Inc()
	wasCutEarly := follower.isCutEarly
	follower.isCutEarly = waited < minBackoff
	switch {
	case follower.isCutEarly && wasCutEarly:
		follower.recordFailure(err)
		return err
	case follower.isCutEarly || follower.isCut:
		return err
	}
	follower.isCut = true
	follower.Events.Record(eventWatchCutOff, timeline.Event{
		Detail: truncate(follower.Kind + ": " + err.Error()), Facts: []timeline.Fact{timeline.Duration("waited", waited)},
	})
	return nil
}

// poll lists the objects when no host has done so for a while. All hosts together list them
// about as often as one would alone.
func (follower *Follower) poll(ctx context.Context) {
	for ctx.Err() == nil {
		everyHost := follower.fraction(pollFraction) * time.Duration(max(1, follower.Hosts()))
		if follower.Turn == nil {
			pause.For(ctx, pause.Jitter(everyHost))
		} else {
			pause.For(ctx, time.Until(follower.nextPoll()))
		}
		if ctx.Err() != nil {
			return
		}
		if follower.Turn != nil && time.Now().Before(follower.nextPoll()) {
			continue
		}
		follower.awaitRead(ctx, pollPause)
		// read records a failure itself.
		if follower.read(ctx) != nil && follower.Turn != nil {
			pause.For(ctx, pause.Jitter(min(everyHost, follower.fraction(maxFailedFraction))))
		}
	}
}

// nextPoll returns when it is this host's turn to list the objects, unless they are verified
// before.
func (follower *Follower) nextPoll() time.Time {
	verifiedAt := follower.VerifiedAt()
	if verifiedAt.Before(follower.startedAt) {
		verifiedAt = follower.startedAt
	}
	return verifiedAt.Add(follower.fraction(verifyFraction) + follower.Patience + follower.fraction(turnFraction)*time.Duration(follower.Turn()))
}

// fraction returns a fraction of Within.
func (follower *Follower) fraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(cmp.Or(follower.Within, defaultWithin)))
}

// ReadUnlessAt marks the state as verified by a read of other objects if it is complete up to
// the revision that the platform had then, and lists the objects if not, unless the last list
// took long.
func (follower *Follower) ReadUnlessAt(ctx context.Context, revision int64, verification Verification) error {
	if state := follower.State(); state.Revision >= revision {
		follower.MarkVerified(verification)
		return nil
	}
	if follower.untilRead(pollPause) > 0 {
		return nil
	}
	return follower.read(ctx)
}

// Refresh reads the state unless it was verified within half of the time in which a change
// must be in force. It returns the read's error.
func (follower *Follower) Refresh(ctx context.Context) error {
	if time.Since(follower.VerifiedAt()) < follower.fraction(maxAgeFraction) {
		return nil
	}
	return follower.read(ctx)
}

// VerifiedAt returns the last time at which the state is known, from a read of this
// or another host, to have been the platform's newest. It is zero before the first
// read.
func (follower *Follower) VerifiedAt() time.Time { return follower.Verified().At }

// Verified returns the read of VerifiedAt.
func (follower *Follower) Verified() Verification {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.verified
}

// MarkVerified records that a read found the state to be the platform's newest. It
// ignores a read before the one recorded, and one that it was told of before.
func (follower *Follower) MarkVerified(verification Verification) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.heardReads.add(verification.ID) && verification.At.After(follower.verified.At) {
		follower.verified = verification
	}
}

// ReadSince lists the objects with a request that begins after a time, unless the last list took
// long.
func (follower *Follower) ReadSince(ctx context.Context, since time.Time) error {
	for {
		if follower.untilRead(pollPause) > 0 {
			return Unavailable.New("the last list took long")
		}
		shared := follower.beginRead(ctx)
		if shared.begunAt.Before(since) {
			// It may have found an older state.
			_ = shared.wait(ctx)
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("wait for a list in progress: %w", err)
			}
			continue
		}
		return shared.wait(ctx)
	}
}

// read lists all objects and applies the listing. Concurrent calls share one
// request.
func (follower *Follower) read(ctx context.Context) error { return follower.beginRead(ctx).wait(ctx) }

// beginRead begins to list all objects, or returns the read in progress.
func (follower *Follower) beginRead(ctx context.Context) *sharedRead {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	shared := follower.pendingRead
	if shared == nil {
		shared = &sharedRead{begunAt: time.Now(), done: make(chan struct{})}
		follower.pendingRead = shared
		go follower.readOnce(context.WithoutCancel(ctx), shared)
	}
	return shared
}

// wait waits for the end of the read and returns its error.
func (sharedRead *sharedRead) wait(ctx context.Context) error {
	select {
	case <-sharedRead.done:
		return sharedRead.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// untilRead returns the time until a list that took long may be repeated, after a multiple of
// what it took.
func (follower *Follower) untilRead(factor int) time.Duration {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return time.Until(follower.readEndedAt.Add(time.Duration(factor) * follower.readTime))
}

// awaitRead waits for that time.
func (follower *Follower) awaitRead(ctx context.Context, factor int) {
	if remaining := follower.untilRead(factor); remaining > 0 {
		pause.For(ctx, remaining)
	}
}

// readOnce lists all objects, applies the listing and completes the shared read.
func (follower *Follower) readOnce(ctx context.Context, shared *sharedRead) {
	ctx, cancel := context.WithTimeout(ctx, maxReadTime)
	defer cancel()
	verification := NewVerification()
	listing, err := follower.Source.List(ctx)
	shared.err = err
	if err != nil {
		follower.recordFailure(err)
	} else {
		follower.replace(listing, follower.recordAnswer())
		follower.MarkVerified(verification)
		if follower.OnRead != nil {
			follower.OnRead(listing.Revision, verification)
		}
	}
	follower.mutex.Lock()
	follower.pendingRead = nil
	if elapsed := time.Since(verification.At); elapsed > longRead {
		follower.readEndedAt, follower.readTime = time.Now(), elapsed
	}
	follower.mutex.Unlock()
	close(shared.done)
}

// State returns the current state, with revision 0 before the first read.
func (follower *Follower) State() State {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.state
}

// ApplyDelta applies a delta from another host: a listing of only the objects that
// changed after a revision, and the names of all objects that exist. It returns
// false and changes nothing if the state is not at that revision or the listing is
// older. Objects of the copy that the platform came back from have revisions of its era,
// so that they count as changed.
func (follower *Follower) ApplyDelta(after int64, listing Listing, names []string) bool {
	follower.learnEra(listing.Revision)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.state.Revision != after || listing.Revision < after {
		return false
	}
	objects := make(map[string]Object, len(names))
	for _, name := range names {
		if current, ok := follower.state.Objects[name]; ok {
			objects[name] = current
		}
	}
	for _, object := range listing.Objects {
		objects[object.Name] = object
	}
	follower.setObjects(objects, listing.Revision, failure{})
	return true
}

// Replace replaces the state with a complete listing that another host read,
// unless the listing is older.
func (follower *Follower) Replace(listing Listing) {
	follower.learnEra(listing.Revision)
	follower.replace(listing, failure{})
}

// learnEra records the era of a revision from another host.
func (follower *Follower) learnEra(revision int64) {
	if follower.Eras != nil {
		follower.Eras.Learn(revision)
	}
}

// replace replaces the state with a listing, unless the listing is older. The failed
// request becomes State.OutageAt if the objects differ.
func (follower *Follower) replace(listing Listing, outage failure) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if listing.Revision < follower.state.Revision {
		return
	}
	objects := make(map[string]Object, len(listing.Objects))
	for _, object := range listing.Objects {
		objects[object.Name] = follower.keepRevision(object)
	}
	leftOut := listing.LeftOut + follower.setObjects(objects, listing.Revision, outage)
	if leftOut > 0 && !follower.isCrowded {
		follower.Events.Record(eventLeftOut, timeline.Event{
			Detail: follower.Kind, Facts: []timeline.Fact{timeline.Count("leftOut", leftOut)},
		})
	}
	follower.isCrowded = leftOut > 0
}

// keepRevision returns an object of a listing. The revision of a listing is no reason to take
// an undated object as changed: it gets the one that it has in the state, if that is of the
// same era. The caller holds the mutex.
func (follower *Follower) keepRevision(object Object) Object {
	current, ok := follower.state.Objects[object.Name]
	if !ok || !object.IsUndated || current.Unreadable != object.Unreadable {
		return object
	}
	era, _ := SplitRevision(object.Revision)
	if before, _ := SplitRevision(current.Revision); before == era {
		object.Revision = current.Revision
	}
	return object
}

// applyChanges applies the answer of a watch if it is newer than the state.
func (follower *Follower) applyChanges(changes Changes, outage failure) {
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
		// Changes are in the order of their revisions. The revision of an undated object is
		// that of the answer, so that other hosts are told of it, and may be higher than that
		// of a later change.
		if current, ok := objects[change.Object.Name]; !ok || current.IsUndated || current.Revision < change.Object.Revision {
			objects[change.Object.Name] = change.Object
		}
	}
	follower.setObjects(objects, changes.Revision, outage)
}

// setObjects sets the state's objects and revision, and calls OnChange if the
// objects differ from the previous ones. In a new era they do, as their revisions are of
// that era. It returns the number of objects that are left out. The caller holds the mutex.
func (follower *Follower) setObjects(objects map[string]Object, revision int64, outage failure) (leftOut int) {
	era, _ := SplitRevision(revision)
	before, _ := SplitRevision(follower.state.Revision)
	isRestored := follower.state.Revision > 0 && era > before
	objects, leftOut = trim(objects)
	if isRestored {
		outage = failure{at: time.Now(), cause: "the platform came back from an older copy"}
	}
	same := follower.state.Revision > 0 && maps.EqualFunc(follower.state.Objects, objects, func(one, other Object) bool {
		return one.Revision == other.Revision && (one.Unreadable == "") == (other.Unreadable == "")
	})
	same = same && !isRestored
	follower.state.Revision = revision
	if same {
		return leftOut
	}
	follower.state.Objects = objects
	follower.state.ChangedRevision = revision
	follower.state.OutageAt, follower.state.OutageCause, follower.state.Unread = outage.at, outage.cause, outage.unread
	follower.state.IsRestored = isRestored
	if leftOut == 0 {
		follower.expectWatch()
	}
	follower.OnChange(follower.state)
	return leftOut
}

// recordAnswer records that the platform answered. It returns the last failed request
// since the previous answer, the zero value if none failed.
func (follower *Follower) recordAnswer() failure {
	follower.mutex.Lock()
	outage := follower.Outage.lastAfter(follower.answeredAt)
	follower.answeredAt = time.Now()
	unreadSince := follower.verified.At
	if unreadSince.Before(follower.startedAt) {
		unreadSince = follower.startedAt
	}
	if !unreadSince.IsZero() {
		outage.unread = follower.answeredAt.Sub(unreadSince)
	}
	recovered := follower.platformLost
	follower.platformLost = false
	follower.mutex.Unlock()
	if recovered {
		follower.Events.Record(eventPlatformBack, timeline.Event{Detail: follower.Kind})
	}
	return outage
}

// recordFailure records a failed request, and an event if it is the first since
// the last answer.
func (follower *Follower) recordFailure(err error) {
	cause := follower.Kind + ": " + err.Error()
	follower.Outage.recordFailure(truncate(cause))
	follower.mutex.Lock()
	first := !follower.platformLost
	follower.platformLost = true
	follower.mutex.Unlock()
	if first {
		follower.Events.Record(eventPlatformLost, timeline.Event{Detail: cause})
	}
}
