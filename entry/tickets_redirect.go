package entry

import (
	"slices"
	"time"

	"nutmegfield.example/request"
)

// redirect sends a ticket that a scheduler refused for lack of a target, and the
// other tickets that wait there, to the scheduler of the next zone. Each leaves the
// old queue before it enters the new one. It returns false if the refusal is final.
func (tickets *Tickets) redirect(from string, refusal *request.Refusal) bool {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	ticketEntry := tickets.entries[refusal.Ticket]
	if ticketEntry == nil || ticketEntry.ticket.Round != refusal.Round || ticketEntry.ticket.HeldGrant != nil || tickets.MarkUnserved == nil {
		return false
	}
	if ticketEntry.sentTo != from {
		// The ticket already waits at another scheduler.
		return true
	}
	newlyMarked := tickets.MarkUnserved(refusal.Pool, from)
	next := tickets.Scheduler(refusal.Pool)
	if next == "" || next == from || slices.Contains(ticketEntry.refusedBy, next) {
		return false
	}
	ticketEntry.refusedBy = append(ticketEntry.refusedBy, from)
	// The refusal removed the ticket from that queue, so it needs no cancel.
	ticketEntry.sentTo = ""
	tickets.sendWithInitialInterval(ticketEntry)
	if newlyMarked {
		tickets.redirectAll(from, refusal.Pool)
	}
	return true
}

// redirectAll sends the tickets of a pool that wait at a scheduler to the next one.
func (tickets *Tickets) redirectAll(from, pool string) {
	for _, ticketEntry := range tickets.entries {
		if ticketEntry.sentTo == from && ticketEntry.ticket.Pool == pool && ticketEntry.ticket.HeldGrant == nil {
			tickets.sendWithInitialInterval(ticketEntry)
		}
	}
}

// sendWithInitialInterval sends a ticket and restarts its resend interval.
func (tickets *Tickets) sendWithInitialInterval(ticketEntry *ticketEntry) {
	ticketEntry.resendInterval = initialResendInterval
	ticketEntry.resendAt = time.Now().Add(initialResendInterval)
	tickets.send(ticketEntry)
}
