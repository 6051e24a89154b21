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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"nutmegfield.example/balance"
	"nutmegfield.example/budget"
	"nutmegfield.example/detour"
	"nutmegfield.example/limit"
	"nutmegfield.example/listener"
	"nutmegfield.example/memory"
	"nutmegfield.example/origin"
	"nutmegfield.example/quarantine"
	"nutmegfield.example/quota"
	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
	"nutmegfield.example/witness"
)

// Header fields of the test protocol.
const (
	testID        = "Test-Id"
	testKey       = "Test-Key"
	testTarget    = "Test-Target"
	testWorkspace = "Test-Workspace"
	testSeal      = "Test-Seal"
	testNotRun    = "Test-Not-Run"
	testTokens    = "Test-Tokens"
	testLimit     = "Test-Limit"
	testBrittle   = "Test-Brittle"
	testLeaving   = "Test-Leaving"
	testWeights   = "Test-Weights"
	testRest      = "Test-Rest"
	testLastEvent = "Last-Event-Id"
	testResumes   = "Test-Resumes"
)

var testProtocol = Protocol{
	ReadCall: func(header http.Header) Call {
		tokens, err := strconv.Atoi(header.Get(testTokens))
		return Call{
			ID: header.Get(testID), Key: header.Get(testKey), LastEventID: header.Get(testLastEvent),
			Resumes:        header.Get(testResumes),
			HasTokenCounts: err == nil, PromptTokens: tokens,
		}
	},
	WriteForward: func(header http.Header, forward Forward) {
		header.Del(testKey)
		if forward.ID != "" {
			header.Set(testID, forward.ID)
		}
		header.Set(testTarget, forward.Target)
		if forward.Workspace != "" {
			header.Set(testWorkspace, forward.Workspace)
		}
		if forward.LastEventID != "" {
			header.Set(testLastEvent, forward.LastEventID)
		}
	},
	ReadReply: func(status int, header http.Header) Reply {
		// No limit is 0.
		limit, _ := strconv.ParseFloat(header.Get(testLimit), 64)
		brittle, _ := strconv.Atoi(header.Get(testBrittle))
		// No time is 0.
		rest, _ := time.ParseDuration(header.Get(testRest))
		return Reply{
			Leaving: header.Get(testLeaving) != "", Rest: rest,
			RateLimit: limit, Brittle: brittle, Weights: ReadWeights(header.Get(testWeights)),
			ID: header.Get(testID), NotRun: header.Get(testNotRun) != "",
			Misdirected: status == http.StatusMisdirectedRequest, Sealed: header.Get(testSeal) != "",
		}
	},
	WeightsField: strings.ToLower(testWeights),
	ReadIdentity: func(status int, header http.Header, _ []byte) witness.Identity {
		return witness.Identity{Target: header.Get(testTarget), Misdirected: status == http.StatusMisdirectedRequest}
	},
	WriteRefusal: func(header http.Header, _ Call, after time.Duration) {
		if after > 0 {
			header.Set("Retry-After", fmt.Sprintf("%.3f", after.Seconds()))
		}
	},
}

const (
	testPool   = "p"
	testHealth = "/health"
)

// checkTarget opens a connection to a target and closes it.
func checkTarget(ctx context.Context, target *balance.Target) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// fixture is a gateway with targets that send scripted replies.
type fixture struct {
	*qt.C
	gateway  *Gateway
	server   *httptest.Server
	ledger   *quota.Ledger
	balancer *balance.Balancer
	table    *route.Table
	targets  []balance.Target

	mutex sync.Mutex
	// replies are sent in order, whichever target receives the request.
	replies []string
	// received are the requests that targets have read, one line each.
	received []string
	// health is the reply to health checks, HEALTHY if empty.
	health atomic.Pointer[string]
	// heldClosed receives a value when the gateway closes a connection whose reply
	// ended with HOLD.
	heldClosed chan struct{}
	// resume is closed to let targets go on whose reply has PAUSE.
	resume chan struct{}
}

