package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/budget"
	"nutmegfield.example/detour"
	"nutmegfield.example/route"
	"nutmegfield.example/upstream"
)

// TestRestOfTheTimeIsHandedOn guards against targets that are given more time than the
// caller still waits: the second one gets what the first has left.
func TestRestOfTheTimeIsHandedOn(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(func(route *route.Route) {
		route.Idempotent, route.Timeout = true, 3*time.Second
	}), 2)
	var mutex sync.Mutex
	var timeouts []time.Duration
	fixture.gateway.Protocol.WriteForward = func(header http.Header, forward Forward) {
		testProtocol.WriteForward(header, forward)
		mutex.Lock()
		timeouts = append(timeouts, forward.Timeout)
		mutex.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	fixture.replies = []string{"RESET", okReply}
	c.Assert(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodGet, "/r/a", "")), qt.Equals, http.StatusOK)
	c.Assert(timeouts, qt.HasLen, 2)
	c.Assert(timeouts[0] <= 3*time.Second && timeouts[0] > 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", timeouts))
	c.Assert(timeouts[1] <= timeouts[0]-200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", timeouts))
}

// TestRetriesStopWithTheBudget guards against gateways that send requests to second
// targets although the retry budget of the pool is used up.
func TestRetriesStopWithTheBudget(t *testing.T) {
	for _, reply := range []string{
		"RESET",
		"HTTP/1.1 503 Full\nTest-Not-Run: 1\nContent-Length: 0\n\n",
		"HTTP/1.1 500 Oops\nTest-Id: ID\nTest-Seal: s1\nContent-Length: 0\n\n",
	} {
		c := qt.New(t)
		fixture := newFixture(c, testConfiguration(func(route *route.Route) { route.Idempotent = true }), 2)
		fixture.gateway.Budget = &budget.Budget{Window: 10 * time.Second, Hosts: func() int { return 1 }}
		fixture.replies = []string{reply, okReply}
		status := fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodGet, "/r/a", ""))
		c.Assert(status, qt.Not(qt.Equals), http.StatusOK)
		c.Assert(fixture.receivedRequests(), qt.HasLen, 1, qt.Commentf("after %s", reply))
	}
}

// TestKeptConnectionIsAnswered guards against a kept connection that the gateway closes
// although a request on it was passed on: after pauses it still answers, on the same
// connection.
func TestKeptConnectionIsAnswered(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = serve(ctx, newServer(listener, fixture.gateway)) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 3 {
		fixture.mutex.Lock()
		fixture.replies = []string{okReply}
		fixture.mutex.Unlock()
		request := fixture.newRequest(t.Context(), http.MethodGet, "/r/a", "")
		c.Assert(request.Write(conn), qt.IsNil)
		response, err := http.ReadResponse(reader, request)
		c.Assert(err, qt.IsNil, qt.Commentf("request %d", i))
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.Close, qt.IsFalse)
		time.Sleep(300 * time.Millisecond)
	}
}

// TestDrainingHostIsNotReady guards against hosts that the load balancer goes on to
// send connections to while they shut down, or before they have routes.
func TestDrainingHostIsNotReady(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	host := &host{gateway: fixture.gateway}
	readiness := func() int {
		recorder := httptest.NewRecorder()
		host.serveReadiness(recorder, nil)
		return recorder.Code
	}
	c.Assert(readiness(), qt.Equals, http.StatusOK)
	go func() { _ = fixture.gateway.Drain(context.Background()) }()
	for end := time.Now().Add(time.Second); readiness() == http.StatusOK; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the host is still ready"))
	}
	fixture = newFixture(c, testConfiguration(nil), 1)
	fixture.table = nil
	host.gateway = fixture.gateway
	c.Assert(readiness(), qt.Equals, http.StatusServiceUnavailable)
}

// TestNoticeAcceptsRequests guards against a drain that refuses connections which the
// load balancer still sends: requests are answered during the notice.
func TestNoticeAcceptsRequests(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	fixture.gateway.Notice = 500 * time.Millisecond
	drained := make(chan error)
	go func() { drained <- fixture.gateway.Drain(context.Background()) }()
	for !fixture.gateway.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	fixture.replies = []string{okReply}
	c.Assert(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")), qt.Equals, http.StatusOK)
	c.Assert(<-drained, qt.IsNil)
}

// TestRunOnceNeedsAFreshConnection guards against requests that may run only once on a
// connection that was idle for long: if it breaks, nobody knows whether they ran.
func TestRunOnceNeedsAFreshConnection(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	var dials atomic.Int64
	dial := fixture.gateway.Connections.Dial
	fixture.gateway.Connections.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return dial(ctx, network, address)
	}
	fixture.replies = []string{okReply, okReply, okReply}
	for _, pause := range []time.Duration{0, 0, upstream.MaxFreshIdle + 100*time.Millisecond} {
		time.Sleep(pause)
		c.Assert(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")), qt.Equals, http.StatusOK)
	}
	c.Assert(dials.Load(), qt.Equals, int64(2))
}

// TestKnownRoutesNeedNoPlatform guards against requests that fail while the platform
// is away, although the host knows their route and key.
func TestKnownRoutesNeedNoPlatform(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	fixture.gateway.Refresh = func(context.Context) error { return errors.New("away") }
	fixture.replies = []string{okReply}
	c.Assert(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")), qt.Equals, http.StatusOK)
}

// TestChangesCutNoRequest guards against requests that are cut when the routes or the
// targets change while they run.
func TestChangesCutNoRequest(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(func(route *route.Route) { route.Streaming = true }), 1)
	fixture.replies = []string{"HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s1\n\nid: 1\ndata: a\n\nPAUSE\nid: 2\ndata: b\n\nCLOSE\n"}
	response, err := http.DefaultTransport.RoundTrip(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	_, err = io.ReadFull(response.Body, first)
	c.Assert(err, qt.IsNil)
	host := &host{
		gateway: fixture.gateway, balancer: fixture.balancer, ledger: fixture.ledger, attempts: fixture.gateway.Attempts,
		limiter: fixture.gateway.Limiter, origins: fixture.gateway.Origins, paths: &detour.Paths{},
	}
	host.setTargets(nil)
	host.setRoutes(route.NewTable(&route.Configuration{Version: 2}))
	close(fixture.resume)
	rest, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(rest), qt.Contains, "data: b")
}

// TestLimitsFollowAnswers guards against limits of targets that an answer ends which says
// nothing of them, of a request that did not run or of another target.
func TestLimitsFollowAnswers(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(func(route *route.Route) { route.Attempts = 1 }), 1)
	fixture.replies = []string{
		"HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s1\nTest-Limit: 2.5\nContent-Length: 1\n\na",
		"HTTP/1.1 503 Full\nTest-Id: ID\nTest-Not-Run: 1\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s1\nContent-Length: 1\n\na",
	}
	limiter, target := fixture.gateway.Limiter, limitedTarget(&balance.Target{ID: "t0"})
	for _, limit := range []float64{2.5, 2.5, 0} {
		response, err := http.DefaultTransport.RoundTrip(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x"))
		c.Assert(err, qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		c.Assert(limiter.Rate(target), qt.Equals, limit)
		// An answer ends a limit only if its request was sent later than it was named.
		time.Sleep(100 * time.Millisecond)
	}
}
