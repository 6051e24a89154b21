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

// network connects clients to one server by pipes, which work with the fake clock
// of synctest.
type network struct {
	accepted chan net.Conn
	// dialsHang makes dials wait until their context ends.
	dialsHang atomic.Bool
	// writesFail makes the writes of all clients fail.
	writesFail atomic.Bool
	dials      atomic.Int32
	closed     chan struct{}
	closeOnce  sync.Once
}

type clientConn struct {
	net.Conn
	network *network
}

var errWriteFailed = errors.New("the connection is dead")

func (clientConn *clientConn) Write(data []byte) (int, error) {
	if clientConn.network.writesFail.Load() {
		return 0, errWriteFailed
	}
	return clientConn.Conn.Write(data)
}

func (network *network) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if network.dialsHang.Load() {
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
	case <-network.closed:
		return nil, net.ErrClosed
	}
}

func (network *network) Close() error {
	network.closeOnce.Do(func() { close(network.closed) })
	return nil
}

func (network *network) Addr() net.Addr { return &net.TCPAddr{} }

// inBubble runs a test in a synctest bubble with a server for the handler.
func inBubble(t *testing.T, handler http.Handler, test func(t *testing.T, network *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &network{accepted: make(chan net.Conn, 16), closed: make(chan struct{})}
		server := &http.Server{Handler: handler}
		go func() { _ = server.Serve(network) }()
		test(t, network)
		_ = server.Close()
		// The clients' idle connections are closed after idleTimeout.
		time.Sleep(time.Hour)
	})
}

var testLimits = Limits{MaxBytes: 4096, MaxEventBytes: 1024, HeaderTimeout: time.Minute, SilenceTimeout: 10 * time.Second, MaxResumes: 3}

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
