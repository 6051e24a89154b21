package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"nutmegfield.example/memory"
)

const (
	// maxBufferedBytes limits the body of an answer that is not a stream, and an event of
	// a stream. Both are buffered before any of them is passed on.
	maxBufferedBytes = 1 << 20
	// firstBufferBytes is the first capacity of a buffer; ownBufferBytes is the part of
	// each that does not use the room of all. Answers are mostly shorter.
	firstBufferBytes = 2 << 10
	ownBufferBytes   = 32 << 10
	// ownHeadBytes is the length of the longest head of an answer that is counted as a part
	// of its request; fieldBytes is what a field holds besides its text.
	ownHeadBytes = 8 << 10
	fieldBytes   = 192
	// maxSharedBytes limits what the buffers of a host hold beyond ownBufferBytes each.
	maxSharedBytes = 16 << 20
)

var (
	errTooLong     = errors.New("the answer, or an event of it, is too long")
	errBuffersFull = errors.New("the answer is long, and too many others are")
	errHeadsFull   = errors.New("the answer's header is long, and too many others are")
)

// bufferRoom counts the bytes that buffers hold together, so that targets whose answers
// don't end can't fill the host's memory. The zero value is ready for use.
type bufferRoom struct {
	shared atomic.Int64
	// budget counts all of them as a part of the host's memory. It may be nil.
	budget *memory.Budget
}

// take counts the growth of a buffer between capacities, and reports whether there is room.
func (bufferRoom *bufferRoom) take(from, to int) bool {
	size := memory.Small
	if to > ownBufferBytes {
		size = memory.Large
	}
	if !bufferRoom.budget.Take(memory.Answers, int64(to-from), size) {
		return false
	}
	if bufferRoom.shared.Add(sharedBytes(to)-sharedBytes(from)) <= maxSharedBytes {
		return true
	}
	bufferRoom.shared.Add(sharedBytes(from) - sharedBytes(to))
	bufferRoom.budget.Give(memory.Answers, int64(to-from))
	return false
}

// give gives back the room of a buffer with a capacity.
func (bufferRoom *bufferRoom) give(capacity int) {
	bufferRoom.shared.Add(-sharedBytes(capacity))
	bufferRoom.budget.Give(memory.Answers, int64(capacity))
}

// headBytes returns what is counted for the head of an answer, 0 for a short one.
func headBytes(header http.Header) int {
	bytes := 0
	for name, values := range header {
		for _, value := range values {
			bytes += fieldBytes + len(name) + len(value)
		}
	}
	if bytes <= ownHeadBytes {
		return 0
	}
	return bytes
}

// holdHead counts the head of an answer until the request has ended, and reports whether
// there is room.
func (forwarding *forwarding) holdHead(header http.Header) bool {
	bytes := headBytes(header)
	if bytes == 0 {
		return true
	}
	if !forwarding.gateway.bufferRoom.take(0, bytes) {
		return false
	}
	forwarding.heldHeads = append(forwarding.heldHeads, bytes)
	return true
}

// releaseHeads gives back what was counted for heads.
func (forwarding *forwarding) releaseHeads() {
	for _, bytes := range forwarding.heldHeads {
		forwarding.gateway.bufferRoom.give(bytes)
	}
	forwarding.heldHeads = nil
}

// sharedBytes is the part of a capacity that counts for all buffers together.
func sharedBytes(capacity int) int64 { return int64(max(0, capacity-ownBufferBytes)) }

// buffer holds an answer or a part of it. It must be released, also after an error.
type buffer struct {
	room  *bufferRoom
	bytes []byte
}

// release empties the buffer and gives back its room.
func (buffer *buffer) release() {
	buffer.room.give(cap(buffer.bytes))
	buffer.bytes = nil
}

// grow makes room for more bytes, up to one more than maxBufferedBytes, by which a body
// that is too long shows.
func (buffer *buffer) grow(count int) error {
	const maxCapacity = maxBufferedBytes + 1
	needed := len(buffer.bytes) + count
	if needed > maxCapacity {
		return errTooLong
	}
	if needed <= cap(buffer.bytes) {
		return nil
	}
	larger := min(max(needed, 2*cap(buffer.bytes), firstBufferBytes), maxCapacity)
	if !buffer.room.take(cap(buffer.bytes), larger) {
		return errBuffersFull
	}
	buffer.bytes = append(make([]byte, 0, larger), buffer.bytes...)
	return nil
}

// write appends bytes.
func (buffer *buffer) write(bytes []byte) error {
	if err := buffer.grow(len(bytes)); err != nil {
		return err
	}
	buffer.bytes = append(buffer.bytes, bytes...)
	return nil
}

// readAll appends all that a reader has.
func (buffer *buffer) readAll(reader io.Reader) error {
	for {
		if len(buffer.bytes) == cap(buffer.bytes) {
			if err := buffer.grow(1); err != nil {
				return err
			}
		}
		n, err := reader.Read(buffer.bytes[len(buffer.bytes):cap(buffer.bytes)])
		buffer.bytes = buffer.bytes[:len(buffer.bytes)+n]
		switch {
		case len(buffer.bytes) > maxBufferedBytes:
			return errTooLong
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return nil
		case err != nil:
			return err
		}
	}
}
