package objects_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/objects"
)

// TestMalformedHeads guards against answers of the platform that are none of the protocol and are
// taken for an object or for the success of a write.
func TestMalformedHeads(t *testing.T) {
	for name, text := range malformedHeads(qt.New(t), "[]") {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := &objects.Client{
				Address: listenFor(c, text), Timeout: 200 * time.Millisecond, Do: (&http.Client{Transport: objects.NewTransport(nil)}).Do,
			}
			object, err := client.Get(c.Context(), "k", "n")
			c.Check(objects.Is(err, objects.Unavailable), qt.IsTrue, qt.Commentf("%+v, %v", object, err))
			_, err = client.Put(c.Context(), objects.Object{Kind: "k", Name: "n"})
			c.Check(objects.Is(err, objects.AnswerLost), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// malformedHeads returns the heads of testdata/heads.txt of package head that are no answer, by name,
// with a body that is none of them.
func malformedHeads(c *qt.C, body string) map[string]string {
	text, err := os.ReadFile("../head/testdata/heads.txt")
	c.Assert(err, qt.IsNil)
	heads := map[string]string{}
	for line := range strings.Lines(string(text)) {
		var name, verdict, head string
		if _, err := fmt.Sscanf(line, "%s %s %q", &name, &verdict, &head); err == nil && verdict == "malformed" {
			heads[name] = head + body
		} else if err == nil && verdict == "open" {
			heads[name] = head
		}
	}
	c.Assert(len(heads) > 10, qt.IsTrue)
	return heads
}

// listenFor starts a server that answers the first request of each connection with a text, and
// closes the connection.
func listenFor(c *qt.C, text string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}
