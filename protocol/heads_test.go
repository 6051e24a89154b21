package protocol

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

	"nutmegfield.example/memory"
)

// TestMalformedHeads guards against answers of services and engines that are none of the protocol and
// are taken as one.
func TestMalformedHeads(t *testing.T) {
	for name, text := range malformedHeads(qt.New(t), "{}") {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := listenFor(c, text)
			limits := Limits{
				MaxBytes: maxAnswerBytes, MaxControlBytes: maxControlBytes, MaxEventBytes: maxEventBytes, HeaderTimeout: time.Minute,
				SilenceTimeout: answerSilenceTimeout, MaxResumes: 1, Dial: (&net.Dialer{}).DialContext,
				Memory: memory.NewPlan(smallMachineBytes, 4096).Callers,
			}
			answer, err := New("service", limits).Dispatch(c.Context(), address, &Call{Method: http.MethodGet, Path: "/", BeforeSend: func() bool { return true }})
			c.Check(Is(err, Broken, Garbled), qt.IsTrue, qt.Commentf("%+v, %v", answer, err))
			engine := New("engine", limits)
			load, err := engine.Load(c.Context(), address)
			c.Check(err, qt.IsNotNil, qt.Commentf("%+v", load))
			c.Check(engine.Order(c.Context(), address, Order{}), qt.IsNotNil)
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
