package pool

import (
	"cmp"
	"slices"
	"time"

	"nutmegfield.example/request"
)

// reconcileAge is the least age of a grant that Reconcile frees: a younger one
// may not have reached the entry host when it sent its list.
const reconcileAge = 2 * grantLifetime

// adoptGrant takes over a grant that an earlier scheduler issued. It replaces a
// grant of this scheduler for the same ticket, which the entry host doesn't
// have.
func (pool *Pool) adoptGrant(ticket *request.Ticket, now time.Time) {
	if holding := pool.holdings[ticket.ID]; holding != nil {
		if holding.matches(ticket.HeldGrant.Number, ticket.HeldGrant.Scheduler) {
			holding.confirmed = true
			return
		}
		pool.freeSlot(holding, now)
	}
	pool.queue.remove(ticket.ID)
	target := pool.byName[ticket.HeldGrant.Target]
	if target == nil {
		target = newTarget(Target{Name: ticket.HeldGrant.Target})
		target.removed = true
		pool.byName[target.Name] = target
	}
	target.running++
	pool.holdings[ticket.ID] = &holding{ticket: ticket, grant: *ticket.HeldGrant, target: target, grantedAt: now, confirmed: true}
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
	for _, holding := range pool.holdings {
		if holding.ticket.Entry != entry || now.Sub(holding.grantedAt) < reconcileAge {
			continue
		}
		if _, ok := listed[holding.grant.Number]; !ok {
			pool.freeSlot(holding, now)
		}
	}
	pool.schedule(now)
}

// ResendGrants sends the grants again that an entry host has not confirmed.
func (pool *Pool) ResendGrants(entry string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, holding := range pool.holdingsOf(entry) {
		if !holding.confirmed {
			pool.SendGrant(entry, holding.grant)
		}
	}
}

// GrantsOf returns the grants that an entry host holds, ordered by number.
func (pool *Pool) GrantsOf(entry string) []request.Grant {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var grants []request.Grant
	for _, holding := range pool.holdingsOf(entry) {
		grants = append(grants, holding.grant)
	}
	return grants
}

func (pool *Pool) holdingsOf(entry string) []*holding {
	var found []*holding
	for _, holding := range pool.holdings {
		if holding.ticket.Entry == entry {
			found = append(found, holding)
		}
	}
	slices.SortFunc(found, func(one, other *holding) int { return cmp.Compare(one.grant.Number, other.grant.Number) })
	return found
}

// DropWaiting drops the waiting tickets of an entry host that is dead or sends
// them to another scheduler. Its grants stay until each is released.
func (pool *Pool) DropWaiting(entry string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for id, item := range pool.queue.items {
		if item.ticket.Entry == entry {
			pool.queue.remove(id)
		}
	}
}
