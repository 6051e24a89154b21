package entry

import (
	"context"
	"sync"
	"time"

	"nutmegfield.example/once"
)

// keyLocks holds one lock for each idempotency key, so that on one host only one
// request per key reads or writes the key's record at a time.
type keyLocks struct {
	mutex sync.Mutex
	// locked holds the keys that are locked and a channel closed on unlock.
	locked map[once.Key]chan struct{}
}

// lock locks a key. It returns false if the context ended or stop was closed first.
func (keyLocks *keyLocks) lock(ctx context.Context, stop <-chan struct{}, key once.Key) bool {
	for {
		unlocked, ok := keyLocks.tryLock(key)
		if ok {
			return true
		}
		select {
		case <-unlocked:
		case <-ctx.Done():
			return false
		case <-stop:
			return false
		}
		// The key may have been unlocked at the moment the context ended.
		if expired(ctx) {
			return false
		}
	}
}

// expired reports whether a context has ended or its deadline has passed. A context
// may end some time after its deadline.
func expired(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() != nil || limited && !time.Now().Before(deadline)
}

// tryLock locks the key and returns true, or returns the channel that is closed
// when the current holder unlocks it.
func (keyLocks *keyLocks) tryLock(key once.Key) (<-chan struct{}, bool) {
	keyLocks.mutex.Lock()
	defer keyLocks.mutex.Unlock()
	if unlocked, ok := keyLocks.locked[key]; ok {
		return unlocked, false
	}
	if keyLocks.locked == nil {
		keyLocks.locked = map[once.Key]chan struct{}{}
	}
	keyLocks.locked[key] = make(chan struct{})
	return nil, true
}

// unlock unlocks a key that is locked.
func (keyLocks *keyLocks) unlock(key once.Key) {
	keyLocks.mutex.Lock()
	defer keyLocks.mutex.Unlock()
	close(keyLocks.locked[key])
	delete(keyLocks.locked, key)
}
