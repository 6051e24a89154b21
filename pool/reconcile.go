package pool

import (
	"cmp"
	"slices"
	"time"

	"nutmegfield.example/request"
)

// reconcileAge is the least age of a grant that Reconcile frees: the grant or the
// entry host's list may still be on its way.
const reconcileAge = 2 * grantLifetime

// adopt takes over a grant that an earlier scheduler issued. It replaces a grant
// of this scheduler for the same ticket, which the entry host doesn't have.
func (pool *Pool) adopt(ticket *request.Ticket, now time.Time) {
	if held := pool.held[ticket.ID]; held != nil {
		if held.matches(ticket.HeldGrant.Number, ticket.HeldGrant.Scheduler) {
			held.confirmed = true
			return
		}
		pool.free(held, now)
	}
	pool.queue.remove(ticket.ID)
	target := pool.byName[ticket.HeldGrant.Target]
	if target == nil {
		target = newTarget(Target{Name: ticket.HeldGrant.Target})
		target.removed = true
		pool.byName[target.Name] = target
	}
	target.running++
	pool.held[ticket.ID] = &holding{ticket: ticket, grant: *ticket.HeldGrant, target: target, grantedAt: now, confirmed: true}
	pool.refresh(target, now)
}

// Reconcile frees the slots of grants that their entry host no longer lists,
// because the release was lost.
func (pool *Pool) Reconcile(entry string, numbers []uint64) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	listed := make(map[uint64]struct{}, len(numbers))
	for _, number := range numbers {
		listed[number] = struct{}{}
	}
	now := time.Now()
	for _, held := range pool.held {
		if held.ticket.Entry != entry || now.Sub(held.grantedAt) < reconcileAge {
			continue
		}
		if _, ok := listed[held.grant.Number]; !ok {
			pool.free(held, now)
		}
	}
	pool.schedule(now)
}

// ResendGrants sends the grants again that an entry host has not confirmed.
func (pool *Pool) ResendGrants(entry string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, held := range pool.heldBy(entry) {
		if !held.confirmed {
			pool.SendGrant(entry, held.grant)
		}
	}
}

// GrantsOf returns the grants of an entry host that is gone, ordered by number.
func (pool *Pool) GrantsOf(entry string) []request.Grant {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var grants []request.Grant
	for _, held := range pool.heldBy(entry) {
		grants = append(grants, held.grant)
	}
	return grants
}

func (pool *Pool) heldBy(entry string) []*holding {
	var found []*holding
	for _, held := range pool.held {
		if held.ticket.Entry == entry {
			found = append(found, held)
		}
	}
	slices.SortFunc(found, func(one, other *holding) int { return cmp.Compare(one.grant.Number, other.grant.Number) })
	return found
}

// DropWaiting drops the waiting tickets of an entry host that is gone. Its grants
// stay until each is released.
func (pool *Pool) DropWaiting(entry string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for id, item := range pool.queue.items {
		if item.ticket.Entry == entry {
			pool.queue.remove(id)
		}
	}
}
