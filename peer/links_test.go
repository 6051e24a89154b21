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
	// deaf makes new connections that nobody reads.
	deaf bool
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
	if !pipes.deaf {
		listener.accepted <- server
	}
	return client, nil
}

// lose makes every open connection silent for good.
func (pipes *pipes) lose() []*pipeConn {
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
	mutex sync.Mutex
	got   []string
	ups   int
}

func (host *peerHost) take() []string {
	synctest.Wait()
	host.mutex.Lock()
	defer host.mutex.Unlock()
	got := host.got
	host.got = nil
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
			host.got = append(host.got, from+" "+cancel.GetPool())
		}
	})
	host.OnConnected(func(string) {
		host.mutex.Lock()
		defer host.mutex.Unlock()
		host.ups++
	})
	group.Go(func() { _ = host.Run(ctx) })
	return host
}

func listed(ids ...string) []Host {
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
		a.Members.SetHosts(listed("a", "b"))
		b.Members.SetHosts(listed("a", "b"))
		test(t, pipes, a, b)
		stop()
		group.Wait()
	})
}

func word(text string) *peerpb.Envelope {
	return &peerpb.Envelope{Cancels: []*peerpb.Cancel{{Pool: text}}}
}

func counted(name string) int64 {
	if count, ok := linkCounts.Get(name).(*expvar.Int); ok {
		return count.Value()
	}
	return 0
}

func events(host *peerHost, kind timeline.Kind) int {
	found := 0
	for _, event := range host.Events.Events() {
		if event.Number == kind.Number {
			found++
		}
	}
	return found
}

func TestOrder(t *testing.T) {
	twoHosts(t, func(t *testing.T, _ *pipes, a, b *peerHost) {
		var want []string
		for i := range 3 * batch {
			a.Send("b", word(fmt.Sprint(i)))
			want = append(want, fmt.Sprintf("a %d", i))
		}
		a.Send("a", word("self"))
		qt.Check(t, b.take(), qt.DeepEquals, want)
		qt.Check(t, a.take(), qt.DeepEquals, []string{"a self"})
	})
}

// TestSilentLink: a link that something between its ends lost track of, in
// use or idle for long before, is dropped by both ends and dialled anew within
// the time of silence while something is awaited over it, and later where
// nothing is.
func TestSilentLink(t *testing.T) {
	report := &peerpb.Envelope{Holdings: []*peerpb.Holdings{{Pool: "p"}}}
	for _, quiet := range []time.Duration{heartbeatOf(word("w")) / 2, 10*idleBeat + idleBeat/3} {
		for name, lost := range map[string]struct {
			envelope *peerpb.Envelope
			within   time.Duration
		}{
			"awaited": {word("lost"), silence},
			"report":  {report, reportBeat + answerWait},
			"nothing": {nil, idleBeat + answerWait},
		} {
			t.Run(fmt.Sprint(name, quiet), func(t *testing.T) { silentLink(t, quiet, lost.envelope, lost.within) })
		}
	}
}

// heartbeatOf is how long after an envelope the next heartbeat is sent.
func heartbeatOf(envelope *peerpb.Envelope) time.Duration {
	beats := newBeats(time.Time{})
	beats.sent(time.Time{}, envelope, 1)
	return beats.due().Sub(time.Time{})
}

func silentLink(t *testing.T, quiet time.Duration, lost *peerpb.Envelope, within time.Duration) {
	twoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
		a.Send("b", word("before"))
		qt.Assert(t, b.take(), qt.DeepEquals, []string{"a before"})
		time.Sleep(quiet)
		qt.Assert(t, events(a, eventLinkDown), qt.Equals, 0)
		conns := pipes.lose()
		qt.Assert(t, conns, qt.HasLen, 2)
		if lost != nil {
			a.Send("b", lost)
		}
		time.Sleep(within)
		synctest.Wait()
		qt.Check(t, conns[0].closed.Load(), qt.IsTrue)
		qt.Check(t, conns[1].closed.Load(), qt.IsTrue)
		time.Sleep(redialFirst)
		a.Send("b", word("after"))
		qt.Check(t, b.take(), qt.DeepEquals, []string{"a after"})
		qt.Check(t, events(a, eventLinkDown), qt.Equals, 1)
		qt.Check(t, events(a, eventLinkUp), qt.Equals, 2)
		qt.Check(t, a.ups, qt.Equals, 2)
	})
}

// TestSilentSender: the receiving end drops a link that it hears nothing on.
func TestSilentSender(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, _, b *peerHost) {
		stream, end := exchange(t, pipes)
		defer end()
		qt.Assert(t, stream.Send(named("a", "own")), qt.IsNil)
		qt.Check(t, b.take(), qt.DeepEquals, []string{"a own"})
		time.Sleep(idleSilence)
		synctest.Wait()
		qt.Check(t, pipes.conns[1].closed.Load(), qt.IsTrue)
	})
}

