package protocol

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"nutmegfield.example/request"
)

// network joins clients to one server by pipes, so that its time is paused.
type network struct {
	accepted chan net.Conn
	// hung keeps dials from ending.
	hung atomic.Bool
	// dead makes each open connection refuse what is written to it.
	dead  atomic.Bool
	dials atomic.Int32
	ended chan struct{}
	once  sync.Once
}

type clientConn struct {
	net.Conn
	network *network
}

var errDead = errors.New("the connection is dead")

func (conn *clientConn) Write(part []byte) (int, error) {
	if conn.network.dead.Load() {
		return 0, errDead
	}
	return conn.Conn.Write(part)
}

func (network *network) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if network.hung.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	network.dials.Add(1)
	network.accepted <- server
	return &clientConn{Conn: client, network: network}, nil
}

func (network *network) Accept() (net.Conn, error) {
	select {
	case conn := <-network.accepted:
		return conn, nil
	case <-network.ended:
		return nil, net.ErrClosed
	}
}

func (network *network) Close() error {
	network.once.Do(func() { close(network.ended) })
	return nil
}

func (network *network) Addr() net.Addr { return &net.TCPAddr{} }

// inBubble runs a test with the clock paused and a server of the handler.
func inBubble(t *testing.T, handler http.Handler, test func(t *testing.T, network *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &network{accepted: make(chan net.Conn, 16), ended: make(chan struct{})}
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(network) }()
		test(t, network)
		_ = server.Close()
		// The clients' idle connections end by their own timeout.
		time.Sleep(time.Hour)
	})
}

var testLimits = Limits{Bytes: 4096, Event: 1024, Wait: time.Minute, Silence: 10 * time.Second, Resumes: 3}

const testAddress = "http://target.test"

func newCall(method string) *Call {
	return &Call{
		Request:    request.ID{1},
		Method:     method,
		Path:       "/pay",
		Header:     http.Header{"Idempotency-Key": {"a"}},
		Body:       []byte("{}"),
		BeforeSend: func() bool { return true },
	}
}
