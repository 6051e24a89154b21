package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/route"
)

// TestGrantOfAPausedHostIsNotUsed guards against a host that was paused between the grant of
// a target and the write: the target may have got other requests since, and the request
// would name more time than its caller still waits.
func TestGrantOfAPausedHostIsNotUsed(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(func(route *route.Route) { route.Timeout = 3 * time.Second }), 2)
	fixture.replies = []string{okReply}
	dial := fixture.gateway.Connections.Dial
	var dialled []string
	fixture.gateway.Connections.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dialled = append(dialled, address); len(dialled) == 1 {
			time.Sleep(maxSendDelay + 50*time.Millisecond)
		}
		return dial(ctx, network, address)
	}
	status, _ := fixture.post("/r/a", "x")
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(dialled, qt.HasLen, 2)
	c.Assert(dialled[0], qt.Not(qt.Equals), dialled[1])
	c.Assert(fixture.receivedRequests(), qt.HasLen, 1)
}
