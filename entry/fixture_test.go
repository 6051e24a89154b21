package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/invariant"
	"nutmegfield.example/memory"
	"nutmegfield.example/once"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
	"nutmegfield.example/settings"
	"nutmegfield.example/timeline"
)

const fixtureConfiguration = `
tiers: [draft, status]
profiles:
  - {name: chat, tier: draft, deadline: 20s, idempotent: true}
  - {name: chatOnce, tier: draft, deadline: 20s}
  - {name: status, tier: status, deadline: 5s, idempotent: true}
  - {name: payment, tier: draft, deadline: 5s}
workspaces:
  - {name: clubs}
  # The token is "laces".
  - {name: shop, tokenHashes: [0720d9676de6561eceb3600e54bfbcf26465876f62a568fa830b464247f0e5e4]}
  - {name: few, waiting: 1}
  - {name: slow, rate: 1}
pools:
  - name: boots
    kind: model
    profile: chat
    profiles: [chatOnce]
    targets: [{name: e1, zone: a, protocol: engine, address: "http://e1"}]
  - name: orders
    kind: service
    profile: status
    profiles: [payment]
    targets: [{name: s1, zone: a, protocol: service, address: "http://s1"}]
`

// pipeListener accepts in-memory connections, whose deadlines follow the test's
// fake clock.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (pipeListener *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-pipeListener.connections:
		return connection, nil
	case <-pipeListener.closed:
		return nil, net.ErrClosed
	}
}

func (pipeListener *pipeListener) Close() error {
	pipeListener.once.Do(func() { close(pipeListener.closed) })
	return nil
}

func (pipeListener *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
}

// dial opens a connection to the listener.
func (pipeListener *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case pipeListener.connections <- server:
		return client, nil
	case <-pipeListener.closed:
		return nil, net.ErrClosed
	}
}

// fixture is an Entry that is served over in-memory connections, with fakes for
// the scheduler, the targets and the platform.
type fixture struct {
	*qt.C
	entry       *Entry
	listener    *pipeListener
	client      *http.Client
	stop        context.CancelFunc
	serveResult chan error
	platform    map[string]once.Object

	// decide answers a ticket; if nil, each is granted at once. A nil result
	// leaves the ticket undecided.
	decide func(*request.Ticket) *Decision
	// answer returns the target's answer after the request was dispatched; if
	// nil, it is an empty JSON object.
	answer func(ctx context.Context, call *protocol.Call) (*protocol.Answer, error)

	// outage makes calls to the platform fail after outageDelay.
	outage atomic.Bool

	mutex     sync.Mutex
	calls     []*protocol.Call
	releases  []*request.Release
	withdrawn int
	cancelled int
}

func newFixture(t testing.TB) *fixture {
	c := qt.New(t)
	configuration, err := profile.Decode("fixture.yaml", []byte(fixtureConfiguration))
	c.Assert(err, qt.IsNil)
	loaded, err := settings.Decode("host.yaml", []byte("host: {id: a1, zone: a}\nplatform: {address: 'http://p'}\n"))
	c.Assert(err, qt.IsNil)
	fixture := &fixture{C: c, listener: newPipeListener(), serveResult: make(chan error, 1), platform: map[string]once.Object{}}
	store := &profile.Store{}
	store.ApplyIfNewer(profile.NewSnapshot(1, *configuration))
	fixture.entry = &Entry{
		Settings:        &loaded.Callers,
		DrainSettings:   &loaded.Drain,
		Store:           store,
		Records:         fixture.records(),
		Events:          &timeline.Recorder{Host: "a1"},
		HostIncarnation: "a1",
		Client: func(string) *protocol.Client {
			return &protocol.Client{Dispatch: fixture.dispatch, Cancel: fixture.cancel}
		},
		Submit:   fixture.submit,
		Withdraw: func(*request.Ticket) { fixture.withLock(func() { fixture.withdrawn++ }) },
		Release: func(release *request.Release) {
			// The caller may have its answer before the grant is released.
			time.Sleep(time.Millisecond)
			fixture.withLock(func() { fixture.releases = append(fixture.releases, release) })
		},
		Progress: func(*request.Grant, time.Duration) {},
	}
	fixture.client = &http.Client{
		Transport:     &http.Transport{DialContext: fixture.listener.dial},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c.Cleanup(invariant.OnBreach(func(message string) { t.Error(message) }))
	return fixture
}

// runFixture serves a fixture under a fake clock, runs the test and checks that
// nothing is left over.
func runFixture(t *testing.T, test func(fixture *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.serve()
		defer fixture.client.CloseIdleConnections()
		defer fixture.stop()
		test(fixture)
		fixture.assertClean()
	})
}

