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

// resumeBackoff is the pause before the second consecutive resume without a new
// event. Each further resume adds as much; the first has no pause.
const resumeBackoff = 50 * time.Millisecond

// stream is an engine's answer as server-sent events. It passes on each event once
// and in order. When a connection breaks, goes silent or sends anything but the
// next event of this request, the stream is resumed from the next offset on a new
// connection.
type stream struct {
	engine  *engine
	ctx     context.Context
	address string
	id      request.ID

	// body is nil while no connection is attached.
	body         io.ReadCloser
	events       *eventReader
	silenceTimer *silenceTimer
	cancel       context.CancelCauseFunc
	// bodyCtx is the context of the current connection. Its cause is Silent after
	// SilenceTimeout without a line.
	bodyCtx context.Context

	// nextOffset is the offset of the next event to pass on.
	nextOffset int64
	// resumes is the number of resumes since the last new event.
	resumes int
	// passedBytes is the number of bytes of all events passed on.
	passedBytes int64
	// pending is the unread part of the last event.
	pending []byte
	// room counts the current event.
	room  room
	usage request.Usage
	// err is the final result of Read once pending is empty.
	err error
	// gone means that the engine does not know the stream or that Close has
	// cancelled it.
	gone bool
}

func (engine *engine) newStream(ctx context.Context, address string, id request.ID) *stream {
	return &stream{engine: engine, ctx: ctx, address: address, id: id, room: room{budget: engine.limits.Memory}}
}

func (stream *stream) currentUsage() request.Usage { return stream.usage }

// attach continues the stream from the body of a connection.
func (stream *stream) attach(body io.ReadCloser) {
	bodyCtx, cancel := context.WithCancelCause(stream.ctx)
	stream.body = body
	stream.bodyCtx = bodyCtx
	stream.cancel = cancel
	stream.silenceTimer = newSilenceTimer(stream.engine.limits.SilenceTimeout, cancel)
	context.AfterFunc(bodyCtx, func() { _ = body.Close() })
	stream.events = newEventReader(body, stream.engine.limits.MaxEventBytes, stream.silenceTimer.reset, &stream.room)
}

// detach closes the current connection, if there is one.
func (stream *stream) detach() {
	if stream.body == nil {
		return
	}
	stream.silenceTimer.stop()
	stream.cancel(nil)
	_ = stream.body.Close()
	stream.body = nil
}

// Read returns io.EOF only after the last event of the stream.
func (stream *stream) Read(buffer []byte) (int, error) {
	for len(stream.pending) == 0 {
		if stream.err != nil {
			return 0, stream.err
		}
		stream.advance()
	}
	n := copy(buffer, stream.pending)
	if stream.pending = stream.pending[n:]; len(stream.pending) == 0 {
		stream.pending = nil
	}
	return n, nil
}

// advance reads one event. If that fails, it resumes the stream or sets its final
// error.
func (stream *stream) advance() {
	err := stream.readEvent()
	if err == nil {
		return
	}
	stream.detach()
	if Is(err, TooLong, NoRoom) {
		stream.err = err
		return
	}
	stream.err = stream.resume(err)
}

// readEvent reads an event from the connection and passes it on. It skips an event
// that was passed on before and returns an error for one that is not the next.
func (stream *stream) readEvent() error {
	event, err := stream.events.next()
	if err != nil {
		return stream.classifyError(err)
	}
	if event.isEnd() && event.offset <= stream.nextOffset {
		stream.pending = event.append(stream.pending[:0])
		stream.err = io.EOF
		stream.detach()
		return nil
	}
	switch {
	case event.offset < 0:
		return Garbled.New("an event without an id")
	case event.offset < stream.nextOffset:
		// The engine resumed from an earlier offset than the one asked for.
		return nil
	case event.offset > stream.nextOffset:
		return Garbled.New("event %d instead of %d", event.offset, stream.nextOffset)
	}
	return stream.passOn(event)
}

// passOn makes the event readable by the caller if it belongs to this request.
func (stream *stream) passOn(event *event) error {
	completionMessage, err := parseCompletion(event.data, stream.id)
	if err != nil {
		return err
	}
	stream.pending = event.append(stream.pending[:0])
	stream.passedBytes += int64(len(stream.pending))
	if stream.passedBytes > stream.engine.limits.MaxBytes {
		stream.pending = nil
		return TooLong.New("more than %d bytes", stream.engine.limits.MaxBytes)
	}
	if completionMessage.Usage != nil {
		stream.usage = completionMessage.Usage.usage()
	}
	stream.nextOffset++
	stream.resumes = 0
	return nil
}

// classifyError returns the error of this package for a failed read of an event.
func (stream *stream) classifyError(err error) error {
	if cause := context.Cause(stream.bodyCtx); Is(cause, Silent) {
		return cause
	}
	if Is(err, Garbled, TooLong, NoRoom, Broken) {
		return err
	}
	return Broken.Wrap(err, "read answer")
}

// resume continues the stream on a new connection from the next offset. lastErr is
// the error that ended the previous connection. It returns the last error when the
// engine does not know the stream, when MaxResumes attempts brought no new event,
// or when the context has ended.
func (stream *stream) resume(lastErr error) error {
	for stream.resumes < stream.engine.limits.MaxResumes {
		if err := stream.ctx.Err(); err != nil {
			return Broken.Wrap(errors.Join(err, lastErr), "the caller gave the stream up")
		}
		if stream.resumes > 0 {
			pause.For(stream.ctx, time.Duration(stream.resumes)*resumeBackoff)
		}
		stream.resumes++
		err := stream.reopen()
		if err == nil {
			return nil
		}
		lastErr = err
		if stream.gone {
			break
		}
	}
	return lastErr
}

// reopen asks the engine once for the stream from the next offset.
func (stream *stream) reopen() error {
	ctx, cancel := context.WithCancelCause(stream.ctx)
	silenceTimer := newSilenceTimer(stream.engine.limits.SilenceTimeout, cancel)
	defer silenceTimer.stop()
	url := stream.address + "/engine/streams/" + stream.id.String() + "?offset=" + strconv.FormatInt(stream.nextOffset, 10)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		cancel(nil)
		return Broken.Wrap(err, "make request")
	}
	response, err := stream.engine.singleUse.RoundTrip(httpRequest)
	if err != nil {
		cause := context.Cause(ctx)
		cancel(nil)
		if Is(cause, Silent) {
			return cause
		}
		return Broken.Wrap(err, "resume stream")
	}
	cancelBody := &cancelBody{ReadCloser: response.Body, cancel: cancel}
	if response.StatusCode == http.StatusOK && isStream(response) {
		stream.attach(cancelBody)
		return nil
	}
	_ = cancelBody.Close()
	stream.gone = response.StatusCode == http.StatusNotFound
	return Broken.New("resume stream: status %d", response.StatusCode)
}

// Close cancels the stream on the engine unless it was read to its end or the
// engine no longer knows it.
func (stream *stream) Close() error {
	stream.detach()
	stream.room.release()
	if errors.Is(stream.err, io.EOF) || stream.gone {
		return nil
	}
	stream.err = fmt.Errorf("read answer: %w", http.ErrBodyReadAfterClose)
	stream.gone = true
	stream.engine.abandon(stream.ctx, stream.address, stream.id)
	return nil
}
