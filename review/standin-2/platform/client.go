package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is a request of a client.
type call struct {
	method, path, id string
	usage            string
	deadline         time.Duration
	body             string
}

// answer is what a client gets: complete says that the answer ended as its framing says.
type answer struct {
	status   int
	sealed   bool
	complete bool
	body     string
	err      error
	sentAt   time.Time
	endedAt  time.Time
}

// caller is a client with one connection that it keeps.
type caller struct {
	name    string
	conn    net.Conn
	reader  *bufio.Reader
	record  *record
	isFirst bool
}

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a00000+lastID.Add(1)) }

func dial(name, address string, record *record) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{name: name, conn: conn, reader: bufio.NewReader(conn), record: record}, nil
}

const (
	hostName = "ficu95.example"
	apiKey   = "i9n73hh2b9wu3fexd9dn"
)

func (call *call) text() []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n",
		call.method, call.path, hostName, call.id, call.deadline.Milliseconds(), apiKey)
	if call.usage != "" {
		fmt.Fprintf(&text, "X-Model: m\r\nX-Token-Usage: %s\r\nX-Prompt-Prefix: 5c1e07a2:60\r\n", call.usage)
	}
	if call.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(call.body))
	}
	text.WriteString("\r\n" + call.body)
	return text.Bytes()
}

// send sends a request and reads its answer.
func (caller *caller) send(call *call) *answer {
	answer := &answer{sentAt: time.Now()}
	caller.record.add("client %s sends %s %s, request %s, tokens %q", caller.name, call.method, call.path, call.id, call.usage)
	defer func() {
		answer.endedAt = time.Now()
		caller.record.add("client %s has status %d for request %s, complete %t, %d bytes, error %v", caller.name, answer.status, call.id, answer.complete, len(answer.body), answer.err)
	}()
	_ = caller.conn.SetDeadline(time.Now().Add(call.deadline + time.Second))
	if _, answer.err = caller.conn.Write(call.text()); answer.err != nil {
		return answer
	}
	response, err := http.ReadResponse(caller.reader, &http.Request{Method: call.method})
	if err != nil {
		answer.err = err
		return answer
	}
	answer.status, answer.sealed = response.StatusCode, response.Header.Get("X-Response-Seal") != ""
	body, err := io.ReadAll(response.Body)
	answer.body, answer.err = string(body), err
	answer.complete = err == nil && !errors.Is(err, io.ErrUnexpectedEOF)
	return answer
}

func (caller *caller) close() { _ = caller.conn.Close() }

// events returns the number of events of a stream.
func (answer *answer) events() int { return strings.Count(answer.body, "\n\n") }
