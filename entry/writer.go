package entry

import (
	"net/http"
	"time"
)

// writeBytes is the most that one write deadline covers.
const writeBytes = 64 << 10

// callerWriter bounds each write to a caller, so that one that does not read
// holds nothing for long.
type callerWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// begun is true once the status is written.
	begun bool
}

func newCallerWriter(writer http.ResponseWriter, timeout time.Duration) *callerWriter {
	made := &callerWriter{
		ResponseWriter: writer,
		control:        http.NewResponseController(writer),
		timeout:        timeout,
	}
	// The deadline of an earlier request on the connection may still stand.
	// A writer without deadlines is one of a test.
	_ = made.control.SetWriteDeadline(time.Time{})
	return made
}

// Unwrap is for http.ResponseController.
func (writer *callerWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// WriteHeader writes the status.
func (writer *callerWriter) WriteHeader(status int) {
	writer.begun = true
	writer.arm()
	writer.ResponseWriter.WriteHeader(status)
}

// Write fails when the caller does not read for the timeout.
func (writer *callerWriter) Write(part []byte) (int, error) {
	writer.begun = true
	written := 0
	for {
		writer.arm()
		next := min(len(part)-written, writeBytes)
		n, err := writer.ResponseWriter.Write(part[written : written+next])
		written += n
		if err != nil || written == len(part) {
			return written, err
		}
	}
}

// flush sends what was written.
func (writer *callerWriter) flush() error {
	writer.arm()
	return writer.control.Flush()
}

func (writer *callerWriter) arm() {
	_ = writer.control.SetWriteDeadline(time.Now().Add(writer.timeout))
}
