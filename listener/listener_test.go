package listener

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/kernel"
	"nutmegfield.example/memory"
)

// fixture is a server behind a listener. It answers with the number of bytes of a body, with a
// refusal, or with answerBytes for the path /long.
type fixture struct {
	*qt.C
	listener *Listener
	address  string
	// resume ends the requests for the path /wait.
	resume   chan struct{}
	mutex    sync.Mutex
	refusals []string
}

const (
	testBodyBytes = 1 << 20
	answerBytes   = 8 << 20
)

func newFixture(t *testing.T, edit func(listener *Listener)) *fixture {
	c := qt.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	budget := &memory.Budget{}
	budget.Parts[memory.Connections] = 8 * memory.ConnectionCost
	budget.Parts[memory.Heads] = 600 << 10
	budget.Parts[memory.Bodies] = 4 << 20
	budget.Parts[memory.Requests] = 8 * memory.RequestCost
	fixture := &fixture{C: c, address: raw.Addr().String(), resume: make(chan struct{})}
	fixture.listener = &Listener{Listener: raw, Budget: budget, IsSmall: true, RetryAfter: time.Second, OnRefused: func(status int, reason string) {
		fixture.mutex.Lock()
		defer fixture.mutex.Unlock()
		fixture.refusals = append(fixture.refusals, fmt.Sprint(status, " ", reason))
	}}
	if edit != nil {
		edit(fixture.listener)
	}
	server := &http.Server{Handler: http.HandlerFunc(fixture.serve), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	Bind(server)
	go func() { _ = server.Serve(fixture.listener) }()
	c.Cleanup(func() {
		_ = server.Close()
		fixture.waitUntil("nothing is held", func() bool {
			for _, kind := range []memory.Kind{memory.Connections, memory.Heads, memory.Bodies, memory.Requests} {
				if budget.Held(kind) != 0 {
					return false
				}
			}
			return budget.Holders() == 0
		})
	})
	return fixture
}

func (fixture *fixture) waitUntil(state string, isReached func() bool) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if isReached() {
			return
		}
	}
	fixture.Errorf("not so within 10 s: %s", state)
}

func (fixture *fixture) serve(writer http.ResponseWriter, request *http.Request) {
	conn := Of(request)
	end, ok := conn.Begin(writer, request)
	defer end()
	if request.URL.Path == "/denied" {
		conn.Deny(writer)
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if request.URL.Path == "/wait" {
		conn.Holder().Enter(memory.Running)
		<-fixture.resume
	}
	if !ok || request.URL.Path == "/refused" {
		conn.RefuseUnread(writer, request, http.StatusServiceUnavailable)
		return
	}
	body, err := conn.ReadBody(request, testBodyBytes, time.Now().Add(5*time.Second))
	defer body.Release()
	if err != nil {
		fixture.Logf("%s: %v", request.URL.Path, err)
		conn.RefuseUnread(writer, request, http.StatusServiceUnavailable)
		return
	}
	conn.Holder().Enter(memory.Running)
	if request.URL.Path == "/broken" {
		_, _ = io.WriteString(writer, "a part")
		_ = http.NewResponseController(writer).Flush()
		kernel.AbortAnswer(writer, request)
	}
	if request.URL.Path == "/long" {
		_, _ = writer.Write(make([]byte, answerBytes))
		return
	}
	_, _ = fmt.Fprintf(writer, "%d %d", len(body.Bytes), bytes.Count(body.Bytes, []byte("x")))
	conn.Holder().Serve()
}

// dial opens a connection on which a text is sent.
func (fixture *fixture) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", fixture.address)
	fixture.Assert(err, qt.IsNil)
	fixture.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	fixture.Assert(err, qt.IsNil)
	return conn
}

