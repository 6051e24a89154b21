package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/budget"
	"nutmegfield.example/limit"
	"nutmegfield.example/quarantine"
	"nutmegfield.example/route"
	"nutmegfield.example/upstream"
)

// FuzzContinuation answers a continuation with arbitrary bytes. The caller must get the events
// before it and, if anything else, events of the next ids; an answer that ends as complete
// must have one of these.
func FuzzContinuation(f *testing.F) {
	const (
		begun = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTest-Id: q1\r\nTest-Seal: s1\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
		head  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTest-Id: q1\r\nTest-Seal: s2\r\n"
	)
	f.Add([]byte("HTTP/1.1 404 Not Found\r\nTest-Id: q1\r\nContent-Length: 7\r\n\r\nforeign"))
	f.Add([]byte(head + "\r\nid: 3\ndata: c\n\nid: 4\r\ndata: d\r\n\r\n"))
	f.Add([]byte(head + "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 3\ndata: c\n\n\n\r\n0\r\n\r\n"))
	f.Add([]byte(head + "Content-Length: 40\r\n\r\n: beat\n\nid: 5\ndata: foreign\n\n"))
	f.Add([]byte(head + "\r\n: beat\r\rdata: foreign\r\r\n\nid: 3\r\rdata: foreign\n\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\ndata: foreign\n\nid: 3\ndata: c\n\n"))
	fixture := newFixture(qt.New(f), testConfiguration(func(route *route.Route) { applyRouteKind(route, "resumable") }), 2)
	gateway := fixture.gateway
	f.Fuzz(func(t *testing.T, answer []byte) {
		c := qt.New(t)
		// An earlier answer may have limited the targets, or used the budget.
		gateway.Balancer = &balance.Balancer{}
		gateway.Balancer.SetTargets(fixture.targets, nil)
		gateway.Limiter = &limit.Limiter{}
		gateway.Budget = &budget.Budget{Ratio: 1, Window: time.Second, Spare: 10, Hosts: func() int { return 1 }, StartedAt: time.Now().Add(-time.Minute)}
		gateway.Attempts = &quarantine.Attempts{Check: func(context.Context, *balance.Target) error { return nil }, CheckTimeout: time.Second}
		answers := make(chan []byte, 2)
		answers <- []byte(begun)
		answers <- answer
		gateway.Connections = &upstream.Connections{DialTimeout: time.Second, Identify: identify(testProtocol)}
		gateway.Connections.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer func() { _ = far.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					_, _ = far.Write(<-answers)
				}
			}()
			return near, nil
		}
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://h.example/r/a", strings.NewReader("x"))
		request.Header.Set(testID, "q1")
		request.Header.Set(testKey, "k")
		recorder := httptest.NewRecorder()
		isComplete := serveUntilAborted(gateway, recorder, request)
		c.Assert(answers, qt.HasLen, 0)
		rest, ok := strings.CutPrefix(recorder.Body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		c.Assert(ok, qt.IsTrue, qt.Commentf("%q", recorder.Body))
		ids := eventIDs(rest)
		c.Assert(isComplete && len(ids) == 0, qt.IsFalse, qt.Commentf("%q", answer))
		last := int64(2)
		for i, text := range ids {
			id, err := strconv.ParseInt(text, 10, 64)
			c.Assert(err == nil || i > 0, qt.IsTrue, qt.Commentf("%q", rest))
			c.Assert(id == last+1 || i > 0 && (id > last || err != nil), qt.IsTrue, qt.Commentf("%q", rest))
			last = max(last, id)
		}
	})
}

// serveUntilAborted serves a request and reports whether the answer ended as complete.
func serveUntilAborted(gateway *Gateway, writer http.ResponseWriter, request *http.Request) (isComplete bool) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case error:
			if !errors.Is(cause, http.ErrAbortHandler) {
				panic(cause)
			}
		default:
			panic(cause)
		}
	}()
	gateway.ServeHTTP(writer, request)
	return true
}

// eventIDs returns the ids of the events in a text as callers parse them, without those that
// are comments only. It is empty for an event without an id, and for an unfinished one.
func eventIDs(text string) []string {
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
	var ids []string
	id, isBlank := "", true
	for line := range strings.Lines(text) {
		switch name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ":"); {
		case line == "\n":
			if !isBlank {
				ids = append(ids, id)
			}
			id, isBlank = "", true
		case name == "id":
			id, isBlank = strings.TrimSpace(value), false
		case name != "":
			isBlank = false
		}
	}
	if !isBlank {
		ids = append(ids, "")
	}
	return ids
}

// TestAbortedAnswerOfHTTP10 guards against a stream that breaks off and looks complete to a
// caller of HTTP/1.0, for whom the end of the connection is that of the answer.
func TestAbortedAnswerOfHTTP10(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(func(route *route.Route) { applyRouteKind(route, "streaming") }), 1)
	for _, step := range []struct {
		end  string
		want error
	}{{"CLOSE", nil}, {"id: 2\nCLOSE", syscall.ECONNRESET}} {
		fixture.replies = []string{"HTTP/1.1 200 OK\nContent-Type: text/event-stream\nTest-Id: ID\nTest-Seal: s1\n\nid: 1\ndata: a\n\n" + step.end + "\n"}
		conn, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, "GET /r/a HTTP/1.0\r\nHost: h.example\r\nTest-Id: q1\r\nTest-Key: k\r\n\r\n")
		c.Assert(err, qt.IsNil)
		_, err = io.ReadAll(conn)
		c.Check(errors.Is(err, step.want), qt.IsTrue, qt.Commentf("%s: %v", step.end, err))
		c.Assert(conn.Close(), qt.IsNil)
	}
}

