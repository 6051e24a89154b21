package once

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/once/oncepb"
	"nutmegfield.example/pause"
)

const (
	// maxGroupSize is the most operations in one write.
	maxGroupSize = 512
	// maxGroupBytes limits the total size of the answers in one write: the
	// operation that reaches the limit is the last of its group.
	maxGroupBytes = 128 << 10
	// maxCommitAttempts limits how often a group is decided and written anew
	// after conflicts with other writers.
	maxCommitAttempts = 16
	// readBackDelay is the delay before the head is read to learn whether a
	// write whose answer was lost took effect.
	readBackDelay = 100 * time.Millisecond
	// groupTimeout limits the processing of one group.
	groupTimeout = 10 * time.Second
	// maxHeadAge is how long after its last read or write the cached head may
	// be used to refuse an action or to look up a record that has not ended.
	maxHeadAge = time.Second
	// A release that fails is retried every releaseRetryDelay, at most
	// maxReleaseRetries times: for an hour, while the platform does not
	// answer.
	releaseRetryDelay = 10 * time.Second
	maxReleaseRetries = 360
)

// KeyRange reads and writes the records of one range of keys. Any host may
// write any range at any time, but each write makes the cached heads of other
// hosts outdated, so a range is cheapest with a single writer. Exported fields
// are set before use.
type KeyRange struct {
	// Name is the name of the head object.
	Name string
	// Read returns an object; it fails with NotFound if there is none.
	Read func(ctx context.Context, name string) (Object, error)
	// Write stores an object if its Version is the stored one, and
	// returns the new version. It fails with Conflict if the version differs,
	// with Lost if the write may have taken effect, and with any other error
	// if it has not.
	Write func(ctx context.Context, object Object) (int64, error)
	// Remove deletes an object that the head no longer lists.
	Remove func(ctx context.Context, name string) error
	// Retention returns how long records are kept.
	Retention func() time.Duration
	// WriteInterval is the least time between two writes. An operation after a
	// longer gap is written at once; operations that arrive meanwhile share a
	// write.
	WriteInterval time.Duration

	mutex    sync.Mutex
	pending  []*operation
	flushing bool

	// The following fields are used only by the goroutine that runs flush.

	// loaded is set while head and entries may be used as a cache of the
	// platform's objects.
	loaded bool
	// confirmedAt is when the cached head last matched the platform's.
	confirmedAt time.Time
	lastWriteAt time.Time
	version     int64
	head        *oncepb.Segment
	entries     map[Key]*oncepb.Entry
	// headIndex maps a key to the index of its entry in the head.
	headIndex map[Key]int
	// obsolete are the segments to remove after the next write of the head.
	obsolete []string
}

// operation is a queued action.
type operation struct {
	ctx    context.Context
	action Action
	key    Key
	record Record
	result Result
	err    error
	done   chan struct{}
	// local is set for an operation of this host, as opposed to one served for
	// another host.
	local bool
	// status changes once: to statusDecided when the result is known, or to
	// statusAbandoned when the context of the waiting caller ends first.
	status atomic.Uint32
	// retries is the number of releases, this one included, that have been
	// enqueued since the claim or release that failed first.
	retries int
}

// The statuses of an operation.
const (
	statusPending uint32 = iota
	statusDecided
	statusAbandoned
)

// Do performs an action and waits until it ends or the context does. An error
// is of type Unavailable. A claim that failed may still have been recorded; it
// is released in the background.
func (keyRange *KeyRange) Do(ctx context.Context, action Action, key Key, record Record) (Result, error) {
	return keyRange.do(ctx, &operation{action: action, key: key, record: record, local: true})
}

// Serve performs an action for another host. Unlike Do, it does not release a
// claim that failed: the other host may write the same claim itself and run the
// request.
func (keyRange *KeyRange) Serve(ctx context.Context, action Action, key Key, record Record) (Result, error) {
	return keyRange.do(ctx, &operation{action: action, key: key, record: record})
}

func (keyRange *KeyRange) do(ctx context.Context, operation *operation) (Result, error) {
	operation.ctx = ctx
	operation.done = make(chan struct{})
	keyRange.enqueue(operation)
	select {
	case <-operation.done:
		return operation.result, operation.err
	case <-ctx.Done():
		if operation.status.CompareAndSwap(statusPending, statusAbandoned) {
			return Result{}, Unavailable.Wrap(ctx.Err(), "wait for the record")
		}
		<-operation.done
		return operation.result, operation.err
	}
}

// enqueue adds an operation to the pending ones and starts flush unless it
// runs already.
func (keyRange *KeyRange) enqueue(operation *operation) {
	keyRange.mutex.Lock()
	defer keyRange.mutex.Unlock()
	keyRange.pending = append(keyRange.pending, operation)
	if !keyRange.flushing {
		keyRange.flushing = true
		go keyRange.flush()
	}
}

// flush writes groups until no operation is pending.
func (keyRange *KeyRange) flush() {
	for !keyRange.stopIfIdle() {
		time.Sleep(time.Until(keyRange.lastWriteAt.Add(keyRange.WriteInterval)))
		keyRange.lastWriteAt = time.Now()
		keyRange.writeGroup(keyRange.nextGroup())
	}
}

// stopIfIdle reports whether no operation is pending, and if so marks flushing
// as ended.
func (keyRange *KeyRange) stopIfIdle() bool {
	keyRange.mutex.Lock()
	defer keyRange.mutex.Unlock()
	keyRange.flushing = len(keyRange.pending) > 0
	return !keyRange.flushing
}

