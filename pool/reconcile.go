package pool

import (
	"time"

	"nutmegfield.example/request"
)

// reconcileAge is how old a grant must be before its absence from its entry
// host's list frees its slot: the grant or the list may still be on its way.
const reconcileAge = 2 * grantLifetime

// Reconcile frees the slots of grants that their entry host no longer holds,
// whose release was lost.
func (pool *Pool) Reconcile(entry string, numbers []uint64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	listed := make(map[uint64]struct{}, len(numbers))
	for _, number := range numbers {
		listed[number] = struct{}{}
	}
	now := time.Now()
	for _, held := range pool.held {
		if held.ticket.Entry != entry || now.Sub(held.at) < reconcileAge {
			continue
		}
		if _, ok := listed[held.grant.Number]; !ok {
			pool.free(held)
		}
	}
	pool.schedule(now)
}

// Resend passes the grants again that an entry host may not have got.
func (pool *Pool) Resend(entry string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, held := range pool.held {
		if held.ticket.Entry == entry && !held.used {
			pool.Granted(entry, held.grant)
		}
	}
}

// Held returns the grants that an entry host holds, for one that is gone.
func (pool *Pool) Held(entry string) []request.Grant {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var grants []request.Grant
	for _, held := range pool.held {
		if held.ticket.Entry == entry {
			grants = append(grants, held.grant)
		}
	}
	return grants
}

// Forget drops the waiting tickets of an entry host that is gone. Its grants
// stay until each is freed by Release.
func (pool *Pool) Forget(entry string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for id, item := range pool.queue.items {
		if item.ticket.Entry == entry {
			pool.queue.remove(id)
		}
	}
}