func (fixture *fixture) serve() {
	ctx, stop := context.WithCancel(context.Background())
	fixture.stop = stop
	accepting := newListener(fixture.listener, nil, memory.NewPlan(134<<20, 4100), fixture.entry.Settings)
	fixture.entry.Memory, fixture.entry.Callers = accepting.Budget, accepting
	go func() { fixture.serveResult <- fixture.entry.Serve(ctx, accepting) }()
	synctest.Wait()
}

// assertClean stops serving and checks that no request, key, waiting count or body
// memory is left.
func (fixture *fixture) assertClean() {
	fixture.client.CloseIdleConnections()
	fixture.entry.running.Wait()
	fixture.stop()
	fixture.Assert(<-fixture.serveResult, qt.IsNil)
	// A connection that the server closes beside its own goroutine gives back its memory a moment
	// later.
	synctest.Wait()
	fixture.Assert(fixture.entry.activeRequests.Load(), qt.Equals, int64(0))
	fixture.Assert(fixture.entry.bodyBytes.Load(), qt.Equals, int64(0))
	for _, kind := range memory.Kinds() {
		fixture.Assert(fixture.entry.Memory.Held(kind), qt.Equals, int64(0), qt.Commentf("%s", kind))
	}
	fixture.Assert(fixture.entry.jobs.list(), qt.HasLen, 0)
	fixture.Assert(fixture.entry.keys.locked, qt.HasLen, 0)
	fixture.entry.limits.workspaces.Range(func(name, usage any) bool {
		fixture.Assert(usage.(*workspaceUsage).waiting.Load(), qt.Equals, int64(0), qt.Commentf("workspace %s", name))
		return true
	})
}

func (fixture *fixture) withLock(work func()) {
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	work()
}

func (fixture *fixture) submit(ticket *request.Ticket) <-chan Decision {
	decisions := make(chan Decision, 1)
	decide := fixture.decide
	if decide == nil {
		decide = grantTicket
	}
	if decision := decide(ticket); decision != nil {
		decisions <- *decision
	}
	return decisions
}

// grantTicket grants a ticket on the only target of its pool.
func grantTicket(ticket *request.Ticket) *Decision {
	name := map[string]string{"boots": "e1", "orders": "s1"}[ticket.Pool]
	return &Decision{Grant: &request.Grant{
		Ticket: ticket.ID, Round: ticket.Round, Pool: ticket.Pool, Target: name, Lifetime: time.Second,
	}}
}

// neverDecide leaves a ticket undecided.
func neverDecide(*request.Ticket) *Decision { return nil }

// dispatch is the client of every protocol: it records the call after its dispatch
// and returns the fixture's answer.
func (fixture *fixture) dispatch(ctx context.Context, _ string, call *protocol.Call) (*protocol.Answer, error) {
	if !call.BeforeSend() {
		return nil, protocol.NotSent.New("refused")
	}
	fixture.withLock(func() { fixture.calls = append(fixture.calls, call) })
	if fixture.answer == nil {
		return newAnswer(http.StatusOK, strings.NewReader("{}")), nil
	}
	return fixture.answer(ctx, call)
}

