package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/route"
)

// TestDrainWaitsForRequestsOnly guards against a host that is killed at the end of its grace
// period as it waits for connections without a whole request, and against cutting off a request
// that runs meanwhile.
func TestDrainWaitsForRequestsOnly(t *testing.T) {
	const limit = 20 * time.Second // much longer than net/http waits for new connections, 5 s
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	fixture.replies = []string{"PAUSE\n" + okReply}
	for _, text := range []string{"", "POST /r/a HTTP/1.1\r\nHost: h\r\n"} {
		conn, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		c.Assert(err, qt.IsNil)
	}
	status := make(chan int, 1)
	go func() {
		request := fixture.newRequest(context.Background(), http.MethodPost, "/r/a", "x")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || !strings.Contains(string(body), "ok") {
			t.Errorf("answer %q: %v", body, err)
		}
		status <- response.StatusCode
	}()
	for len(fixture.receivedRequests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- fixture.gateway.Drain(ctx) }()
	select {
	case err := <-drained:
		c.Errorf("drained with a running request: %v", err)
	case <-time.After(withoutRequestTime + withoutRequestTime/2):
	}
	close(fixture.resume)
	endedAt := time.Now()
	c.Check(<-status, qt.Equals, http.StatusOK)
	c.Check(<-drained, qt.IsNil)
	c.Check(time.Since(endedAt) < limit/8, qt.IsTrue, qt.Commentf("drained %s after the last request", time.Since(endedAt)))
}

// TestDrainAnswersLateRequests guards against requests that become whole while the host shuts
// down, and end without an answer: closed as the server shuts down, or sent to a target although
// they would not end before the host does.
func TestDrainAnswersLateRequests(t *testing.T) {
	const head, rest = "POST /r/a HTTP/1.1\r\nHost: h.example\r\nTest-Id: q1\r\nTest-Key: k\r\nContent-Length: 2\r\n", "\r\nxy"
	for _, test := range []struct {
		name string
		// sent is what was sent before the host shuts down; the rest follows after a time.
		sent         string
		limit, after time.Duration
		reply        string
		status       int
	}{
		{"new connection", "", 20 * time.Second, 700 * time.Millisecond, okReply, http.StatusOK},
		{"part of a head", head, 20 * time.Second, 700 * time.Millisecond, okReply, http.StatusOK},
		{"part of a body", head + "\r\nx", 20 * time.Second, 1500 * time.Millisecond, okReply, http.StatusOK},
		{"part of a body, late", head + "\r\nx", 2 * time.Second, time.Second, "PAUSE\n" + okReply, http.StatusServiceUnavailable},
		{"part of a body, at the end", head + "\r\nx", 2 * time.Second, 3 * time.Second, okReply, http.StatusServiceUnavailable},
		{"answer at the end", head + rest, time.Second, 0, "PAUSE\n" + okReply, http.StatusGatewayTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			fixture := newFixture(c, testConfiguration(nil), 1)
			fixture.replies = []string{test.reply}
			conn, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, test.sent)
			c.Assert(err, qt.IsNil)
			time.Sleep(100 * time.Millisecond)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), test.limit)
				defer cancel()
				// The process ends then.
				_ = fixture.gateway.Drain(ctx)
				_ = fixture.server.Config.Close()
			}()
			time.Sleep(test.after)
			// An error means that the answer has come, and the connection has ended.
			_, _ = io.WriteString(conn, (head + rest)[len(test.sent):])
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, answer.Body)
			c.Check(err, qt.IsNil)
			c.Check(answer.StatusCode, qt.Equals, test.status)
			c.Check(answer.Close, qt.IsTrue)
			sent := 1
			if test.status == http.StatusServiceUnavailable {
				sent = 0
			}
			received := 0
			for _, line := range fixture.receivedRequests() {
				// Processes of other tests may ask at the port that theirs had before.
				if strings.HasPrefix(line, "POST /r/a") {
					received++
				}
			}
			c.Check(received, qt.Equals, sent)
		})
	}
}

// TestDrainRefusesLongerAnswers guards against a request that is passed on late in the shutdown as
// the last answers of its route were short, and cut as its own is longer: answers of targets, or
// their refusals.
func TestDrainRefusesLongerAnswers(t *testing.T) {
	const head, rest = "POST /r/a HTTP/1.1\r\nHost: h.example\r\nTest-Id: q1\r\nTest-Key: k\r\nContent-Length: 2\r\n\r\nx", "y"
	const event = "id: 1\ndata: x\n\n"
	const stream = "HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n12\n" + event + "\n"
	for _, test := range []struct {
		name, before, late string
		streaming          bool
	}{
		{"plain", okReply, "PAUSE\n" + okReply, false},
		{"stream", stream + "0\n\n", stream + "PAUSE\n0\n\n", true},
		{"refused before", "HTTP/1.1 503 Service Unavailable\nTest-Id: ID\nTest-Not-Run: 1\nContent-Length: 0\n\n", "PAUSE\n" + okReply, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			fixture := newFixture(c, testConfiguration(func(route *route.Route) { route.Streaming = test.streaming }), 1)
			fixture.replies = []string{test.before, test.late}
			response, err := http.DefaultClient.Do(fixture.newRequest(context.Background(), http.MethodPost, "/r/a", "xy"))
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, response.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(response.Body.Close(), qt.IsNil)
			conn, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, head)
			c.Assert(err, qt.IsNil)
			time.Sleep(100 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			go func() { _ = fixture.gateway.Drain(ctx) }()
			time.Sleep(500 * time.Millisecond)
			_, err = io.WriteString(conn, rest)
			c.Assert(err, qt.IsNil)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, answer.Body)
			c.Check(err, qt.IsNil)
			c.Check(answer.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Check(answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			c.Check(fixture.receivedRequests(), qt.HasLen, 1)
		})
	}
}
