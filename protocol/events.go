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

// streamEnd is the data of the last event of a stream.
const streamEnd = "[DONE]"

// event is one server-sent event of an engine's stream.
type event struct {
	// offset is the number of events before this one, or -1 if the event has no
	// id.
	offset int64
	data   []byte
}

// isEnd reports whether the event is the last of its stream.
func (event *event) isEnd() bool { return string(event.data) == streamEnd }

// append appends the event to the buffer in the format of server-sent events.
func (event *event) append(buffer []byte) []byte {
	if event.offset >= 0 {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendInt(buffer, event.offset, 10)
		buffer = append(buffer, '\n')
	}
	for line := range bytes.SplitSeq(event.data, []byte("\n")) {
		buffer = append(buffer, "data: "...)
		buffer = append(buffer, line...)
		buffer = append(buffer, '\n')
	}
	return append(buffer, '\n')
}

// eventReader reads server-sent events, each of at most maxBytes. It skips
// comments and calls onLine after each line, comments included.
type eventReader struct {
	source   *bufio.Reader
	maxBytes int
	onLine   func()
	room     *room
}

// eventBufferBytes is the size of the read buffer of an eventReader.
const eventBufferBytes = 4096

// eventCopies is how often an event is held: its line, its data and what is passed on.
const eventCopies = 3

func newEventReader(source io.Reader, maxBytes int, onLine func(), room *room) *eventReader {
	return &eventReader{source: bufio.NewReaderSize(source, eventBufferBytes), maxBytes: maxBytes, onLine: onLine, room: room}
}

// next returns the next event that has data. It returns TooLong for an event over
// maxBytes, Garbled for an invalid line and Broken if the stream ends.
func (eventReader *eventReader) next() (*event, error) {
	eventReader.room.release()
	current := &event{offset: -1}
	hasData := false
	remaining := eventReader.maxBytes
	for {
		line, err := eventReader.readLine(remaining)
		if err != nil {
			return nil, err
		}
		eventReader.onLine()
		remaining -= len(line)
		if len(line) == 0 {
			if hasData {
				return current, nil
			}
			current = &event{offset: -1}
			remaining = eventReader.maxBytes
			continue
		}
		isData, err := current.parseField(line, hasData)
		if err != nil {
			return nil, err
		}
		hasData = hasData || isData
	}
}

// readLine returns the next line, of at most remaining bytes, without its line
// break.
func (eventReader *eventReader) readLine(remaining int) ([]byte, error) {
	var line []byte
	for {
		part, err := eventReader.source.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > remaining+len("\r\n") {
			return nil, TooLong.New("an event of more than %d bytes", eventReader.maxBytes)
		}
		if err := eventReader.room.hold(eventCopies * (eventReader.maxBytes - remaining + len(line))); err != nil {
			return nil, err
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

// parseField adds one line to the event and reports whether it was a data line.
// hasData is true if an earlier line of the event was a data line.
func (event *event) parseField(line []byte, hasData bool) (bool, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	if bytes.IndexByte(value, '\r') >= 0 {
		// It would end the line for the caller, who could read another event from it.
		return false, Garbled.New("a carriage return within a line")
	}
	switch string(name) {
	case "id":
		offset, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil || offset < 0 {
			return false, Garbled.New("event id %.64q", value)
		}
		event.offset = offset
		return false, nil
	case "data":
		if hasData {
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
