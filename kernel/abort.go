package kernel

import (
	"net"
	"net/http"
)

// AbortAnswer ends the connection of an answer that has begun, so that it can't look complete,
// and does not return. A caller of HTTP/1.0 takes the end of the connection for that of the
// answer, so its connection is reset.
func AbortAnswer(writer http.ResponseWriter, request *http.Request) {
	if !request.ProtoAtLeast(1, 1) {
		// Where the connection can't be taken over, the server closes it.
		if conn, _, err := http.NewResponseController(writer).Hijack(); err == nil {
			reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes a connection with a TCP reset, also underneath TLS and a bounded listener.
func reset(conn net.Conn) {
	inner := conn
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		inner = wrapper.NetConn()
	}
	if tcp, ok := inner.(interface{ SetLinger(seconds int) error }); ok {
		// Closing is all that is left if it fails.
		_ = tcp.SetLinger(0)
	}
	_ = inner.Close()
	// Wrappers give back what they count.
	_ = conn.Close()
}
