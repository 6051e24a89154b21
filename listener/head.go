package listener

import "bytes"

const (
	// bufferBytes is the size of the buffer through which net/http reads a connection. What
	// is read of it beyond a head may be a part of the next one.
	bufferBytes = 4 << 10
	// plainFields and plainBytes are what a head may have without being counted: nearly all
	// heads are smaller, and the cost of a request has room for them.
	plainFields = 128
	plainBytes  = bufferBytes
	// fieldCost is what a field of a few bytes takes in the map of a request (86 bytes, see
	// BenchmarkHeld) and in the copies that are sent to targets, byteCost what each byte takes.
	fieldCost = 256
	byteCost  = 2
)

// headReader counts the lines and bytes of request heads as they are read, before they are
// parsed: a map of very many short fields takes fifty times their bytes. It never counts
// fewer fields than the parser finds.
type headReader struct {
	// lines and size are those of the present head, with those that may have been read with
	// what was before it.
	lines, size int
	// begun means that a line of the head was seen, isComplete that its end was.
	begun, isComplete bool
	// column is the length of the present line, and lastByte the byte read last.
	column   int
	lastByte byte
	// recent counts what was read behind the last head, in two turns of at least bufferBytes:
	// the parser's buffer holds no more than the last bufferBytes of it.
	recent [2]struct{ lines, size int }
}

// start begins the next head.
func (headReader *headReader) start() {
	headReader.lines = headReader.recent[0].lines + headReader.recent[1].lines
	headReader.size = min(headReader.recent[0].size+headReader.recent[1].size, bufferBytes)
	headReader.recent[0].lines, headReader.recent[0].size = 0, 0
	headReader.recent[1].lines, headReader.recent[1].size = 0, 0
	headReader.begun, headReader.isComplete = false, false
}

// read counts bytes that were read.
func (headReader *headReader) read(part []byte) {
	for !headReader.isComplete && len(part) > 0 {
		end := bytes.IndexByte(part, '\n')
		if end < 0 {
			headReader.size += len(part)
			headReader.move(part)
			return
		}
		headReader.move(part[:end])
		isBlank := headReader.column == 0 || headReader.column == 1 && headReader.lastByte == '\r'
		headReader.size += end + 1
		headReader.column, headReader.lastByte = 0, '\n'
		part = part[end+1:]
		if isBlank && headReader.begun {
			headReader.isComplete = true
			break
		}
		// An empty line before a head is skipped, or ends a head whose beginning was read with
		// what was before it. It counts as a line then.
		headReader.begun = headReader.begun || !isBlank
		headReader.lines++
	}
	headReader.skip(part)
}

// skip counts bytes behind a head.
func (headReader *headReader) skip(part []byte) {
	// What is further back is not in the parser's buffer any more.
	part = part[max(0, len(part)-bufferBytes):]
	if len(part) == 0 {
		return
	}
	recent := &headReader.recent[0]
	if recent.size >= bufferBytes {
		headReader.recent[1] = *recent
		recent.lines, recent.size = 0, 0
	}
	recent.size += len(part)
	if lines := bytes.Count(part, []byte{'\n'}); lines > 0 {
		recent.lines += lines
		part = part[bytes.LastIndexByte(part, '\n')+1:]
		headReader.column, headReader.lastByte = 0, '\n'
	}
	headReader.move(part)
}

// move moves behind bytes that hold no end of a line.
func (headReader *headReader) move(part []byte) {
	if len(part) > 0 {
		headReader.column += len(part)
		headReader.lastByte = part[len(part)-1]
	}
}

// hasRest reports whether something behind the last head was read.
func (headReader *headReader) hasRest() bool { return headReader.recent[0].size > 0 }

// cost returns the memory that the head takes beyond that of an ordinary one.
func (headReader *headReader) cost() int64 {
	return int64(max(0, headReader.lines-plainFields)*fieldCost + max(0, headReader.size-plainBytes)*byteCost)
}