func newFixture(c *qt.C, configuration *route.Configuration, targets int) *fixture {
	fixture := &fixture{
		C:          c,
		ledger:     &quota.Ledger{Interval: func() time.Duration { return time.Second }},
		balancer:   &balance.Balancer{},
		table:      route.NewTable(configuration),
		heldClosed: make(chan struct{}, 16),
		resume:     make(chan struct{}),
	}
	var list []balance.Target
	for i := range targets {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = listener.Close() })
		go fixture.serveTarget(listener)
		list = append(list, balance.Target{
			ID: fmt.Sprintf("t%d", i), Pool: testPool, Address: listener.Addr().String(), Slots: 8,
		})
	}
	fixture.targets = list
	fixture.balancer.SetTargets(list, nil)
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go func() { _ = fixture.balancer.Run(ctx) }()
	fixture.gateway = &Gateway{
		Protocol: testProtocol,
		Connections: &upstream.Connections{
			Dial: (&net.Dialer{}).DialContext, DialTimeout: time.Second, Identify: identify(testProtocol),
		},
		Balancer: fixture.balancer,
		Ledger:   fixture.ledger,
		Attempts: &quarantine.Attempts{Check: checkTarget, CheckTimeout: time.Second},
		Suspects: &quarantine.Suspects{},
		Limiter:  &limit.Limiter{},
		Origins: &origin.Origins{
			Members: func() []string { return nil }, Known: func() int { return 0 },
			ReadTargets: func(context.Context, time.Time) error { return errors.New("no platform") },
		},
		Budget:  &budget.Budget{Ratio: 1, Window: 10 * time.Second, Spare: 10, Hosts: func() int { return 1 }, StartedAt: time.Now().Add(-time.Minute)},
		Events:  &timeline.Recorder{},
		Table:   func() *route.Table { return fixture.table },
		Refresh: func(context.Context) error { return nil },
	}
	fixture.gateway.Witnesses = fixture.gateway.NewWitnesses()
	fixture.server = httptest.NewUnstartedServer(fixture.gateway)
	fixture.gateway.Callers = &listener.Listener{Listener: fixture.server.Listener, Budget: memory.NewPlan(1<<30, 1<<10).Callers}
	fixture.server.Listener = fixture.gateway.Callers
	listener.Bind(fixture.server.Config)
	fixture.server.Start()
	c.Cleanup(fixture.server.Close)
	return fixture
}

// reachOverAnotherHost keeps the gateway from all targets, so that another host sends its
// requests.
func (fixture *fixture) reachOverAnotherHost() {
	server := &detour.Server{
		Connections: fixture.gateway.Connections,
		Target: func(incarnation balance.Incarnation) (balance.Target, bool, bool) {
			return *fixture.target(incarnation.Target), true, true
		},
		Reaches:  func(string) bool { return true },
		Watch:    func(string) *detour.Attempt { return &detour.Attempt{} },
		OnFailed: func(string) {},
		OnAnswer: func(*balance.Target, *upstream.Answer) {},
		Begin:    func() func() { return func() {} },
		Events:   &timeline.Recorder{},

		OnSkipped: fixture.gateway.recordSkipped,
		WatchEnd:  fixture.gateway.Witnesses.Begin,
	}
	mux := drpcmux.New()
	fixture.Assert(server.Register(mux), qt.IsNil)
	fixture.gateway.Detours = &detour.Client{
		Host:  "a",
		Hosts: func(string) []detour.Host { return []detour.Host{{ID: "b", Address: "b"}} },
		Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _ = drpcserver.New(mux).ServeOne(fixture.Context(), far) }()
			return near, nil
		},
		Identify: fixture.gateway.Connections.Identify,
		Events:   &timeline.Recorder{},
	}
	fixture.gateway.Paths = &detour.Paths{
		Connect:        func(context.Context, string) error { return syscall.EHOSTUNREACH },
		ConnectTimeout: time.Second,
		Events:         &timeline.Recorder{},
	}
	fixture.gateway.Paths.SetTargets(fixture.targets)
	fixture.Assert(fixture.gateway.Paths.Confirm(fixture.Context(), testPool), qt.IsFalse)
}

// target returns the target with an id.
func (fixture *fixture) target(id string) *balance.Target {
	for i := range fixture.targets {
		if fixture.targets[i].ID == id {
			return &fixture.targets[i]
		}
	}
	return nil
}

// refuseChecks fails as a connection to a target that has ended does.
func (fixture *fixture) refuseChecks(context.Context, *balance.Target) error {
	return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// serveTarget accepts a target's connections and serves each of them.
func (fixture *fixture) serveTarget(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go fixture.serveConnection(conn)
	}
}