// nextGroup removes the next group from the pending operations.
func (keyRange *KeyRange) nextGroup() []*operation {
	keyRange.mutex.Lock()
	defer keyRange.mutex.Unlock()
	count, bytes := 0, 0
	for count < len(keyRange.pending) && count < maxGroupSize && bytes < maxGroupBytes {
		bytes += len(keyRange.pending[count].record.Answer)
		count++
	}
	group := keyRange.pending[:count:count]
	keyRange.pending = keyRange.pending[count:]
	return group
}

// writeGroup commits a group and reports the results to the waiting callers.
func (keyRange *KeyRange) writeGroup(group []*operation) {
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	err := keyRange.commit(ctx, group)
	for _, operation := range group {
		if err != nil {
			operation.err = Unavailable.Wrap(err, "write the record")
		}
		decided := operation.status.CompareAndSwap(statusPending, statusDecided)
		close(operation.done)
		keyRange.releaseUndelivered(operation, decided && err == nil)
	}
}

// enqueueRelease enqueues the release of a claim that may still arrive, so that
// it is not granted then.
func (keyRange *KeyRange) enqueueRelease(key Key, record Record) {
	keyRange.enqueue(&operation{
		ctx: context.Background(), action: ActionRelease, local: true,
		key: key, record: record, done: make(chan struct{}),
	})
}

// releaseUndelivered releases a claim that may be recorded although its caller
// got an error, and retries a release that failed.
func (keyRange *KeyRange) releaseUndelivered(finished *operation, delivered bool) {
	switch {
	case !finished.local:
		return
	case finished.action == ActionClaim && delivered:
		return
	case finished.action == ActionClaim && finished.err == nil && !finished.result.Granted:
		return
	case finished.action == ActionRelease && finished.err == nil:
		return
	case finished.action != ActionClaim && finished.action != ActionRelease:
		return
	case finished.retries >= maxReleaseRetries:
		return
	}
	release := &operation{
		ctx: context.Background(), action: ActionRelease, local: true, retries: finished.retries + 1,
		key: finished.key, record: finished.record, done: make(chan struct{}),
	}
	if finished.err == nil {
		keyRange.enqueue(release)
		return
	}
	time.AfterFunc(releaseRetryDelay, func() { keyRange.enqueue(release) })
}

// commit decides and writes a group. After a conflict or a lost answer, or if a
// result may be outdated, it reads the head and decides anew.
func (keyRange *KeyRange) commit(ctx context.Context, group []*operation) error {
	for range maxCommitAttempts {
		err := keyRange.load(ctx)
		if Is(err, NotFound) {
			continue
		}
		if err != nil {
			return err
		}
		changed := keyRange.apply(group)
		if !changed && keyRange.needsReload(group) {
			keyRange.loaded = false
			continue
		}
		if !changed {
			return nil
		}
		err = keyRange.writeHead(ctx)
		switch {
		case err == nil:
			return nil
		case Is(err, Conflict):
			keyRange.loaded = false
		case Is(err, Lost):
			keyRange.loaded = false
			if !pause.For(ctx, readBackDelay) {
				return err
			}
		default:
			keyRange.loaded = false
			return err
		}
	}
	return Unavailable.New("range %s: too many write conflicts", keyRange.Name)
}

// needsReload reports whether the result of an operation in the group may be
// outdated: it was refused, or is a lookup, and its record has not ended in the
// cached head, which was confirmed more than maxHeadAge ago. Another host may
// have changed the record since.
func (keyRange *KeyRange) needsReload(group []*operation) bool {
	if time.Since(keyRange.confirmedAt) <= maxHeadAge {
		return false
	}
	for _, operation := range group {
		if !operation.result.Granted && operation.result.Record.State != Ended {
			return true
		}
	}
	return false
}

// apply decides the operations of a group in order, and reports whether the
// head must be written.
func (keyRange *KeyRange) apply(group []*operation) bool {
	now := time.Now()
	retention := keyRange.Retention()
	changed := false
	for _, operation := range group {
		result, entry := decide(operation.action, keyRange.entries[operation.key], operation.key, operation.record, now, retention)
		operation.result = result
		if entry == nil {
			continue
		}
		keyRange.setEntry(operation.key, entry)
		changed = true
	}
	return changed
}

func (keyRange *KeyRange) setEntry(key Key, entry *oncepb.Entry) {
	keyRange.entries[key] = entry
	if i, ok := keyRange.headIndex[key]; ok {
		keyRange.head.Entries[i] = entry
		return
	}
	keyRange.headIndex[key] = len(keyRange.head.Entries)
	keyRange.head.Entries = append(keyRange.head.Entries, entry)
}

// writeHead writes the head, after sealing it if it is full.
func (keyRange *KeyRange) writeHead(ctx context.Context) error {
	value, err := encodeSegment(keyRange.head)
	if err != nil {
		return err
	}
	if len(value) > maxHeadBytes {
		if err := keyRange.seal(ctx); err != nil {
			return fmt.Errorf("seal the head: %w", err)
		}
		if value, err = encodeSegment(keyRange.head); err != nil {
			return err
		}
	}
	version, err := keyRange.Write(ctx, Object{Name: keyRange.Name, Version: keyRange.version, Value: value})
	if err != nil {
		return fmt.Errorf("write the head: %w", err)
	}
	keyRange.version = version
	keyRange.confirmedAt = time.Now()
	keyRange.removeObsolete(ctx)
	return nil
}
