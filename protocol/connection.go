package protocol

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout limits the opening of a connection to a target.
	dialTimeout = time.Second
)

// writeRefused is the type of the error of a write on a sealed connection.
var writeRefused = Errors.NewType("refused")

// connection counts the bytes written to a target, to tell whether a byte of a
// request was sent. Before the count is compared, the connection is sealed against
// writes, as net/http may still write a request after RoundTrip has returned an
// error.
type connection struct {
	net.Conn

	mutex sync.Mutex
	// written is the number of bytes sent.
	written       int64
	pendingWrites int
	// sealed means that writes are refused.
	sealed bool
}

// Write sends data and counts the bytes sent.
func (connection *connection) Write(data []byte) (int, error) {
	if err := connection.beginWrite(); err != nil {
		return 0, err
	}
	n, err := connection.Conn.Write(data)
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.pendingWrites--
	connection.written += int64(n)
	return n, err
}

func (connection *connection) beginWrite() error {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.sealed {
		return writeRefused.New("the connection is closed to writes")
	}
	connection.pendingWrites++
	return nil
}

// writtenBytes returns the number of bytes sent so far.
func (connection *connection) writtenBytes() int64 {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.written
}

// seal refuses further writes, closes the connection and reports whether more than
// the first writtenBefore bytes may have been sent.
func (connection *connection) seal(writtenBefore int64) bool {
	connection.mutex.Lock()
	connection.sealed = true
	mayHaveSent := connection.pendingWrites > 0 || connection.written > writtenBefore
	connection.mutex.Unlock()
	_ = connection.Close()
	return mayHaveSent
}

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// countingDialer returns a dialFunc that opens connections of type *connection,
// within dialTimeout.
func countingDialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		return &connection{Conn: conn}, nil
	}
}

// connectionOf returns the *connection that net/http uses, also underneath others, or nil if there
// is none.
func connectionOf(conn net.Conn) *connection {
	for conn != nil {
		if connection, ok := conn.(*connection); ok {
			return connection
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}
