package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// streamType is the media type of server-sent events.
const streamType = "text/event-stream"

// streamEnd is the data of a stream's last event.
const streamEnd = "[DONE]"

// event is one server-sent event of an engine's stream.
type event struct {
	// offset counts the events from 0; -1 where none is given.
	offset int64
	data   []byte
}

// end reports whether the event ends its stream.
func (event *event) end() bool { return string(event.data) == streamEnd }

// append writes the event as it goes to the caller.
func (event *event) append(into []byte) []byte {
	if event.offset >= 0 {
		into = append(into, "id: "...)
		into = strconv.AppendInt(into, event.offset, 10)
		into = append(into, '\n')
	}
	for line := range bytes.SplitSeq(event.data, []byte("\n")) {
		into = append(into, "data: "...)
		into = append(into, line...)
		into = append(into, '\n')
	}
	return append(into, '\n')
}

// eventReader reads server-sent events, each of at most limit bytes. Comments
// are skipped; heard is called with each line.
type eventReader struct {
	lines *bufio.Reader
	limit int
	heard func()
}

// eventBuffer is the buffer of a reader, in bytes.
const eventBuffer = 4096

func newEventReader(from io.Reader, limit int, heard func()) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(from, eventBuffer), limit: limit, heard: heard}
}

// next returns the next event that has data.
func (reader *eventReader) next() (*event, error) {
	found := &event{offset: -1}
	started := false
	room := reader.limit
	for {
		line, err := reader.line(room)
		if err != nil {
			return nil, err
		}
		reader.heard()
		room -= len(line)
		if len(line) == 0 {
			if started {
				return found, nil
			}
			found = &event{offset: -1}
			room = reader.limit
			continue
		}
		data, err := found.field(line, started)
		if err != nil {
			return nil, err
		}
		started = started || data
	}
}

// line returns the next line without its end.
func (reader *eventReader) line(room int) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.lines.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > room+len("\r\n") {
			return nil, TooLong.New("an event of more than %d bytes", reader.limit)
		}
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, Broken.New("the stream ended before its last event")
		default:
			return nil, err
		}
	}
}

// field takes one line of the event and reports whether it held data.
func (event *event) field(line []byte, more bool) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		offset, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || offset < 0 {
			return false, Garbled.New("event id %q", value)
		}
		event.offset = offset
		return false, nil
	case "data":
		if more {
			event.data = append(event.data, '\n')
		}
		event.data = append(event.data, value...)
		return true, nil
	case "", "event", "retry":
		return false, nil
	default:
		return false, Garbled.New("a line that is no event's")
	}
}
