package once

import (
	"context"
	"encoding/binary"
	"strconv"
	"time"
)

// RangeCount is the number of key ranges. It must not change while records are
// kept, since a key must always map to the same range.
const RangeCount = 8

// WriteInterval is the KeyRange.WriteInterval that hosts use.
const WriteInterval = 50 * time.Millisecond

// RangeName returns the name of a range's head object.
func RangeName(index int) string { return strconv.Itoa(index) }

// Store performs actions on the records of all key ranges. Fields are set
// before use.
type Store struct {
	// Ranges holds the ranges by index.
	Ranges []*KeyRange
	// Forward forwards an action to the host that owns the range with the
	// given index; if nil, all actions are performed locally.
	Forward func(ctx context.Context, index int, action Action, key Key, record Record) (Result, RemoteStatus)
}

// RemoteStatus is the status of a forwarded action.
type RemoteStatus uint8

// The statuses of a forwarded action.
const (
	// NotForwarded: the action was not forwarded, for example because this
	// host owns the range.
	NotForwarded RemoteStatus = iota
	// NoAnswer: the owner did not answer and may perform the action now or
	// later.
	NoAnswer
	// Answered: the owner performed the action.
	Answered
)

// Claim claims the key for a request. The request may run only if the result
// is granted and the error, of type Unavailable, is nil.
func (store *Store) Claim(ctx context.Context, key Key, record Record) (Result, error) {
	return store.do(ctx, ActionClaim, key, record)
}

// End marks a request as ended and stores its answer.
func (store *Store) End(ctx context.Context, key Key, record Record) error {
	_, err := store.do(ctx, ActionEnd, key, record)
	return err
}

// Release releases the claim of a request that did not run.
func (store *Store) Release(ctx context.Context, key Key, record Record) error {
	_, err := store.do(ctx, ActionRelease, key, record)
	return err
}

// Lookup returns the record of a key; its state is 0 if there is none. The
// record may be outdated.
func (store *Store) Lookup(ctx context.Context, key Key) (Record, error) {
	result, err := store.do(ctx, ActionLookup, key, Record{})
	return result.Record, err
}

// Serve performs an action for another host.
func (store *Store) Serve(ctx context.Context, action Action, key Key, record Record) (Result, error) {
	return store.Ranges[store.rangeIndex(key)].Serve(ctx, action, key, record)
}

func (store *Store) do(ctx context.Context, action Action, key Key, record Record) (Result, error) {
	rangeIndex := store.rangeIndex(key)
	status := NotForwarded
	if store.Forward != nil {
		var result Result
		result, status = store.Forward(ctx, rangeIndex, action, key, record)
		if status == Answered {
			return result, nil
		}
	}
	result, err := store.Ranges[rangeIndex].Do(ctx, action, key, record)
	if status == NoAnswer && action == ActionClaim && !result.Granted {
		// The owner may still perform the claim, and grant it if the key has
		// been released by then. The release prevents that.
		store.Ranges[rangeIndex].enqueueRelease(key, record)
	}
	return result, err
}

func (store *Store) rangeIndex(key Key) int {
	return int(binary.BigEndian.Uint32(key[:4]) % uint32(len(store.Ranges)))
}
