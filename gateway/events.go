package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes is the size of the largest stream event accepted.
const maxEventBytes = 1 << 20

var errEventTooLong = errors.New("an event of the stream is too long")

// eventReader splits a stream into complete events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

// next returns the next complete event with its closing empty line, and its id,
// which may be empty. It returns io.EOF at the end of a complete stream, and
// io.ErrUnexpectedEOF if the stream ends within an event. The bytes are valid
// until the next call.
func (eventReader *eventReader) next() (event []byte, id string, err error) {
	eventReader.buffer = eventReader.buffer[:0]
	for {
		line, err := eventReader.reader.ReadSlice('\n')
		eventReader.buffer = append(eventReader.buffer, line...)
		switch {
		case len(eventReader.buffer) > maxEventBytes:
			return nil, "", errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(eventReader.buffer) > 0:
			return nil, "", io.ErrUnexpectedEOF
		case err != nil:
			return nil, "", err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(text) == 0 && bytes.HasSuffix(line, []byte("\n")) && endsWithEmptyLine(eventReader.buffer) {
			return eventReader.buffer, id, nil
		}
	}
}

// endsWithEmptyLine reports whether the last line is empty. A line longer than the
// reader's buffer arrives in pieces, whose last one may be just a line break.
func endsWithEmptyLine(buffer []byte) bool {
	buffer = bytes.TrimSuffix(buffer, []byte("\n"))
	buffer = bytes.TrimSuffix(buffer, []byte("\r"))
	return len(buffer) == 0 || buffer[len(buffer)-1] == '\n'
}

// isAfter reports whether an event's id comes after the last one. A non-numeric
// id only has to differ from it.
func isAfter(id, last string) bool {
	if last == "" || id == "" {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return id != last
	}
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	return number > before
}
