package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/quota"
	"nutmegfield.example/route"
)

const okReply = "HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s1\nContent-Length: 4\n\nok\n"

func (fixture *fixture) sendForStatus(request *http.Request) int {
	response, err := http.DefaultTransport.RoundTrip(request)
	fixture.Assert(err, qt.IsNil)
	_, _ = io.Copy(io.Discard, response.Body)
	fixture.Assert(response.Body.Close(), qt.IsNil)
	return response.StatusCode
}

// TestDenyOnlyByTheNewestRoutes guards against denying a key or route that the
// host has not received yet: it must refresh its routes first, and answer 503 if
// that fails.
func TestDenyOnlyByTheNewestRoutes(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	newer := testConfiguration(func(route *route.Route) { route.Prefix = "/new/" })
	newer.Workspaces[0].Keys = []string{"k2"}
	fixture.gateway.Refresh = func(context.Context) error {
		fixture.table = route.NewTable(newer)
		return nil
	}
	fixture.replies = []string{okReply}
	request := fixture.newRequest(t.Context(), http.MethodGet, "/new/a", "")
	request.Header.Set(testKey, "k2")
	c.Assert(fixture.sendForStatus(request), qt.Equals, http.StatusOK)
	c.Assert(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodGet, "/new/a", "")), qt.Equals, http.StatusUnauthorized)
	fixture.gateway.Refresh = func(context.Context) error { return errors.New("away") }
	c.Assert(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodGet, "/new/a", "")), qt.Equals, http.StatusServiceUnavailable)
	fixture.table = nil
	c.Assert(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodGet, "/r/a", "")), qt.Equals, http.StatusServiceUnavailable)
}

// TestLimitsOfTheConfiguration checks that headers and bodies above the configured
// limits are refused before a target reads any of them.
func TestLimitsOfTheConfiguration(t *testing.T) {
	c := qt.New(t)
	configuration := testConfiguration(nil)
	configuration.Limits = route.Limits{HeaderBytes: 1000, BodyBytes: 10}
	fixture := newFixture(c, configuration, 1)
	request := fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "")
	request.Header.Set("X-Other", strings.Repeat("x", 1000))
	c.Assert(fixture.sendForStatus(request), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	c.Assert(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "eleven byte")), qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(fixture.receivedRequests(), qt.HasLen, 0)
	fixture.replies = []string{okReply}
	c.Assert(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "ten bytes.")), qt.Equals, http.StatusOK)
}

// TestSmuggledRequests guards against request smuggling: conflicting
// Content-Length fields, an unknown transfer coding and a truncated body reach no
// target.
func TestSmuggledRequests(t *testing.T) {
	for _, text := range []string{
		"POST /r/a HTTP/1.1\r\nHost: h.example\r\nTest-Key: k\r\nContent-Length: 5\r\nContent-Length: 40\r\n\r\n01234GET /r/b HTTP/1.1\r\nHost: h.example\r\n\r\n",
		"POST /r/a HTTP/1.1\r\nHost: h.example\r\nTest-Key: k\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\nGET /r/b HTTP/1.1\r\nHost: h.example\r\n\r\n",
		"POST /r/a HTTP/1.1\r\nHost: h.example\r\nTest-Key: k\r\nContent-Length: 50\r\n\r\nhalf",
	} {
		c := qt.New(t)
		fixture := newFixture(c, testConfiguration(nil), 1)
		conn, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, text)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		answer, _ := io.ReadAll(conn)
		c.Assert(strings.Contains(string(answer), " 200 "), qt.IsFalse, qt.Commentf("%s", answer))
		c.Assert(conn.Close(), qt.IsNil)
		c.Assert(fixture.receivedRequests(), qt.HasLen, 0, qt.Commentf("%q", text))
	}
}

