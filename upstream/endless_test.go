package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxEndlessBytes bounds what is read of an answer without end, so that a hundred of them
// at once fit a small host.
const maxEndlessBytes = 1 << 20

// countingConn counts the bytes that were read from it.
type countingConn struct {
	net.Conn
	readBytes *atomic.Int64
}

func (countingConn countingConn) Read(buffer []byte) (int, error) {
	n, err := countingConn.Conn.Read(buffer)
	countingConn.readBytes.Add(int64(n))
	return n, err
}

// TestEndlessAnswers guards against answers without end, which would fill the memory of
// the host, or never be given up. Each line of testdata/endless.txt is one.
func TestEndlessAnswers(t *testing.T) {
	text, err := os.ReadFile("testdata/endless.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var name, first, repeated string
		_, err := fmt.Sscanf(line, "%s %q %q", &name, &first, &repeated)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("line %q", line))
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runEndless(qt.New(t), strings.ReplaceAll(first, "ID", testID), repeated)
		})
	}
}

func runEndless(c *qt.C, first, repeated string) {
	block := strings.Repeat(repeated, 1+(32<<10)/len(repeated))
	address, _ := startTarget(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		_, err := io.WriteString(conn, first)
		for err == nil {
			_, err = io.WriteString(conn, block)
		}
		return false
	})
	var readBytes atomic.Int64
	connections := newConnections()
	dial := connections.Dial
	connections.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return countingConn{Conn: conn, readBytes: &readBytes}, err
	}
	ctx, cancel := context.WithTimeout(c.Context(), 2*time.Second)
	defer cancel()
	answer, err := connections.Exchange(ctx, address, &Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {testID}}, ID: testID,
	})
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	c.Check(err, qt.IsNotNil)
	c.Check(ctx.Err(), qt.IsNil)
	c.Check(readBytes.Load() <= maxEndlessBytes, qt.IsTrue, qt.Commentf("%d bytes were read", readBytes.Load()))
	c.Check(connections.OpenCount(address), qt.Equals, 0)
}

// FuzzAnswers reads arbitrary bytes as answers: reading must end, and a body that looks
// complete can't be longer than they are.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte(answerText(testID, "ok")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + answerText("other", "no") + answerText(testID, "ok")))
	f.Fuzz(func(t *testing.T, answer []byte) {
		connections := newConnections()
		connections.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					_, _ = far.Write(answer)
				}
			}()
			return near, nil
		}
		text, err := exchange(connections, "target", nil, false)
		if err == nil && len(text) > len(answer) {
			t.Errorf("%d bytes of %d", len(text), len(answer))
		}
	})
}

// TestHeadLines checks that heads of as many lines as are allowed are read, also where line
// breaks of the body come with them, and longer ones are not.
func TestHeadLines(t *testing.T) {
	for _, lines := range []int{1, maxHeadLines / 2, maxHeadLines - 2, maxHeadLines + 1, 2 * maxHeadLines} {
		c := qt.New(t)
		text := "HTTP/1.1 200 OK\r\nId: " + testID + "\r\n" + strings.Repeat("X:\r\n", lines-1) + "Content-Length: 3000\r\n\r\n" + strings.Repeat("\n", 3000)
		address, _ := startTarget(c, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) bool {
			_, err := io.WriteString(conn, text)
			return err == nil
		})
		body, err := exchange(newConnections(), address, nil, false)
		c.Check(err == nil && len(body) == 3000, qt.Equals, lines < maxHeadLines, qt.Commentf("%d lines: %v", lines, err))
	}
}
