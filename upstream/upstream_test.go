package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testID = "1"

// startTarget starts a server that calls answer for each request; answer returns false
// to close the connection. Dialled returns the number of connections accepted.
func startTarget(c *qt.C, answer func(conn net.Conn, reader *bufio.Reader, request *http.Request) bool) (address string, dialled func() int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	count := make(chan int, 1)
	count <- 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			count <- <-count + 1
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil || !answer(conn, reader, request) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), func() int {
		dialled := <-count
		count <- dialled
		return dialled
	}
}

func newConnections() *Connections {
	return &Connections{
		Dial:        (&net.Dialer{}).DialContext,
		DialTimeout: time.Second,
		Identify: func(_ int, header http.Header) Identity {
			return Identity{ID: header.Get("Id"), NotRun: header.Get("Not-Run") != ""}
		},
	}
}

func exchange(connections *Connections, address string, body []byte, once bool) (string, error) {
	return exchangeWithID(connections, address, testID, body, once)
}

func exchangeWithID(connections *Connections, address, id string, body []byte, once bool) (string, error) {
	answer, err := connections.Exchange(context.Background(), address, &Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, Body: body, ID: id, Once: once,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

func writeAnswer(conn net.Conn, body string) {
	_, _ = io.WriteString(conn, answerText(testID, body))
}

func answerText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func TestConnectionReuse(t *testing.T) {
	c := qt.New(t)
	address, dialled := startTarget(c, func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		writeAnswer(conn, "ok")
		return true
	})
	connections := newConnections()
	for range 3 {
		text, err := exchange(connections, address, []byte("x"), false)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "ok")
	}
	c.Assert(dialled(), qt.Equals, 1)
	c.Assert(connections.OpenCount(address), qt.Equals, 1)
	connections.CloseIdle(address)
	c.Assert(connections.OpenCount(address), qt.Equals, 0)
}

// TestSecondAnswerClosesConnection uses a target that sends two answers at once: a
// connection with buffered data must be closed, or the next request gets that answer.
func TestSecondAnswerClosesConnection(t *testing.T) {
	c := qt.New(t)
	address, dialled := startTarget(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, _ = io.WriteString(conn, answerText(testID, "ok")+answerText(testID, "no"))
		return true
	})
	connections := newConnections()
	for i := range 2 {
		text, err := exchange(connections, address, nil, false)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "ok")
		c.Assert(dialled(), qt.Equals, i+1)
	}
}

// TestLateSecondAnswer uses a target that answers the first request again when the
// second arrives: that answer must be skipped by its id, and the connection not be
// used for a third request.
func TestLateSecondAnswer(t *testing.T) {
	c := qt.New(t)
	late := make(chan string, 1)
	late <- ""
	address, dialled := startTarget(c, func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		id := request.Header.Get("Id")
		_, _ = io.WriteString(conn, <-late+answerText(id, "ok"))
		late <- answerText(id, "no")
		return true
	})
	connections := newConnections()
	for i, wanted := range []int{1, 1, 2} {
		text, err := exchangeWithID(connections, address, "request"+strconv.Itoa(i), nil, false)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "ok")
		c.Assert(dialled(), qt.Equals, wanted)
	}
}

func TestClosedConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{}, 8)
	address, dialled := startTarget(c, func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		writeAnswer(conn, "ok")
		_ = conn.Close()
		closed <- struct{}{}
		return false
	})
	connections := newConnections()
	for i := range 3 {
		text, err := exchange(connections, address, nil, true)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "ok")
		<-closed
		c.Assert(dialled(), qt.Equals, i+1)
	}
}

// TestIdleResetShortensIdleLimit checks that, after a target dropped an idle
// connection, no connection is reused after more than half of its idle time.
func TestIdleResetShortensIdleLimit(t *testing.T) {
	c := qt.New(t)
	address, dialled := startTarget(c, func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		writeAnswer(conn, "ok")
		return true
	})
	connections := newConnections()
	ask := func(idleTime time.Duration) int {
		if idle := connections.idle[address]; len(idle) > 0 {
			idle[0].idleSince = time.Now().Add(-idleTime)
		}
		_, err := exchange(connections, address, nil, true)
		c.Assert(err, qt.IsNil)
		return dialled()
	}
	c.Assert(ask(0), qt.Equals, 1)
	c.Assert(ask(time.Second), qt.Equals, 1)
	connections.recordIdleReset(time.Second)
	c.Assert(ask(600*time.Millisecond), qt.Equals, 2)
	connections.recordIdleReset(time.Millisecond)
	c.Assert(connections.idleLimit(true), qt.Equals, minIdleReset/2)
	connections.lastIdleReset = time.Now().Add(-idleResetLifetime)
	c.Assert(connections.idleLimit(true), qt.Equals, MaxFreshIdle)
}

