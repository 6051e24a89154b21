// Package upstream sends requests to targets over persistent HTTP/1.1 connections.
// For each it returns an answer that belongs to the request, or an error that
// tells whether the target may have read it.
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
	"nutmegfield.example/head"
)

// Error types of this package.
var (
	Errors = errorx.NewNamespace("upstream")
	// NotSent: the target read none of the request.
	NotSent = Errors.NewType("notSent")
	// Withdrawn: the request was not sent as it may not be any more.
	Withdrawn = NotSent.NewSubtype("withdrawn")
	// Unknown: the request was sent and may have run.
	Unknown = Errors.NewType("unknown")
)

// Is reports whether an error, or one that it wraps with %w, has one of the types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }

const (
	// maxInlineBodyBytes is the size of the largest body that is written before the
	// answer is read; a target may answer before it has read a longer one.
	maxInlineBodyBytes = 16 << 10
	// bodyWriteTimeout is how long the rest of a body may take to be written
	// after the answer has been read; if it takes longer, the connection is closed.
	bodyWriteTimeout = 50 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer, large enough for
	// most response headers.
	readBufferBytes = 4 << 10
	// maxHeadBytes limits the status line and header of an answer, maxHeadLines its lines:
	// each takes some hundred bytes once it is parsed.
	maxHeadBytes = 64 << 10
	maxHeadLines = 512
	// maxDiscardBytes and discardTimeout limit the read of a body that nobody needs, for
	// the sake of its connection.
	maxDiscardBytes = 16 << 10
	discardTimeout  = 50 * time.Millisecond
)

// Request is a request to a target.
type Request struct {
	Method string
	// Target is the request target (path and query) as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the id that the target must repeat in its answer. A request without one goes
	// over a new connection, on which only the first answer is taken as its own.
	ID string
	// Once means that the request may run only once. It goes over a connection that is new
	// or was idle for at most MaxFreshIdle: when one breaks that was idle for longer, it is
	// unknown whether the target has read the request.
	Once bool
	// Verify returns an error if the request may not go over a connection that was opened at a time.
	// Nil means that it may go over any.
	Verify func(ctx context.Context, openedAt time.Time) error
	// MaySend reports, just before the request is written, whether it still may be. Nil
	// means that it may.
	MaySend func() bool
	// OnSkipped is called with each answer that is not taken as the request's own. It may
	// be nil.
	OnSkipped func(Skipped)

	// takesUnnamed means that the first answer on a connection that names no request is taken.
	// Ask sets it.
	takesUnnamed bool
}

// Answer is a target's answer. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Body returns io.EOF only if the answer is complete.
	Body *Body
	// Length is the declared length of the body in bytes, -1 for none.
	Length int64
	// Unframed reports whether the answer has a body with neither a length nor chunks. It
	// ends with its connection, which also ends if the target does.
	Unframed bool
	// Confirmed reports, after the end of an unframed answer that came over another host,
	// whether that host has found it whole. It is nil for one over an own connection.
	Confirmed func() bool
	// Reused reports whether the connection had carried a request before.
	Reused bool
}

// Exchange sends a request to an address and returns its answer once the header is
// read. Its errors are of type NotSent or Unknown. If the context ends, the
// connection is closed.
func (connections *Connections) Exchange(ctx context.Context, address string, request *Request) (*Answer, error) {
	connection, err := connections.acquire(ctx, address, request)
	if err != nil {
		return nil, NotSent.Wrap(err, "connect to %s", address)
	}
	if request.Verify != nil {
		if err := request.Verify(ctx, connection.openedAt); err != nil {
			connection.close()
			return nil, Withdrawn.Wrap(err, "verify %s", address)
		}
	}
	if request.MaySend != nil && !request.MaySend() {
		connections.putIdle(connection)
		return nil, Withdrawn.New("%s wants no requests now", address)
	}
	stopAbort := context.AfterFunc(ctx, connection.abort)
	answer, err := connections.exchange(ctx, connection, request)
	if err != nil {
		stopAbort()
		connection.close()
		return nil, err
	}
	answer.Body.connections, answer.Body.stopAbort = connections, stopAbort
	return answer, nil
}

