package entry

import (
	"slices"
	"time"

	"nutmegfield.example/request"
)

// moveOn sends a ticket that a scheduler has no target for to the next
// zone's, at once, and with it what else waits there: each leaves the one queue
// before it enters the other. It returns false when the refusal is the last
// word.
func (tickets *Tickets) moveOn(from string, refusal *request.Refusal) bool {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	entry := tickets.entries[refusal.Ticket]
	if entry == nil || entry.ticket.Round != refusal.Round || entry.ticket.HeldGrant != nil || tickets.Unserved == nil {
		return false
	}
	if entry.sentTo != from {
		// It waits at another one by now.
		return true
	}
	news := tickets.Unserved(refusal.Pool, from)
	next := tickets.Scheduler(refusal.Pool)
	if next == "" || next == from || slices.Contains(entry.refusedBy, next) {
		return false
	}
	entry.refusedBy = append(entry.refusedBy, from)
	// It has left that queue.
	entry.sentTo = ""
	tickets.sendAnew(entry)
	if news {
		tickets.moveAll(from, refusal.Pool)
	}
	return true
}

// moveAll moves the tickets of a pool that still wait at a scheduler.
func (tickets *Tickets) moveAll(from, pool string) {
	for _, entry := range tickets.entries {
		if entry.sentTo == from && entry.ticket.Pool == pool && entry.ticket.HeldGrant == nil {
			tickets.sendAnew(entry)
		}
	}
}

// sendAnew sends a ticket as if it began to wait now.
func (tickets *Tickets) sendAnew(entry *ticketEntry) {
	entry.resend = resendFirst
	entry.due = time.Now().Add(resendFirst)
	tickets.send(entry)
}
