package peer

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcconn"

	"nutmegfield.example/listener"
	"nutmegfield.example/memory"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/timeline"
)

// pipes connects hosts by in-memory pipes, so that they can run on virtual
// time.
type pipes struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
	conns     []*pipeConn
	// unread makes new connections whose server end nobody reads.
	unread bool
}

// pipeConn is one end of a pipe. While lost is set, data written to either end is
// discarded without an error.
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
		return nil, errors.New("no listener at the address")
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

// loseConns discards all further data on the open connections.
func (pipes *pipes) loseConns() []*pipeConn {
	pipes.mutex.Lock()
	defer pipes.mutex.Unlock()
	for _, conn := range pipes.conns {
		conn.lost.Store(true)
	}
	return slices.Clone(pipes.conns)
}

// peerHost is a host of a test. It stores the cancels received, as sender and
// pool, and counts the calls of its OnConnected callback.
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
		Listener: newListener(listener, nil, memory.NewPlan(134<<20, 4100)),
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

// runTwoHosts runs a test with the hosts a and b, which are in each other's view.
func runTwoHosts(t *testing.T, test func(t *testing.T, pipes *pipes, a, b *peerHost)) {
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
	runTwoHosts(t, func(t *testing.T, _ *pipes, a, b *peerHost) {
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

// TestLinkHoldsNoMessages guards against a link that stalls, and loses envelopes, because those that
// were delivered still count as held: heartbeats, which are answered, come only every 5 s.
func TestLinkHoldsNoMessages(t *testing.T) {
	runTwoHosts(t, func(t *testing.T, _ *pipes, a, b *peerHost) {
		const size, count = 100 << 10, 200
		held := func() int64 { return b.Listener.(*listener.Listener).Budget.Held(memory.Bodies) }
		part := b.Listener.(*listener.Listener).Budget.Parts[memory.Bodies]
		qt.Assert(t, size*count > part, qt.IsTrue)
		for range count {
			a.Send("b", &peerpb.Envelope{Configurations: []*peerpb.Configuration{{Text: make([]byte, size)}}})
		}
		a.Send("b", cancelEnvelope("last"))
		qt.Check(t, b.takeReceived(), qt.DeepEquals, []string{"a last"})
		qt.Check(t, held(), qt.Equals, int64(0))
	})
}

// TestRefusedSendersAreShort guards against names of unknown senders, of up to the length of
// a message, of which each refusal kept one.
func TestRefusedSendersAreShort(t *testing.T) {
	c := qt.New(t)
	links := &Links{Events: &timeline.Recorder{}}
	for i := range 2 * maxRefusedSenders {
		err := links.refuse(fmt.Sprintf("%064d%s", i, strings.Repeat("x", 64<<10)), "sender is not in the list of hosts")
		c.Check(len(err.Error()) < 1<<10, qt.IsTrue)
	}
	kept := 0
	for name := range links.refusedSenders {
		kept += len(name)
	}
	c.Assert(links.refusedSenders, qt.HasLen, maxRefusedSenders)
	c.Assert(kept <= maxRefusedSenders*128, qt.IsTrue, qt.Commentf("%d bytes", kept))
}

// TestSilentLink guards against a link that stays open after the network dropped
// its connection without notice to either end, in use or after a long idle time.
// Both ends must close it and the sender must dial again: within silenceTimeout
// if the arrival of an envelope is awaited, later otherwise.
func TestSilentLink(t *testing.T) {
	report := &peerpb.Envelope{Holdings: []*peerpb.Holdings{{Pool: "p"}}}
	for _, idle := range []time.Duration{heartbeatDelay(cancelEnvelope("w")) / 2, 10*idleHeartbeatInterval + idleHeartbeatInterval/3} {
		for name, lost := range map[string]struct {
			envelope *peerpb.Envelope
			within   time.Duration
		}{
			"awaited": {cancelEnvelope("lost"), silenceTimeout},
			"report":  {report, nonUrgentHeartbeatDelay + heartbeatTimeout},
			"nothing": {nil, idleHeartbeatInterval + heartbeatTimeout},
		} {
			t.Run(fmt.Sprint(name, idle), func(t *testing.T) { testSilentLink(t, idle, lost.envelope, lost.within) })
		}
	}
}

// heartbeatDelay returns how long after an envelope the next heartbeat is sent.
func heartbeatDelay(envelope *peerpb.Envelope) time.Duration {
	heartbeats := newHeartbeats(time.Time{})
	heartbeats.recordSent(time.Time{}, envelope, 1)
	return heartbeats.nextDue().Sub(time.Time{})
}

func testSilentLink(t *testing.T, idle time.Duration, lost *peerpb.Envelope, within time.Duration) {
	runTwoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
		a.Send("b", cancelEnvelope("before"))
		qt.Assert(t, b.takeReceived(), qt.DeepEquals, []string{"a before"})
		time.Sleep(idle)
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

// TestSilentSender checks that the receiving end closes a link on which nothing
// arrives.
func TestSilentSender(t *testing.T) {
	runTwoHosts(t, func(t *testing.T, pipes *pipes, _, b *peerHost) {
		stream, end := openStream(t, pipes)
		defer end()
		qt.Assert(t, stream.Send(envelopeFrom("a", "own")), qt.IsNil)
		qt.Check(t, b.takeReceived(), qt.DeepEquals, []string{"a own"})
		time.Sleep(idleTimeout)
		synctest.Wait()
		qt.Check(t, pipes.conns[1].closed.Load(), qt.IsTrue)
	})
}

// TestBlockedSend checks that a link recovers from a write that the other end
// never reads.
func TestBlockedSend(t *testing.T) {
	runTwoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
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

// TestUnknownHost checks that envelopes of a host that is not in the list are
// refused and counted, with one event, and that they are delivered once the
// host is in the list.
func TestUnknownHost(t *testing.T) {
	runTwoHosts(t, func(t *testing.T, _ *pipes, a, b *peerHost) {
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

// openStream opens a stream to b as an unnamed client.
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

// TestEnvelopeFromOtherHostIsRefused checks that a stream only carries
// envelopes of the host that opened it.
func TestEnvelopeFromOtherHostIsRefused(t *testing.T) {
	runTwoHosts(t, func(t *testing.T, pipes *pipes, _, b *peerHost) {
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

// TestOlderStreamIsSuperseded checks that an envelope that arrives late on an
// older stream is not delivered after those of a newer one.
func TestOlderStreamIsSuperseded(t *testing.T) {
	runTwoHosts(t, func(t *testing.T, pipes *pipes, _, b *peerHost) {
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

// TestRemovedHostIsUnlinked checks that the links of a host that left the view
// are closed, and that a host that comes back is linked again.
func TestRemovedHostIsUnlinked(t *testing.T) {
	runTwoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
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

// TestQueueAndMessageLimits checks the limits of the queue for an unreachable
// host and of the size of an envelope.
func TestQueueAndMessageLimits(t *testing.T) {
	runTwoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
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
