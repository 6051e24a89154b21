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

	"nutmegfield.example/head"
)

const (
	maxIdlePerTarget        = 64
	maxConnectionsPerTarget = 512
	// idleTimeout is shorter than that of most servers, so that the client closes
	// an idle connection first.
	idleTimeout = 4 * time.Second
	// maxHeaderBytes limits the header of an answer, maxHeaderLines the lines of one that is
	// kept: each takes some hundred bytes once it is parsed.
	maxHeaderBytes = 16 << 10
	maxHeaderLines = 512
)

// newTransport returns a transport that keeps connections to targets open.
func newTransport(dial dialFunc) *head.Transport { return head.NewTransport(baseTransport(dial)) }

func baseTransport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            countingDialer(dial),
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		MaxConnsPerHost:        maxConnectionsPerTarget,
		MaxResponseHeaderBytes: maxHeaderBytes,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
	}
}

// newSingleUseTransport returns a transport that opens a new connection for each
// request, as an open one may have gone silent.
func newSingleUseTransport(dial dialFunc) *head.Transport {
	base := baseTransport(dial)
	base.DisableKeepAlives = true
	return head.NewTransport(base)
}

// nonReplayableBody hides its length and type from net/http, which otherwise
// resends a request on a new connection when an idle one breaks. For an idempotent
// method, or with an Idempotency-Key, net/http does so even after bytes were sent.
type nonReplayableBody struct{ io.Reader }

// Close implements io.Closer; there is nothing to release.
func (nonReplayableBody) Close() error { return nil }

// sendTrace records whether bytes of one request were sent.
type sendTrace struct {
	call *Call

	mutex sync.Mutex
	// connection is nil until the request may be written.
	connection *connection
	// writtenBefore is the number of bytes written to the connection before this
	// request.
	writtenBefore int64
	// isReused means that the connection had carried another request before.
	isReused bool
}

// gotConn is called with the connection before the first byte is written. It
// seals the connection of a request that must not be sent, because net/http
// writes the request even if the context has ended by then.
func (sendTrace *sendTrace) gotConn(info httptrace.GotConnInfo) {
	connection := connectionOf(info.Conn)
	if connection == nil {
		_ = info.Conn.Close()
		return
	}
	writtenBefore := connection.writtenBytes()
	if !sendTrace.call.BeforeSend() {
		connection.seal(writtenBefore)
		return
	}
	sendTrace.mutex.Lock()
	defer sendTrace.mutex.Unlock()
	sendTrace.connection = connection
	sendTrace.writtenBefore = writtenBefore
	sendTrace.isReused = info.Reused
}

// wasReused reports whether the request went over a connection that had carried another one
// before, so that the answer may be the copy of an earlier one.
func (sendTrace *sendTrace) wasReused() bool {
	sendTrace.mutex.Lock()
	defer sendTrace.mutex.Unlock()
	return sendTrace.isReused
}

// abort prevents further writes of a failed request and reports whether a byte of
// it may have been sent.
func (sendTrace *sendTrace) abort() bool {
	sendTrace.mutex.Lock()
	defer sendTrace.mutex.Unlock()
	return sendTrace.connection != nil && sendTrace.connection.seal(sendTrace.writtenBefore)
}

// send sends the call to the target at most once. The header of the answer must
// arrive within headerTimeout; 0 means no limit. The error is NotSent if no byte was
// sent, otherwise Silent or Broken. IsReused reports whether the connection had carried
// another request before.
func send(ctx context.Context, transport *head.Transport, address string, call *Call, headerTimeout time.Duration) (response *http.Response, isReused bool, err error) {
	sendTrace := &sendTrace{call: call}
	ctx, cancel := context.WithCancelCause(ctx)
	trace := &httptrace.ClientTrace{GotConn: sendTrace.gotConn}
	httpRequest, err := newHTTPRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		cancel(nil)
		return nil, false, err
	}
	silenceTimer := newSilenceTimer(headerTimeout, cancel)
	response, err = transport.RoundTrip(httpRequest)
	silenceTimer.stop()
	if err == nil {
		response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
		return response, sendTrace.wasReused(), nil
	}
	cause := context.Cause(ctx)
	cancel(nil)
	switch {
	case !sendTrace.abort():
		return nil, false, NotSent.Wrap(err, "send to %s", address)
	case Is(cause, Silent):
		return nil, false, Silent.Wrap(err, "send to %s", address)
	default:
		return nil, false, Broken.Wrap(errors.Join(err, cause), "send to %s", address)
	}
}

func newHTTPRequest(ctx context.Context, address string, call *Call) (*http.Request, error) {
	body := nonReplayableBody{bytes.NewReader(call.Body)}
	httpRequest, err := http.NewRequestWithContext(ctx, call.Method, address+call.Path, body)
	if err != nil {
		return nil, NotSent.Wrap(err, "make request")
	}
	httpRequest.ContentLength = int64(len(call.Body))
	for key, values := range call.Header {
		httpRequest.Header[key] = values
	}
	httpRequest.Header.Set(requestHeader, call.Request.String())
	return httpRequest, nil
}

// cancelBody is a response body whose Close cancels the context of the request.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close cancels the request and closes the body.
func (cancelBody *cancelBody) Close() error {
	cancelBody.cancel(nil)
	if err := cancelBody.ReadCloser.Close(); err != nil {
		return fmt.Errorf("close answer: %w", err)
	}
	return nil
}

// silenceTimer cancels a context with cause Silent when it is not reset for the
// timeout.
type silenceTimer struct {
	timeout time.Duration
	timer   *time.Timer
}

// newSilenceTimer starts a timer; one with a timeout of 0 never expires.
func newSilenceTimer(timeout time.Duration, cancel context.CancelCauseFunc) *silenceTimer {
	if timeout <= 0 {
		return &silenceTimer{}
	}
	expire := func() { cancel(Silent.New("nothing came for %s", timeout)) }
	return &silenceTimer{timeout: timeout, timer: time.AfterFunc(timeout, expire)}
}

// reset restarts the timeout.
func (silenceTimer *silenceTimer) reset() {
	if silenceTimer.timer != nil {
		silenceTimer.timer.Reset(silenceTimer.timeout)
	}
}

func (silenceTimer *silenceTimer) stop() {
	if silenceTimer.timer != nil {
		silenceTimer.timer.Stop()
	}
}
