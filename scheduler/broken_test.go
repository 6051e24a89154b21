package scheduler

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// TestBrokenConnection: what ran on a target whose connection was lost is
// suspect only where the target is down. Its slot stays taken until that is
// known, also when its entry host says meanwhile that it holds no grant.
func TestBrokenConnection(t *testing.T) {
	for _, test := range []struct {
		name     string
		fault    error
		suspects int
	}{
		{"lives", nil, 0},
		{"down", protocol.Broken.New("down"), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, scheduler *Scheduler, sent *sent, _ *string) {
				scheduler.mutex.Lock()
				scheduler.Client = func(string) *protocol.Client {
					return &protocol.Client{Load: func(context.Context, string) (protocol.Load, error) {
						time.Sleep(brokenTimeout / 2)
						return protocol.Load{}, test.fault
					}}
				}
				scheduler.mutex.Unlock()
				ticket := &request.Ticket{
					ID: request.ID{1}, Pool: "orders", Deadline: time.Now().Add(time.Hour), Round: 1, Fingerprint: 7,
				}
				scheduler.Receive("b", &peerpb.Envelope{Tickets: []*peerpb.Ticket{peer.TicketMessage(ticket)}})
				time.Sleep(time.Minute)
				qt.Assert(t, sent.granted(), qt.Equals, 1)
				grant := peer.Grant(sent.grants[0])
				release := &request.Release{
					Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target,
					Number: grant.Number, Scheduler: grant.Scheduler, End: request.EndBroken,
				}
				scheduler.Receive("b", &peerpb.Envelope{Releases: []*peerpb.Release{peer.ReleaseMessage(release)}})
				scheduler.Receive("b", &peerpb.Envelope{Holdings: []*peerpb.Holdings{{Pool: "orders"}}})
				qt.Check(t, scheduler.find("orders").GrantsOf("b"), qt.HasLen, 1)
				time.Sleep(brokenTimeout)
				qt.Check(t, scheduler.find("orders").GrantsOf("b"), qt.HasLen, 0)
				qt.Check(t, sent.suspects, qt.HasLen, test.suspects)
			})
		})
	}
}
