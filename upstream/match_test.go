package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// copyCase is a line of testdata/copies.txt.
type copyCase struct {
	name, refusal, first, copied, moment, second, kind, want string
	dialled                                                  int
}

// refusalTexts are refusals; ID stands for the id of the refused request.
var refusalTexts = map[string]string{
	"named":   "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"unnamed": "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"rest":    "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n",
	"421":     "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"421id":   "HTTP/1.1 421 Misdirected Request\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"408":     "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
	"408id":   "HTTP/1.1 408 Request Timeout\r\nId: ID\r\nContent-Length: 0\r\n\r\n",
}

// TestCopiesOfRefusals guards against a target that writes an earlier refusal again: taken
// for the answer to a request that runs, it is sent to a second target, or its caller is told
// that it did not run. Each line of testdata/copies.txt is a case.
func TestCopiesOfRefusals(t *testing.T) {
	text, err := os.ReadFile("testdata/copies.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var c copyCase
		_, err := fmt.Sscan(line, &c.name, &c.refusal, &c.first, &c.copied, &c.moment, &c.second, &c.kind, &c.want, &c.dialled)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("line %q", line))
		c.first, c.second = strings.Trim(c.first, "-"), strings.Trim(c.second, "-")
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(qt.New(t))
		})
	}
}

// copiesTarget refuses the first request, writes the copy at its moment and runs all others.
type copiesTarget struct {
	*copyCase
	// requests counts the requests of all connections. copies holds the copy until it is
	// written.
	requests chan int
	copies   chan string
	written  chan struct{}
	// carried holds the connections that have carried a request. Only they bring copies.
	carried sync.Map
}

func (target *copiesTarget) answer(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
	number := <-target.requests + 1
	target.requests <- number
	_, isUsed := target.carried.Swap(conn, true)
	if number == 1 {
		_, _ = io.Copy(io.Discard, request.Body)
		refusal := fill(target.refusal, target.first)
		if target.refusal == "421" || target.refusal == "408" {
			refusal = fill(target.refusal+"id", target.first)
		}
		switch target.moment {
		case "atOnce":
			refusal += fill(target.copied, target.first)
		case "idle":
			go func() {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, fill(target.copied, target.first))
				close(target.written)
			}()
		default:
			target.copies <- fill(target.copied, target.first)
		}
		_, _ = io.WriteString(conn, refusal)
		return true
	}
	id := request.Header.Get("Id")
	var copied string
	if isUsed && request.Method == http.MethodPost {
		select {
		case copied = <-target.copies:
		default:
		}
	}
	if target.moment == "beforeBody" {
		_, _ = io.WriteString(conn, copied)
		copied = ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, copied)
	if target.moment == "only" {
		_, _ = reader.Peek(1)
		return false
	}
	time.Sleep(5 * time.Millisecond)
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	if id != "" {
		answer += "Id: " + id + "\r\n"
	}
	_, _ = io.WriteString(conn, answer+"\r\nok")
	return true
}

func fill(name, id string) string { return strings.ReplaceAll(refusalTexts[name], "ID", id) }

