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
	// resendFirst and resendMost bound the pause before a waiting ticket is
	// sent again, in case it or its grant was lost.
	resendFirst = time.Second
	resendMost  = 8 * time.Second
)

// Decision is a scheduler's word on a ticket; one of the two is set.
type Decision struct {
	Grant   *request.Grant
	Refusal *request.Refusal
}

// Tickets holds the tickets of this host's requests at the schedulers. Fields
// are set before Run.
type Tickets struct {
	// Scheduler names the host that schedules a pool for this host now; empty
	// if there is none.
	Scheduler func(pool string) string
	// Unserved notes that a scheduler's host has no target of a pool, and
	// reports whether that is news; nil for no other scheduler to turn to.
	Unserved func(pool, host string) bool
	// Send passes an envelope to a host.
	Send func(host string, envelope *peerpb.Envelope)

	mutex   sync.Mutex
	entries map[request.ID]*ticketEntry
	// places holds when a scheduler was last sent a ticket of a pool.
	places map[place]time.Time
}

type ticketEntry struct {
	ticket   *request.Ticket
	decision chan Decision
	// sentTo is the host that has the ticket.
	sentTo string
	// refusedBy are the hosts that had no target for it.
	refusedBy []string
	resend    time.Duration
	due       time.Time
}

// Run sends tickets again that had no answer for long, until the context
// ends.
func (tickets *Tickets) Run(ctx context.Context) error {
	go tickets.tellHoldings(ctx)
	ticker := time.NewTicker(resendFirst / 4)
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

// Submit sends a ticket and returns the channel of its decision.
func (tickets *Tickets) Submit(ticket *request.Ticket) <-chan Decision {
	entry := &ticketEntry{
		ticket:   ticket,
		decision: make(chan Decision, 1),
		resend:   resendFirst,
		due:      time.Now().Add(resendFirst),
	}
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	if tickets.entries == nil {
		tickets.entries = map[request.ID]*ticketEntry{}
	}
	tickets.entries[ticket.ID] = entry
	tickets.send(entry)
	return entry.decision
}

// Withdraw takes a waiting ticket back.
func (tickets *Tickets) Withdraw(ticket *request.Ticket) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	entry := tickets.entries[ticket.ID]
	if entry == nil {
		return
	}
	delete(tickets.entries, ticket.ID)
	if entry.sentTo == "" {
		return
	}
	cancel := &request.Cancel{Ticket: ticket.ID, Pool: ticket.Pool, Round: ticket.Round}
	tickets.Send(entry.sentTo, &peerpb.Envelope{Cancels: []*peerpb.Cancel{peer.CancelMessage(cancel)}})
}

// Release gives a grant back and forgets the ticket.
func (tickets *Tickets) Release(release *request.Release) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	delete(tickets.entries, release.Ticket)
	tickets.release(release)
}

// Progress tells the scheduler of a request's first token.
func (tickets *Tickets) Progress(grant *request.Grant, firstToken time.Duration) {
	progress := &request.Progress{
		Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target,
		Number: grant.Number, FirstToken: firstToken,
	}
	tickets.Send(grant.Scheduler, &peerpb.Envelope{Progress: []*peerpb.Progress{peer.ProgressMessage(progress)}})
}

// Receive takes the envelopes of the schedulers.
func (tickets *Tickets) Receive(from string, envelope *peerpb.Envelope) {
	for _, message := range envelope.GetGrants() {
		grant := peer.Grant(message)
		tickets.decide(grant.Ticket, grant.Round, Decision{Grant: &grant})
	}
	for _, message := range envelope.GetRefusals() {
		refusal := peer.Refusal(message)
		if refusal.Reason == request.ReasonNoTarget && tickets.moveOn(from, &refusal) {
			continue
		}
		tickets.decide(refusal.Ticket, refusal.Round, Decision{Refusal: &refusal})
	}
}

// Moved sends waiting tickets and held grants to the schedulers that are
// responsible now, where that changed.
func (tickets *Tickets) Moved() {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	for _, entry := range tickets.entries {
		if entry.sentTo != tickets.Scheduler(entry.ticket.Pool) {
			tickets.send(entry)
		}
	}
}

// Reconnected sends again what a host may have lost.
func (tickets *Tickets) Reconnected(host string) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	for _, entry := range tickets.entries {
		if entry.sentTo == host {
			tickets.send(entry)
		}
	}
}

func (tickets *Tickets) resendDue(now time.Time) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	for _, entry := range tickets.entries {
		if entry.ticket.HeldGrant != nil || now.Before(entry.due) {
			continue
		}
		entry.resend = min(2*entry.resend, resendMost)
		entry.due = now.Add(entry.resend)
		tickets.send(entry)
	}
}

func (tickets *Tickets) send(entry *ticketEntry) {
	scheduler := tickets.Scheduler(entry.ticket.Pool)
	if entry.sentTo != "" && entry.sentTo != scheduler && entry.ticket.HeldGrant == nil {
		cancel := &request.Cancel{Ticket: entry.ticket.ID, Pool: entry.ticket.Pool, Round: entry.ticket.Round}
		tickets.Send(entry.sentTo, &peerpb.Envelope{Cancels: []*peerpb.Cancel{peer.CancelMessage(cancel)}})
	}
	entry.sentTo = scheduler
	if scheduler == "" {
		return
	}
	tickets.remember(scheduler, entry.ticket.Pool)
	tickets.Send(scheduler, &peerpb.Envelope{Tickets: []*peerpb.Ticket{peer.TicketMessage(entry.ticket)}})
}

// decide passes a decision to the request that waits for it. A grant that
// nobody waits for goes back at once.
func (tickets *Tickets) decide(id request.ID, round uint32, decision Decision) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	entry := tickets.entries[id]
	stale := entry == nil || entry.ticket.Round != round
	held := !stale && entry.ticket.HeldGrant != nil
	if held && decision.Grant != nil && *entry.ticket.HeldGrant == *decision.Grant {
		return
	}
	if stale || held {
		tickets.returnUnused(decision.Grant)
		return
	}
	if decision.Grant != nil {
		granted := *entry.ticket
		granted.HeldGrant = decision.Grant
		entry.ticket = &granted
	} else {
		delete(tickets.entries, id)
	}
	entry.decision <- decision
}

func (tickets *Tickets) returnUnused(grant *request.Grant) {
	if grant == nil {
		return
	}
	tickets.release(&request.Release{
		Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target,
		Number: grant.Number, Scheduler: grant.Scheduler, End: request.EndUnused,
	})
}

// release goes to the host that granted and, if another schedules by now, to
// that one too.
func (tickets *Tickets) release(release *request.Release) {
	message := &peerpb.Envelope{Releases: []*peerpb.Release{peer.ReleaseMessage(release)}}
	tickets.Send(release.Scheduler, message)
	now := tickets.Scheduler(release.Pool)
	if now != "" && now != release.Scheduler {
		tickets.Send(now, message)
	}
}
