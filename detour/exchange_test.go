package detour

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

var hostCount = flag.Int("hosts", 40, "the number of hosts of TestFewHostsSendForMany")

// network connects hosts and targets by pipes.
type network struct {
	mutex   sync.Mutex
	serve   map[string]func(net.Conn)
	refused map[string]bool
	// toHosts are the connections that were opened to hosts.
	toHosts []net.Conn
	// dials and bytes count the connections and bytes to hosts, open those that are open and
	// mostOpen the most at once.
	dials, bytes, open, mostOpen atomic.Int64
}

func (network *network) dial(_ context.Context, _, address string) (net.Conn, error) {
	network.mutex.Lock()
	serve := network.serve[address]
	isRefused := network.refused[address]
	network.mutex.Unlock()
	if serve == nil || isRefused {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	go serve(far)
	if strings.HasPrefix(address, "host") {
		network.dials.Add(1)
		network.mostOpen.Store(max(network.mostOpen.Load(), network.open.Add(1)))
		network.mutex.Lock()
		network.toHosts = append(network.toHosts, near)
		network.mutex.Unlock()
		return &countedConn{Conn: near, bytes: &network.bytes, onClose: sync.OnceFunc(func() { network.open.Add(-1) })}, nil
	}
	return near, nil
}

// cut breaks the connections to hosts.
func (network *network) cut() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, conn := range network.toHosts {
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
	// onClose is called by Close. It may be nil.
	onClose func()
}

func (conn *countedConn) Close() error {
	if conn.onClose != nil {
		conn.onClose()
	}
	return conn.Conn.Close()
}

func (conn *countedConn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	conn.bytes.Add(int64(n))
	return n, err
}

func (conn *countedConn) Write(buffer []byte) (int, error) {
	n, err := conn.Conn.Write(buffer)
	conn.bytes.Add(int64(n))
	return n, err
}

// testTarget is a target that answers requests by a script.
type testTarget struct {
	balance.Target
	mutex sync.Mutex
	// reply is sent to each request after delay; an empty one ends the connection.
	reply string
	delay time.Duration
	runs  map[string]int
	// closed counts the connections that were closed while a request ran.
	closed atomic.Int64
}

func (testTarget *testTarget) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		testTarget.mutex.Lock()
		id := request.Header.Get("Id")
		testTarget.runs[id]++
		reply, delay := testTarget.reply, testTarget.delay
		testTarget.mutex.Unlock()
		ended := make(chan struct{})
		if delay > 0 {
			go func() {
				defer close(ended)
				_, _ = reader.Peek(1)
			}()
			select {
			case <-ended:
				testTarget.closed.Add(1)
				return
			case <-time.After(delay):
			}
			// The pending read ends with the connection.
			reply = strings.Replace(reply, "\r\n", "\r\nConnection: close\r\n", 1)
		}
		if reply == "" {
			return
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(reply, "ID", id)); err != nil || delay > 0 {
			return
		}
	}
}

// hostFixture is a host that sends requests for others.
type hostFixture struct {
	server   *Server
	unwanted atomic.Bool
	reaches  atomic.Bool
	draining atomic.Bool
	failed   atomic.Int64
	// skipped counts the answers that were not taken as a request's own.
	skipped atomic.Int64
}

func newHostFixture(ctx context.Context, network *network, address string, targets []*testTarget) *hostFixture {
	fixture := &hostFixture{}
	fixture.reaches.Store(true)
	fixture.server = &Server{
		Connections: &upstream.Connections{
			Dial: network.dial, DialTimeout: 300 * time.Millisecond,
			Identify: identify,
		},
		Target: func(incarnation balance.Incarnation) (balance.Target, bool, bool) {
			for _, target := range targets {
				if target.Incarnation() == incarnation {
					return target.Target, true, !fixture.unwanted.Load()
				}
			}
			return balance.Target{}, false, false
		},
		Reaches:    func(string) bool { return fixture.reaches.Load() },
		IsDraining: fixture.draining.Load,
		OnFailed:   func(string) { fixture.failed.Add(1) },
		OnAnswer:   func(*balance.Target, *upstream.Answer) {},
		OnSkipped:  func(string, *balance.Target, upstream.Skipped) { fixture.skipped.Add(1) },
		Begin:      func() func() { return func() {} },
		Watch:      func(string) *Attempt { return &Attempt{} },
		Events:     &timeline.Recorder{},
	}
	mux := drpcmux.New()
	if err := fixture.server.Register(mux); err != nil {
		panic(err)
	}
	go func() { _ = fixture.server.Run(ctx) }()
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.serve[address] = func(conn net.Conn) { _ = drpcserver.New(mux).ServeOne(ctx, conn) }
	return fixture
}

