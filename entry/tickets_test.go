package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/request"
)

// fakeSchedulers notes in words what a Tickets sends to whom.
type fakeSchedulers struct {
	now  string
	sent []string
}

func (fake *fakeSchedulers) send(host string, envelope *peerpb.Envelope) {
	for _, message := range envelope.GetTickets() {
		fake.note("%s ticket %d held=%v", host, message.GetId()[0], message.GetHeld() != nil)
	}
	for _, message := range envelope.GetCancels() {
		fake.note("%s cancel %d", host, message.GetId()[0])
	}
	for _, message := range envelope.GetReleases() {
		fake.note("%s release %d of %s", host, message.GetNumber(), message.GetScheduler())
	}
	for _, message := range envelope.GetHoldings() {
		fake.note("%s holdings %v", host, message.GetNumbers())
	}
}

func (fake *fakeSchedulers) note(format string, arguments ...any) {
	fake.sent = append(fake.sent, fmt.Sprintf(format, arguments...))
}

func (fake *fakeSchedulers) take() string {
	slices.Sort(fake.sent)
	said := strings.Join(fake.sent, ", ")
	fake.sent = nil
	return said
}

func inTicketsBubble(t *testing.T, test func(t *testing.T, tickets *Tickets, fake *fakeSchedulers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeSchedulers{now: "s1"}
		test(t, &Tickets{Scheduler: func(string) string { return fake.now }, Send: fake.send}, fake)
	})
}

func waitingTicket(round uint32) *request.Ticket {
	return &request.Ticket{ID: request.ID{1}, Pool: "p", Round: round, Deadline: time.Now().Add(time.Hour)}
}

func grantFrom(scheduler string, number uint64) *peerpb.Envelope {
	grant := &request.Grant{Ticket: request.ID{1}, Pool: "p", Round: 1, Scheduler: scheduler, Number: number}
	return &peerpb.Envelope{Grants: []*peerpb.Grant{peer.GrantMessage(grant)}}
}

// TestTwoSchedulers: of two grants of one ticket the later one goes back
// unused, also when it comes from the scheduler before.
func TestTwoSchedulers(t *testing.T) {
	inTicketsBubble(t, func(t *testing.T, tickets *Tickets, fake *fakeSchedulers) {
		decision := tickets.Submit(waitingTicket(1))
		fake.now = "s2"
		tickets.Moved()
		qt.Check(t, fake.take(), qt.Equals, "s1 cancel 1, s1 ticket 1 held=false, s2 ticket 1 held=false")
		tickets.Receive("s2", grantFrom("s2", 7))
		tickets.Receive("s1", grantFrom("s1", 7))
		tickets.Receive("s2", grantFrom("s2", 7))
		qt.Check(t, fake.take(), qt.Equals, "s1 release 7 of s1, s2 release 7 of s1")
		qt.Check(t, (<-decision).Grant.Scheduler, qt.Equals, "s2")
		qt.Check(t, decision, qt.HasLen, 0)
	})
}

// TestStaleRound: a grant of an earlier round goes back unused.
func TestStaleRound(t *testing.T) {
	inTicketsBubble(t, func(t *testing.T, tickets *Tickets, fake *fakeSchedulers) {
		tickets.Submit(waitingTicket(1))
		decision := tickets.Submit(waitingTicket(2))
		fake.take()
		tickets.Receive("s1", grantFrom("s1", 3))
		qt.Check(t, fake.take(), qt.Equals, "s1 release 3 of s1")
		qt.Check(t, decision, qt.HasLen, 0)
	})
}

// TestHoldings: a scheduler is told the held grants, and for a while that none
// is held, also where a grant never came.
func TestHoldings(t *testing.T) {
	inTicketsBubble(t, func(t *testing.T, tickets *Tickets, fake *fakeSchedulers) {
		tickets.Submit(waitingTicket(1))
		tickets.Receive("s1", grantFrom("s1", 4))
		fake.now = "s2"
		tickets.Moved()
		qt.Check(t, fake.take(), qt.Equals, "s1 ticket 1 held=false, s2 ticket 1 held=true")
		tickets.sendHoldings(time.Now())
		qt.Check(t, fake.take(), qt.Equals, "s1 holdings [4], s2 holdings [4]")
		tickets.Release(&request.Release{Ticket: request.ID{1}, Pool: "p", Number: 4, Scheduler: "s1"})
		qt.Check(t, fake.take(), qt.Equals, "s1 release 4 of s1, s2 release 4 of s1")
		tickets.sendHoldings(time.Now())
		qt.Check(t, fake.take(), qt.Equals, "s1 holdings [], s2 holdings []")
		time.Sleep(2 * holdingsMemory)
		tickets.sendHoldings(time.Now())
		qt.Check(t, fake.take(), qt.Equals, "")
	})
}
