package entry

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// refuseTimeout bounds the write of the answer to a connection above the limit.
const refuseTimeout = 100 * time.Millisecond

const refusalBody = `{"type":"about:blank","title":"The request was not run",` +
	`"status":503,"outcome":"notRun","reason":"limited","retryAfter":1}`

// refusal is the answer to a connection above the limit, sent without reading the
// request.
var refusal = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Content-Type: application/problem+json\r\n" +
	"Nutmegfield-Outcome: notRun\r\nRetry-After: 1\r\nConnection: close\r\n" +
	"Content-Length: " + strconv.Itoa(len(refusalBody)) + "\r\n\r\n" + refusalBody

// limitListener refuses connections above its limit at once, so that the open
// ones keep their resources and accepting goes on.
type limitListener struct {
	net.Listener
	limit int64
	// refusal is written to a connection above the limit; if empty, the
	// connection is only closed.
	refusal string
	// openConnections is the number of accepted connections not closed yet.
	openConnections atomic.Int64
}

// Accept returns the next connection within the limit and refuses the others.
func (limitListener *limitListener) Accept() (net.Conn, error) {
	for {
		connection, err := limitListener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limitListener.openConnections.Add(1) <= limitListener.limit {
			return &limitedConnection{Conn: connection, listener: limitListener}, nil
		}
		limitListener.openConnections.Add(-1)
		limitListener.refuse(connection)
	}
}

func (limitListener *limitListener) refuse(connection net.Conn) {
	if limitListener.refusal != "" {
		// The send buffer of a new connection holds the refusal, so that the write
		// does not wait for the peer.
		_ = connection.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = connection.Write([]byte(limitListener.refusal))
	}
	_ = connection.Close()
}

// limitedConnection is a connection that counts against its listener's limit.
type limitedConnection struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close closes the connection and stops counting it.
func (limitedConnection *limitedConnection) Close() error {
	limitedConnection.once.Do(func() { limitedConnection.listener.openConnections.Add(-1) })
	return limitedConnection.Conn.Close()
}
