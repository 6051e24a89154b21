package entry

import (
	"context"
	"sync"
	"time"

	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/request"
)

const (
	// initialResendInterval is the first interval at which a waiting ticket is
	// sent again, in case it or its grant was lost; it doubles up to
	// maxResendInterval.
	initialResendInterval = time.Second
	maxResendInterval     = 8 * time.Second
)

// Decision is a scheduler's answer to a ticket; exactly one field is set.
type Decision struct {
	Grant   *request.Grant
	Refusal *request.Refusal
}

// Tickets sends the tickets of this host's requests to the schedulers and passes
// their decisions on. Fields are set before Run.
type Tickets struct {
	// Scheduler returns the id of the host that schedules a pool for this host,
	// empty if there is none.
	Scheduler func(pool string) string
	// MarkUnserved marks a pool as unserved in the zone of a scheduler's host
	// and reports whether it was not marked yet. If nil, a refusal for lack of
	// a target is final.
	MarkUnserved func(pool, host string) bool
	// Send sends an envelope to a host.
	Send func(host string, envelope *peerpb.Envelope)

	mutex   sync.Mutex
	entries map[request.ID]*ticketEntry
	// lastActive is when a scheduler was last sent a ticket of a pool, or when
	// this host last held one of its grants.
	lastActive map[schedulerPool]time.Time
}

// ticketEntry is a ticket that waits or holds a grant.
type ticketEntry struct {
	ticket    *request.Ticket
	decisions chan Decision
	// sentTo is the id of the host that has the ticket, empty if none has it.
	sentTo string
	// refusedBy holds the ids of the hosts that had no target for the ticket.
	refusedBy []string
	// resendInterval is the current time between sends, resendAt the time of
	// the next one.
	resendInterval time.Duration
	resendAt       time.Time
}

// Run sends waiting tickets again and reports held grants until the context ends.
func (tickets *Tickets) Run(ctx context.Context) error {
	go tickets.sendHoldingsPeriodically(ctx)
	ticker := time.NewTicker(initialResendInterval / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			tickets.resendDue(time.Now())
		}
	}
}

// Submit sends a ticket and returns the channel on which its decision arrives.
func (tickets *Tickets) Submit(ticket *request.Ticket) <-chan Decision {
	submitted := &ticketEntry{
		ticket:         ticket,
		decisions:      make(chan Decision, 1),
		resendInterval: initialResendInterval,
		resendAt:       time.Now().Add(initialResendInterval),
	}
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	if tickets.entries == nil {
		tickets.entries = map[request.ID]*ticketEntry{}
	}
	tickets.entries[ticket.ID] = submitted
	tickets.send(submitted)
	return submitted.decisions
}

// Withdraw cancels a waiting ticket. An unknown ticket is ignored.
func (tickets *Tickets) Withdraw(ticket *request.Ticket) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	ticketEntry := tickets.entries[ticket.ID]
	if ticketEntry == nil {
		return
	}
	delete(tickets.entries, ticket.ID)
	if ticketEntry.sentTo == "" {
		return
	}
	cancel := &request.Cancel{Ticket: ticket.ID, Pool: ticket.Pool, Round: ticket.Round}
	tickets.Send(ticketEntry.sentTo, &peerpb.Envelope{Cancels: []*peerpb.Cancel{peer.CancelMessage(cancel)}})
}

// Release releases a grant and removes its ticket.
func (tickets *Tickets) Release(release *request.Release) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	delete(tickets.entries, release.Ticket)
	tickets.sendRelease(release)
}

// Progress reports the time to a request's first token to its scheduler.
func (tickets *Tickets) Progress(grant *request.Grant, firstToken time.Duration) {
	progress := &request.Progress{
		Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target,
		Number: grant.Number, FirstToken: firstToken,
	}
	tickets.Send(grant.Scheduler, &peerpb.Envelope{Progress: []*peerpb.Progress{peer.ProgressMessage(progress)}})
}

