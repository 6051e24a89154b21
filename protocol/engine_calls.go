package protocol

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"nutmegfield.example/request"
)

// cancel stops a running request. An unknown request has ended and is no error.
func (engine *engine) cancel(ctx context.Context, address string, id request.ID) error {
	err := engine.run(ctx, http.MethodDelete, address+"/engine/streams/"+id.String(), nil)
	if Is(err, NotFound) {
		return nil
	}
	return err
}

func (engine *engine) streams(ctx context.Context, address string) ([]Stream, error) {
	var streams []Stream
	err := engine.get(ctx, address+"/engine/streams", &streams)
	return streams, err
}

func (engine *engine) load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := engine.get(ctx, address+"/engine/load", &load)
	return load, err
}

// cacheEvents returns the events after a sequence number. It returns Garbled if
// they are not in ascending order.
func (engine *engine) cacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	url := address + "/engine/cache?after=" + strconv.FormatUint(after, 10)
	if err := engine.get(ctx, url, &events); err != nil {
		return nil, err
	}
	for _, event := range events {
		if event.Sequence <= after {
			return nil, Garbled.New("%s: event %d out of order after event %d", url, event.Sequence, after)
		}
		after = event.Sequence
	}
	return events, nil
}

func (engine *engine) export(ctx context.Context, address string, prefix uint64) ([]byte, error) {
	room := room{budget: engine.limits.Memory}
	defer room.release()
	return engine.call(ctx, http.MethodGet, cacheURL(address, prefix), nil, engine.limits.MaxBytes, &room)
}

func (engine *engine) importCache(ctx context.Context, address string, prefix uint64, cache []byte) error {
	return engine.run(ctx, http.MethodPut, cacheURL(address, prefix), cache)
}

func cacheURL(address string, prefix uint64) string {
	return address + "/engine/kv/" + strconv.FormatUint(prefix, 10)
}

func (engine *engine) order(ctx context.Context, address string, order Order) error {
	encoded, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	return engine.run(ctx, http.MethodPost, address+"/engine/orders", encoded)
}

func (engine *engine) state(ctx context.Context, address string) (State, error) {
	var state State
	err := engine.get(ctx, address+"/engine/state", &state)
	return state, err
}

func (engine *engine) get(ctx context.Context, url string, result any) error {
	room := room{budget: engine.limits.Memory}
	defer room.release()
	answer, err := engine.call(ctx, http.MethodGet, url, nil, engine.limits.controlBytes(), &room)
	if err != nil {
		return err
	}
	if err := room.hold(len(answer) + decodedBytes(answer)); err != nil {
		return fmt.Errorf("decode answer of %s: %w", url, err)
	}
	if err := json.Unmarshal(answer, result); err != nil {
		return Garbled.Wrap(err, "decode answer of %s", url)
	}
	return nil
}

const (
	// elementBytes and numberBytes are what an element of a list and a number hold once they
	// are decoded, with the room by which lists grow.
	elementBytes = 128
	numberBytes  = 16
)

// decodedBytes returns what an answer in JSON holds at most once it is decoded.
func decodedBytes(answer []byte) int {
	return elementBytes*bytes.Count(answer, []byte("{")) + numberBytes*bytes.Count(answer, []byte(","))
}

// run makes a control call of which only the success matters.
func (engine *engine) run(ctx context.Context, method, url string, body []byte) error {
	room := room{budget: engine.limits.Memory}
	defer room.release()
	_, err := engine.call(ctx, method, url, body, engine.limits.controlBytes(), &room)
	return err
}

// call makes a control call on a new connection and returns the complete answer, of which room
// is held.
func (engine *engine) call(ctx context.Context, method, url string, body []byte, maxBytes int64, room *room) ([]byte, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, NotSent.Wrap(err, "make request")
	}
	response, err := engine.singleUse.RoundTrip(httpRequest)
	if err != nil {
		return nil, Broken.Wrap(err, "%s %s", method, url)
	}
	if !isDelimited(response) {
		_ = response.Body.Close()
		return nil, Garbled.New("%s %s: an answer without a length, whose end can't be told", method, url)
	}
	limits := engine.limits
	limits.MaxBytes = maxBytes
	limitedBody := newLimitedBody(response.Body, limits)
	defer func() { _ = limitedBody.Close() }()
	answer, err := room.readAll(limitedBody)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, url, err)
	}
	return answer, statusError(response.StatusCode, method, url)
}

func statusError(status int, method, url string) error {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return NotFound.New("%s %s: not found", method, url)
	case status == http.StatusConflict:
		return Fenced.New("%s %s: a higher fencing number was seen", method, url)
	default:
		return Garbled.New("%s %s: status %d", method, url, status)
	}
}
