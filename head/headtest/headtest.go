// Package headtest has heads of answers for the tests of those who read answers.
package headtest

import (
	"bufio"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	qt "github.com/frankban/quicktest"
)

//go:embed heads.txt
var text string

// Head is a head of heads.txt.
type Head struct {
	Name string
	// Verdict is whole, malformed or open.
	Verdict string
	Text    string
}

// Heads returns all heads. ID in their texts stands for a request's id.
func Heads(c *qt.C) []Head {
	var heads []Head
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var head Head
		_, err := fmt.Sscanf(line, "%s %s %q", &head.Name, &head.Verdict, &head.Text)
		c.Assert(err, qt.IsNil, qt.Commentf("line %q", line))
		heads = append(heads, head)
	}
	return heads
}

// Answers returns, by name, what targets send that begins with a head which is none of the protocol,
// and then has a body, or that ends in the middle of a head.
func Answers(c *qt.C, id, body string) map[string]string {
	answers := map[string]string{}
	for _, head := range Heads(c) {
		answer := strings.ReplaceAll(head.Text, "ID", id)
		switch head.Verdict {
		case "malformed":
			answers[head.Name] = answer + body
		case "open":
			answers[head.Name] = answer
		}
	}
	return answers
}

// Listen starts a server that answers the first request of each connection with a text, and closes
// the connection. It returns the server's URL.
func Listen(c *qt.C, answer string) string {
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
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}
