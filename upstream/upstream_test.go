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
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testID = "1"

// target answers each request on a connection by a function; it returns false
// to close the connection.
func target(c *qt.C, answer func(conn net.Conn, reader *bufio.Reader, request *http.Request) bool) (address string, dialled func() int) {
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
		Own: func(request *Request, response *http.Response) bool {
			return response.Header.Get("Id") == request.ID
		},
	}
}

func exchange(connections *Connections, address string, body []byte, fresh bool) (string, error) {
	return exchangeAs(connections, address, testID, body, fresh)
}

func exchangeAs(connections *Connections, address, id string, body []byte, fresh bool) (string, error) {
	answer, err := connections.Exchange(context.Background(), address, &Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, Body: body, ID: id, Fresh: fresh,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

func write(conn net.Conn, body string) {
	_, _ = io.WriteString(conn, answerTo(testID, body))
}

func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	c := qt.New(t)
	address, dialled := target(c, func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		write(conn, "ok")
		return true
	})
	connections := newConnections()
	for range 3 {
		text, err := exchange(connections, address, []byte("x"), false)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "ok")
	}
	c.Assert(dialled(), qt.Equals, 1)
	c.Assert(connections.Open(address), qt.Equals, 1)
	connections.Forget(address)
	c.Assert(connections.Open(address), qt.Equals, 0)
}

// TestSecondAnswerCostsTheConnection has a target answer twice at once: what
// stands in the buffer before the next request ends the connection.
func TestSecondAnswerCostsTheConnection(t *testing.T) {
	c := qt.New(t)
	address, dialled := target(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, _ = io.WriteString(conn, answerTo(testID, "ok")+answerTo(testID, "no"))
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

// TestLateSecondAnswer has a target answer the first request again once the
// second has come: it is passed over by its id, and the connection is not
// used for a third.
func TestLateSecondAnswer(t *testing.T) {
	c := qt.New(t)
	late := make(chan string, 1)
	late <- ""
	address, dialled := target(c, func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		id := request.Header.Get("Id")
		_, _ = io.WriteString(conn, <-late+answerTo(id, "ok"))
		late <- answerTo(id, "no")
		return true
	})
	connections := newConnections()
	for i, wanted := range []int{1, 1, 2} {
		text, err := exchangeAs(connections, address, "request"+strconv.Itoa(i), nil, false)
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Equals, "ok")
		c.Assert(dialled(), qt.Equals, wanted)
	}
}

func TestClosedConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{}, 8)
	address, dialled := target(c, func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		write(conn, "ok")
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

// TestForgottenConnections uses no connection that was idle for half as long as
// one that its target had forgotten.
func TestForgottenConnections(t *testing.T) {
	c := qt.New(t)
	address, dialled := target(c, func(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
		write(conn, "ok")
		return true
	})
	connections := newConnections()
	ask := func(rested time.Duration) int {
		if idle := connections.idle[address]; len(idle) > 0 {
			idle[0].idle = time.Now().Add(-rested)
		}
		_, err := exchange(connections, address, nil, true)
		c.Assert(err, qt.IsNil)
		return dialled()
	}
	c.Assert(ask(0), qt.Equals, 1)
	c.Assert(ask(time.Second), qt.Equals, 1)
	connections.forgotten(time.Second)
	c.Assert(ask(600*time.Millisecond), qt.Equals, 2)
	connections.forgotten(time.Millisecond)
	c.Assert(connections.restLimit(true), qt.Equals, brokenLeast/2)
	connections.brokenAt = time.Now().Add(-brokenMemory)
	c.Assert(connections.restLimit(true), qt.Equals, FreshIdle)
}

// TestWasForgotten tells a forgotten connection from a target that broke off.
func TestWasForgotten(t *testing.T) {
	c := qt.New(t)
	reset := fmt.Errorf("read: %w", syscall.ECONNRESET)
	used, fresh := &connection{uses: 1}, &connection{}
	c.Assert(used.wasForgotten(reset, time.Millisecond), qt.IsTrue)
	c.Assert(used.wasForgotten(reset, time.Second), qt.IsFalse)
	c.Assert(used.wasForgotten(io.ErrUnexpectedEOF, time.Millisecond), qt.IsFalse)
	c.Assert(fresh.wasForgotten(reset, time.Millisecond), qt.IsFalse)
}

// TestEarlyAnswerToALongBody has a target answer before it reads the body: the
// answer is passed on, and no other request follows on that connection.
func TestEarlyAnswerToALongBody(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	defer close(ended)
	address, dialled := target(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		write(conn, "no")
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

func TestWhatIsKnownOfAFailure(t *testing.T) {
	c := qt.New(t)
	connections := newConnections()
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(refused.Close(), qt.IsNil)
	_, err = exchange(connections, refused.Addr().String(), nil, false)
	c.Assert(Is(err, NotSent), qt.IsTrue, qt.Commentf("%v", err))

	address, _ := target(c, func(net.Conn, *bufio.Reader, *http.Request) bool { return false })
	_, err = exchange(connections, address, nil, false)
	c.Assert(Is(err, Unknown), qt.IsTrue, qt.Commentf("%v", err))

	address, _ = target(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok")
		return false
	})
	_, err = exchange(connections, address, nil, false)
	c.Assert(errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", err))

	address, _ = target(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "noise that is no answer\r\n\r\n")
		return false
	})
	_, err = exchange(connections, address, nil, false)
	c.Assert(Is(err, Unknown), qt.IsTrue, qt.Commentf("%v", err))
}

func TestKeepAliveIsKept(t *testing.T) {
	c := qt.New(t)
	connection := &connection{idle: time.Now().Add(-2 * time.Second)}
	connection.learn(&http.Response{Header: http.Header{"Keep-Alive": {"timeout=2, max=100"}}})
	c.Assert(connection.stale(), qt.IsTrue)
	connection.learn(&http.Response{Header: http.Header{"Keep-Alive": {"timeout=9"}}})
	c.Assert(connection.stale(), qt.IsFalse)
	connection.learn(&http.Response{Close: true, Header: http.Header{}})
	c.Assert(connection.spent, qt.IsTrue)
}