// TestWasResetWhileIdle distinguishes a connection dropped while idle from a target
// that fails during a request.
func TestWasResetWhileIdle(t *testing.T) {
	c := qt.New(t)
	reset := fmt.Errorf("read: %w", syscall.ECONNRESET)
	used, unused := &connection{uses: 1}, &connection{}
	c.Assert(used.wasResetWhileIdle(reset, time.Millisecond), qt.IsTrue)
	c.Assert(used.wasResetWhileIdle(reset, time.Second), qt.IsFalse)
	c.Assert(used.wasResetWhileIdle(io.ErrUnexpectedEOF, time.Millisecond), qt.IsFalse)
	c.Assert(unused.wasResetWhileIdle(reset, time.Millisecond), qt.IsFalse)
}

// TestEarlyAnswerToALongBody uses a target that answers before it reads the body: the
// answer must be returned, and the connection not be reused.
func TestEarlyAnswerToALongBody(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	defer close(ended)
	address, dialled := startTarget(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		writeAnswer(conn, "no")
		<-ended
		return false
	})
	connections := newConnections()
	long := []byte(strings.Repeat("x", 32<<20))
	for i := range 2 {
		text, err := exchange(connections, address, long, false)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "no")
		c.Assert(dialled(), qt.Equals, i+1)
	}
}

func TestErrorsOfFailedExchanges(t *testing.T) {
	c := qt.New(t)
	connections := newConnections()
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(refused.Close(), qt.IsNil)
	_, err = exchange(connections, refused.Addr().String(), nil, false)
	c.Assert(Is(err, NotSent), qt.IsTrue, qt.Commentf("%v", err))

	address, _ := startTarget(c, func(net.Conn, *bufio.Reader, *http.Request) bool { return false })
	_, err = exchange(connections, address, nil, false)
	c.Assert(Is(err, Unknown), qt.IsTrue, qt.Commentf("%v", err))

	address, _ = startTarget(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok")
		return false
	})
	_, err = exchange(connections, address, nil, false)
	c.Assert(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", err))

	address, _ = startTarget(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "noise that is no answer\r\n\r\n")
		return false
	})
	_, err = exchange(connections, address, nil, false)
	c.Assert(Is(err, Unknown), qt.IsTrue, qt.Commentf("%v", err))
}

func TestKeepAliveTimeout(t *testing.T) {
	c := qt.New(t)
	connection := &connection{idleSince: time.Now().Add(-2 * time.Second)}
	connection.updateReuse(&http.Response{Header: http.Header{"Keep-Alive": {"timeout=2, max=100"}}})
	c.Assert(connection.isStale(), qt.IsTrue)
	connection.updateReuse(&http.Response{Header: http.Header{"Keep-Alive": {"timeout=9"}}})
	c.Assert(connection.isStale(), qt.IsFalse)
	connection.updateReuse(&http.Response{Close: true, Header: http.Header{}})
	c.Assert(connection.noReuse, qt.IsTrue)
}

// TestIdleConnectionsOfManyHosts guards against hosts that together keep more idle
// connections to a target than it accepts from all, so that it resets new ones.
func TestIdleConnectionsOfManyHosts(t *testing.T) {
	c := qt.New(t)
	const requests, share = 8, 3
	arrived, release := make(chan struct{}, requests), make(chan struct{})
	address, _ := startTarget(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		arrived <- struct{}{}
		<-release
		writeAnswer(conn, "ok")
		return true
	})
	connections := newConnections()
	connections.MaxOpen = func(string) int { return share }
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			_, err := exchange(connections, address, nil, false)
			c.Check(err, qt.IsNil)
		})
	}
	for range requests {
		<-arrived
	}
	c.Assert(connections.OpenCount(address), qt.Equals, requests)
	close(release)
	group.Wait()
	c.Assert(connections.OpenCount(address), qt.Equals, share)
}

// TestResetDuringUpload guards against an answer without a length that is taken as whole although
// its target reset the connection while the request was still being written: the system may tell
// the write of the reset, and the read of an ordinary end.
func TestResetDuringUpload(t *testing.T) {
	c := qt.New(t)
	const rounds = 100
	address, _ := startTarget(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+testID+"\r\n\r\nhalf")
		time.Sleep(2 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	connections := newConnections()
	body := make([]byte, 16<<20)
	complete := 0
	for range rounds {
		if text, err := exchange(connections, address, body, true); err == nil {
			complete++
			c.Logf("complete: %q", text)
		}
	}
	c.Assert(complete, qt.Equals, 0, qt.Commentf("of %d", rounds))
}

// TestEarlyAnswerOfASlowReader checks that an answer without a length is whole if its target reads
// the rest of a long request all the same.
func TestEarlyAnswerOfASlowReader(t *testing.T) {
	c := qt.New(t)
	address, _ := startTarget(c, func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+testID+"\r\n\r\nwhole")
		_, err := io.Copy(io.Discard, request.Body)
		c.Check(err, qt.IsNil)
		return false
	})
	text, err := exchange(newConnections(), address, make([]byte, 1<<20), true)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, "whole")
}
