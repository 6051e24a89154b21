package trial_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// network connects the hosts and stand-ins of a trial in memory. Addresses
// are "place:port"; what can be cut are places.
type network struct {
	latency time.Duration

	mutex     sync.Mutex
	listeners map[string]*listener
	packets   map[string]*packetConn
	conns     map[*conn]struct{}
	// cut holds the pairs of places between which nothing passes.
	cut map[[2]string]bool
	// dead places can't dial.
	dead map[string]bool
}

var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset")
)

func newNetwork(latency time.Duration) *network {
	return &network{
		latency:   latency,
		listeners: map[string]*listener{},
		packets:   map[string]*packetConn{},
		conns:     map[*conn]struct{}{},
		cut:       map[[2]string]bool{},
		dead:      map[string]bool{},
	}
}

// bury drops a place and lets it open nothing more.
func (network *network) bury(place string) {
	network.mutex.Lock()
	network.dead[place] = true
	network.mutex.Unlock()
	network.drop(place)
}

func (network *network) revive(place string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	delete(network.dead, place)
}

// closeAll ends every connection.
func (network *network) closeAll() {
	network.mutex.Lock()
	var open []*conn
	for conn := range network.conns {
		open = append(open, conn)
	}
	network.mutex.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

func placeOf(address string) string {
	place, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return place
}

func pair(one, other string) [2]string {
	if other < one {
		one, other = other, one
	}
	return [2]string{one, other}
}

// setCut stops, or lets through again, what passes between two places. Open
// connections go silent: a later heal does not bring them back.
func (network *network) setCut(one, other string, cut bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.cut[pair(one, other)] = cut
	if !cut {
		return
	}
	for conn := range network.conns {
		if pair(conn.place, conn.peer.place) == pair(one, other) {
			conn.silence()
		}
	}
}

// silenceAll makes every open connection between two places silent for good,
// while new ones work.
func (network *network) silenceAll(one, other string) {
	network.setCut(one, other, true)
	network.setCut(one, other, false)
}

// resetAll breaks every open connection to a place that goes on living.
func (network *network) resetAll(place string) {
	network.mutex.Lock()
	var open []*conn
	for conn := range network.conns {
		if conn.place == place {
			open = append(open, conn)
		}
	}
	network.mutex.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

// drop closes whatever a place has open, as its end does.
func (network *network) drop(place string) {
	network.mutex.Lock()
	var closing []io.Closer
	for conn := range network.conns {
		if conn.place == place {
			closing = append(closing, conn)
		}
	}
	for address, listener := range network.listeners {
		if placeOf(address) == place {
			closing = append(closing, listener)
		}
	}
	for address, packets := range network.packets {
		if placeOf(address) == place {
			closing = append(closing, packets)
		}
	}
	network.mutex.Unlock()
	for _, open := range closing {
		_ = open.Close()
	}
}

func (network *network) listen(_, address string) (net.Listener, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.listeners[address] != nil {
		return nil, errors.New("address in use")
	}
	made := &listener{network: network, address: address, queue: make(chan net.Conn, 1024), closed: make(chan struct{})}
	network.listeners[address] = made
	return made, nil
}

// dialer returns the function by which a place dials.
func (network *network) dialer(place string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		time.Sleep(network.latency)
		network.mutex.Lock()
		blocked := network.cut[pair(place, placeOf(address))]
		listener := network.listeners[address]
		dead := network.dead[place]
		network.mutex.Unlock()
		if dead {
			return nil, errRefused
		}
		if blocked {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if listener == nil {
			return nil, errRefused
		}
		near, far := network.connect(place, placeOf(address))
		select {
		case listener.queue <- far:
			return near, nil
		case <-listener.closed:
			return nil, errRefused
		}
	}
}

func (network *network) connect(near, far string) (*conn, *conn) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	one := newConn(network, near)
	other := newConn(network, far)
	one.peer, other.peer = other, one
	network.conns[one] = struct{}{}
	network.conns[other] = struct{}{}
	return one, other
}

type listener struct {
	network *network
	address string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (listener *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.queue:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *listener) Close() error {
	listener.once.Do(func() {
		close(listener.closed)
		listener.network.mutex.Lock()
		defer listener.network.mutex.Unlock()
		delete(listener.network.listeners, listener.address)
	})
	return nil
}

func (listener *listener) Addr() net.Addr { return tcpAddr(listener.address) }

func tcpAddr(address string) net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(address))
}

func udpAddr(address string) net.Addr {
	return net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address))
}

// window is how many bytes a connection holds that were not read.
const window = 256 << 10

// conn is one end of a connection; received holds what the other end wrote.
type conn struct {
	network *network
	place   string
	peer    *conn

	mutex    sync.Mutex
	received bytes.Buffer
	arrived  time.Time
	// ended is why no more is received; nil while open.
	ended  error
	closed bool
	silent bool
	lost   bool
	// changed is closed and replaced with each change.
	changed       chan struct{}
	readDeadline  time.Time
	writeDeadline time.Time
}

func newConn(network *network, place string) *conn {
	return &conn{network: network, place: place, changed: make(chan struct{})}
}

func (conn *conn) wake() {
	close(conn.changed)
	conn.changed = make(chan struct{})
}

// keptAlive is how long after it went silent the system ends a connection, as
// kernel.SystemNetwork asks it to.
const keptAlive = 11 * time.Second

func (conn *conn) silence() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.silent {
		return
	}
	conn.silent = true
	time.AfterFunc(keptAlive, conn.lose)
}

// lose ends a silent connection from below.
func (conn *conn) lose() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.lost = true
	conn.ended = errReset
	conn.wake()
}

