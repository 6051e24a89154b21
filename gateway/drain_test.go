package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
