package entry

import (
	"context"
	"sync"
	"time"

	"nutmegfield.example/once"
)

// keyLocks lets one request of an idempotency key at a time go on to its
// record, so that a resend on the same host waits for the answer.
type keyLocks struct {
	mutex sync.Mutex
	held  map[once.Key]chan struct{}
}

// lock waits for the key; false means that the context ended or stop was
// closed first.
func (locks *keyLocks) lock(ctx context.Context, stop <-chan struct{}, key once.Key) bool {
	for {
		ended, taken := locks.take(key)
		if taken {
			return true
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return false
		case <-stop:
			return false
		}
		// Both may have ended at once.
		if over(ctx) {
			return false
		}
	}
}

// over reports whether a context has ended or is to end now.
func over(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() != nil || limited && !time.Now().Before(deadline)
}

// take returns the channel that is closed when the present holder ends, or
// true when the key is now the caller's.
func (locks *keyLocks) take(key once.Key) (<-chan struct{}, bool) {
	locks.mutex.Lock()
	defer locks.mutex.Unlock()
	if ended, ok := locks.held[key]; ok {
		return ended, false
	}
	if locks.held == nil {
		locks.held = map[once.Key]chan struct{}{}
	}
	locks.held[key] = make(chan struct{})
	return nil, true
}

func (locks *keyLocks) unlock(key once.Key) {
	locks.mutex.Lock()
	defer locks.mutex.Unlock()
	close(locks.held[key])
	delete(locks.held, key)
}
