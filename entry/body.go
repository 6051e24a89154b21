package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"nutmegfield.example/errorkind"
	"nutmegfield.example/listener"
	"nutmegfield.example/request"
)

// errBodyMemory is returned when a read exceeds the limit of all bodies in memory.
var errBodyMemory = Errors.NewType("bodies").New("the request bodies in memory exceed their limit")

// bodyReader counts the bytes that it reads in the entry's bodyBytes.
type bodyReader struct {
	io.ReadCloser
	entry *Entry
	// counted is the number of bytes added to bodyBytes.
	counted int64
	// isOver means that all bodies exceeded their limit.
	isOver bool
}

// Read returns errBodyMemory once all bodies exceed their limit.
func (bodyReader *bodyReader) Read(into []byte) (int, error) {
	n, err := bodyReader.ReadCloser.Read(into)
	bodyReader.counted += int64(n)
	if bodyReader.entry.bodyBytes.Add(int64(n)) > bodyReader.entry.Settings.BodiesBytes {
		bodyReader.isOver = true
		return n, errBodyMemory
	}
	return n, err
}

// readBody reads the body within the limits of one body and of all bodies, and the host's
// memory. Release must be called in any case.
func (entry *Entry) readBody(callerWriter *callerWriter, received *http.Request) (body []byte, release func(), problem *Problem) {
	bodyReader := &bodyReader{ReadCloser: received.Body, entry: entry}
	uncount := func() { entry.bodyBytes.Add(-bodyReader.counted) }
	if received.Body != nil && received.Body != http.NoBody {
		received.Body = bodyReader
	}
	read, err := callerWriter.conn.ReadBody(received, entry.Settings.BodyBytes, time.Now().Add(entry.Settings.ReadTimeout))
	if err != nil {
		// The rest of the body stays unread, so the connection can't be reused.
		callerWriter.Header().Set("Connection", "close")
		return nil, uncount, bodyProblem(err, bodyReader.isOver)
	}
	return read.Bytes, func() {
		uncount()
		read.Release()
	}, nil
}

// bodyProblem returns the problem for an error of reading a body.
func bodyProblem(err error, isOver bool) *Problem {
	switch {
	case isOver || errorkind.Is(err, listener.NoRoom, listener.GaveWay):
		return notRun(request.ReasonLimited, jitter(retryAfterLimited))
	case errorkind.Is(err, listener.TooLong):
		return badRequest(http.StatusRequestEntityTooLarge, "the body is larger than allowed")
	case errorkind.Is(err, listener.TooSlow):
		return badRequest(http.StatusRequestTimeout, "the body did not come in time")
	default:
		return badRequest(http.StatusBadRequest, "the body could not be read whole")
	}
}

// answerBuffer holds an answer before it is passed on, as a counted part of the host's memory.
type answerBuffer struct {
	entry *Entry
	bytes []byte
}

// firstBufferBytes is the first capacity of an answerBuffer; most answers are shorter.
const firstBufferBytes = 2 << 10

// readAll reads an answer. It returns false if there is no memory for more of it.
func (answerBuffer *answerBuffer) readAll(answer io.Reader) (isWhole bool, err error) {
	for {
		if len(answerBuffer.bytes) == cap(answerBuffer.bytes) && !answerBuffer.grow() {
			return false, nil
		}
		n, err := answer.Read(answerBuffer.bytes[len(answerBuffer.bytes):cap(answerBuffer.bytes)])
		answerBuffer.bytes = answerBuffer.bytes[:len(answerBuffer.bytes)+n]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// grow doubles the buffer, and reports whether there was room.
func (answerBuffer *answerBuffer) grow() bool {
	larger := max(2*cap(answerBuffer.bytes), firstBufferBytes)
	if !answerBuffer.entry.takeAnswer(larger - cap(answerBuffer.bytes)) {
		return false
	}
	answerBuffer.bytes = append(make([]byte, 0, larger), answerBuffer.bytes...)
	return true
}

// release gives back the memory of the buffer.
func (answerBuffer *answerBuffer) release() {
	answerBuffer.entry.giveAnswer(cap(answerBuffer.bytes))
	answerBuffer.bytes = nil
}