// TestBlockedSend: a write that never ends does not hang the link.
func TestBlockedSend(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
		pipes.deaf = true
		a.Send("b", word("kept"))
		time.Sleep(silence / 2)
		pipes.mutex.Lock()
		pipes.deaf = false
		pipes.mutex.Unlock()
		time.Sleep(silence/2 + redialFirst)
		qt.Check(t, b.take(), qt.DeepEquals, []string{"a kept"})
	})
}

// TestUnknownHost: envelopes of a host that is not in the list are refused,
// counted and told of once; it is served when the list has caught up.
func TestUnknownHost(t *testing.T) {
	twoHosts(t, func(t *testing.T, _ *pipes, a, b *peerHost) {
		b.Members.SetHosts(listed("b"))
		before := counted("refused")
		a.Send("b", word("kept"))
		time.Sleep(time.Minute)
		qt.Check(t, b.take(), qt.HasLen, 0)
		qt.Check(t, counted("refused")-before > 1, qt.IsTrue)
		qt.Check(t, events(b, eventLinkRefused), qt.Equals, 1)
		qt.Check(t, events(a, eventLinkDown), qt.Equals, 1)
		b.Members.SetHosts(listed("a", "b"))
		time.Sleep(redialMost)
		qt.Check(t, b.take(), qt.DeepEquals, []string{"a kept"})
	})
}

// exchange opens a stream to b from outside.
func exchange(t *testing.T, pipes *pipes) (peerpb.DRPCLinks_ExchangeClient, func()) {
	t.Helper()
	conn, err := pipes.dial(t.Context(), "b")
	qt.Assert(t, err, qt.IsNil)
	client := drpcconn.New(conn)
	stream, err := peerpb.NewDRPCLinksClient(client).Exchange(t.Context())
	qt.Assert(t, err, qt.IsNil)
	return stream, func() { _ = client.Close() }
}

func named(from, text string) *peerpb.Envelope {
	envelope := word(text)
	envelope.From = from
	envelope.Format = wireFormat
	return envelope
}

// TestOtherName: a stream carries envelopes of one host.
func TestOtherName(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, _, b *peerHost) {
		stream, end := exchange(t, pipes)
		defer end()
		qt.Assert(t, stream.Send(named("a", "own")), qt.IsNil)
		qt.Check(t, b.take(), qt.DeepEquals, []string{"a own"})
		qt.Assert(t, stream.Send(named("b", "forged")), qt.IsNil)
		_, err := stream.Recv()
		qt.Check(t, err, qt.ErrorMatches, `.*peer.refused: "b": it came on the link of a.*`)
		qt.Check(t, b.take(), qt.HasLen, 0)
	})
}

// TestNewerStream: an envelope that comes late on an old stream is not
// delivered after those of a newer one.
func TestNewerStream(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, _, b *peerHost) {
		older, endOlder := exchange(t, pipes)
		defer endOlder()
		newer, endNewer := exchange(t, pipes)
		defer endNewer()
		qt.Assert(t, older.Send(named("a", "1")), qt.IsNil)
		qt.Check(t, b.take(), qt.DeepEquals, []string{"a 1"})
		qt.Assert(t, newer.Send(named("a", "2")), qt.IsNil)
		qt.Check(t, b.take(), qt.DeepEquals, []string{"a 2"})
		qt.Assert(t, older.Send(named("a", "late")), qt.IsNil)
		qt.Check(t, b.take(), qt.HasLen, 0)
	})
}

// TestLeftView: the links of a host that left end, and one that comes back is
// linked anew.
func TestLeftView(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
		a.Send("b", word("1"))
		qt.Assert(t, b.take(), qt.HasLen, 1)
		a.Members.SetHosts(listed("a"))
		synctest.Wait()
		qt.Check(t, pipes.conns[0].closed.Load(), qt.IsTrue)
		qt.Check(t, pipes.conns[1].closed.Load(), qt.IsTrue)
		before := counted("dropped")
		a.Send("b", word("2"))
		qt.Check(t, b.take(), qt.HasLen, 0)
		qt.Check(t, counted("dropped")-before, qt.Equals, int64(1))
		a.Members.SetHosts(listed("a", "b"))
		a.Send("b", word("3"))
		qt.Check(t, b.take(), qt.DeepEquals, []string{"a 3"})
	})
}

// TestBounds: what waits for a host that is down is bounded, and so is an
// envelope.
func TestBounds(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, a, b *peerHost) {
		pipes.mutex.Lock()
		listener := pipes.listeners["b"]
		delete(pipes.listeners, "b")
		pipes.mutex.Unlock()
		before := counted("dropped")
		for range outbox + 10 {
			a.Send("b", word("w"))
		}
		qt.Check(t, counted("dropped")-before, qt.Equals, int64(10))
		pipes.mutex.Lock()
		pipes.listeners["b"] = listener
		pipes.mutex.Unlock()
		time.Sleep(redialMost)
		qt.Check(t, b.take(), qt.HasLen, outbox)
		a.Send("b", &peerpb.Envelope{Configurations: []*peerpb.Configuration{{Text: make([]byte, messageBytes)}}})
		a.Send("b", word("next"))
		qt.Check(t, b.take(), qt.DeepEquals, []string{"a next"})
		qt.Check(t, events(a, eventLinkDown), qt.Equals, 1)
	})
}
