package peer

import (
	"fmt"
	"net"
	"time"
)

// timeoutConn is a connection whose writes fail after silenceTimeout, and whose
// reads fail when nothing arrives for idleTimeout. On a working connection,
// heartbeats and their answers arrive more often than that at both ends. If the
// network drops the connection without notice to either end, the sender detects
// it sooner, by a heartbeat without an answer.
type timeoutConn struct{ net.Conn }

// Read fails when nothing arrives for idleTimeout.
func (timeoutConn *timeoutConn) Read(into []byte) (int, error) {
	if err := timeoutConn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	n, err := timeoutConn.Conn.Read(into)
	linkCounts.Add("bytesReceived", int64(n))
	return n, err
}

// Write fails when it takes longer than silenceTimeout.
func (timeoutConn *timeoutConn) Write(part []byte) (int, error) {
	if err := timeoutConn.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	n, err := timeoutConn.Conn.Write(part)
	linkCounts.Add("bytesSent", int64(n))
	linkCounts.Add("writes", 1)
	return n, err
}

// timeoutListener wraps accepted connections in timeoutConn.
type timeoutListener struct{ net.Listener }

// Accept returns the next connection.
func (timeoutListener timeoutListener) Accept() (net.Conn, error) {
	conn, err := timeoutListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutConn{Conn: conn}, nil
}
