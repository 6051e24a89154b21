package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"nutmegfield.example/request"
)

// errBodies says that the bodies in memory take all they may.
var errBodies = Errors.NewType("bodies").New("the bodies in memory take all they may")

// bodyReader counts a body against the bytes that all bodies may take.
type bodyReader struct {
	entry *Entry
	body  io.Reader
	taken int64
}

// Read passes on within the bound.
func (reader *bodyReader) Read(into []byte) (int, error) {
	n, err := reader.body.Read(into)
	reader.taken += int64(n)
	if reader.entry.bodyBytes.Add(int64(n)) > reader.entry.Settings.BodiesBytes {
		return n, errBodies
	}
	return n, err
}

func bodyProblem(writer *callerWriter, err error) *Problem {
	// The rest of the body is not read: nothing may follow on the connection.
	writer.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(writer)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return badRequest(http.StatusRequestTimeout, "the body did not come in time")
	case errors.Is(err, errBodies):
		return notRun(request.ReasonLimited, spread(retryLimited))
	default:
		return badRequest(http.StatusBadRequest, "the body could not be read whole")
	}
}

func tooLarge(writer *callerWriter) *Problem {
	writer.Header().Set("Connection", "close")
	return badRequest(http.StatusRequestEntityTooLarge, "the body is larger than allowed")
}

// armRead bounds the reading of a body. net/http lifts the deadline at the
// body's end, before it watches for the caller's hang-up. A writer without
// deadlines is one of a test.
func (entry *Entry) armRead(writer *callerWriter) {
	_ = writer.control.SetReadDeadline(time.Now().Add(entry.Settings.ReadTimeout))
}