// answer reads the answer on a connection and returns its status and body, 0 if there is none.
func (fixture *fixture) answer(conn net.Conn) (status int, body string) {
	fixture.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(content)
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

// TestBodies guards against bodies that come otherwise than they were sent, of any length and
// framing, one after the other on a connection.
func TestBodies(t *testing.T) {
	fixture := newFixture(t, nil)
	for _, size := range []int{1, 4095, 4096, 4097, 36 << 10, 36<<10 + 1, 300000, testBodyBytes} {
		body := strings.Repeat("x", size)
		conn := fixture.dial(post("/", size) + body)
		status, text := fixture.answer(conn)
		fixture.Check(status, qt.Equals, http.StatusOK)
		fixture.Check(text, qt.Equals, fmt.Sprintf("%d %d", size, size))
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
		fixture.Assert(err, qt.IsNil)
		status, text = fixture.answer(conn)
		fixture.Check(status, qt.Equals, http.StatusOK)
		fixture.Check(text, qt.Equals, fmt.Sprintf("%d %d", size, size))
	}
	fixture.Check(fixture.refusals, qt.HasLen, 0)
}

// TestRefusalsArrive guards against refusals that are lost because the connection is reset
// while the caller still sends: it would not know that its request has not run.
func TestRefusalsArrive(t *testing.T) {
	fixture := newFixture(t, nil)
	many := strings.Repeat("a:\r\n", 5000)
	for _, test := range []struct {
		name, text string
		status     int
	}{
		{"unread body", post("/refused", 8<<20) + strings.Repeat("x", 100<<10), 503},
		{"short unread body", post("/refused", 10) + "0123456789", 503},
		{"short body that stops", post("/refused", 10) + "01234", 503},
		{"body over the limit", post("/", 2<<20) + strings.Repeat("x", 200<<10), 503},
		{"chunks over the limit", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", 2<<20), 503},
		{"too many fields", "GET / HTTP/1.1\r\nHost: h\r\n" + many + many, 503},
	} {
		conn := fixture.dial("")
		go func() { _, _ = io.WriteString(conn, test.text) }()
		began := time.Now()
		status, text := fixture.answer(conn)
		fixture.Check(status, qt.Equals, test.status, qt.Commentf("%s: %s", test.name, text))
		fixture.Check(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", test.name))
	}
}

// TestManyFields guards against a crowd that makes the host hold maps of very many fields, and
// against the refusal of a single request of legal size.
func TestManyFields(t *testing.T) {
	fixture := newFixture(t, func(listener *Listener) {
		listener.Limits = func() Limits { return Limits{HeaderBytes: 16 << 10} }
	})
	legal := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1800)
	status, _ := fixture.answer(fixture.dial(legal + "\r\n"))
	fixture.Check(status, qt.Equals, http.StatusOK)
	fixture.waitUntil("the first one has ended", func() bool { return fixture.listener.Budget.Held(memory.Heads) == 0 })
	fixture.dial(legal)
	fixture.waitUntil("fields are held", func() bool { return fixture.listener.Budget.Held(memory.Heads) > 400<<10 })
	status, _ = fixture.answer(fixture.dial(legal + "\r\n"))
	fixture.Check(status, qt.Equals, http.StatusServiceUnavailable)
	status, _ = fixture.answer(fixture.dial("GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 30<<10)))
	fixture.Check(status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}

// TestHeadsThatStop guards against callers that are not told that their slow heads have not
// run, and against waiting longer than the limits in force.
func TestHeadsThatStop(t *testing.T) {
	fixture := newFixture(t, func(listener *Listener) {
		listener.Limits = func() Limits {
			return Limits{HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
		}
	})
	conn := fixture.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _ := fixture.answer(conn)
	fixture.Check(status, qt.Equals, http.StatusOK)
	time.Sleep(100 * time.Millisecond)
	_, err := io.WriteString(conn, "GET / HTT")
	fixture.Assert(err, qt.IsNil)
	status, text := fixture.answer(conn)
	fixture.Check(status, qt.Equals, http.StatusRequestTimeout, qt.Commentf("%s", text))
	conn = fixture.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _ = fixture.answer(conn)
	fixture.Check(status, qt.Equals, http.StatusOK)
	began := time.Now()
	_, text = fixture.answer(conn)
	fixture.Check(text, qt.Equals, "unexpected EOF")
	fixture.Check(time.Since(began) < 2*time.Second, qt.IsTrue)
}

// TestWaitingConnectionsAreAccepted guards against requests of connections that the system has
// accepted when the listener ends.
func TestWaitingConnectionsAreAccepted(t *testing.T) {
	const waiting = 8
	c := qt.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := &Listener{Listener: raw, Budget: memory.NewPlan(1<<30, 1<<10).Callers}
	fixture := &fixture{C: c, listener: listener, address: raw.Addr().String()}
	var callers []net.Conn
	for range waiting {
		callers = append(callers, fixture.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	}
	accepted := make(chan int, 1)
	go func() { accepted <- listener.StopAccepting() }()
	fixture.waitUntil("the listener ends", listener.ending.isBegun.Load)
	server := &http.Server{Handler: http.HandlerFunc(fixture.serve)}
	Bind(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	c.Check(<-accepted, qt.Equals, waiting)
	_, err = net.Dial("tcp", fixture.address)
	c.Check(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue, qt.Commentf("%v", err))
	for _, conn := range callers {
		status, text := fixture.answer(conn)
		c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	}
	c.Check(served, qt.HasLen, 0)
	fixture.waitUntil("idle connections have ended", func() bool { return listener.EndIdle() == 0 })
	c.Check(server.Close(), qt.IsNil)
	c.Check(<-served, qt.Equals, http.ErrServerClosed)
}

// TestAnswerIsNotReset guards against answers that are lost on their way because the connection
// ends while the caller has sent more.
func TestAnswerIsNotReset(t *testing.T) {
	fixture := newFixture(t, nil)
	conn := fixture.dial("GET /long HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + strings.Repeat("GET / HTTP/1.1\r\n\r\n", 1000))
	fixture.Assert(conn.(*net.TCPConn).SetReadBuffer(16<<10), qt.IsNil)
	answer, readErr := http.ReadResponse(bufio.NewReader(conn), nil)
	fixture.Assert(readErr, qt.IsNil)
	// The caller reads slowly, so that a part is on its way when the server has written all.
	n, err := int64(0), error(nil)
	for err == nil {
		var read int64
		read, err = io.CopyN(io.Discard, answer.Body, 8<<10)
		n += read
		time.Sleep(time.Millisecond)
	}
	fixture.Check(err, qt.Equals, io.EOF)
	fixture.Check(n, qt.Equals, int64(answerBytes))
}

// TestNewConnectionsFindRoom guards against callers that can't connect because others hold all
// connections without making progress.
func TestNewConnectionsFindRoom(t *testing.T) {
	fixture := newFixture(t, nil)
	var crowd []net.Conn
	for range 8 {
		crowd = append(crowd, fixture.dial("GET / HT"))
	}
	// On a busy machine the first ones may give way before the last one is accepted.
	fixture.waitUntil("all are accepted", func() bool {
		budget := fixture.listener.Budget
		return budget.Holders() == 8 || budget.GaveWay(memory.Connections) > 0
	})
	time.Sleep(150 * time.Millisecond)
	status, text := fixture.answer(fixture.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	fixture.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	status, _ = fixture.answer(crowd[0])
	fixture.Check(status, qt.Equals, http.StatusRequestTimeout)
}

// TestDeniedCallersGiveWay guards against a crowd that holds all connections by requests that are
// denied, so often that none of the connections is idle for long, while callers whose requests are
// served find no room, or lose the connections that they keep.
func TestDeniedCallersGiveWay(t *testing.T) {
	const places, members = 64, 80
	fixture := newFixture(t, func(listener *Listener) {
		listener.Budget.Parts[memory.Connections] = places * memory.ConnectionCost
		listener.Budget.Parts[memory.Requests] = places * memory.RequestCost
	})
	const served = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	kept := fixture.dial(served)
	status, text := fixture.answer(kept)
	fixture.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	for range members {
		go func() {
			for fixture.Context().Err() == nil {
				conn, err := net.Dial("tcp", fixture.address)
				if err != nil {
					return
				}
				for err == nil {
					var answer *http.Response
					if _, err = io.WriteString(conn, "GET /denied HTTP/1.1\r\nHost: h\r\n\r\n"); err == nil {
						answer, err = http.ReadResponse(bufio.NewReader(conn), nil)
					}
					if answer != nil && answer.Close {
						err = io.EOF
					}
					time.Sleep(200 * time.Millisecond)
				}
				_ = conn.Close()
			}
		}()
	}
	isServed := 0
	const callers = 20
	for range callers {
		time.Sleep(75 * time.Millisecond)
		conn := fixture.dial(served)
		if status, _ := fixture.answer(conn); status == http.StatusOK {
			isServed++
		}
		_ = conn.Close()
	}
	fixture.Check(isServed >= callers*19/20, qt.IsTrue, qt.Commentf("%d of %d are served", isServed, callers))
	_, err := io.WriteString(kept, served)
	fixture.Check(err, qt.IsNil)
	status, text = fixture.answer(kept)
	fixture.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
}

// TestFull guards against a host that says that it is ready while it takes no connection, and
// against one that does not for want of callers who try.
func TestFull(t *testing.T) {
	fixture := newFixture(t, nil)
	for range 8 {
		fixture.dial("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	fixture.waitUntil("all run", func() bool { return fixture.listener.Budget.Serving() == 8 })
	fixture.Check(fixture.listener.IsFull(), qt.IsFalse)
	began := time.Now()
	fixture.waitUntil("it is full", func() bool {
		_ = fixture.dial("").Close()
		return fixture.listener.IsFull()
	})
	fixture.Check(time.Since(began) >= fullTime, qt.IsTrue)
	close(fixture.resume)
	fixture.waitUntil("it has room", func() bool { return !fixture.listener.IsFull() })
}

// TestBodiesFindRoom guards against callers whose bodies are refused because others hold all
// memory without making progress.
func TestBodiesFindRoom(t *testing.T) {
	fixture := newFixture(t, nil)
	var crowd []net.Conn
	for range 4 {
		crowd = append(crowd, fixture.dial(post("/", 900<<10)+strings.Repeat("x", 900<<10-1)))
	}
	// On a busy machine the first ones may give way before the last one is read.
	fixture.waitUntil("the bodies are read", func() bool {
		return fixture.listener.Budget.Held(memory.Bodies) > 2<<20 || fixture.listener.Budget.GaveWay(memory.Bodies) > 0
	})
	time.Sleep(150 * time.Millisecond)
	status, text := fixture.answer(fixture.dial(post("/", 900<<10) + strings.Repeat("x", 900<<10)))
	fixture.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	status, _ = fixture.answer(crowd[0])
	fixture.Check(status, qt.Equals, http.StatusServiceUnavailable)
}

// TestUnreadAnswers guards against callers that hold an answer for good by not reading it.
func TestUnreadAnswers(t *testing.T) {
	fixture := newFixture(t, func(listener *Listener) { listener.WriteTimeout = 300 * time.Millisecond })
	fixture.dial("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	fixture.waitUntil("the request runs", func() bool { return fixture.listener.Budget.Held(memory.Requests) > 0 })
	fixture.waitUntil("it has ended", func() bool { return fixture.listener.Budget.Held(memory.Requests) == 0 })
	fixture.waitUntil("its connection has ended", func() bool { return fixture.listener.Budget.Holders() == 0 })
}

// TestKeepAliveBearsALostProbe guards against a TCP_USER_TIMEOUT that ends an idle connection after
// one lost keep-alive probe, as a short time for writes did.
func TestKeepAliveBearsALostProbe(t *testing.T) {
	c := qt.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	bounded := &Listener{Listener: raw, Budget: &memory.Budget{}, WriteTimeout: 2 * time.Second}
	bounded.Budget.Parts[memory.Connections] = memory.ConnectionCost
	go func() { _, _ = net.Dial("tcp", raw.Addr().String()) }()
	conn, err := bounded.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _, _ = conn.Close(), raw.Close() }()
	control(conn.(*Conn).socket, func(descriptor int) {
		value, err := syscall.GetsockoptInt(descriptor, syscall.IPPROTO_TCP, userTimeout)
		c.Check(err, qt.IsNil)
		c.Check(value, qt.Equals, 10000)
	})
}

// TestBrokenAnswer guards against an answer that breaks off and looks complete to a caller of
// HTTP/1.0, for whom it ends with the connection.
func TestBrokenAnswer(t *testing.T) {
	fixture := newFixture(t, nil)
	_, err := io.ReadAll(fixture.dial("GET /broken HTTP/1.0\r\nHost: h\r\n\r\n"))
	fixture.Check(err, qt.ErrorMatches, ".*connection reset by peer")
	fixture.waitUntil("its connection has ended", func() bool { return fixture.listener.Budget.Holders() == 0 })
}

// TestKeptConnection guards against callers that lose their connection though they wait for each
// answer, with and without bodies.
func TestKeptConnection(t *testing.T) {
	fixture := newFixture(t, nil)
	conn := fixture.dial("")
	reader := bufio.NewReader(conn)
	for i := range 2000 {
		body := strings.Repeat("x", i%3*3000)
		_, err := io.WriteString(conn, post("/", len(body))+body)
		fixture.Assert(err, qt.IsNil)
		response, err := http.ReadResponse(reader, nil)
		fixture.Assert(err, qt.IsNil, qt.Commentf("request %d", i))
		fixture.Assert(response.Close, qt.IsFalse)
		_, err = io.Copy(io.Discard, response.Body)
		fixture.Assert(err, qt.IsNil)
	}
}

// TestPipelined guards against callers that send one request after the other without reading:
// few of them run, and all of those are answered.
func TestPipelined(t *testing.T) {
	fixture := newFixture(t, nil)
	conn := fixture.dial(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 300))
	reader := bufio.NewReader(conn)
	answers := 0
	for ; ; answers++ {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		_, err = io.Copy(io.Discard, response.Body)
		fixture.Assert(err, qt.IsNil)
	}
	fixture.Check(answers > 1 && answers <= maxPipelined+2, qt.IsTrue, qt.Commentf("%d answers", answers))
}

// TestMessagesFindRoom guards against connections to the address for other hosts whose messages
// don't end: they must not fill the memory, nor keep out messages that do.
func TestMessagesFindRoom(t *testing.T) {
	c := qt.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	budget := &memory.Budget{}
	budget.Parts[memory.Connections] = 8 * memory.ConnectionCost
	budget.Parts[memory.Bodies] = 4 << 20
	listener := &Listener{Listener: raw, Budget: budget, Messages: true}
	fixture := &fixture{C: c, listener: listener, address: raw.Addr().String()}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					if _, err := reader.ReadString('\n'); err != nil {
						return
					}
					if _, err := io.WriteString(conn, "taken\n"); err != nil {
						return
					}
				}
			})
		}
	})
	message := strings.Repeat("x", 1<<20)
	for range 4 {
		conn := fixture.dial("")
		group.Go(func() { _, _ = io.WriteString(conn, message[:512<<10]) })
	}
	fixture.waitUntil("their messages are read", func() bool { return budget.Held(memory.Bodies) > 2<<20 })
	c.Check(budget.Held(memory.Bodies) <= 4<<20, qt.IsTrue)
	// One that waits for room for bytes that have come has not stalled yet.
	refused := int64(-1)
	fixture.waitUntil("no message waits for room", func() bool {
		before := refused
		refused = budget.Refused(memory.Bodies)
		if before == refused {
			return true
		}
		time.Sleep(150 * time.Millisecond)
		return false
	})
	conn := fixture.dial(message + "\n")
	c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	reply, err := bufio.NewReader(conn).ReadString('\n')
	c.Check(reply, qt.Equals, "taken\n", qt.Commentf("%v", err))
	_ = raw.Close()
	fixture.waitUntil("only the others' are held", func() bool { return budget.Held(memory.Bodies) < 4<<20 })
	for _, kind := range []memory.Kind{memory.Connections, memory.Bodies} {
		c.Check(budget.Held(kind) <= budget.Parts[kind], qt.IsTrue)
	}
}
