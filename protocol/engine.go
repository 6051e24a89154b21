package protocol

import (
	"context"
	"mime"
	"net/http"
	"strings"
	"time"

	"nutmegfield.example/head"
	"nutmegfield.example/request"
)

func init() {
	Register("engine", func(limits Limits) *Client {
		return newEngine(limits, limits.Dial)
	})
}

func newEngine(limits Limits, dial dialFunc) *Client {
	engine := &engine{limits: limits, transport: newTransport(dial), singleUse: newSingleUseTransport(dial)}
	return &Client{
		Dispatch:    engine.dispatch,
		Cancel:      engine.cancel,
		Streams:     engine.streams,
		Load:        engine.load,
		CacheEvents: engine.cacheEvents,
		Export:      engine.export,
		Import:      engine.importCache,
		Order:       engine.order,
		State:       engine.state,
	}
}

// cancelTimeout limits the cancel of an abandoned request.
const cancelTimeout = 2 * time.Second

// leavingHeader is set by an engine that is leaving and refuses a request
// without running it. requestHeader names the request, in calls and in refusals.
const (
	leavingHeader = "Nutmegfield-Leaving"
	requestHeader = "Nutmegfield-Request"
)

// engine is the client of model engines: chat completions as JSON or
// server-sent events, and the engine's control calls under /engine.
type engine struct {
	limits    Limits
	transport *head.Transport
	// singleUse opens a new connection for each request.
	singleUse *head.Transport
}

func (engine *engine) dispatch(ctx context.Context, address string, call *Call) (*Answer, error) {
	headerTimeout := engine.limits.HeaderTimeout
	if call.Stream {
		headerTimeout = engine.limits.SilenceTimeout
	}
	response, isReused, err := send(ctx, engine.transport, address, call, headerTimeout)
	switch {
	case err == nil:
		return engine.newAnswer(ctx, address, call, response, isReused)
	case Is(err, NotSent):
		return nil, err
	case call.Stream && ctx.Err() == nil:
		return engine.resumedAnswer(ctx, address, call, err)
	default:
		engine.abandon(ctx, address, call.Request)
		return nil, err
	}
}

// newAnswer returns the answer for a response, or an error if the engine is leaving
// or the response is not of the type that the call expects. IsReused reports whether the
// connection had carried another request before.
func (engine *engine) newAnswer(ctx context.Context, address string, call *Call, response *http.Response, isReused bool) (*Answer, error) {
	abandon := func() { engine.abandon(ctx, address, call.Request) }
	refuses := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(leavingHeader) != ""
	named := response.Header.Get(requestHeader)
	switch {
	case countLines(response.Header) > maxHeaderLines:
		_ = response.Body.Close()
		abandon()
		return nil, Garbled.New("%s: a header of more than %d lines", address, maxHeaderLines)
	case refuses && (named == call.Request.String() || named == "" && !isReused):
		_ = response.Body.Close()
		return nil, Leaving.New("%s is leaving and accepts no new requests", address)
	case refuses:
		// It may be the copy of an earlier refusal, and the request may run.
		_ = response.Body.Close()
		abandon()
		return nil, Garbled.New("%s: a refusal that names request %q", address, named)
	case response.StatusCode != http.StatusOK:
		if !isDelimited(response) {
			_ = response.Body.Close()
			return nil, Garbled.New("%s: an answer with status %d without a length, whose end can't be told", address, response.StatusCode)
		}
		return plainAnswer(response, engine.limits), nil
	case call.Stream != isStream(response):
		_ = response.Body.Close()
		abandon()
		return nil, Garbled.New("%s: an answer of type %q", address, response.Header.Get("Content-Type"))
	case call.Stream:
		return engine.streamAnswer(ctx, address, call, response), nil
	default:
		return completionAnswer(response, engine.limits, call.Request, abandon), nil
	}
}

// resumedAnswer resumes a stream whose first connection failed after bytes were
// sent, as the engine may be running the request.
func (engine *engine) resumedAnswer(ctx context.Context, address string, call *Call, sendErr error) (*Answer, error) {
	stream := engine.newStream(ctx, address, call.Request)
	if err := stream.resume(sendErr); err != nil {
		_ = stream.Close()
		return nil, err
	}
	header := http.Header{"Content-Type": {streamType}}
	return &Answer{Status: http.StatusOK, Header: header, Body: stream, Usage: stream.currentUsage}, nil
}

func (engine *engine) streamAnswer(ctx context.Context, address string, call *Call, response *http.Response) *Answer {
	stream := engine.newStream(ctx, address, call.Request)
	stream.attach(response.Body)
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: stream, Usage: stream.currentUsage}
}

// isStream reports whether an answer consists of server-sent events as they are.
func isStream(response *http.Response) bool {
	// A type whose parameters can't be read is returned with an error.
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	encoding := response.Header.Get("Content-Encoding")
	return mediaType == streamType && (encoding == "" || strings.EqualFold(encoding, "identity"))
}

// countLines returns the number of lines of a header.
func countLines(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

// plainAnswer returns an answer that is not a completion, such as an error,
// unchanged.
func plainAnswer(response *http.Response, limits Limits) *Answer {
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   newLimitedBody(response.Body, limits),
		Usage:  func() request.Usage { return request.Usage{} },
	}
}

// abandon cancels a request whose answer is no longer needed, also when ctx has
// ended. It waits for the engine's answer, so that the slot is not granted to
// another request while the engine still uses it.
func (engine *engine) abandon(ctx context.Context, address string, id request.ID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	// If the engine can't be reached, it ends the unread request by itself.
	_ = engine.cancel(ctx, address, id)
}