func (copyCase *copyCase) run(c *qt.C) {
	target := &copiesTarget{copyCase: copyCase, requests: make(chan int, 1), copies: make(chan string, 1), written: make(chan struct{})}
	target.requests <- 0
	address, dialled := startTarget(c, target.answer)
	connections := newConnections()
	timeout := 10 * time.Second
	if copyCase.want == "ended" {
		timeout = time.Second
	}
	ctx, cancel := context.WithTimeout(c.Context(), timeout)
	defer cancel()
	first, err := connections.Exchange(ctx, address, newCopyRequest(http.MethodPost, copyCase.first, true))
	c.Assert(err, qt.IsNil)
	if copyCase.moment != "atOnce" {
		_, err = io.Copy(io.Discard, first.Body)
		c.Assert(err, qt.IsNil)
	}
	if copyCase.moment == "other" {
		// A connection that another request has used is idle while the first one is in use.
		kept, err := connections.Exchange(ctx, address, newCopyRequest(http.MethodGet, "kept", true))
		c.Assert(err, qt.IsNil)
		defer func() { _ = first.Body.Close() }()
		_, err = io.Copy(io.Discard, kept.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(kept.Body.Close(), qt.IsNil)
	} else {
		c.Assert(first.Body.Close(), qt.IsNil)
	}
	if copyCase.moment == "idle" {
		<-target.written
	}
	second, err := connections.Exchange(ctx, address, newCopyRequest(http.MethodPost, copyCase.second, copyCase.kind == "once"))
	got := "unknown"
	switch {
	case err == nil:
		got = strconv.Itoa(second.Status)
		c.Check(second.Body.Close(), qt.IsNil)
	case ctx.Err() != nil:
		got = "ended"
	default:
		c.Check(Is(err, Unknown), qt.IsTrue, qt.Commentf("%v", err))
	}
	c.Check(got, qt.Equals, copyCase.want, qt.Commentf("%v", err))
	c.Check(dialled(), qt.Equals, copyCase.dialled)
}

func newCopyRequest(method, id string, once bool) *Request {
	header := http.Header{}
	if id != "" {
		header.Set("Id", id)
	}
	request := &Request{Method: method, Target: "/", Host: "h", Header: header, ID: id, Once: once}
	if method == http.MethodPost {
		request.Body = []byte("body")
	}
	return request
}

// TestTargetThatNamesNoRequests guards against a target that refuses requests without naming
// them on kept connections: each request would wait for another answer. Requests to it go over
// connections of their own, for a time.
func TestTargetThatNamesNoRequests(t *testing.T) {
	c := qt.New(t)
	refuses := make(chan bool, 1)
	address, dialled := startTarget(c, func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		if <-refuses {
			_, _ = io.WriteString(conn, fill("unnamed", ""))
		} else {
			_, _ = io.WriteString(conn, answerText(request.Header.Get("Id"), "ok"))
		}
		return true
	})
	connections := newConnections()
	var skipped []Skipped
	exchange := func(id string, once, refused bool) int {
		refuses <- refused
		ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
		defer cancel()
		request := newCopyRequest(http.MethodPost, id, once)
		request.OnSkipped = func(one Skipped) { skipped = append(skipped, one) }
		answer, err := connections.Exchange(ctx, address, request)
		if err != nil {
			c.Assert(Is(err, Unknown), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(ctx.Err(), qt.IsNil)
			return 0
		}
		_, err = io.Copy(io.Discard, answer.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Body.Close(), qt.IsNil)
		return answer.Status
	}
	c.Assert(exchange("a", true, false), qt.Equals, 200)
	c.Assert(exchange("b", true, false), qt.Equals, 200)
	c.Assert(dialled(), qt.Equals, 1)
	c.Assert(exchange("c", false, true), qt.Equals, 0)
	c.Assert(skipped, qt.DeepEquals, []Skipped{{Status: 503, Doubt: NamesNone, NotRun: true, Carried: 2}})
	for i, id := range []string{"d", "e", "f"} {
		c.Assert(exchange(id, true, true), qt.Equals, 503)
		c.Assert(dialled(), qt.Equals, 2+i)
	}
	c.Assert(exchange("g", true, false), qt.Equals, 200)
	c.Assert(dialled(), qt.Equals, 5)
	c.Assert(connections.OpenCount(address), qt.Equals, 0)
	connections.unnamedUntil[address] = time.Now()
	for _, id := range []string{"h", "i", "j"} {
		c.Assert(exchange(id, true, false), qt.Equals, 200)
		c.Assert(dialled(), qt.Equals, 6)
	}
	c.Assert(skipped, qt.HasLen, 1)
}

// TestSkippedAnswerOfUnknownLength guards against the body of a skipped answer being read as
// the answer to a request: to HEAD it may be that to another method, and without a length or
// chunks all that follows is its body.
func TestSkippedAnswerOfUnknownLength(t *testing.T) {
	own := "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct{ method, foreign string }{
		"body to HEAD": {http.MethodHead, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: " + strconv.Itoa(len(own)) + "\r\n\r\n" + own},
		"no length":    {http.MethodPost, "HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + own},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := startTarget(c, func(conn net.Conn, reader *bufio.Reader, _ *http.Request) bool {
				_, _ = io.WriteString(conn, test.foreign)
				_, _ = reader.Peek(1)
				return false
			})
			ctx, cancel := context.WithTimeout(c.Context(), 2*time.Second)
			defer cancel()
			_, err := newConnections().Exchange(ctx, address, newCopyRequest(test.method, "1", true))
			c.Assert(Is(err, Unknown), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(ctx.Err(), qt.IsNil)
		})
	}
}

// TestRefusedIDsAreBounded guards against a memory of refused requests that grows without
// bound, or that forgets the last of them.
func TestRefusedIDsAreBounded(t *testing.T) {
	c := qt.New(t)
	var refused refusedIDs
	c.Assert(refused.has("a", "0"), qt.IsFalse)
	for i := range 3 * maxRefusedIDs {
		c.Assert(refused.add("a", strconv.Itoa(i)), qt.IsFalse)
		c.Assert(refused.has("a", strconv.Itoa(max(0, i-maxRefusedIDs/2+1))), qt.IsTrue)
		c.Assert(len(refused.recent)+len(refused.older) <= maxRefusedIDs, qt.IsTrue)
	}
	c.Assert(refused.has("a", "0"), qt.IsFalse)
	c.Assert(refused.has("b", strconv.Itoa(3*maxRefusedIDs-1)), qt.IsFalse)
	c.Assert(refused.add("a", strconv.Itoa(3*maxRefusedIDs-1)), qt.IsTrue)
}

// cutConn fails in its first write, after some bytes.
type cutConn struct {
	net.Conn
	written int
}

func (cutConn *cutConn) Write([]byte) (int, error) {
	return cutConn.written, &net.OpError{Op: "write", Err: syscall.EPIPE}
}

// TestPartlyWrittenRequestMayHaveRun guards against a request that is sent to a second target
// after a connection broke while it was written: the first may have read enough of it to run it.
func TestPartlyWrittenRequestMayHaveRun(t *testing.T) {
	c := qt.New(t)
	for written, isNotSent := range map[int]bool{0: true, 1: false, 400: false} {
		near, far := net.Pipe()
		connections := newConnections()
		connections.Dial = func(context.Context, string, string) (net.Conn, error) {
			return &cutConn{Conn: near, written: written}, nil
		}
		_, err := connections.Exchange(c.Context(), "target", newCopyRequest(http.MethodPost, "1", true))
		c.Check(Is(err, NotSent), qt.Equals, isNotSent, qt.Commentf("%d bytes", written))
		c.Check(Is(err, Unknown), qt.Equals, !isNotSent, qt.Commentf("%d bytes", written))
		c.Check(far.Close(), qt.IsNil)
	}
}
