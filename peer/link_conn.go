package peer

import (
	"fmt"
	"net"
	"time"
)

// watchedConn is a connection that ends when a write does not end for the time
// of silence, or nothing is heard for that of an idle link. Heartbeats and
// their answers keep a good one alive from both sides. Something between the
// two ends may have lost track of it, so that neither end would be told; the
// sender learns of it sooner, from a heartbeat without an answer.
type watchedConn struct{ net.Conn }

// Read fails after the time of silence of an idle link.
func (conn *watchedConn) Read(into []byte) (int, error) {
	if err := conn.SetReadDeadline(time.Now().Add(idleSilence)); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	n, err := conn.Conn.Read(into)
	linkCounts.Add("bytesReceived", int64(n))
	return n, err
}

// Write fails after the time of silence.
func (conn *watchedConn) Write(part []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(silence)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	n, err := conn.Conn.Write(part)
	linkCounts.Add("bytesSent", int64(n))
	linkCounts.Add("writes", 1)
	return n, err
}

// watchedListener accepts watched connections.
type watchedListener struct{ net.Listener }

// Accept returns the next connection.
func (listener watchedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn}, nil
}
