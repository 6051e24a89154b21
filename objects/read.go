package objects

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"nutmegfield.example/fragment"
)

const (
	// maxListBytes limits the answer that is a list, maxElementBytes what is kept of one of its
	// elements and maxUnreadable the number of those that can't be read.
	maxListBytes    = 8 * MaxObjectBytes
	maxElementBytes = 2 * MaxObjectBytes
	maxUnreadable   = 4096
	// maxFailureBytes limits what is read of an answer that has no object, maxReasonBytes what
	// an error tells of it.
	maxFailureBytes = 4 << 10
	maxReasonBytes  = 200
	// smallBytes is the length of the longest answer that is read beside any number of others;
	// of longer ones maxLarge are read at once.
	smallBytes = 64 << 10
	maxLarge   = 4
	// readBytes is the size of the pieces in which lists are read.
	readBytes = 32 << 10
)

var errTooManyUnreadable = errors.New("too many elements can't be read")

// reader reads the body of an answer that has an object or a list.
type reader func(ctx context.Context, body io.Reader) ([]byte, error)

// readNothing reads an answer of which only the head matters.
func readNothing(_ context.Context, body io.Reader) ([]byte, error) {
	// Without the rest of a longer one, the connection is not used again.
	if _, err := io.CopyN(io.Discard, body, maxFailureBytes); err != nil && !isEnd(err) {
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	return nil, nil
}

// isEnd reports whether an error is the end of a complete answer.
func isEnd(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }

// readValue reads the value of an object, up to a byte more than it may have.
func (client *Client) readValue(ctx context.Context, body io.Reader) ([]byte, error) {
	var value bytes.Buffer
	if _, err := io.CopyN(&value, body, smallBytes); isEnd(err) {
		return value.Bytes(), nil
	} else if err != nil {
		return nil, fmt.Errorf("read the value: %w", err)
	}
	release, err := client.beginLarge(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	value.Grow(MaxObjectBytes + 1 - smallBytes)
	if _, err := io.CopyN(&value, body, MaxObjectBytes+1-smallBytes); err != nil && !isEnd(err) {
		return nil, fmt.Errorf("read the value: %w", err)
	}
	return value.Bytes(), nil
}

// readElements returns a reader that calls read with the text of each element of a list. Those
// for which it fails are left out.
func (client *Client) readElements(read func(text []byte) error) reader {
	return func(ctx context.Context, body io.Reader) ([]byte, error) {
		failed := 0
		splitter := &fragment.Splitter{MaxBytes: maxElementBytes, OnElement: func(text []byte) error {
			if err := read(text); err == nil {
				return nil
			}
			unreadable.Add(1)
			if failed++; failed > maxUnreadable {
				return errTooManyUnreadable
			}
			return nil
		}}
		release := func() {}
		defer func() { release() }()
		buffer := make([]byte, readBytes)
		for total := 0; ; {
			n, err := body.Read(buffer)
			if _, err := splitter.Write(buffer[:n]); err != nil {
				return nil, fmt.Errorf("split the answer: %w", err)
			}
			if isEnd(err) {
				break
			}
			if err != nil {
				return nil, fmt.Errorf("read the list: %w", err)
			}
			isFirst := total <= smallBytes
			if total += n; total > maxListBytes {
				return nil, Refused.New("the list has more than %d bytes", maxListBytes)
			}
			if isFirst && total > smallBytes {
				if release, err = client.beginLarge(ctx); err != nil {
					release = func() {}
					return nil, err
				}
			}
		}
		if _, err := splitter.Rest(); err != nil {
			return nil, fmt.Errorf("split the answer: %w", err)
		}
		return nil, nil
	}
}

// beginLarge waits until a long answer may be read. Release ends it.
func (client *Client) beginLarge(ctx context.Context) (release func(), err error) {
	client.largeOnce.Do(func() { client.large = make(chan struct{}, maxLarge) })
	select {
	case client.large <- struct{}{}:
		return func() { <-client.large }, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for long answers to be read: %w", ctx.Err())
	}
}
