package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/listener"
	"nutmegfield.example/memory"
	"nutmegfield.example/route"
)

// bind serves the gateway at another address, within a budget, and returns it. Nothing may be
// held at the end of the test.
func (fixture *fixture) bind(plan *memory.Plan) string {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	fixture.Assert(err, qt.IsNil)
	bounded := &listener.Listener{Listener: raw, Budget: plan.Callers, IsSmall: true}
	server := newServer(bounded, fixture.gateway)
	fixture.gateway.bufferRoom.budget = plan.Callers
	go func() { _ = server.Serve(bounded) }()
	fixture.Cleanup(func() {
		_ = server.Close()
		end := time.Now().Add(5 * time.Second)
		for _, kind := range memory.Kinds() {
			for plan.Callers.Held(kind) != 0 && time.Now().Before(end) {
				time.Sleep(5 * time.Millisecond)
			}
			fixture.Check(plan.Callers.Held(kind), qt.Equals, int64(0), qt.Commentf("%s", kind))
		}
	})
	return raw.Addr().String()
}

// TestRefusedBeforeBody guards against callers that make the host wait for a body, or hold it,
// before it looks at the route, the key and the length; and against bodies that never come.
func TestRefusedBeforeBody(t *testing.T) {
	c := qt.New(t)
	configuration := testConfiguration(func(route *route.Route) { route.Timeout = time.Second })
	configuration.Limits.BodyBytes = 1 << 20
	fixture := newFixture(c, configuration, 1)
	address := fixture.bind(memory.NewPlan(134<<20, 4100))
	for _, test := range []struct {
		name, path, key, length string
		status                  int
	}{
		{"no route", "/nowhere", "k", "1000", http.StatusNotFound},
		{"no route, long", "/nowhere", "k", "1000000", http.StatusNotFound},
		{"no key", "/r/", "forged", "1000", http.StatusUnauthorized},
		{"no key, long", "/r/", "forged", "1000000", http.StatusUnauthorized},
		{"too long", "/r/", "k", "1048577", http.StatusRequestEntityTooLarge},
		{"never comes", "/r/", "k", "1000", http.StatusRequestTimeout},
		{"never comes, long", "/r/", "k", "1000000", http.StatusRequestTimeout},
	} {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nTest-Id: q\r\nTest-Key: %s\r\nContent-Length: %s\r\n\r\n", test.path, test.key, test.length)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetReadDeadline(time.Now().Add(4*time.Second)), qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", test.name))
		c.Check(response.StatusCode, qt.Equals, test.status, qt.Commentf("%s", test.name))
		_ = conn.Close()
	}
	c.Check(fixture.receivedRequests(), qt.HasLen, 0)
}

// TestLargestBody guards against a host on the smallest machine that does not serve the largest
// legal body, while others hold what they can of the memory without making progress.
func TestLargestBody(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	plan := memory.NewPlan(134<<20, 4100)
	address := fixture.bind(plan)
	head := fmt.Sprintf("POST /r/ HTTP/1.1\r\nHost: h.example\r\nTest-Id: q\r\nTest-Key: k\r\nContent-Length: %d\r\n\r\n", defaultMaxBodyBytes)
	body := strings.Repeat("x", defaultMaxBodyBytes)
	for range 8 {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		go func() { _, _ = io.WriteString(conn, head+body[1:]) }()
	}
	for end := time.Now().Add(5 * time.Second); plan.Callers.Held(memory.Bodies) < 12<<20 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond)
	fixture.mutex.Lock()
	fixture.replies = []string{"HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s\nContent-Length: 0\n\n"}
	fixture.mutex.Unlock()
	status := 0
	for attempt := 0; attempt < 3 && status != http.StatusOK; attempt++ {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		go func() { _, _ = io.WriteString(conn, head+body) }()
		c.Assert(conn.SetReadDeadline(time.Now().Add(4*time.Second)), qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		status = response.StatusCode
		_ = conn.Close()
	}
	c.Check(status, qt.Equals, http.StatusOK)
}

// TestDeniedRequestsGiveWay guards against callers that are refused for want of memory while
// requests without a route wait until the routes are known to be the newest.
func TestDeniedRequestsGiveWay(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	fixture.replies = []string{okReply}
	const places = 4
	budget := fixture.gateway.Callers.Budget
	budget.Parts[memory.Requests] = places * memory.RequestCost
	fixture.gateway.Refresh = func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	var group sync.WaitGroup
	for range places {
		group.Go(func() {
			status := fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodPost, "/nowhere", "x"))
			c.Check(status, qt.Equals, http.StatusServiceUnavailable)
		})
	}
	for until := time.Now().Add(refreshTimeout); budget.Held(memory.Requests) < places*memory.RequestCost && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	c.Check(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")), qt.Equals, http.StatusOK)
	c.Check(time.Since(began) < refreshTimeout, qt.IsTrue)
	group.Wait()
}