// identify reads the header fields of test targets.
func identify(_ int, header http.Header) upstream.Identity {
	return upstream.Identity{ID: header.Get("Id"), NotRun: header.Get("Not-Run") != ""}
}

func newTestTarget(network *network, id string) *testTarget {
	target := &testTarget{
		Target: balance.Target{ID: id, Pool: testPool, Address: "target " + id, StartedAt: time.UnixMilli(7)},
		reply:  "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nwhole", runs: map[string]int{},
	}
	network.serve[target.Address] = target.serveConn
	return target
}

// TestExchange guards against requests that run twice, or that are said not to have run
// although they may have, and against answers that are cut and look whole, when they go over
// another host.
func TestExchange(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "exchanges.txtar"))
	qt.Assert(t, err, qt.IsNil)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				script := newExchangeScript(ctx, t)
				for line := range strings.Lines(string(file.Data)) {
					script.run(strings.TrimSpace(line))
				}
				cancel()
				time.Sleep(time.Minute)
				for _, host := range script.hosts {
					host.server.Connections.CloseStale()
				}
			})
		})
	}
}

type exchangeScript struct {
	*qt.C
	network *network
	target  *testTarget
	hosts   map[string]*hostFixture
	listed  []Host
	client  *Client
	number  int
	maySend bool
	// once, noID and verified say what is sent, skipped counts the answers that were not taken.
	once, noID, verified bool
	skipped              int
}

func newExchangeScript(ctx context.Context, t *testing.T) *exchangeScript {
	network := &network{serve: map[string]func(net.Conn){}, refused: map[string]bool{}}
	script := &exchangeScript{C: qt.New(t), network: network, target: newTestTarget(network, "t"), hosts: map[string]*hostFixture{}, maySend: true}
	for _, name := range []string{"a", "b"} {
		script.hosts[name] = newHostFixture(ctx, network, "host "+name, []*testTarget{script.target})
		script.listed = append(script.listed, Host{ID: name, Address: "host " + name})
	}
	script.client = &Client{
		Host: "me", Hosts: func(string) []Host { return script.listed }, Dial: network.dial, Events: &timeline.Recorder{},
		Identify: identify,
	}
	return script
}

// run executes a command:
//
//	hosts NAME...           the hosts that reach the pool, of a and b
//	reply TEXT              what the target answers; ID is the request's, nothing ends the connection
//	delay DURATION          before it does
//	target down             connections to the target are refused
//	host NAME down, draining, unreached, unwanted, paused
//	host NAME finds another start of the target at its address
//	host NAME old           its build believes refusals that name no request
//	withdrawn               the request may not be sent any more
//	wait DURATION
//	send WANT               WANT is the status and body, or the kind of the error; runs is the target's
//	once WANT               the same for a request that may run once
//	verified WANT           the same for one that may only reach the start that is named
//	unnamed WANT            the same for a request without an id
//	skipped COUNT           answers that the client did not take as a request's own
//	leave                   sends a request whose caller leaves after 100 ms
//	cut WANT                sends a request that may run once; the connections to the hosts break while it runs
//	stop                    both hosts shut down while a request runs, and wait for it
//	check WANT
//	runs COUNT, closed COUNT
func (script *exchangeScript) run(line string) {
	command, rest, _ := strings.Cut(line, " ")
	comment := qt.Commentf("%s", line)
	switch command {
	case "hosts":
		script.listed = nil
		for _, name := range strings.Fields(rest) {
			script.listed = append(script.listed, Host{ID: name, Address: "host " + name})
		}
	case "reply":
		script.target.reply = strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(rest)
	case "delay", "wait":
		duration, err := time.ParseDuration(rest)
		script.Assert(err, qt.IsNil)
		if command == "delay" {
			script.target.delay = duration
			return
		}
		time.Sleep(duration)
	case "target":
		script.network.refused[script.target.Address] = true
	case "host":
		name, state, _ := strings.Cut(rest, " ")
		script.setState(name, state)
	case "withdrawn":
		script.maySend = false
	case "send":
		script.Assert(script.send(script.Context()), qt.Equals, rest, comment)
	case "once":
		script.once = true
		script.Assert(script.send(script.Context()), qt.Equals, rest, comment)
		script.once = false
	case "cut":
		script.once = true
		time.AfterFunc(10*time.Millisecond, script.network.cut)
		script.Assert(script.send(script.Context()), qt.Equals, rest, comment)
		script.once = false
	case "verified":
		script.verified = true
		script.Assert(script.send(script.Context()), qt.Equals, rest, comment)
		script.verified = false
	case "unnamed":
		script.noID = true
		script.Assert(script.send(script.Context()), qt.Equals, rest, comment)
		script.noID = false
	case "skipped":
		script.Assert(strconv.Itoa(script.skipped), qt.Equals, rest, comment)
	case "leave":
		ctx, cancel := context.WithTimeout(script.Context(), 100*time.Millisecond)
		defer cancel()
		script.Assert(script.send(ctx), qt.Equals, rest, comment)
	case "stop":
		answers := make(chan string)
		go func() { answers <- script.send(script.Context()) }()
		time.Sleep(10 * time.Millisecond)
		for _, host := range script.hosts {
			host.draining.Store(true)
		}
		for _, host := range script.hosts {
			ctx, cancel := context.WithTimeout(script.Context(), 5*time.Second)
			script.Assert(host.server.Wait(ctx), qt.IsNil, comment)
			cancel()
		}
		select {
		case answer := <-answers:
			script.Assert(answer, qt.Equals, rest, comment)
		case <-time.After(time.Millisecond):
			script.Fatalf("the hosts did not wait")
		}
	case "check":
		script.Assert(script.describe(script.client.Check(script.Context(), &script.target.Target)), qt.Equals, rest, comment)
	case "runs":
		runs := 0
		script.target.mutex.Lock()
		for _, count := range script.target.runs {
			script.Assert(count, qt.Equals, 1, comment)
			runs += count
		}
		script.target.mutex.Unlock()
		script.Assert(strconv.Itoa(runs), qt.Equals, rest, comment)
	case "closed":
		synctest.Wait()
		script.Assert(strconv.FormatInt(script.target.closed.Load(), 10), qt.Equals, rest, comment)
	default:
		script.Fatalf("unknown command %q", line)
	}
}

