package target

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// idlePerTarget is how many idle connections are kept to each target.
const idlePerTarget = 64

// newTransport makes the connections to targets.
func newTransport(limits Limits) *http.Transport {
	return &http.Transport{
		DialContext:         limits.Dial,
		MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// onceBody hides its length and type from net/http, which else sends a
// request again on a new connection when an idle one breaks: for a method it
// holds idempotent, or with an Idempotency-Key, even after bytes have left.
type onceBody struct{ io.Reader }

// Close does nothing.
func (onceBody) Close() error { return nil }

// send writes the call to the target at most once. The errors are NotSent
// before the first byte and Broken after it.
func send(ctx context.Context, transport *http.Transport, address string, call *Call) (*http.Response, error) {
	sent := false
	ctx, cancel := context.WithCancel(ctx)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if call.Sending() {
				sent = true
				return
			}
			cancel()
		},
	}
	made, err := newRequest(httptrace.WithClientTrace(ctx, trace), address, call)
	if err != nil {
		cancel()
		return nil, err
	}
	response, err := transport.RoundTrip(made)
	switch {
	case err == nil:
		response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
		return response, nil
	case !sent:
		cancel()
		return nil, NotSent.Wrap(err, "send to %s", address)
	default:
		cancel()
		return nil, Broken.Wrap(err, "send to %s", address)
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
	cancel context.CancelFunc
}

// Close cancels what still runs.
func (body *cancelBody) Close() error {
	body.cancel()
	if err := body.ReadCloser.Close(); err != nil {
		return fmt.Errorf("close answer: %w", err)
	}
	return nil
}