// serveConnection answers the requests of a connection with the scripted replies.
func (fixture *fixture) serveConnection(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		var reply string
		if request.URL.Path == testHealth {
			reply = fixture.healthReply()
		} else {
			reply = fixture.nextReply(request, body)
		}
		for line := range strings.SplitSeq(strings.TrimSuffix(reply, "\n"), "\n") {
			switch line {
			case "CLOSE":
				return
			case "RESET":
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			case "PAUSE":
				<-fixture.resume
				continue
			case "HOLD":
				_, _ = reader.Peek(1)
				fixture.heldClosed <- struct{}{}
				return
			}
			if text, ok := strings.CutPrefix(line, "ENDLESS "); ok {
				fixture.writeEndlessly(conn, text)
				return
			}
			if quoted, ok := strings.CutPrefix(line, "RAW "); ok {
				text, err := strconv.Unquote(quoted)
				fixture.Check(err, qt.IsNil)
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", request.Header.Get(testID)))
				continue
			}
			if text, ok := strings.CutPrefix(line, "FILL "); ok {
				if fixture.fill(conn, text) != nil {
					return
				}
				continue
			}
			if text, ok := strings.CutPrefix(line, "TRICKLE "); ok {
				fixture.trickle(conn, text)
				return
			}
			_, _ = io.WriteString(conn, strings.NewReplacer("ID", request.Header.Get(testID), "TARGET", request.Header.Get(testTarget)).Replace(line)+"\r\n")
		}
	}
}

// healthReply returns the reply to a health check.
func (fixture *fixture) healthReply() string {
	if reply := fixture.health.Load(); reply != nil {
		return *reply
	}
	return healthyReply
}

// healthyReply is that of the target that is asked.
const healthyReply = "HTTP/1.1 200 OK\nTest-Id: ID\nTest-Target: TARGET\nContent-Length: 0\n\n"

// writeEndlessly writes a text, in Go syntax, again and again until the connection is
// closed.
func (fixture *fixture) writeEndlessly(conn net.Conn, quoted string) {
	text, err := strconv.Unquote(quoted)
	fixture.Check(err, qt.IsNil)
	block := strings.Repeat(text, 1+(16<<10)/len(text))
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}

// fill writes a text, in Go syntax and with a verb for its number, a number of times.
func (fixture *fixture) fill(conn net.Conn, directive string) error {
	var count int
	var text string
	_, err := fmt.Sscanf(directive, "%d %q", &count, &text)
	fixture.Check(err, qt.IsNil)
	writer := bufio.NewWriter(conn)
	for i := range count {
		if _, err := fmt.Fprintf(writer, text, i); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// trickle writes a text, in Go syntax, again and again, a byte each 20 ms.
func (fixture *fixture) trickle(conn net.Conn, quoted string) {
	text, err := strconv.Unquote(quoted)
	fixture.Check(err, qt.IsNil)
	for i := 0; err == nil; i++ {
		_, err = conn.Write([]byte{text[i%len(text)]})
		time.Sleep(20 * time.Millisecond)
	}
}

// nextReply records a request and returns the next scripted reply, CLOSE if there is
// none.
func (fixture *fixture) nextReply(request *http.Request, body []byte) string {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	text := request.Method + " " + request.RequestURI
	for _, name := range []string{testKey, testWorkspace, testLastEvent, "X-Hop", "X-Other"} {
		if value := request.Header.Get(name); value != "" {
			text += " " + name + "=" + value
		}
	}
	fixture.received = append(fixture.received, strings.TrimSpace(text+" "+string(body)))
	if len(fixture.replies) == 0 {
		return "CLOSE"
	}
	reply := fixture.replies[0]
	fixture.replies = fixture.replies[1:]
	return reply
}

// receivedRequests returns the requests that targets have read so far.
func (fixture *fixture) receivedRequests() []string {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	return append([]string(nil), fixture.received...)
}

func testConfiguration(edit func(*route.Route)) *route.Configuration {
	configuration := &route.Configuration{
		Version: 1,
		Routes: []route.Route{{
			Name: "r", Host: "h.example", Prefix: "/r/", Attempts: 2, Timeout: 5 * time.Second,
			Pools: []route.WeightedPool{{Pool: testPool, Weight: 1}},
		}},
		Pools:      []route.Pool{{Name: testPool, HealthPath: testHealth}},
		Workspaces: []route.Workspace{{Name: "clubs", Keys: []string{"k"}}},
	}
	if edit != nil {
		edit(&configuration.Routes[0])
	}
	return configuration
}

// newRequest returns a caller's request with the fixture's host name, id and key.
func (fixture *fixture) newRequest(ctx context.Context, method, path, body string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, fixture.server.URL+path, strings.NewReader(body))
	fixture.Assert(err, qt.IsNil)
	request.Host = "h.example"
	request.Header.Set(testID, "q1")
	request.Header.Set(testKey, "k")
	return request
}
