// Package upstream sends requests to targets over kept HTTP/1.1 connections
// and tells exactly what is known of each: not sent, not run, unknown, or an
// answer that is the request's own.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/errorkind"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("upstream")
	// NotSent: no target read any of the request.
	NotSent = Errors.NewType("notSent")
	// Unknown: the request was sent and may have run.
	Unknown = Errors.NewType("unknown")
)

// Is reports whether an error, however wrapped with %w, is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }

const (
	// foreignAnswers is how many answers to other requests are passed over
	// before a connection is given up.
	foreignAnswers = 4
	// inlineBody is the longest body that is written before the answer is
	// read; a target may answer before it has read a longer one.
	inlineBody = 16 << 10
	// lingeringWrite is how long the rest of a body may take to be written
	// after its answer has come, for the connection to be kept.
	lingeringWrite = 50 * time.Millisecond
	// readBuffer holds the head of an answer.
	readBuffer = 4 << 10
)

// Request is what a target gets.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the id that the target repeats in its answer.
	ID string
	// Fresh requests go over a connection that has been idle for at most
	// FreshIdle, as nobody can tell whether one that broke was read.
	Fresh bool
}

// Answer is a target's answer. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer is whole.
	Body io.ReadCloser
	// Length is the length stated for the body, -1 for none.
	Length int64
	// Reused tells that the connection had been used before.
	Reused bool
}

// Exchange sends a request to an address and returns the head of its answer.
// It fails with NotSent or Unknown. The end of the context ends the exchange
// and its connection.
func (connections *Connections) Exchange(ctx context.Context, address string, request *Request) (*Answer, error) {
	connection, err := connections.take(ctx, address, request.Fresh)
	if err != nil {
		return nil, NotSent.Wrap(err, "connect to %s", address)
	}
	release := context.AfterFunc(ctx, connection.abort)
	answer, err := connections.exchange(ctx, connection, request)
	if err != nil {
		release()
		connection.close()
		return nil, err
	}
	answer.Body = &body{ReadCloser: answer.Body, connections: connections, connection: connection, release: release}
	return answer, nil
}

func (connections *Connections) exchange(ctx context.Context, connection *connection, request *Request) (*Answer, error) {
	sent := time.Now()
	head := connections.head(request)
	if len(request.Body) <= inlineBody {
		head = append(head, request.Body...)
	}
	if n, err := connection.Write(head); err != nil {
		if n == 0 && ctx.Err() == nil {
			return nil, NotSent.Wrap(err, "write to %s", connection.address)
		}
		return nil, Unknown.Wrap(err, "write to %s", connection.address)
	}
	connection.written = nil
	if len(request.Body) > inlineBody {
		connection.written = make(chan error, 1)
		go func() {
			_, err := connection.Write(request.Body)
			connection.written <- err
		}()
	}
	response, err := connections.readOwn(connection, request)
	if err != nil {
		if connection.wasForgotten(err, time.Since(sent)) {
			connections.forgotten(connection.rested)
		}
		return nil, Unknown.Wrap(err, "read from %s", connection.address)
	}
	connection.learn(response)
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   response.Body,
		Length: response.ContentLength,
		Reused: connection.uses > 0,
	}, nil
}

// head writes the request line and header. Fields that concern one connection
// only must not be in the header.
func (connections *Connections) head(request *Request) []byte {
	var buffer bytes.Buffer
	buffer.Grow(1024 + min(len(request.Body), inlineBody))
	buffer.WriteString(request.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(request.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(request.Host)
	buffer.WriteString("\r\n")
	// A bytes.Buffer takes every write.
	_ = request.Header.Write(&buffer)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(request.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// errForeign is returned when a connection only brings answers to others.
var errForeign = errors.New("the connection brings answers to other requests")

// readOwn reads answers until one is the request's own.
func (connections *Connections) readOwn(connection *connection, request *Request) (*http.Response, error) {
	asked := &http.Request{Method: request.Method}
	for range foreignAnswers {
		response, err := http.ReadResponse(connection.reader, asked)
		if err != nil {
			return nil, fmt.Errorf("read the answer's head: %w", err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if connections.Own(request, response) {
			return response, nil
		}
		// What follows an answer to another request is not trusted again.
		connection.spent = true
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, fmt.Errorf("read another request's answer: %w", err)
		}
	}
	return nil, errForeign
}

// body gives its connection back once it has been read to its end.
type body struct {
	io.ReadCloser
	connections *Connections
	connection  *connection
	release     func() bool
	ended       bool
	closed      bool
}

// Read reads the body; io.EOF tells that it is whole.
func (body *body) Read(buffer []byte) (int, error) {
	n, err := body.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		body.ended = true
	}
	return n, err
}

// Close gives the connection back, or closes it if the body was not read to
// its end.
func (body *body) Close() error {
	if body.closed {
		return nil
	}
	body.closed = true
	if !body.release() || !body.ended || !body.connection.wholeWritten() {
		body.connection.close()
		return nil
	}
	body.connections.put(body.connection)
	return nil
}

// connection is one open connection to a target.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// written tells the end of a body that is written beside the reading.
	written chan error
	uses    int
	idle    time.Time
	// rested is how long it had been idle before its present use.
	rested time.Duration
	// keep is how long the target keeps it idle, 0 if it does not say.
	keep time.Duration
	// spent connections are not used again.
	spent   bool
	onClose func()
}

func (connection *connection) abort() { _ = connection.SetDeadline(time.Unix(1, 0)) }

func (connection *connection) close() {
	_ = connection.Close()
	if connection.onClose != nil {
		connection.onClose()
		connection.onClose = nil
	}
}

// wholeWritten reports whether the target has taken the whole request.
func (connection *connection) wholeWritten() bool {
	if connection.written == nil {
		return true
	}
	timer := time.NewTimer(lingeringWrite)
	defer timer.Stop()
	select {
	case err := <-connection.written:
		return err == nil
	case <-timer.C:
		return false
	}
}