// wait waits for a change, or until the time.
func (conn *conn) wait(changed <-chan struct{}, until time.Time) {
	if until.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

func (conn *conn) Read(into []byte) (int, error) {
	for {
		conn.mutex.Lock()
		now := time.Now()
		until := conn.readDeadline
		switch {
		case conn.closed:
			conn.mutex.Unlock()
			return 0, net.ErrClosed
		case !until.IsZero() && !now.Before(until):
			conn.mutex.Unlock()
			return 0, os.ErrDeadlineExceeded
		case conn.received.Len() > 0 && !now.Before(conn.arrived):
			n, _ := conn.received.Read(into)
			conn.wake()
			conn.mutex.Unlock()
			return n, nil
		case conn.received.Len() > 0:
			if until.IsZero() || conn.arrived.Before(until) {
				until = conn.arrived
			}
		case conn.ended != nil:
			err := conn.ended
			conn.mutex.Unlock()
			return 0, err
		}
		changed := conn.changed
		conn.mutex.Unlock()
		conn.wait(changed, until)
	}
}

func (conn *conn) Write(part []byte) (int, error) {
	written := 0
	for written < len(part) {
		n, err := conn.writeSome(part[written:])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writeSome puts what fits into the other end's buffer; the two ends are
// never locked together.
func (conn *conn) writeSome(part []byte) (int, error) {
	conn.mutex.Lock()
	closed, silent, lost, until := conn.closed, conn.silent, conn.lost, conn.writeDeadline
	conn.mutex.Unlock()
	switch {
	case closed:
		return 0, net.ErrClosed
	case lost:
		return 0, errReset
	}
	if !until.IsZero() && !time.Now().Before(until) {
		return 0, os.ErrDeadlineExceeded
	}
	peer := conn.peer
	peer.mutex.Lock()
	if peer.closed {
		peer.mutex.Unlock()
		return 0, errReset
	}
	if silent {
		// What is sent is lost; the sender's window fills up.
		peer.mutex.Unlock()
		return conn.writeLost(part, until)
	}
	room := min(window-peer.received.Len(), len(part))
	if room > 0 {
		peer.received.Write(part[:room])
		peer.arrived = time.Now().Add(conn.network.latency)
		peer.wake()
		peer.mutex.Unlock()
		return room, nil
	}
	changed := peer.changed
	peer.mutex.Unlock()
	conn.wait(changed, until)
	return 0, nil
}

func (conn *conn) writeLost(part []byte, until time.Time) (int, error) {
	conn.mutex.Lock()
	changed := conn.changed
	lost := len(part)
	conn.mutex.Unlock()
	if lost < window {
		return lost, nil
	}
	conn.wait(changed, until)
	return 0, nil
}

func (conn *conn) Close() error {
	conn.mutex.Lock()
	if conn.closed {
		conn.mutex.Unlock()
		return nil
	}
	conn.closed = true
	silent := conn.silent
	conn.wake()
	conn.mutex.Unlock()
	conn.network.mutex.Lock()
	delete(conn.network.conns, conn)
	conn.network.mutex.Unlock()
	if silent {
		return nil
	}
	conn.peer.mutex.Lock()
	defer conn.peer.mutex.Unlock()
	conn.peer.ended = io.EOF
	conn.peer.wake()
	return nil
}

func (conn *conn) LocalAddr() net.Addr  { return tcpAddr(conn.place + ":1") }
func (conn *conn) RemoteAddr() net.Addr { return tcpAddr(conn.peer.place + ":1") }

func (conn *conn) SetDeadline(at time.Time) error {
	_ = conn.SetReadDeadline(at)
	return conn.SetWriteDeadline(at)
}

func (conn *conn) SetReadDeadline(at time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.readDeadline = at
	conn.wake()
	return nil
}

func (conn *conn) SetWriteDeadline(at time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.writeDeadline = at
	conn.wake()
	return nil
}

// packetConn is a datagram socket.
type packetConn struct {
	network *network
	address string
	queue   chan datagram
	closed  chan struct{}
	once    sync.Once
}

type datagram struct {
	from string
	data []byte
}

func (network *network) listenPacket(_, address string) (net.PacketConn, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.packets[address] != nil {
		return nil, errors.New("address in use")
	}
	made := &packetConn{network: network, address: address, queue: make(chan datagram, 1024), closed: make(chan struct{})}
	network.packets[address] = made
	return made, nil
}

func (packets *packetConn) ReadFrom(into []byte) (int, net.Addr, error) {
	select {
	case datagram := <-packets.queue:
		return copy(into, datagram.data), udpAddr(datagram.from), nil
	case <-packets.closed:
		return 0, nil, net.ErrClosed
	}
}

func (packets *packetConn) WriteTo(data []byte, to net.Addr) (int, error) {
	network := packets.network
	network.mutex.Lock()
	defer network.mutex.Unlock()
	target := network.packets[to.String()]
	blocked := network.cut[pair(placeOf(packets.address), placeOf(to.String()))]
	if target == nil || blocked {
		return len(data), nil
	}
	copied := datagram{from: packets.address, data: append([]byte(nil), data...)}
	select {
	case target.queue <- copied:
	default:
	}
	return len(data), nil
}

func (packets *packetConn) Close() error {
	packets.once.Do(func() {
		close(packets.closed)
		packets.network.mutex.Lock()
		defer packets.network.mutex.Unlock()
		delete(packets.network.packets, packets.address)
	})
	return nil
}

func (packets *packetConn) LocalAddr() net.Addr              { return udpAddr(packets.address) }
func (packets *packetConn) SetDeadline(time.Time) error      { return nil }
func (packets *packetConn) SetReadDeadline(time.Time) error  { return nil }
func (packets *packetConn) SetWriteDeadline(time.Time) error { return nil }