// TestQuotaRefund checks that a request above the quota is refused, also after 50
// units were returned to the workspace.
func TestQuotaRefund(t *testing.T) {
	c := qt.New(t)
	configuration := testConfiguration(nil)
	configuration.Workspaces[0].Quota = route.Quota{InTokens: true, Rate: 1, Burst: 100, PlainTokens: 10}
	fixture := newFixture(c, configuration, 1)
	fixture.ledger.SetLimits(map[string]quota.Limit{"clubs": {Rate: 1, Burst: 100}})
	fixture.ledger.Return("clubs", 50)
	send := func() int {
		request := fixture.newRequest(t.Context(), http.MethodGet, "/r/a", "")
		request.Header.Set(testTokens, "60")
		return fixture.sendForStatus(request)
	}
	fixture.replies = []string{okReply}
	c.Assert(send(), qt.Equals, http.StatusOK)
	c.Assert(send(), qt.Equals, http.StatusTooManyRequests)
	c.Assert(fixture.receivedRequests(), qt.HasLen, 1)
}

// TestCallerLeaves checks that the connection to the target is closed when the caller
// leaves, and that the event names this as the reason.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(func(route *route.Route) { route.Streaming = true }), 1)
	fixture.replies = []string{"HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s1\n\nid: 1\ndata: a\n\nHOLD\n"}
	ctx, cancel := context.WithCancel(t.Context())
	response, err := http.DefaultTransport.RoundTrip(fixture.newRequest(ctx, http.MethodPost, "/r/a", "x"))
	c.Assert(err, qt.IsNil)
	cancel()
	select {
	case <-fixture.heldClosed:
	case <-time.After(500 * time.Millisecond):
		c.Fatal("the target still works half a second after the caller has left")
	}
	c.Assert(response.Body.Close(), qt.IsNil)
	fixture.server.Close()
	events := fixture.gateway.Events.Events()
	c.Assert(events[len(events)-1].Number, qt.Equals, eventAttemptFailed.Number)
	c.Assert(events[len(events)-1].Detail, qt.Equals, "the caller left")
}

// TestRouteTimeout checks that a request which may have run is answered with 504 at
// the end of its route's timeout.
func TestRouteTimeout(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(func(route *route.Route) { route.Timeout = 50 * time.Millisecond }), 1)
	fixture.replies = []string{"HOLD\n"}
	c.Assert(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")), qt.Equals, http.StatusGatewayTimeout)
	<-fixture.heldClosed
}

// TestDrainCutsNothing checks that a drain lets a running request finish, and that
// no new one is accepted after it.
func TestDrainCutsNothing(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	started, finish := make(chan struct{}), make(chan struct{})
	inner := fixture.server.Config.Handler
	fixture.server.Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		close(started)
		<-finish
		inner.ServeHTTP(writer, request)
	})
	fixture.replies = []string{okReply}
	answered := make(chan int)
	go func() {
		answered <- fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x"))
	}()
	<-started
	drained := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		drained <- fixture.gateway.Drain(ctx)
	}()
	for !fixture.gateway.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	close(finish)
	c.Assert(<-answered, qt.Equals, http.StatusOK)
	c.Assert(<-drained, qt.IsNil)
	_, err := http.DefaultTransport.RoundTrip(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x"))
	c.Assert(err, qt.IsNotNil)
	c.Assert(fixture.receivedRequests(), qt.HasLen, 1)
}

func TestRankPutsTheWorkspaceFirst(t *testing.T) {
	c := qt.New(t)
	first, second := 0, 1
	c.Assert(rank(&route.Workspace{Tier: &first}, &route.Route{Tier: 2}) < rank(&route.Workspace{Tier: &second}, &route.Route{Tier: 0}), qt.IsTrue)
	c.Assert(rank(&route.Workspace{Tier: &second}, &route.Route{Tier: 0}) < rank(&route.Workspace{Tier: &second}, &route.Route{Tier: 1}), qt.IsTrue)
	c.Assert(rank(nil, &route.Route{Tier: 1}), qt.Equals, 1)
}
