package protocol

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// wholeBody turns the faults of an answer's end into errors of this package
// and bounds its length and its silences.
type wholeBody struct {
	body   io.ReadCloser
	limits Limits
	read   int64
	silent atomic.Bool
}

func newWholeBody(body io.ReadCloser, limits Limits) *wholeBody {
	return &wholeBody{body: body, limits: limits}
}

// Read ends with io.EOF only after the whole answer.
func (body *wholeBody) Read(into []byte) (int, error) {
	n, err := body.readPart(into)
	body.read += int64(n)
	if body.read > body.limits.Bytes {
		return 0, TooLong.New("more than %d bytes", body.limits.Bytes)
	}
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return n, err
	case body.silent.Load():
		return n, Silent.Wrap(err, "read answer")
	default:
		return n, Broken.Wrap(err, "read answer")
	}
}

// readPart closes an answer that stays silent under the read.
func (body *wholeBody) readPart(into []byte) (int, error) {
	if body.limits.Silence <= 0 {
		return body.body.Read(into)
	}
	timer := time.AfterFunc(body.limits.Silence, func() {
		body.silent.Store(true)
		_ = body.body.Close()
	})
	defer timer.Stop()
	return body.body.Read(into)
}

// Close cancels what still runs.
func (body *wholeBody) Close() error { return body.body.Close() }