// TestRefusedEventsTellNoSpeed guards against a target that answers continuations at once with
// other events, and is then preferred as a quick one.
func TestRefusedEventsTellNoSpeed(t *testing.T) {
	c := qt.New(t)
	const head = "HTTP/1.1 200 OK\nContent-Type: text/event-stream\nTest-Id: ID\nTest-Seal: s1\n\n"
	for _, step := range []struct {
		next string
		want int
	}{{"id: 2", 2}, {"id: 3", 1}} {
		fixture := newFixture(c, testConfiguration(func(route *route.Route) { applyRouteKind(route, "resumable") }), 2)
		fixture.balancer.SetTargets(fixture.targets, map[string]bool{testPool: true})
		fixture.replies = []string{head + "id: 1\ndata: a\n\nRESET\n", head + step.next + "\ndata: b\n\nCLOSE\n"}
		request := fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")
		request.Header.Set(testTokens, "500")
		fixture.sendForStatus(request)
		c.Check(fixture.balancer.Report().Speeds, qt.HasLen, step.want)
	}
}

// TestStreamsCutAtAnyByte guards against events that are missing, come twice or are passed on
// in part where a stream breaks off at any byte of the answer, also in its head, and goes on
// at another target.
func TestStreamsCutAtAnyByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTest-Id: q1\r\nTest-Seal: s1\r\n"
	for _, shape := range []struct{ name, lineEnd, step string }{
		{"lineFeeds", "\n", "1"}, {"carriageReturns", "\r\n", "1"}, {"gaps", "\n", "10"},
	} {
		var events []string
		for event := range 4 {
			id := strconv.Itoa(event + 1)
			if shape.step == "10" {
				id += "0"
			}
			events = append(events, ": beat"+shape.lineEnd+"id: "+id+shape.lineEnd+"data: a"+shape.lineEnd+"data: b"+shape.lineEnd+shape.lineEnd)
		}
		stream := strings.Join(events, "")
		var chunks strings.Builder
		for _, event := range events {
			fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(event), event)
		}
		for framing, answer := range map[string]string{
			"length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(stream), stream),
			"chunks": head + "Transfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n",
		} {
			t.Run(shape.name+"/"+framing, func(t *testing.T) {
				fixture := newFixture(qt.New(t), testConfiguration(func(route *route.Route) { applyRouteKind(route, "resumable") }), 2)
				for cut := range len(answer) {
					got, isComplete := fixture.cutAt(answer, cut, events)
					want, goesOn := stream, true
					// The id of one event does not show that ids have gaps, and after the last event
					// no target can show that it goes on with the stream.
					_, begun, _ := strings.Cut(answer[:cut], "\r\n\r\n")
					switch passed := strings.Count(begun, shape.lineEnd+shape.lineEnd); {
					case passed == 1 && shape.step == "10":
						want, goesOn = events[0], false
					case passed == len(events):
						goesOn = false
					}
					fixture.Assert(got, qt.Equals, want, qt.Commentf("cut after %q", answer[:cut]))
					fixture.Assert(isComplete, qt.Equals, goesOn, qt.Commentf("cut after %q", answer[:cut]))
				}
			})
		}
	}
}

// cutAt returns what a caller gets, and whether that looks complete, if the first target's
// answer is cut after some bytes and the second one sends the events that are asked for.
func (fixture *fixture) cutAt(answer string, cut int, events []string) (body string, isComplete bool) {
	gateway := fixture.gateway
	gateway.Balancer = &balance.Balancer{}
	gateway.Balancer.SetTargets(fixture.targets, nil)
	gateway.Limiter = &limit.Limiter{}
	gateway.Budget = &budget.Budget{Ratio: 1, Window: time.Second, Spare: 10, Hosts: func() int { return 1 }, StartedAt: time.Now().Add(-time.Minute)}
	var dials atomic.Int64
	gateway.Connections = &upstream.Connections{DialTimeout: time.Second, Identify: identify(testProtocol)}
	gateway.Connections.Dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		isFirst := dials.Add(1) == 1
		go func() {
			defer func() { _ = far.Close() }()
			request, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			if isFirst {
				_, _ = io.WriteString(far, answer[:cut])
				return
			}
			rest := events
			for last := request.Header.Get(testLastEvent); last != "" && len(rest) > 0; rest = rest[1:] {
				if strings.Contains(rest[0], "id: "+last) {
					last = ""
				}
			}
			text := strings.Join(rest, "")
			_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTest-Id: q1\r\nTest-Seal: s2\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}()
		return near, nil
	}
	request := httptest.NewRequestWithContext(fixture.Context(), http.MethodPost, "http://h.example/r/a", strings.NewReader("x"))
	request.Header.Set(testID, "q1")
	request.Header.Set(testKey, "k")
	recorder := httptest.NewRecorder()
	isComplete = serveUntilAborted(gateway, recorder, request)
	return recorder.Body.String(), isComplete
}
