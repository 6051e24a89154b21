package entry

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// refuseTimeout bounds the answer to a connection above the limit.
const refuseTimeout = 100 * time.Millisecond

const refusalBody = `{"type":"about:blank","title":"The request was not run",` +
	`"status":503,"outcome":"notRun","reason":"limited","retryAfter":1}`

// refusal is the answer to a connection above the limit; nothing was read.
var refusal = "HTTP/1.1 503 Service Unavailable\r\n" +
	"Content-Type: application/problem+json\r\n" +
	"Nutmegfield-Outcome: notRun\r\nRetry-After: 1\r\nConnection: close\r\n" +
	"Content-Length: " + strconv.Itoa(len(refusalBody)) + "\r\n\r\n" + refusalBody

// limitListener answers connections above its limit at once, so that the
// open ones keep what they have and accepting goes on.
type limitListener struct {
	net.Listener
	limit int64
	// refusal is written to a connection above the limit; empty only closes.
	refusal string
	open    atomic.Int64
}

// Accept returns the next connection within the limit.
func (listener *limitListener) Accept() (net.Conn, error) {
	for {
		connection, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if listener.open.Add(1) <= listener.limit {
			return &limitedConnection{Conn: connection, listener: listener}, nil
		}
		listener.open.Add(-1)
		listener.refuse(connection)
	}
}

func (listener *limitListener) refuse(connection net.Conn) {
	if listener.refusal != "" {
		// A fresh connection takes this without waiting for its reader.
		_ = connection.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = connection.Write([]byte(listener.refusal))
	}
	_ = connection.Close()
}

type limitedConnection struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close makes room for another connection.
func (connection *limitedConnection) Close() error {
	connection.once.Do(func() { connection.listener.open.Add(-1) })
	return connection.Conn.Close()
}