func (fixture *fixture) cancel(context.Context, string, request.ID) error {
	fixture.withLock(func() { fixture.cancelled++ })
	return nil
}

func newAnswer(status int, body io.Reader) *protocol.Answer {
	return &protocol.Answer{
		Status: status,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   io.NopCloser(body),
		Usage:  func() request.Usage { return request.Usage{} },
	}
}

// outageDelay is how long a call takes to fail during an outage of the platform.
const outageDelay = 2 * time.Second

// records returns a record store that uses the fixture's platform.
func (fixture *fixture) records() *once.Store {
	store := &once.Store{}
	for index := range once.RangeCount {
		store.Ranges = append(store.Ranges, &once.KeyRange{
			Name: once.RangeName(index), Read: fixture.read, Write: fixture.replace,
			Remove:    func(context.Context, string) error { return nil },
			Retention: func() time.Duration { return 24 * time.Hour },
		})
	}
	return store
}

func (fixture *fixture) read(_ context.Context, name string) (once.Object, error) {
	if fixture.outage.Load() {
		time.Sleep(outageDelay)
		return once.Object{}, once.Lost.New("no answer")
	}
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	object, ok := fixture.platform[name]
	if !ok {
		return object, once.NotFound.New("%s", name)
	}
	return object, nil
}

func (fixture *fixture) replace(_ context.Context, object once.Object) (int64, error) {
	if fixture.outage.Load() {
		time.Sleep(outageDelay)
		return 0, once.Lost.New("no answer")
	}
	fixture.mutex.Lock()
	defer fixture.mutex.Unlock()
	if fixture.platform[object.Name].Version != object.Version {
		return 0, once.Conflict.New("%s", object.Name)
	}
	object.Version++
	fixture.platform[object.Name] = object
	return object.Version, nil
}

// reply is an answer as the caller receives it.
type reply struct {
	status  int
	header  http.Header
	body    string
	trailer http.Header
	err     error
}

// send sends a request of the workspace clubs; headers are pairs of a name and a
// value.
func (fixture *fixture) send(ctx context.Context, method, path, body string, headers ...string) reply {
	sent, err := http.NewRequestWithContext(ctx, method, "http://host"+path, strings.NewReader(body))
	fixture.Assert(err, qt.IsNil)
	sent.Header.Set(HeaderWorkspace, "clubs")
	for i := 0; i < len(headers); i += 2 {
		sent.Header.Set(headers[i], headers[i+1])
	}
	response, err := fixture.client.Do(sent)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(text), response.Trailer, err}
}

// post sends a request in the background and returns when the host is idle.
func (fixture *fixture) post(ctx context.Context, path, body string, headers ...string) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- fixture.send(ctx, http.MethodPost, path, body, headers...) }()
	synctest.Wait()
	return replies
}

var paymentHeaders = []string{HeaderProfile, "payment", HeaderIdempotency, "order-17"}

// pay posts a non-idempotent request, always with the same key and body.
func (fixture *fixture) pay(ctx context.Context) <-chan reply {
	return fixture.post(ctx, "/services/orders/payments", `{"yen":1}`, paymentHeaders...)
}

// writeRaw writes raw bytes. It ignores errors, because a host that refuses early
// stops reading.
func (fixture *fixture) writeRaw(connection net.Conn, raw string) {
	_, _ = io.WriteString(connection, raw)
}

const (
	chatText   = `{"model":"boots","messages":[{"role":"user","content":"a boot"}]}`
	streamText = `{"model":"boots","stream":true,"messages":[{"role":"user","content":"a boot"}]}`
)

var errLost = errors.New("lost")

// brokenReader reads a text and then fails with an error.
type brokenReader struct {
	io.Reader
	err error
}

func (brokenReader *brokenReader) Read(into []byte) (int, error) {
	n, err := brokenReader.Reader.Read(into)
	if errors.Is(err, io.EOF) {
		err = brokenReader.err
	}
	return n, err
}
