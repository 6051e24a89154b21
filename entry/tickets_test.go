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

// fakeSchedulers records as texts what a Tickets sends to which host.
type fakeSchedulers struct {
	scheduler string
	sent      []string
}

func (fakeSchedulers *fakeSchedulers) send(host string, envelope *peerpb.Envelope) {
	for _, message := range envelope.GetTickets() {
		fakeSchedulers.record("%s ticket %d held=%v", host, message.GetId()[0], message.GetHeld() != nil)
	}
	for _, message := range envelope.GetCancels() {
		fakeSchedulers.record("%s cancel %d", host, message.GetId()[0])
	}
	for _, message := range envelope.GetReleases() {
		fakeSchedulers.record("%s release %d of %s", host, message.GetNumber(), message.GetScheduler())
	}
	for _, message := range envelope.GetHoldings() {
		fakeSchedulers.record("%s holdings %v", host, message.GetNumbers())
	}
}

func (fakeSchedulers *fakeSchedulers) record(format string, arguments ...any) {
	fakeSchedulers.sent = append(fakeSchedulers.sent, fmt.Sprintf(format, arguments...))
}

// takeSent returns the texts, sorted, and forgets them.
func (fakeSchedulers *fakeSchedulers) takeSent() string {
	slices.Sort(fakeSchedulers.sent)
	joined := strings.Join(fakeSchedulers.sent, ", ")
	fakeSchedulers.sent = nil
	return joined
}

// runTickets runs a test of a Tickets under a fake clock; s1 schedules every pool
// until the test sets another scheduler.
func runTickets(t *testing.T, test func(t *testing.T, tickets *Tickets, fakeSchedulers *fakeSchedulers)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fakeSchedulers := &fakeSchedulers{scheduler: "s1"}
		test(t, &Tickets{Scheduler: func(string) string { return fakeSchedulers.scheduler }, Send: fakeSchedulers.send}, fakeSchedulers)
	})
}

// waitingTicket returns ticket 1 of pool p.
func waitingTicket(round uint32) *request.Ticket {
	return &request.Ticket{ID: request.ID{1}, Pool: "p", Round: round, Deadline: time.Now().Add(time.Hour)}
}

// grantEnvelope returns a scheduler's grant of ticket 1 in its first round.
func grantEnvelope(scheduler string, number uint64) *peerpb.Envelope {
	grant := &request.Grant{Ticket: request.ID{1}, Pool: "p", Round: 1, Scheduler: scheduler, Number: number}
	return &peerpb.Envelope{Grants: []*peerpb.Grant{peer.GrantMessage(grant)}}
}

// TestSecondGrantIsReleased: two schedulers grant the same ticket. The later grant
// must be released unused, also if the earlier scheduler issued it.
func TestSecondGrantIsReleased(t *testing.T) {
	runTickets(t, func(t *testing.T, tickets *Tickets, fakeSchedulers *fakeSchedulers) {
		decision := tickets.Submit(waitingTicket(1))
		fakeSchedulers.scheduler = "s2"
		tickets.Reassign()
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "s1 cancel 1, s1 ticket 1 held=false, s2 ticket 1 held=false")
		tickets.Receive("s2", grantEnvelope("s2", 7))
		tickets.Receive("s1", grantEnvelope("s1", 7))
		tickets.Receive("s2", grantEnvelope("s2", 7))
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "s1 release 7 of s1, s2 release 7 of s1")
		qt.Check(t, (<-decision).Grant.Scheduler, qt.Equals, "s2")
		qt.Check(t, decision, qt.HasLen, 0)
	})
}

// TestStaleRoundGrantIsReleased: a grant of an earlier round must be released unused.
func TestStaleRoundGrantIsReleased(t *testing.T) {
	runTickets(t, func(t *testing.T, tickets *Tickets, fakeSchedulers *fakeSchedulers) {
		tickets.Submit(waitingTicket(1))
		decision := tickets.Submit(waitingTicket(2))
		fakeSchedulers.takeSent()
		tickets.Receive("s1", grantEnvelope("s1", 3))
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "s1 release 3 of s1")
		qt.Check(t, decision, qt.HasLen, 0)
	})
}

// TestHoldings: a scheduler must be sent the held grants, and for holdingsTTL after
// the last ticket also that there are none, even if its grant never arrived.
func TestHoldings(t *testing.T) {
	runTickets(t, func(t *testing.T, tickets *Tickets, fakeSchedulers *fakeSchedulers) {
		tickets.Submit(waitingTicket(1))
		tickets.Receive("s1", grantEnvelope("s1", 4))
		fakeSchedulers.scheduler = "s2"
		tickets.Reassign()
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "s1 ticket 1 held=false, s2 ticket 1 held=true")
		tickets.sendHoldings(time.Now())
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "s1 holdings [4], s2 holdings [4]")
		tickets.Release(&request.Release{Ticket: request.ID{1}, Pool: "p", Number: 4, Scheduler: "s1"})
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "s1 release 4 of s1, s2 release 4 of s1")
		tickets.sendHoldings(time.Now())
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "s1 holdings [], s2 holdings []")
		time.Sleep(2 * holdingsTTL)
		tickets.sendHoldings(time.Now())
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "")
	})
}