func (script *exchangeScript) setState(name, state string) {
	host := script.hosts[name]
	switch state {
	case "down":
		script.network.refused["host "+name] = true
	case "draining":
		host.draining.Store(true)
	case "unreached":
		host.reaches.Store(false)
	case "unwanted":
		host.unwanted.Store(true)
	case "old":
		host.server.Connections.Identify = func(status int, header http.Header) upstream.Identity {
			identity := identify(status, header)
			if identity.ID == "" && identity.NotRun {
				identity.ID = "r" + strconv.Itoa(script.number)
			}
			return identity
		}
	case "finds another start of the target at its address":
		host.server.Verify = func(context.Context, *balance.Target, time.Time) error { return errors.New("another start") }
	case "paused":
		host.server.awakeAt.Store(time.Now().Add(-time.Minute).UnixNano())
	default:
		script.Fatalf("unknown state %q", state)
	}
}

func (script *exchangeScript) send(ctx context.Context) string {
	script.number++
	id := "r" + strconv.Itoa(script.number)
	header := http.Header{"Id": {id}}
	if script.noID {
		id, header = "", http.Header{}
	}
	var verify func(context.Context, time.Time) error
	if script.verified {
		verify = func(context.Context, time.Time) error { return nil }
	}
	answer, err := script.client.Exchange(ctx, &Call{
		Target: &script.target.Target,
		Request: &upstream.Request{
			Verify: verify,
			Method: http.MethodPost, Target: "/path?query", Host: "h", Header: header, Body: []byte("body"), ID: id,
			MaySend: func() bool { return script.maySend }, Once: script.once,
			OnSkipped: func(upstream.Skipped) { script.skipped++ },
		},
	})
	if err != nil {
		return script.describe(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return fmt.Sprintf("%d %q and broken off", answer.Status, body)
	}
	return fmt.Sprintf("%d %q", answer.Status, body)
}

func (script *exchangeScript) describe(err error) string {
	switch {
	case err == nil:
		return "ok"
	case upstream.Is(err, Declined):
		return "declined"
	case upstream.Is(err, upstream.Withdrawn):
		return "withdrawn"
	case upstream.Is(err, upstream.NotSent):
		return "not sent"
	case upstream.Is(err, upstream.Unknown):
		return "unknown"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	default:
		return err.Error()
	}
}

// TestForwardingHostNoticesItsOwnCut guards against a host that gets requests of others only,
// loses its own links, too, and goes on taking requests that hang on its kept connections.
func TestForwardingHostNoticesItsOwnCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		script := newExchangeScript(ctx, t)
		paths := &Paths{
			ConnectTimeout: 300 * time.Millisecond, Events: &timeline.Recorder{},
			Connect: func(ctx context.Context, _ string) error {
				<-ctx.Done()
				return ctx.Err()
			},
		}
		paths.SetTargets([]balance.Target{script.target.Target})
		go func() { _ = paths.Run(ctx) }()
		server := script.hosts["a"].server
		server.Reaches, server.OnFailed = paths.Reaches, paths.Failed
		server.Watch = func(pool string) *Attempt { return paths.Begin(pool, func() {}) }
		script.listed = script.listed[:1]
		script.target.delay = 2 * time.Second
		go func() { script.send(ctx) }()
		time.Sleep(time.Second)
		c.Assert(paths.Reaches(testPool), qt.IsFalse)
		c.Assert(script.send(ctx), qt.Equals, "declined")
		time.Sleep(2 * time.Second)
		cancel()
		time.Sleep(time.Minute)
		for _, host := range script.hosts {
			host.server.Connections.CloseStale()
		}
	})
}

