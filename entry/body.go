package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"nutmegfield.example/request"
)

// errBodyMemory is returned when a read exceeds the limit of all bodies in memory.
var errBodyMemory = Errors.NewType("bodies").New("the request bodies in memory exceed their limit")

// bodyReader counts the bytes that it reads in the entry's bodyBytes.
type bodyReader struct {
	entry *Entry
	body  io.Reader
	// counted is the number of bytes added to bodyBytes.
	counted int64
}

// Read returns errBodyMemory once all bodies exceed their limit.
func (bodyReader *bodyReader) Read(into []byte) (int, error) {
	n, err := bodyReader.body.Read(into)
	bodyReader.counted += int64(n)
	if bodyReader.entry.bodyBytes.Add(int64(n)) > bodyReader.entry.Settings.BodiesBytes {
		return n, errBodyMemory
	}
	return n, err
}

// bodyProblem returns the problem for an error of reading a body.
func bodyProblem(callerWriter *callerWriter, err error) *Problem {
	// The rest of the body stays unread, so the connection can't be reused.
	callerWriter.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(callerWriter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return badRequest(http.StatusRequestTimeout, "the body did not come in time")
	case errors.Is(err, errBodyMemory):
		return notRun(request.ReasonLimited, jitter(retryAfterLimited))
	default:
		return badRequest(http.StatusBadRequest, "the body could not be read whole")
	}
}

func tooLarge(callerWriter *callerWriter) *Problem {
	callerWriter.Header().Set("Connection", "close")
	return badRequest(http.StatusRequestEntityTooLarge, "the body is larger than allowed")
}

// setReadDeadline bounds the reading of a body. net/http clears the deadline at the
// body's end, before it starts to watch for the caller's hang-up. Only the writers
// of tests return an error, as they have no deadlines.
func (entry *Entry) setReadDeadline(callerWriter *callerWriter) {
	_ = callerWriter.control.SetReadDeadline(time.Now().Add(entry.Settings.ReadTimeout))
}
