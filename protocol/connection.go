package protocol

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection to a target.
	dialTimeout = time.Second
)

// refused is what a write gets on a connection that was closed to it.
var refused = Errors.NewType("refused")

// connection counts what is written to a target, so that it is known whether
// a byte of a request left. It is closed to writes before that is asked, as
// net/http may still be about to write when it gives a request up.
type connection struct {
	net.Conn

	mutex   sync.Mutex
	written int64
	writing int
	sealed  bool
}

// Write counts the bytes that left.
func (connection *connection) Write(part []byte) (int, error) {
	if err := connection.begin(); err != nil {
		return 0, err
	}
	n, err := connection.Conn.Write(part)
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.writing--
	connection.written += int64(n)
	return n, err
}

func (connection *connection) begin() error {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.sealed {
		return refused.New("the connection is closed to writes")
	}
	connection.writing++
	return nil
}

// count returns the bytes that left so far.
func (connection *connection) count() int64 {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.written
}

// seal lets no further byte leave and reports whether one may have left since
// the count.
func (connection *connection) seal(since int64) bool {
	connection.mutex.Lock()
	connection.sealed = true
	left := connection.writing > 0 || connection.written > since
	connection.mutex.Unlock()
	_ = connection.Close()
	return left
}

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// dialer opens counted connections.
func dialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		return &connection{Conn: opened}, nil
	}
}

// counted returns the counted connection under one that net/http uses.
func counted(used net.Conn) *connection {
	if secured, ok := used.(*tls.Conn); ok {
		used = secured.NetConn()
	}
	found, _ := used.(*connection)
	return found
}
