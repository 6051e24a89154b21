package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// eventBytes is the longest event of a stream that is taken.
const eventBytes = 1 << 20

var errLongEvent = errors.New("an event of the stream is too long")

// eventReader splits a stream into whole events.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

// next returns the next whole event with its closing empty line, and its id,
// which may be empty. It returns io.EOF at the end of a whole stream, and
// io.ErrUnexpectedEOF if the stream stops within an event. The bytes are valid
// until the next call.
func (events *eventReader) next() (event []byte, id string, err error) {
	events.buffer = events.buffer[:0]
	for {
		line, err := events.reader.ReadSlice('\n')
		events.buffer = append(events.buffer, line...)
		switch {
		case len(events.buffer) > eventBytes:
			return nil, "", errLongEvent
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(events.buffer) > 0:
			return nil, "", io.ErrUnexpectedEOF
		case err != nil:
			return nil, "", err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if len(text) == 0 && bytes.HasSuffix(line, []byte("\n")) && endsEmpty(events.buffer) {
			return events.buffer, id, nil
		}
	}
}

// endsEmpty reports whether the last line is empty, and not the end of a long
// one that came in pieces.
func endsEmpty(buffer []byte) bool {
	buffer = bytes.TrimSuffix(buffer, []byte("\n"))
	buffer = bytes.TrimSuffix(buffer, []byte("\r"))
	return len(buffer) == 0 || buffer[len(buffer)-1] == '\n'
}

// follows reports whether an event's id comes after another one. Ids that are
// no numbers are taken as they come.
func follows(id, last string) bool {
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
