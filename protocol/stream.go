package protocol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"nutmegfield.example/pause"
	"nutmegfield.example/request"
)

// resumePause is the wait before a stream is asked for again after a resume
// that brought nothing; it grows with each one.
const resumePause = 50 * time.Millisecond

// stream is an engine's answer as events. It passes on each event once and in
// order, over as many connections as it takes: one that breaks, goes silent
// or brings what can't be this request's next event is left, and the stream
// resumed on a new one from the next offset.
type stream struct {
	engine  *engine
	ctx     context.Context
	address string
	id      request.ID

	body   io.ReadCloser
	events *eventReader
	wait   *patience
	cancel context.CancelCauseFunc
	// idle is the context of the present connection; its cause is Silent when
	// nothing came for long.
	idle context.Context

	// next is the offset of the next event.
	next int64
	// resumes counts those since the last event.
	resumes int
	passed  int64
	out     []byte
	usage   request.Usage
	err     error
	gone    bool
}

func (engine *engine) newStream(ctx context.Context, address string, id request.ID) *stream {
	return &stream{engine: engine, ctx: ctx, address: address, id: id}
}

func (stream *stream) usageSeen() request.Usage { return stream.usage }

// attach reads on from a connection's body.
func (stream *stream) attach(body io.ReadCloser) {
	idle, cancel := context.WithCancelCause(stream.ctx)
	stream.body = body
	stream.idle = idle
	stream.cancel = cancel
	stream.wait = newPatience(stream.engine.limits.Silence, cancel)
	context.AfterFunc(idle, func() { _ = body.Close() })
	stream.events = newEventReader(body, stream.engine.limits.Event, stream.wait.heard)
}

func (stream *stream) detach() {
	if stream.body == nil {
		return
	}
	stream.wait.stop()
	stream.cancel(nil)
	_ = stream.body.Close()
	stream.body = nil
}

// Read ends with io.EOF only after the stream's last event.
func (stream *stream) Read(into []byte) (int, error) {
	for len(stream.out) == 0 {
		if stream.err != nil {
			return 0, stream.err
		}
		stream.step()
	}
	n := copy(into, stream.out)
	stream.out = stream.out[n:]
	return n, nil
}

// step brings the next event, a resumed connection or the end.
func (stream *stream) step() {
	fault := stream.take()
	if fault == nil {
		return
	}
	stream.detach()
	if Is(fault, TooLong) {
		stream.err = fault
		return
	}
	stream.err = stream.resume(fault)
}

// take passes on the connection's next event, if it is the one that is due.
func (stream *stream) take() error {
	event, err := stream.events.next()
	if err != nil {
		return stream.fault(err)
	}
	if event.end() {
		stream.out = event.append(stream.out[:0])
		stream.err = io.EOF
		stream.detach()
		return nil
	}
	switch {
	case event.offset < 0:
		return Garbled.New("an event without an id")
	case event.offset < stream.next:
		// The engine began earlier than it was asked to.
		return nil
	case event.offset > stream.next:
		return Garbled.New("event %d instead of %d", event.offset, stream.next)
	}
	return stream.pass(event)
}

func (stream *stream) pass(event *event) error {
	message, err := readCompletion(event.data, stream.id)
	if err != nil {
		return err
	}
	stream.out = event.append(stream.out[:0])
	stream.passed += int64(len(stream.out))
	if stream.passed > stream.engine.limits.Bytes {
		stream.out = nil
		return TooLong.New("more than %d bytes", stream.engine.limits.Bytes)
	}
	if message.Usage != nil {
		stream.usage = message.Usage.usage()
	}
	stream.next++
	stream.resumes = 0
	return nil
}

// fault names why a connection brought no event.
func (stream *stream) fault(err error) error {
	if cause := context.Cause(stream.idle); Is(cause, Silent) {
		return cause
	}
	if Is(err, Garbled, TooLong, Broken) {
		return err
	}
	return Broken.Wrap(err, "read answer")
}

// resume takes the stream up on a new connection from the next offset. It
// fails with the last fault when the engine does not know the stream, when it
// was tried too often or when the caller is gone.
func (stream *stream) resume(fault error) error {
	for stream.resumes < stream.engine.limits.Resumes {
		if err := stream.ctx.Err(); err != nil {
			return Broken.Wrap(errors.Join(err, fault), "the caller gave the stream up")
		}
		if stream.resumes > 0 {
			pause.For(stream.ctx, time.Duration(stream.resumes)*resumePause)
		}
		stream.resumes++
		err := stream.open()
		if err == nil {
			return nil
		}
		fault = err
		if stream.gone {
			break
		}
	}
	return fault
}

func (stream *stream) open() error {
	ctx, cancel := context.WithCancelCause(stream.ctx)
	wait := newPatience(stream.engine.limits.Silence, cancel)
	defer wait.stop()
	url := stream.address + "/engine/streams/" + stream.id.String() + "?offset=" + strconv.FormatInt(stream.next, 10)
	made, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		cancel(nil)
		return Broken.Wrap(err, "make request")
	}
	response, err := stream.engine.fresh.RoundTrip(made)
	if err != nil {
		cause := context.Cause(ctx)
		cancel(nil)
		if Is(cause, Silent) {
			return cause
		}
		return Broken.Wrap(err, "resume stream")
	}
	body := &cancelBody{ReadCloser: response.Body, cancel: cancel}
	if response.StatusCode == http.StatusOK && isStream(response) {
		stream.attach(body)
		return nil
	}
	_ = body.Close()
	stream.gone = response.StatusCode == http.StatusNotFound
	return Broken.New("resume stream: status %d", response.StatusCode)
}

// Close cancels the engine's stream unless its end was seen or the engine does
// not know it any more.
func (stream *stream) Close() error {
	stream.detach()
	if errors.Is(stream.err, io.EOF) || stream.gone {
		return nil
	}
	stream.err = fmt.Errorf("read answer: %w", http.ErrBodyReadAfterClose)
	stream.gone = true
	stream.engine.giveUp(stream.ctx, stream.address, stream.id)
	return nil
}