func (connections *Connections) exchange(ctx context.Context, connection *connection, request *Request) (*Answer, error) {
	sent := time.Now()
	carried := connection.carried
	connection.carried++
	text := connections.encodeHead(request)
	if len(request.Body) <= maxInlineBodyBytes {
		text = append(text, request.Body...)
	}
	if n, err := connection.Write(text); err != nil {
		if n == 0 && ctx.Err() == nil {
			return nil, NotSent.Wrap(err, "write to %s", connection.address)
		}
		return nil, Unknown.Wrap(err, "write to %s", connection.address)
	}
	connection.bodyWritten, connection.isUnwritten = nil, false
	if len(request.Body) > maxInlineBodyBytes {
		written := make(chan error, 1)
		connection.bodyWritten = written
		go func() {
			_, err := connection.Write(request.Body)
			written <- err
		}()
	}
	matching := &matching{connections: connections, connection: connection, request: request, carried: carried, isFirst: carried == 0}
	response, err := matching.read()
	if err != nil {
		if connection.wasResetWhileIdle(err, time.Since(sent)) {
			connections.recordIdleReset(connection.idleBefore)
		}
		return nil, Unknown.Wrap(err, "read from %s", connection.address)
	}
	connection.updateReuse(response)
	isUnframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && request.Method != http.MethodHead
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   &Body{content: response.Body, connection: connection, isUnframed: isUnframed},
		Length: response.ContentLength,

		Unframed: isUnframed,
		Reused:   connection.uses > 0,
	}, nil
}

