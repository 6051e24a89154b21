package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestMalformedHeads guards against answers that are none of the protocol and are taken as one, or
// for an interim one: what follows them is not the request's answer either. The target then sends
// a body that looks like an answer.
func TestMalformedHeads(t *testing.T) {
	const body = "HTTP/1.1 200 OK\r\nId: " + testID + "\r\nContent-Length: 2\r\n\r\nno"
	text, err := os.ReadFile("../head/testdata/heads.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var name, verdict, head string
		_, err := fmt.Sscanf(line, "%s %s %q", &name, &verdict, &head)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("line %q", line))
		if verdict == "whole" {
			continue
		}
		head = strings.ReplaceAll(head, "ID", testID)
		if verdict == "malformed" {
			head += body
		}
		for kind, before := range map[string]string{"first": "", "interim": "HTTP/1.1 100 Continue\r\n\r\n"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				c := qt.New(t)
				address, _ := startTarget(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
					_, _ = io.WriteString(conn, before+head)
					return false
				})
				text, err := exchange(newConnections(), address, nil, false)
				c.Assert(err, qt.IsNotNil, qt.Commentf("answer %q", text))
				c.Assert(Is(err, Unknown), qt.IsTrue)
			})
		}
	}
}
