package peer

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcconn"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/timeline"
)

// pipes joins hosts by pipes, so that their time is paused.
type pipes struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
	conns     []*pipeConn
	// unread makes new connections that nobody reads.
	unread bool
}

// pipeConn is one end of a pipe. Once lost, what is written to either end
// vanishes, and neither is told.
type pipeConn struct {
	net.Conn
	lost   *atomic.Bool
	closed atomic.Bool
}

func (conn *pipeConn) Write(part []byte) (int, error) {
	if conn.lost.Load() {
		return len(part), nil
	}
	return conn.Conn.Write(part)
}

func (conn *pipeConn) Close() error {
	conn.closed.Store(true)
	return conn.Conn.Close()
}

type pipeListener struct {
	accepted chan net.Conn
	ended    chan struct{}
	once     sync.Once
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.accepted:
		return conn, nil
	case <-listener.ended:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	listener.once.Do(func() { close(listener.ended) })
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (pipes *pipes) dial(_ context.Context, address string) (net.Conn, error) {
	pipes.mutex.Lock()
	defer pipes.mutex.Unlock()
	listener := pipes.listeners[address]
	if listener == nil {
		return nil, errors.New("nobody listens")
	}
	near, far := net.Pipe()
	lost := &atomic.Bool{}
	client, server := &pipeConn{Conn: near, lost: lost}, &pipeConn{Conn: far, lost: lost}
	pipes.conns = append(pipes.conns, client, server)
	if !pipes.unread {
		listener.accepted <- server
	}
	return client, nil
}

// loseConns makes every open connection silent for good.
func (pipes *pipes) loseConns() []*pipeConn {
	pipes.mutex.Lock()
	defer pipes.mutex.Unlock()
	for _, conn := range pipes.conns {
		conn.lost.Store(true)
	}
	return slices.Clone(pipes.conns)
}

// peerHost is one host of a test.
type peerHost struct {
	*Links
	mutex       sync.Mutex
	received    []string
	connections int
}

func (host *peerHost) takeReceived() []string {
	synctest.Wait()
	host.mutex.Lock()
	defer host.mutex.Unlock()
	got := host.received
	host.received = nil
	return got
}

func (pipes *pipes) start(ctx context.Context, id string, group *sync.WaitGroup) *peerHost {
	listener := &pipeListener{accepted: make(chan net.Conn, 16), ended: make(chan struct{})}
	pipes.listeners[id] = listener
	host := &peerHost{Links: &Links{
		Members:  &Members{Self: Host{ID: id, Zone: "z", Address: id}},
		Events:   &timeline.Recorder{Host: id},
		Listener: listener,
		Dial:     pipes.dial,
	}}
	host.OnEnvelope(func(from string, envelope *peerpb.Envelope) {
		host.mutex.Lock()
		defer host.mutex.Unlock()
		for _, cancel := range envelope.GetCancels() {
			host.received = append(host.received, from+" "+cancel.GetPool())
		}
	})
	host.OnConnected(func(string) {
		host.mutex.Lock()
		defer host.mutex.Unlock()
		host.connections++
	})
	group.Go(func() { _ = host.Run(ctx) })
	return host
}

func testHosts(ids ...string) []Host {
	var hosts []Host
	for _, id := range ids {
		hosts = append(hosts, Host{ID: id, Zone: "z", Address: id})
	}
	return hosts
}

// twoHosts runs a test with the hosts a and b, which know each other.
func twoHosts(t *testing.T, test func(t *testing.T, pipes *pipes, a, b *peerHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		pipes := &pipes{listeners: map[string]*pipeListener{}}
		var group sync.WaitGroup
		a, b := pipes.start(ctx, "a", &group), pipes.start(ctx, "b", &group)
		synctest.Wait()
		a.Members.SetHosts(testHosts("a", "b"))
		b.Members.SetHosts(testHosts("a", "b"))
		test(t, pipes, a, b)
		stop()
		group.Wait()
	})
}

func cancelEnvelope(text string) *peerpb.Envelope {
	return &peerpb.Envelope{Cancels: []*peerpb.Cancel{{Pool: text}}}
}

func linkCount(name string) int64 {
	if count, ok := linkCounts.Get(name).(*expvar.Int); ok {
		return count.Value()
	}
	return 0
}

func countEvents(host *peerHost, kind timeline.Kind) int {
	found := 0
	for _, event := range host.Events.Events() {
		if event.Number == kind.Number {
			found++
		}
	}
	return found
}

