package once

import (
	"context"
	"encoding/binary"
	"strconv"
	"time"
)

// RangeCount is the number of ranges of keys. It must never change while records
// are kept: a key must always fall to the same range.
const RangeCount = 8

// GroupWindow is the least time between two writes of a range that the hosts
// use.
const GroupWindow = 50 * time.Millisecond

// RangeName returns the name of a range's head object.
func RangeName(index int) string { return strconv.Itoa(index) }

// Store is all ranges together. Fields are set before use.
type Store struct {
	// Ranges has one entry a range.
	Ranges []*KeyRange
	// Forward asks the host that keeps a range to do the action; nil for
	// never.
	Forward func(ctx context.Context, index int, action Action, key Key, record Record) (Claim, RemoteResult)
}

// RemoteResult says how far an action on another host came.
type RemoteResult uint8

// The results of asking another host.
const (
	// NotAsked: this host keeps the range, nobody was asked.
	NotAsked RemoteResult = iota
	// NoAnswer: the keeper was asked and may do the action, now or later.
	NoAnswer
	// Answered: the keeper did the action.
	Answered
)

// Claim asks for the right to run. On an error, of type Unavailable, the
// request must not run.
func (store *Store) Claim(ctx context.Context, key Key, record Record) (Claim, error) {
	return store.do(ctx, ActionClaim, key, record)
}

// End keeps the answer of a request that ran.
func (store *Store) End(ctx context.Context, key Key, record Record) error {
	_, err := store.do(ctx, ActionEnd, key, record)
	return err
}

// Release gives the right of a request that certainly did not run back.
func (store *Store) Release(ctx context.Context, key Key, record Record) error {
	_, err := store.do(ctx, ActionReturn, key, record)
	return err
}

// Lookup returns the present record of a key; its state is 0 if there is none.
// It may lag behind.
func (store *Store) Lookup(ctx context.Context, key Key) (Record, error) {
	claim, err := store.do(ctx, ActionLook, key, Record{})
	return claim.Record, err
}

// Serve does an action for another host.
func (store *Store) Serve(ctx context.Context, action Action, key Key, record Record) (Claim, error) {
	return store.Ranges[store.index(key)].Serve(ctx, action, key, record)
}

func (store *Store) do(ctx context.Context, action Action, key Key, record Record) (Claim, error) {
	index := store.index(key)
	remote := NotAsked
	if store.Forward != nil {
		var claim Claim
		claim, remote = store.Forward(ctx, index, action, key, record)
		if remote == Answered {
			return claim, nil
		}
	}
	claim, err := store.Ranges[index].Do(ctx, action, key, record)
	if remote == NoAnswer && action == ActionClaim && !claim.Granted {
		// The keeper may still act on the claim when the key is free again.
		store.Ranges[index].refuse(key, record)
	}
	return claim, err
}

func (store *Store) index(key Key) int {
	return int(binary.BigEndian.Uint32(key[:4]) % uint32(len(store.Ranges)))
}
