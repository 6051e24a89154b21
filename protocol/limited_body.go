package protocol

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// limitedBody limits the length of an answer and the time of each read, and
// returns errors of this package.
type limitedBody struct {
	body      io.ReadCloser
	limits    Limits
	readBytes int64
	silent    atomic.Bool
}

func newLimitedBody(body io.ReadCloser, limits Limits) *limitedBody {
	return &limitedBody{body: body, limits: limits}
}

// Read returns io.EOF only after the complete answer.
func (limitedBody *limitedBody) Read(buffer []byte) (int, error) {
	n, err := limitedBody.readWithTimeout(buffer)
	limitedBody.readBytes += int64(n)
	if limitedBody.readBytes > limitedBody.limits.MaxBytes {
		return 0, TooLong.New("more than %d bytes", limitedBody.limits.MaxBytes)
	}
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return n, err
	case limitedBody.silent.Load():
		return n, Silent.Wrap(err, "read answer")
	default:
		return n, Broken.Wrap(err, "read answer")
	}
}

// readWithTimeout reads once and closes the body if nothing arrives within
// SilenceTimeout.
func (limitedBody *limitedBody) readWithTimeout(buffer []byte) (int, error) {
	if limitedBody.limits.SilenceTimeout <= 0 {
		return limitedBody.body.Read(buffer)
	}
	timer := time.AfterFunc(limitedBody.limits.SilenceTimeout, func() {
		limitedBody.silent.Store(true)
		_ = limitedBody.body.Close()
	})
	defer timer.Stop()
	return limitedBody.body.Read(buffer)
}

// Close closes the body, which cancels an unfinished request.
func (limitedBody *limitedBody) Close() error { return limitedBody.body.Close() }