// encodeHead returns the request line and header as sent, with a Host and, if needed,
// a Content-Length field. The request's own header must not contain hop-by-hop fields.
func (connections *Connections) encodeHead(request *Request) []byte {
	var buffer bytes.Buffer
	buffer.Grow(1024 + min(len(request.Body), maxInlineBodyBytes))
	buffer.WriteString(request.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(request.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(request.Host)
	buffer.WriteString("\r\n")
	// Writes to a bytes.Buffer don't fail.
	_ = request.Header.Write(&buffer)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(request.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// Body is an answer's body. Its Close keeps the connection for reuse or closes it.
type Body struct {
	content     io.Reader
	connections *Connections
	connection  *connection
	// isUnframed means that the body ends with the connection.
	isUnframed bool
	// stopAbort keeps the end of the request's context from aborting the
	// connection; it returns false if that has already happened.
	stopAbort func() bool
	readToEnd bool
	closed    bool
	// release is called by Close if the body comes from another host.
	release func()
}

// NewBody returns the body of an answer that comes over another host. Its content returns
// io.EOF only at the end of a complete body; release is called once, by Close.
func NewBody(content io.Reader, release func()) *Body {
	return &Body{content: content, release: release}
}

// errUnread is returned at the end of a body that ends with its connection, if the target did not
// take the whole request: the connection was reset, of which the system tells only once, and may
// have told the write in place of the read.
var errUnread = fmt.Errorf("the connection ended before the request was written: %w", io.ErrUnexpectedEOF)

// Read returns io.EOF only at the end of a complete body.
func (body *Body) Read(buffer []byte) (int, error) {
	n, err := body.content.Read(buffer)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		if body.isUnframed && !body.connection.waitBodyWritten() {
			return n, errUnread
		}
		body.readToEnd = true
	}
	return n, err
}

// IsDry reports whether nothing has come that was not read, so that the next read waits. It is
// false for an answer that comes over another host.
func (body *Body) IsDry() bool {
	if body.connection == nil || body.connection.reader.Buffered() > 0 {
		return false
	}
	isDry, err := body.connection.peek()
	if err != nil {
		// The system tells of a reset only once.
		body.connection.input.failed = err
	}
	return isDry
}

// Discard reads a body that nobody needs to its end, so that its connection can be reused.
// It gives up after maxDiscardBytes or discardTimeout; Close then closes the connection.
func (body *Body) Discard() {
	if body.release != nil {
		return
	}
	// Without a deadline, or if the read fails, the connection is not reused.
	if body.connection.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	if body.connection.SetReadDeadline(time.Time{}) != nil {
		body.connection.noReuse = true
	}
}

// Close keeps the connection for reuse if the request was written and the answer read
// completely, else it closes the connection.
func (body *Body) Close() error {
	if body.closed {
		return nil
	}
	body.closed = true
	if body.release != nil {
		body.release()
		return nil
	}
	if !body.stopAbort() || !body.readToEnd || !body.connection.waitBodyWritten() {
		body.connection.close()
		return nil
	}
	body.connections.putIdle(body.connection)
	return nil
}

// headLimiter is the input of a connection's buffer. It fails once the head of an answer
// is longer than maxHeadBytes, has more lines than maxHeadLines or is malformed.
type headLimiter struct {
	source io.Reader
	// checker checks the head.
	checker head.Checker
	// isInHead is set while the head of an answer is read, of which remaining bytes and
	// lines are allowed.
	isInHead                  bool
	remaining, remainingLines int
	// failed is the error of the connection, if that is known already.
	failed error
}

// startHead is called before a head is read, with the part of it that has come already.
func (headLimiter *headLimiter) startHead(buffered []byte) error {
	headLimiter.isInHead, headLimiter.remaining, headLimiter.remainingLines = true, maxHeadBytes, maxHeadLines
	headLimiter.checker = head.Checker{}
	return headLimiter.check(buffered)
}

// check checks a part of the head, and what follows it.
func (headLimiter *headLimiter) check(text []byte) error {
	if _, err := headLimiter.checker.Write(text); err != nil {
		headLimiter.failed = fmt.Errorf("check the head: %w", err)
	}
	return headLimiter.failed
}

// endHead is called once a head was read, and reports whether it is whole.
func (headLimiter *headLimiter) endHead() bool {
	headLimiter.isInHead = false
	return headLimiter.checker.IsWhole()
}

func (headLimiter *headLimiter) Read(buffer []byte) (int, error) {
	if headLimiter.failed != nil {
		return 0, headLimiter.failed
	}
	if !headLimiter.isInHead {
		return headLimiter.source.Read(buffer)
	}
	if headLimiter.remaining <= 0 || headLimiter.remainingLines < 0 {
		return 0, errHeadTooLong
	}
	n, err := headLimiter.source.Read(buffer[:min(len(buffer), headLimiter.remaining)])
	headLimiter.remaining -= n
	// The last bytes may be those of the body; they don't matter any more then.
	headLimiter.remainingLines -= bytes.Count(buffer[:n], []byte("\n"))
	if err := headLimiter.check(buffer[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// connection is one open connection to a target.
type connection struct {
	net.Conn
	address string
	input   *headLimiter
	reader  *bufio.Reader
	// bodyWritten receives the result of writing a body concurrently; nil if the
	// body was written before the answer was read, or has been since. isUnwritten is set once
	// it was not written in time.
	bodyWritten chan error
	isUnwritten bool
	// uses is the number of answers that were read completely, carried that of the requests
	// that were written, also in part.
	uses, carried int
	openedAt      time.Time
	idleSince     time.Time
	// idleBefore is how long it had been idle before its current use.
	idleBefore time.Duration
	// keepAlive is the idle timeout stated by the target, 0 for none.
	keepAlive time.Duration
	// hadUnnamed reports whether an answer that named no request has come.
	hadUnnamed bool
	// noReuse reports whether the connection must not carry another request.
	noReuse bool
	onClose func()
}

// abort makes pending and later reads and writes fail.
func (connection *connection) abort() { _ = connection.SetDeadline(time.Unix(1, 0)) }

func (connection *connection) close() {
	_ = connection.Close()
	if connection.onClose != nil {
		connection.onClose()
		connection.onClose = nil
	}
}

// waitBodyWritten reports whether the whole request was written; it waits up to
// bodyWriteTimeout.
func (connection *connection) waitBodyWritten() bool {
	if connection.bodyWritten == nil || connection.isUnwritten {
		return !connection.isUnwritten
	}
	timer := time.NewTimer(bodyWriteTimeout)
	defer timer.Stop()
	select {
	case err := <-connection.bodyWritten:
		connection.bodyWritten, connection.isUnwritten = nil, err != nil
	case <-timer.C:
		connection.isUnwritten = true
	}
	return !connection.isUnwritten
}
