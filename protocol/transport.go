package protocol

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	// idlePerTarget is how many idle connections are kept to each target.
	idlePerTarget = 64
	// connectionsPerTarget is how many connections there are to each target.
	connectionsPerTarget = 512
	// idleTimeout closes an idle connection before most servers do.
	idleTimeout = 4 * time.Second
	// headerBytes is the longest header of an answer.
	headerBytes = 64 << 10
)

// newTransport makes the connections to targets.
func newTransport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dialer(dial),
		MaxIdleConnsPerHost:    idlePerTarget,
		MaxConnsPerHost:        connectionsPerTarget,
		MaxResponseHeaderBytes: headerBytes,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
	}
}

// newFreshTransport makes a new connection for each request, for where an
// open one may have gone silent.
func newFreshTransport(dial dialFunc) *http.Transport {
	transport := newTransport(dial)
	transport.DisableKeepAlives = true
	return transport
}

// onceBody hides its length and type from net/http, which else sends a
// request again on a new connection when an idle one breaks: for a method it
// holds idempotent, or with an Idempotency-Key, even after bytes have left.
type onceBody struct{ io.Reader }

// Close does nothing.
func (onceBody) Close() error { return nil }

// sending watches one request leave.
type sending struct {
	call *Call

	mutex sync.Mutex
	used  *connection
	since int64
}

// got is called with the connection, before the first byte is written. net/http
// writes even when the context has ended by then, so that a request that must
// not be sent has its connection sealed.
func (sending *sending) got(info httptrace.GotConnInfo) {
	used := counted(info.Conn)
	if used == nil {
		_ = info.Conn.Close()
		return
	}
	since := used.count()
	if !sending.call.BeforeSend() {
		used.seal(since)
		return
	}
	sending.mutex.Lock()
	defer sending.mutex.Unlock()
	sending.used = used
	sending.since = since
}

// left reports whether a byte of a failed request may have left, and sees
// that none does from now on.
func (sending *sending) left() bool {
	sending.mutex.Lock()
	defer sending.mutex.Unlock()
	return sending.used != nil && sending.used.seal(sending.since)
}

// send writes the call to the target at most once. The answer's header must
// come within wait; 0 is no limit. The errors are NotSent when no byte left,
// else Silent or Broken.
func send(ctx context.Context, transport *http.Transport, address string, call *Call, wait time.Duration) (*http.Response, error) {
	watch := &sending{call: call}
	ctx, cancel := context.WithCancelCause(ctx)
	trace := &httptrace.ClientTrace{GotConn: watch.got}
	made, err := newRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	patience := newPatience(wait, cancel)
	response, err := transport.RoundTrip(made)
	patience.stop()
	if err == nil {
		response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
		return response, nil
	}
	cause := context.Cause(ctx)
	cancel(nil)
	switch {
	case !watch.left():
		return nil, NotSent.Wrap(err, "send to %s", address)
	case Is(cause, Silent):
		return nil, Silent.Wrap(err, "send to %s", address)
	default:
		return nil, Broken.Wrap(errors.Join(err, cause), "send to %s", address)
	}
}

func newRequest(ctx context.Context, address string, call *Call) (*http.Request, error) {
	body := onceBody{bytes.NewReader(call.Body)}
	made, err := http.NewRequestWithContext(ctx, call.Method, address+call.Path, body)
	if err != nil {
		return nil, NotSent.Wrap(err, "make request")
	}
	made.ContentLength = int64(len(call.Body))
	for key, values := range call.Header {
		made.Header[key] = values
	}
	made.Header.Set("Nutmegfield-Request", call.Request.String())
	return made, nil
}

// cancelBody ends the request's context with its body.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close cancels what still runs.
func (body *cancelBody) Close() error {
	body.cancel(nil)
	if err := body.ReadCloser.Close(); err != nil {
		return fmt.Errorf("close answer: %w", err)
	}
	return nil
}

// patience ends a context with Silent when nothing is heard for long.
type patience struct {
	limit time.Duration
	timer *time.Timer
}

// newPatience starts to wait; a limit of 0 waits without end.
func newPatience(limit time.Duration, cancel context.CancelCauseFunc) *patience {
	if limit <= 0 {
		return &patience{}
	}
	end := func() { cancel(Silent.New("nothing came for %s", limit)) }
	return &patience{limit: limit, timer: time.AfterFunc(limit, end)}
}

// heard begins the wait anew.
func (patience *patience) heard() {
	if patience.timer != nil {
		patience.timer.Reset(patience.limit)
	}
}

func (patience *patience) stop() {
	if patience.timer != nil {
		patience.timer.Stop()
	}
}
