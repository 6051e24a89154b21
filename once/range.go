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
	// groupMost is the most changes in one write.
	groupMost = 512
	// groupBytes bounds the answers in one write.
	groupBytes = 128 << 10
	// conflictTries bounds how often a group is written again after other
	// writers' changes.
	conflictTries = 16
	// readBackPause is the pause before a lost answer is read back again.
	readBackPause = 100 * time.Millisecond
	// writeTimeout bounds the work on one group.
	writeTimeout = 10 * time.Second
	// confirmedFor is how long a head that was read or written may serve to
	// refuse a claim without another look.
	confirmedFor = time.Second
	// returnPause and returnTries bound how a return is tried again while the
	// platform does not answer.
	returnPause = 10 * time.Second
	returnTries = 360
)

// KeyRange writes the records of one range of keys. Any host may write any
// range at any time; one that writes alone saves reads. Fields are set before
// use.
type KeyRange struct {
	// Name is the name of the head object.
	Name string
	// Read returns an object; it fails with Missing.
	Read func(ctx context.Context, name string) (Object, error)
	// Write puts an object on condition of its version and returns the new
	// one; it fails with Conflict, with Lost when the write may have taken
	// effect, and with any other error when it has not.
	Write func(ctx context.Context, object Object) (int64, error)
	// Remove deletes an object that no head names any more.
	Remove func(ctx context.Context, name string) error
	// Retention is how long records are kept.
	Retention func() time.Duration
	// WriteInterval is the least time between two groups: a change that comes alone
	// is written at once, many that come together share a write.
	WriteInterval time.Duration

	mutex   sync.Mutex
	pending []*change
	busy    bool

	// What follows belongs to the one flushing goroutine.
	loaded bool
	// confirmed is when the head was last seen to be the platform's.
	confirmed time.Time
	written   time.Time
	version   int64
	head      *oncepb.Segment
	present   map[Key]*oncepb.Entry
	// inHead is where a key's entry stands in the head.
	inHead map[Key]int
	doomed []string
}

// change is one action on its way.
type change struct {
	ctx    context.Context
	action Action
	key    Key
	record Record
	claim  Claim
	err    error
	done   chan struct{}
	// own is set when this host's caller hears the result.
	own bool
	// fate is decided once: by the result, or by an asker who gave up.
	fate atomic.Uint32
	// tries is how often a return was tried.
	tries int
}

// The fates of a change.
const (
	fateOpen uint32 = iota
	fateDecided
	fateAbandoned
)

// Do asks for an action and waits for its end or the context's. An error is
// of type Unavailable: nothing was got, though a claim may yet be recorded;
// it is then returned by and by.
func (records *KeyRange) Do(ctx context.Context, action Action, key Key, record Record) (Claim, error) {
	return records.do(ctx, &change{action: action, key: key, record: record, own: true})
}

// Serve is Do for another host. A claim that fails here is not returned: that
// host may get it by itself and run.
func (records *KeyRange) Serve(ctx context.Context, action Action, key Key, record Record) (Claim, error) {
	return records.do(ctx, &change{action: action, key: key, record: record})
}

func (records *KeyRange) do(ctx context.Context, asked *change) (Claim, error) {
	asked.ctx = ctx
	asked.done = make(chan struct{})
	records.enqueue(asked)
	select {
	case <-asked.done:
		return asked.claim, asked.err
	case <-ctx.Done():
		if asked.fate.CompareAndSwap(fateOpen, fateAbandoned) {
			return Claim{}, Unavailable.Wrap(ctx.Err(), "wait for the record")
		}
		<-asked.done
		return asked.claim, asked.err
	}
}

func (records *KeyRange) enqueue(asked *change) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	records.pending = append(records.pending, asked)
	if !records.busy {
		records.busy = true
		go records.flush()
	}
}

// flush writes groups until none is pending.
func (records *KeyRange) flush() {
	for !records.idle() {
		time.Sleep(time.Until(records.written.Add(records.WriteInterval)))
		records.written = time.Now()
		records.write(records.take())
	}
}

// idle ends the flushing when nothing is pending.
func (records *KeyRange) idle() bool {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	records.busy = len(records.pending) > 0
	return !records.busy
}