func TestEnvelopesStayInOrder(t *testing.T) {
	twoHosts(t, func(t *testing.T, _ *pipes, a, b *peerHost) {
		var want []string
		for i := range 3 * maxBatch {
			a.Send("b", cancelEnvelope(fmt.Sprint(i)))
			want = append(want, fmt.Sprintf("a %d", i))
		}
		a.Send("a", cancelEnvelope("self"))
		qt.Check(t, b.takeReceived(), qt.DeepEquals, want)
		qt.Check(t, a.takeReceived(), qt.DeepEquals, []string{"a self"})
	})
}

// TestSilentLink: a link that something between its ends lost track of, in
// use or idle for long before, is dropped by both ends and dialled anew within
// the time of silence while something is awaited over it, and later where
// nothing is.
func TestSilentLink(t *testing.T) {
	report := &peerpb.Envelope{Holdings: []*peerpb.Holdings{{Pool: "p"}}}
	for _, quiet := range []time.Duration{heartbeatDelay(cancelEnvelope("w")) / 2, 10*idleHeartbeatInterval + idleHeartbeatInterval/3} {
		for name, lost := range map[string]struct {
			envelope *peerpb.Envelope
			within   time.Duration
		}{
			"awaited": {cancelEnvelope("lost"), silenceTimeout},
			"report":  {report, reportHeartbeatDelay + heartbeatTimeout},
			"nothing": {nil, idleHeartbeatInterval + heartbeatTimeout},
		} {
			t.Run(fmt.Sprint(name, quiet), func(t *testing.T) { testSilentLink(t, quiet, lost.envelope, lost.within) })
		}
	}
}

// heartbeatDelay is how long after an envelope the next heartbeat is sent.
func heartbeatDelay(envelope *peerpb.Envelope) time.Duration {
	heartbeats := newHeartbeats(time.Time{})
	heartbeats.recordSent(time.Time{}, envelope, 1)
	return heartbeats.nextDue().Sub(time.Time{})
}

func testSilentLink(t *testing.T, quiet time.Duration, lost *peerpb.Envelope, within time.Duration) {
	twoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
		a.Send("b", cancelEnvelope("before"))
		qt.Assert(t, b.takeReceived(), qt.DeepEquals, []string{"a before"})
		time.Sleep(quiet)
		qt.Assert(t, countEvents(a, eventLinkDown), qt.Equals, 0)
		conns := pipes.loseConns()
		qt.Assert(t, conns, qt.HasLen, 2)
		if lost != nil {
			a.Send("b", lost)
		}
		time.Sleep(within)
		synctest.Wait()
		qt.Check(t, conns[0].closed.Load(), qt.IsTrue)
		qt.Check(t, conns[1].closed.Load(), qt.IsTrue)
		time.Sleep(minRedialDelay)
		a.Send("b", cancelEnvelope("after"))
		qt.Check(t, b.takeReceived(), qt.DeepEquals, []string{"a after"})
		qt.Check(t, countEvents(a, eventLinkDown), qt.Equals, 1)
		qt.Check(t, countEvents(a, eventLinkUp), qt.Equals, 2)
		qt.Check(t, a.connections, qt.Equals, 2)
	})
}

// TestSilentSender: the receiving end drops a link that it hears nothing on.
func TestSilentSender(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, _, b *peerHost) {
		stream, end := openStream(t, pipes)
		defer end()
		qt.Assert(t, stream.Send(envelopeFrom("a", "own")), qt.IsNil)
		qt.Check(t, b.takeReceived(), qt.DeepEquals, []string{"a own"})
		time.Sleep(idleTimeout)
		synctest.Wait()
		qt.Check(t, pipes.conns[1].closed.Load(), qt.IsTrue)
	})
}

// TestBlockedSend: a write that never ends does not hang the link.
func TestBlockedSend(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
		pipes.unread = true
		a.Send("b", cancelEnvelope("kept"))
		time.Sleep(silenceTimeout / 2)
		pipes.mutex.Lock()
		pipes.unread = false
		pipes.mutex.Unlock()
		time.Sleep(silenceTimeout/2 + minRedialDelay)
		qt.Check(t, b.takeReceived(), qt.DeepEquals, []string{"a kept"})
	})
}

// TestUnknownHost: envelopes of a host that is not in the list are refused,
// counted and told of once; it is served when the list has caught up.
func TestUnknownHost(t *testing.T) {
	twoHosts(t, func(t *testing.T, _ *pipes, a, b *peerHost) {
		b.Members.SetHosts(testHosts("b"))
		before := linkCount("refused")
		a.Send("b", cancelEnvelope("kept"))
		time.Sleep(time.Minute)
		qt.Check(t, b.takeReceived(), qt.HasLen, 0)
		qt.Check(t, linkCount("refused")-before > 1, qt.IsTrue)
		qt.Check(t, countEvents(b, eventLinkRefused), qt.Equals, 1)
		qt.Check(t, countEvents(a, eventLinkDown), qt.Equals, 1)
		b.Members.SetHosts(testHosts("a", "b"))
		time.Sleep(maxRedialDelay)
		qt.Check(t, b.takeReceived(), qt.DeepEquals, []string{"a kept"})
	})
}

