package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/profile"
	"nutmegfield.example/request"
)

// newSelector returns the selector of a host. Zones a, b and c have one target each;
// a host's zone is the first letter of its id.
func newSelector(self string, leaving map[string]bool, hosts ...string) *SchedulerSelector {
	store := &profile.Store{}
	store.ApplyIfNewer(profile.NewSnapshot(1, profile.Configuration{Pools: []profile.Pool{{
		Name: "p", Targets: []profile.Target{{Name: "ta", Zone: "a"}, {Name: "tb", Zone: "b"}, {Name: "tc", Zone: "c"}},
	}}}))
	members := &peer.Members{Self: peer.Host{ID: self, Zone: self[:1]}}
	var listed []peer.Host
	for _, host := range hosts {
		listed = append(listed, peer.Host{ID: host, Zone: host[:1]})
	}
	members.SetHosts(listed)
	return &SchedulerSelector{
		Self: members.Self, Store: store, View: members.View,
		TargetLeaving: func(_, target string) bool { return leaving[target] },
	}
}

// TestSelectScheduler: a ticket must go to another zone only if its own can't serve it.
func TestSelectScheduler(t *testing.T) {
	all := []string{"a1", "b1", "c1"}
	for _, test := range []struct {
		name    string
		self    string
		leaving map[string]bool
		hosts   []string
		want    string
	}{
		{"own zone", "a1", nil, all, "a1"},
		{"own target leaving", "a1", map[string]bool{"ta": true, "tb": true}, all, "c1"},
		{"no target at all", "a1", map[string]bool{"ta": true, "tb": true, "tc": true}, all, "a1"},
		{"no scheduler in the own zone", "a1", map[string]bool{"tc": true}, []string{"b1", "c1"}, "b1"},
		{"cut off", "a1", map[string]bool{"ta": true}, []string{"a1"}, "a1"},
		{"nobody", "a1", nil, nil, ""},
	} {
		qt.Check(t, newSelector(test.self, test.leaving, test.hosts...).Scheduler("p"), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

// TestSelectSchedulerSpreadsHosts: the hosts of a zone must not all fall back to the
// same other zone.
func TestSelectSchedulerSpreadsHosts(t *testing.T) {
	found := map[string]int{}
	for i := range 20 {
		self := fmt.Sprintf("a%d", i)
		schedulerSelector := newSelector(self, map[string]bool{"ta": true}, "b1", "c1")
		first := schedulerSelector.Scheduler("p")
		qt.Assert(t, schedulerSelector.Scheduler("p"), qt.Equals, first)
		found[first]++
	}
	qt.Check(t, found, qt.HasLen, 2)
}

// TestResendToOtherZoneCancels: a ticket that goes to another zone must be cancelled
// in the first one, so that it waits in one queue only.
func TestResendToOtherZoneCancels(t *testing.T) {
	runTickets(t, func(t *testing.T, tickets *Tickets, fakeSchedulers *fakeSchedulers) {
		leaving := map[string]bool{"tb": true}
		tickets.Scheduler = newSelector("a1", leaving, "a1", "b1", "c1").Scheduler
		ticket := waitingTicket(1)
		tickets.Submit(ticket)
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "a1 ticket 1 held=false")
		leaving["ta"] = true
		tickets.resendDue(ticket.Deadline)
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "a1 cancel 1, c1 ticket 1 held=false")
	})
}

// noTargetEnvelope returns a refusal of a ticket for lack of a target.
func noTargetEnvelope(ticket byte) *peerpb.Envelope {
	refusal := &request.Refusal{Ticket: request.ID{ticket}, Pool: "p", Round: 1, Reason: request.ReasonNoTarget}
	return &peerpb.Envelope{Refusals: []*peerpb.Refusal{peer.RefusalMessage(refusal)}}
}

// TestNoTargetRedirects: a refusal for lack of a target must redirect that ticket and
// the others that wait there to the next zone at once. The last zone's refusal is
// final, and a refusal from a queue that a ticket has left is ignored.
func TestNoTargetRedirects(t *testing.T) {
	runTickets(t, func(t *testing.T, tickets *Tickets, fakeSchedulers *fakeSchedulers) {
		schedulerSelector := newSelector("a1", map[string]bool{"tb": true}, "a1", "b1", "c1")
		tickets.Scheduler, tickets.MarkUnserved = schedulerSelector.Scheduler, schedulerSelector.MarkUnserved
		first := tickets.Submit(waitingTicket(1))
		second := *waitingTicket(1)
		second.ID = request.ID{2}
		waiting := tickets.Submit(&second)
		fakeSchedulers.takeSent()
		tickets.Receive("a1", noTargetEnvelope(1))
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "a1 cancel 2, c1 ticket 1 held=false, c1 ticket 2 held=false")
		tickets.Receive("a1", noTargetEnvelope(2))
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "")
		tickets.Receive("c1", noTargetEnvelope(1))
		qt.Check(t, (<-first).Refusal.Reason, qt.Equals, request.ReasonNoTarget)
		tickets.Receive("c1", noTargetEnvelope(2))
		qt.Check(t, fakeSchedulers.takeSent(), qt.Equals, "a1 ticket 2 held=false")
		tickets.Receive("a1", noTargetEnvelope(2))
		qt.Check(t, (<-waiting).Refusal.Reason, qt.Equals, request.ReasonNoTarget)
	})
}

// TestUnservedZoneExpires: a zone marked as unserved must be used again after
// unservedTTL.
func TestUnservedZoneExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		schedulerSelector := newSelector("a1", map[string]bool{"tb": true}, "a1", "b1", "c1")
		qt.Check(t, schedulerSelector.MarkUnserved("p", "a1"), qt.IsTrue)
		qt.Check(t, schedulerSelector.MarkUnserved("p", "a1"), qt.IsFalse)
		qt.Check(t, schedulerSelector.Scheduler("p"), qt.Equals, "c1")
		qt.Check(t, schedulerSelector.MarkUnserved("p", "c1"), qt.IsTrue)
		qt.Check(t, schedulerSelector.Scheduler("p"), qt.Equals, "a1")
		time.Sleep(unservedTTL)
		qt.Check(t, schedulerSelector.Scheduler("p"), qt.Equals, "a1")
		qt.Check(t, schedulerSelector.MarkUnserved("p", "a1"), qt.IsTrue)
	})
}
