package protocol

import (
	"context"
	"net/http"
	"strings"
	"time"

	"nutmegfield.example/request"
)

func init() {
	Register("engine", func(limits Limits) *Client {
		return newEngine(limits, limits.Dial)
	})
}

func newEngine(limits Limits, dial dialFunc) *Client {
	engine := &engine{limits: limits, transport: newTransport(dial), fresh: newFreshTransport(dial)}
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

// cancelTimeout bounds the word to an engine that a request is given up.
const cancelTimeout = 2 * time.Second

// leavingHeader is set by an engine that refuses a request, unrun.
const leavingHeader = "Nutmegfield-Leaving"

// engine is the client of model engines: chat completions as JSON or
// server-sent events, and the engine's own calls under /engine.
type engine struct {
	limits    Limits
	transport *http.Transport
	// fresh opens a connection for each request.
	fresh *http.Transport
}

func (engine *engine) dispatch(ctx context.Context, address string, call *Call) (*Answer, error) {
	wait := engine.limits.Wait
	if call.Stream {
		wait = engine.limits.Silence
	}
	response, err := send(ctx, engine.transport, address, call, wait)
	switch {
	case err == nil:
		return engine.answer(ctx, address, call, response)
	case Is(err, NotSent):
		return nil, err
	case call.Stream && ctx.Err() == nil:
		return engine.resumed(ctx, address, call, err)
	default:
		engine.giveUp(ctx, address, call.Request)
		return nil, err
	}
}

func (engine *engine) answer(ctx context.Context, address string, call *Call, response *http.Response) (*Answer, error) {
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(leavingHeader) != "" {
		_ = response.Body.Close()
		return nil, Leaving.New("%s takes no new work", address)
	}
	giveUp := func() { engine.giveUp(ctx, address, call.Request) }
	switch {
	case response.StatusCode != http.StatusOK:
		return plainAnswer(response, engine.limits), nil
	case call.Stream != isStream(response):
		_ = response.Body.Close()
		giveUp()
		return nil, Garbled.New("%s: an answer of type %q", address, response.Header.Get("Content-Type"))
	case call.Stream:
		return engine.streamAnswer(ctx, address, call, response), nil
	default:
		return completionAnswer(response, engine.limits, call.Request, giveUp), nil
	}
}

// resumed takes up a stream whose first connection broke after bytes left:
// it may run all the same.
func (engine *engine) resumed(ctx context.Context, address string, call *Call, fault error) (*Answer, error) {
	stream := engine.newStream(ctx, address, call.Request)
	if err := stream.resume(fault); err != nil {
		_ = stream.Close()
		return nil, err
	}
	header := http.Header{"Content-Type": {streamType}}
	return &Answer{Status: http.StatusOK, Header: header, Body: stream, Usage: stream.usageSeen}, nil
}

func (engine *engine) streamAnswer(ctx context.Context, address string, call *Call, response *http.Response) *Answer {
	stream := engine.newStream(ctx, address, call.Request)
	stream.attach(response.Body)
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: stream, Usage: stream.usageSeen}
}

func isStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), streamType)
}

// plainAnswer passes an answer on that is no completion, as an error is.
func plainAnswer(response *http.Response, limits Limits) *Answer {
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   newWholeBody(response.Body, limits),
		Usage:  func() request.Usage { return request.Usage{} },
	}
}

// giveUp tells an engine that nobody waits for a request any more. It waits
// for the answer, so that the slot is not given away before.
func (engine *engine) giveUp(ctx context.Context, address string, id request.ID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	// An engine that can't be told ends the request by itself.
	_ = engine.cancel(ctx, address, id)
}
