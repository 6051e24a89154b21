package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Conn is a connection of a client to a host.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Used is the number of answers that it has brought.
	Used int
}

// Connect opens a connection to a host.
func Connect(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, Reader: bufio.NewReader(conn)}, nil
}

// Request is a request of a client.
type Request struct {
	Method, Host, Path, ID string
	// DeadlineMs is how long the client waits.
	DeadlineMs int
	Header     []string
	Body       string
}

// Text returns the request as it is sent.
func (request *Request) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n",
		request.Method, request.Path, request.Host, request.ID, request.DeadlineMs)
	for _, field := range request.Header {
		text.WriteString(field + "\r\n")
	}
	if request.Method != http.MethodGet || request.Body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(request.Body))
	}
	text.WriteString("\r\n" + request.Body)
	return text.String()
}

// Reply is what a client got. Status is 0 if the connection ended without an answer.
type Reply struct {
	Status     int
	Header     http.Header
	Body       string
	IsComplete bool
	Took       time.Duration
	Err        error
}

// Send sends a request and reads the answer, for as long as the client waits.
func (conn *Conn) Send(request *Request) Reply {
	began := time.Now()
	_ = conn.SetDeadline(began.Add(time.Duration(request.DeadlineMs) * time.Millisecond))
	if _, err := io.WriteString(conn, request.Text()); err != nil {
		return Reply{Took: time.Since(began), Err: err}
	}
	response, err := http.ReadResponse(conn.Reader, &http.Request{Method: request.Method})
	if err != nil {
		return Reply{Took: time.Since(began), Err: err}
	}
	body, err := io.ReadAll(response.Body)
	if err == nil {
		conn.Used++
	}
	return Reply{
		Status: response.StatusCode, Header: response.Header, Body: string(body), IsComplete: err == nil, Took: time.Since(began), Err: err,
	}
}
