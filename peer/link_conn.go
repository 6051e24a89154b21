package peer

import (
	"fmt"
	"net"
	"time"
)

// timeoutConn is a connection that ends when a write does not end for the time
// of silence, or nothing is heard for that of an idle link. Heartbeats and
// their answers keep a good one alive from both sides. Something between the
// two ends may have lost track of it, so that neither end would be told; the
// sender learns of it sooner, from a heartbeat without an answer.
type timeoutConn struct{ net.Conn }

// Read fails after the time of silence of an idle link.
func (timeoutConn *timeoutConn) Read(into []byte) (int, error) {
	if err := timeoutConn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	n, err := timeoutConn.Conn.Read(into)
	linkCounts.Add("bytesReceived", int64(n))
	return n, err
}

// Write fails after the time of silence.
func (timeoutConn *timeoutConn) Write(part []byte) (int, error) {
	if err := timeoutConn.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	n, err := timeoutConn.Conn.Write(part)
	linkCounts.Add("bytesSent", int64(n))
	linkCounts.Add("writes", 1)
	return n, err
}

// timeoutListener accepts watched connections.
type timeoutListener struct{ net.Listener }

// Accept returns the next connection.
func (timeoutListener timeoutListener) Accept() (net.Conn, error) {
	conn, err := timeoutListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutConn{Conn: conn}, nil
}
