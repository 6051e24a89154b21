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

// TestLostConnection checks that a request whose connection was lost is suspect
// only if its target is down, and that its slot stays taken until the probe
// ends, even if the entry host reports meanwhile that it holds no grant.
func TestLostConnection(t *testing.T) {
	for _, test := range []struct {
		name      string
		loadError error
		suspects  int
	}{
		{"running", nil, 0},
		{"down", protocol.Broken.New("down"), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, scheduler *Scheduler, sentMessages *sentMessages, _ *string) {
				scheduler.mutex.Lock()
				scheduler.Client = func(string) *protocol.Client {
					return &protocol.Client{Load: func(context.Context, string) (protocol.Load, error) {
						time.Sleep(probeTimeout / 2)
						return protocol.Load{}, test.loadError
					}}
				}
				scheduler.mutex.Unlock()
				ticket := &request.Ticket{
					ID: request.ID{1}, Pool: "orders", Deadline: time.Now().Add(time.Hour), Round: 1, Fingerprint: 7,
				}
				scheduler.Receive("b", &peerpb.Envelope{Tickets: []*peerpb.Ticket{peer.TicketMessage(ticket)}})
				time.Sleep(time.Minute)
				qt.Assert(t, sentMessages.grantCount(), qt.Equals, 1)
				grant := peer.Grant(sentMessages.grants[0])
				release := &request.Release{
					Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target,
					Number: grant.Number, Scheduler: grant.Scheduler, End: request.EndTargetLost,
				}
				scheduler.Receive("b", &peerpb.Envelope{Releases: []*peerpb.Release{peer.ReleaseMessage(release)}})
				scheduler.Receive("b", &peerpb.Envelope{Holdings: []*peerpb.Holdings{{Pool: "orders"}}})
				qt.Check(t, scheduler.findPool("orders").GrantsOf("b"), qt.HasLen, 1)
				time.Sleep(probeTimeout)
				qt.Check(t, scheduler.findPool("orders").GrantsOf("b"), qt.HasLen, 0)
				qt.Check(t, sentMessages.suspects, qt.HasLen, test.suspects)
			})
		})
	}
}