// openStream opens a stream to b from outside.
func openStream(t *testing.T, pipes *pipes) (peerpb.DRPCLinks_ExchangeClient, func()) {
	t.Helper()
	conn, err := pipes.dial(t.Context(), "b")
	qt.Assert(t, err, qt.IsNil)
	client := drpcconn.New(conn)
	stream, err := peerpb.NewDRPCLinksClient(client).Exchange(t.Context())
	qt.Assert(t, err, qt.IsNil)
	return stream, func() { _ = client.Close() }
}

func envelopeFrom(from, text string) *peerpb.Envelope {
	envelope := cancelEnvelope(text)
	envelope.From = from
	envelope.Format = wireFormat
	return envelope
}

// TestEnvelopeFromOtherHostIsRefused: a stream carries envelopes of one host.
func TestEnvelopeFromOtherHostIsRefused(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, _, b *peerHost) {
		stream, end := openStream(t, pipes)
		defer end()
		qt.Assert(t, stream.Send(envelopeFrom("a", "own")), qt.IsNil)
		qt.Check(t, b.takeReceived(), qt.DeepEquals, []string{"a own"})
		qt.Assert(t, stream.Send(envelopeFrom("b", "forged")), qt.IsNil)
		_, err := stream.Recv()
		qt.Check(t, err, qt.ErrorMatches, `.*peer.refused: "b": envelope arrived on the link of a.*`)
		qt.Check(t, b.takeReceived(), qt.HasLen, 0)
	})
}

// TestOlderStreamIsSuperseded: an envelope that comes late on an old stream is not
// delivered after those of a newer one.
func TestOlderStreamIsSuperseded(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, _, b *peerHost) {
		older, endOlder := openStream(t, pipes)
		defer endOlder()
		newer, endNewer := openStream(t, pipes)
		defer endNewer()
		qt.Assert(t, older.Send(envelopeFrom("a", "1")), qt.IsNil)
		qt.Check(t, b.takeReceived(), qt.DeepEquals, []string{"a 1"})
		qt.Assert(t, newer.Send(envelopeFrom("a", "2")), qt.IsNil)
		qt.Check(t, b.takeReceived(), qt.DeepEquals, []string{"a 2"})
		qt.Assert(t, older.Send(envelopeFrom("a", "late")), qt.IsNil)
		qt.Check(t, b.takeReceived(), qt.HasLen, 0)
	})
}

// TestRemovedHostIsUnlinked: the links of a host that left end, and one that comes back is
// linked anew.
func TestRemovedHostIsUnlinked(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
		a.Send("b", cancelEnvelope("1"))
		qt.Assert(t, b.takeReceived(), qt.HasLen, 1)
		a.Members.SetHosts(testHosts("a"))
		synctest.Wait()
		qt.Check(t, pipes.conns[0].closed.Load(), qt.IsTrue)
		qt.Check(t, pipes.conns[1].closed.Load(), qt.IsTrue)
		before := linkCount("dropped")
		a.Send("b", cancelEnvelope("2"))
		qt.Check(t, b.takeReceived(), qt.HasLen, 0)
		qt.Check(t, linkCount("dropped")-before, qt.Equals, int64(1))
		a.Members.SetHosts(testHosts("a", "b"))
		a.Send("b", cancelEnvelope("3"))
		qt.Check(t, b.takeReceived(), qt.DeepEquals, []string{"a 3"})
	})
}

// TestQueueAndMessageLimits: what waits for a host that is down is bounded, and so is an
// envelope.
func TestQueueAndMessageLimits(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
		pipes.mutex.Lock()
		listener := pipes.listeners["b"]
		delete(pipes.listeners, "b")
		pipes.mutex.Unlock()
		before := linkCount("dropped")
		for range outboxCapacity + 10 {
			a.Send("b", cancelEnvelope("w"))
		}
		qt.Check(t, linkCount("dropped")-before, qt.Equals, int64(10))
		pipes.mutex.Lock()
		pipes.listeners["b"] = listener
		pipes.mutex.Unlock()
		time.Sleep(maxRedialDelay)
		qt.Check(t, b.takeReceived(), qt.HasLen, outboxCapacity)
		a.Send("b", &peerpb.Envelope{Configurations: []*peerpb.Configuration{{Text: make([]byte, maxMessageBytes)}}})
		a.Send("b", cancelEnvelope("next"))
		qt.Check(t, b.takeReceived(), qt.DeepEquals, []string{"a next"})
		qt.Check(t, countEvents(a, eventLinkDown), qt.Equals, 1)
	})
}