// TestFewHostsSendForMany guards against a herd on the few hosts that reach a pool: they take
// what they can, decline the rest at once, and are not asked again and again.
func TestFewHostsSendForMany(t *testing.T) {
	const (
		reaching      = 3
		rate          = 10
		seconds       = 4
		answerTime    = 400 * time.Millisecond
		declineRepeat = 5
		// maxOpenPerHost is a quarter of the descriptors for sockets of the users' machines.
		maxOpenPerHost = 975
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		network := &network{serve: map[string]func(net.Conn){}, refused: map[string]bool{}}
		target := newTestTarget(network, "t")
		target.delay = answerTime
		var listed []Host
		var fixtures []*hostFixture
		for i := range reaching {
			address := fmt.Sprintf("host r%d", i)
			fixtures = append(fixtures, newHostFixture(ctx, network, address, []*testTarget{target}))
			listed = append(listed, Host{ID: address, Address: address})
		}
		var served, declined, other, most atomic.Int64
		var group sync.WaitGroup
		for i := range *hostCount {
			client := &Client{Host: fmt.Sprintf("c%d", i), Hosts: func(string) []Host { return listed }, Dial: network.dial, Events: &timeline.Recorder{}, Identify: identify}
			for j := range rate * seconds {
				group.Go(func() {
					time.Sleep(time.Duration(j)*time.Second/rate + time.Duration(i)*time.Millisecond/4)
					id := fmt.Sprintf("%d-%d", i, j)
					answer, err := client.Exchange(ctx, &Call{Target: &target.Target, Request: &upstream.Request{
						Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, ID: id, Body: bytes.Repeat([]byte("b"), 500),
					}})
					for _, fixture := range fixtures {
						most.Store(max(most.Load(), fixture.server.running.Load()))
					}
					switch {
					case upstream.Is(err, Declined):
						declined.Add(1)
					case err != nil:
						other.Add(1)
					default:
						_, _ = io.Copy(io.Discard, answer.Body)
						_ = answer.Body.Close()
						served.Add(1)
					}
				})
			}
		}
		group.Wait()
		total := int64(*hostCount * rate * seconds)
		c.Logf("%d hosts over %d: %d of %d served, %d declined; at most %d at once on one; %d connections, %.0f bytes a request",
			*hostCount, reaching, served.Load(), total, declined.Load(), most.Load(), network.dials.Load(), float64(network.bytes.Load())/float64(max(1, served.Load())))
		c.Logf("at most %d connections were open at once", network.mostOpen.Load())
		c.Check(network.mostOpen.Load() <= int64(reaching*maxOpenPerHost), qt.IsTrue, qt.Commentf("%d", network.mostOpen.Load()))
		c.Check(other.Load(), qt.Equals, int64(0))
		c.Check(served.Load()+declined.Load(), qt.Equals, total)
		// Requests beyond the bound are refused while they are counted.
		c.Check(most.Load() <= 2*maxForwarded, qt.IsTrue, qt.Commentf("%d", most.Load()))
		capacity := int64(reaching*maxForwarded) * int64(seconds*time.Second/answerTime)
		c.Check(served.Load() >= min(total, capacity/2), qt.IsTrue, qt.Commentf("%d of %d", served.Load(), capacity))
		offers := network.dials.Load()
		c.Check(offers <= int64(reaching*maxForwarded)+int64(*hostCount*maxUsedHosts*declineRepeat*seconds), qt.IsTrue, qt.Commentf("%d", offers))
		target.mutex.Lock()
		for id, runs := range target.runs {
			c.Check(runs, qt.Equals, 1, qt.Commentf("%s", id))
		}
		target.mutex.Unlock()
		cancel()
		time.Sleep(time.Minute)
		for _, fixture := range fixtures {
			fixture.server.Connections.CloseStale()
		}
	})
}
