package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// eventReader splits a stream into complete events.
type eventReader struct {
	reader *bufio.Reader
	buffer buffer
	// weightsField is the name of the field with the version of the weights, empty for none.
	weightsField string
}

// event is a complete event with its closing empty line.
type event struct {
	// bytes are valid until the next event is read.
	bytes []byte
	// id may be empty.
	id string
	// isBlank is set if it has no field, only comments and line breaks.
	isBlank bool
	// weights is the version of the model's weights from this event on, 0 if not given.
	weights int64
}

// next returns the next complete event. It returns io.EOF at the end of a complete stream,
// and io.ErrUnexpectedEOF if the stream ends within an event.
func (eventReader *eventReader) next() (event, error) {
	buffer := &eventReader.buffer
	buffer.bytes = buffer.bytes[:0]
	next := event{isBlank: true}
	lineStart := 0
	for {
		part, err := eventReader.reader.ReadSlice('\n')
		if err := buffer.write(part); err != nil {
			return event{}, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(buffer.bytes) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		// A line longer than the reader's buffer has come in parts.
		line := buffer.bytes[lineStart:]
		lineStart = len(buffer.bytes)
		if string(line) == "\n" || string(line) == "\r\n" {
			next.bytes = buffer.bytes
			return next, nil
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			next.id = string(bytes.TrimSpace(value))
		}
		if name, value, ok := bytes.Cut(text, []byte(":")); ok && eventReader.weightsField != "" && string(name) == eventReader.weightsField {
			next.weights = ReadWeights(string(value))
		}
		next.isBlank = next.isBlank && bytes.HasPrefix(text, []byte(":"))
	}
}

// ReadWeights reads a version of weights. It returns 0 for what is none.
func ReadWeights(text string) int64 {
	version, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || version < 0 {
		return 0
	}
	return version
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
