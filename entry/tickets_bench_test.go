package entry

import (
	"testing"
	"time"

	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/request"
)

// BenchmarkTickets measures a ticket, its grant and its release from many goroutines
// while 4,000 other tickets wait.
func BenchmarkTickets(b *testing.B) {
	tickets := &Tickets{
		Scheduler: func(string) string { return "s1" },
		Send:      func(string, *peerpb.Envelope) {},
	}
	newTicket := func() *request.Ticket {
		return &request.Ticket{ID: request.NewID(), Pool: "p", Round: 1, Deadline: time.Now().Add(time.Hour)}
	}
	for range 4000 {
		tickets.Submit(newTicket())
	}
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			ticket := newTicket()
			decision := tickets.Submit(ticket)
			grant := &request.Grant{Ticket: ticket.ID, Pool: "p", Round: 1, Scheduler: "s1", Number: 1}
			tickets.Receive("s1", &peerpb.Envelope{Grants: []*peerpb.Grant{peer.GrantMessage(grant)}})
			<-decision
			tickets.Release(&request.Release{Ticket: ticket.ID, Pool: "p", Scheduler: "s1", Number: 1})
		}
	})
}