func (records *KeyRange) take() []*change {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	count, bytes := 0, 0
	for count < len(records.pending) && count < groupMost && bytes < groupBytes {
		bytes += len(records.pending[count].record.Answer)
		count++
	}
	group := records.pending[:count:count]
	records.pending = records.pending[count:]
	return group
}

// write decides and writes one group.
func (records *KeyRange) write(group []*change) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	err := records.commit(ctx, group)
	for _, asked := range group {
		if err != nil {
			asked.err = Unavailable.Wrap(err, "write the record")
		}
		decided := asked.fate.CompareAndSwap(fateOpen, fateDecided)
		close(asked.done)
		records.takeBack(asked, decided && err == nil)
	}
}

// refuse sees to it that a claim which may still be on its way is not granted.
func (records *KeyRange) refuse(key Key, record Record) {
	records.enqueue(&change{
		ctx: context.Background(), action: ActionReturn, own: true,
		key: key, record: record, done: make(chan struct{}),
	})
}

// takeBack returns a claim that may stand in the platform although its asker
// was told that it does not, and tries a failed return again later.
func (records *KeyRange) takeBack(asked *change, heard bool) {
	switch {
	case !asked.own:
		return
	case asked.action == ActionClaim && heard:
		return
	case asked.action == ActionClaim && asked.err == nil && !asked.claim.Granted:
		return
	case asked.action == ActionReturn && asked.err == nil:
		return
	case asked.action != ActionClaim && asked.action != ActionReturn:
		return
	case asked.tries >= returnTries:
		return
	}
	returned := &change{
		ctx: context.Background(), action: ActionReturn, own: true, tries: asked.tries + 1,
		key: asked.key, record: asked.record, done: make(chan struct{}),
	}
	if asked.err == nil {
		records.enqueue(returned)
		return
	}
	time.AfterFunc(returnPause, func() { records.enqueue(returned) })
}

func (records *KeyRange) commit(ctx context.Context, group []*change) error {
	for range conflictTries {
		err := records.load(ctx)
		if Is(err, NotFound) {
			continue
		}
		if err != nil {
			return err
		}
		changed := records.apply(group)
		if !changed && records.stale(group) {
			records.loaded = false
			continue
		}
		if !changed {
			return nil
		}
		err = records.store(ctx)
		switch {
		case err == nil:
			return nil
		case Is(err, Conflict):
			records.loaded = false
		case Is(err, Lost):
			records.loaded = false
			if !pause.For(ctx, readBackPause) {
				return err
			}
		default:
			records.loaded = false
			return err
		}
	}
	return Unavailable.New("%s: too many writers", records.Name)
}

// stale reports whether a change of the group was decided by another request's
// unfinished record that was last seen too long ago: it may have been returned
// by another host since.
func (records *KeyRange) stale(group []*change) bool {
	if time.Since(records.confirmed) <= confirmedFor {
		return false
	}
	for _, asked := range group {
		if !asked.claim.Granted && asked.claim.Record.State != Ended {
			return true
		}
	}
	return false
}

// apply decides every change of a group in order and reports whether there is
// anything to write.
func (records *KeyRange) apply(group []*change) bool {
	now := time.Now()
	retention := records.Retention()
	changed := false
	for _, asked := range group {
		claim, entry := decide(asked.action, records.present[asked.key], asked.key, asked.record, now, retention)
		asked.claim = claim
		if entry == nil {
			continue
		}
		records.put(asked.key, entry)
		changed = true
	}
	return changed
}

func (records *KeyRange) put(key Key, entry *oncepb.Entry) {
	records.present[key] = entry
	if i, ok := records.inHead[key]; ok {
		records.head.Entries[i] = entry
		return
	}
	records.inHead[key] = len(records.head.Entries)
	records.head.Entries = append(records.head.Entries, entry)
}

// store writes the head, sealing it off first when it is full.
func (records *KeyRange) store(ctx context.Context) error {
	value, err := encode(records.head)
	if err != nil {
		return err
	}
	if len(value) > sealBytes {
		if err := records.seal(ctx); err != nil {
			return fmt.Errorf("seal the head: %w", err)
		}
		if value, err = encode(records.head); err != nil {
			return err
		}
	}
	version, err := records.Write(ctx, Object{Name: records.Name, Version: records.version, Value: value})
	if err != nil {
		return fmt.Errorf("write the head: %w", err)
	}
	records.version = version
	records.confirmed = time.Now()
	records.removeDoomed(ctx)
	return nil
}