// Receive handles the grants and refusals of an envelope.
func (tickets *Tickets) Receive(from string, envelope *peerpb.Envelope) {
	for _, message := range envelope.GetGrants() {
		grant := peer.Grant(message)
		tickets.deliver(grant.Ticket, grant.Round, Decision{Grant: &grant})
	}
	for _, message := range envelope.GetRefusals() {
		refusal := peer.Refusal(message)
		if refusal.Reason == request.ReasonNoTarget && tickets.redirect(from, &refusal) {
			continue
		}
		tickets.deliver(refusal.Ticket, refusal.Round, Decision{Refusal: &refusal})
	}
}

// Reassign sends tickets and held grants to the scheduler of their pool where it
// has changed.
func (tickets *Tickets) Reassign() {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	for _, ticketEntry := range tickets.entries {
		if ticketEntry.sentTo != tickets.Scheduler(ticketEntry.ticket.Pool) {
			tickets.send(ticketEntry)
		}
	}
}

// ResendTo sends a host its tickets and held grants again, after a connection on
// which they may have been lost.
func (tickets *Tickets) ResendTo(host string) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	for _, ticketEntry := range tickets.entries {
		if ticketEntry.sentTo == host {
			tickets.send(ticketEntry)
		}
	}
}

// resendDue sends the waiting tickets whose resend time has come.
func (tickets *Tickets) resendDue(now time.Time) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	for _, ticketEntry := range tickets.entries {
		if ticketEntry.ticket.HeldGrant != nil || now.Before(ticketEntry.resendAt) {
			continue
		}
		ticketEntry.resendInterval = min(2*ticketEntry.resendInterval, maxResendInterval)
		ticketEntry.resendAt = now.Add(ticketEntry.resendInterval)
		tickets.send(ticketEntry)
	}
}

// send sends a ticket to the scheduler of its pool. If another host has the ticket
// waiting, it is cancelled there.
func (tickets *Tickets) send(ticketEntry *ticketEntry) {
	scheduler := tickets.Scheduler(ticketEntry.ticket.Pool)
	if ticketEntry.sentTo != "" && ticketEntry.sentTo != scheduler && ticketEntry.ticket.HeldGrant == nil {
		cancel := &request.Cancel{Ticket: ticketEntry.ticket.ID, Pool: ticketEntry.ticket.Pool, Round: ticketEntry.ticket.Round}
		tickets.Send(ticketEntry.sentTo, &peerpb.Envelope{Cancels: []*peerpb.Cancel{peer.CancelMessage(cancel)}})
	}
	ticketEntry.sentTo = scheduler
	if scheduler == "" {
		return
	}
	tickets.recordActive(scheduler, ticketEntry.ticket.Pool)
	tickets.Send(scheduler, &peerpb.Envelope{Tickets: []*peerpb.Ticket{peer.TicketMessage(ticketEntry.ticket)}})
}

// deliver passes a decision to the request that waits for it. A grant for which
// none waits is released unused.
func (tickets *Tickets) deliver(id request.ID, round uint32, decision Decision) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	ticketEntry := tickets.entries[id]
	stale := ticketEntry == nil || ticketEntry.ticket.Round != round
	held := !stale && ticketEntry.ticket.HeldGrant != nil
	if held && decision.Grant != nil && *ticketEntry.ticket.HeldGrant == *decision.Grant {
		return
	}
	if stale || held {
		tickets.releaseUnused(decision.Grant)
		return
	}
	if decision.Grant != nil {
		granted := *ticketEntry.ticket
		granted.HeldGrant = decision.Grant
		ticketEntry.ticket = &granted
	} else {
		delete(tickets.entries, id)
	}
	ticketEntry.decisions <- decision
}

// releaseUnused releases a grant that was not used; nil is ignored.
func (tickets *Tickets) releaseUnused(grant *request.Grant) {
	if grant == nil {
		return
	}
	tickets.sendRelease(&request.Release{
		Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target,
		Number: grant.Number, Scheduler: grant.Scheduler, End: request.EndUnused,
	})
}

// sendRelease sends a release to the host that granted and, if another host
// schedules the pool now, to that one too.
func (tickets *Tickets) sendRelease(release *request.Release) {
	message := &peerpb.Envelope{Releases: []*peerpb.Release{peer.ReleaseMessage(release)}}
	tickets.Send(release.Scheduler, message)
	current := tickets.Scheduler(release.Pool)
	if current != "" && current != release.Scheduler {
		tickets.Send(current, message)
	}
}
