package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/head/headtest"
)

// TestMalformedHeads guards against answers that are none of the protocol and are taken as one, or
// for an interim one: what follows them is not the request's answer either. The target then sends
// a body that looks like an answer.
func TestMalformedHeads(t *testing.T) {
	const body = "HTTP/1.1 200 OK\r\nId: " + testID + "\r\nContent-Length: 2\r\n\r\nno"
	for name, malformed := range headtest.Answers(qt.New(t), testID, body) {
		for kind, before := range map[string]string{"first": "", "interim": "HTTP/1.1 100 Continue\r\n\r\n"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				c := qt.New(t)
				address, _ := startTarget(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
					_, _ = io.WriteString(conn, before+malformed)
					return false
				})
				text, err := exchange(newConnections(), address, nil, false)
				c.Assert(err, qt.IsNotNil, qt.Commentf("answer %q", text))
				c.Assert(Is(err, Unknown), qt.IsTrue)
			})
		}
	}
}
