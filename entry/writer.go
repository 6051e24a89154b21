package entry

import (
	"net/http"
	"time"

	"nutmegfield.example/listener"
	"nutmegfield.example/memory"
)

// maxWriteBytes is the number of bytes that are written under one deadline.
const maxWriteBytes = 64 << 10

// callerWriter sets a deadline for each write to a caller, so that a caller that
// does not read does not hold a slot and memory for long.
type callerWriter struct {
	http.ResponseWriter
	// conn is the caller's connection, nil in tests without a listener.
	conn    *listener.Conn
	control *http.ResponseController
	timeout time.Duration
	// isLast reports whether the connection ends with the answer.
	isLast func() bool
	// headerWritten is set once the status is written.
	headerWritten bool
}

func newCallerWriter(writer http.ResponseWriter, conn *listener.Conn, timeout time.Duration, isLast func() bool) *callerWriter {
	callerWriter := &callerWriter{
		ResponseWriter: writer,
		conn:           conn,
		control:        http.NewResponseController(writer),
		timeout:        timeout,
		isLast:         isLast,
	}
	// Clears the deadline of an earlier request on the connection. Only the
	// writers of tests return an error, as they have no deadlines.
	_ = callerWriter.control.SetWriteDeadline(time.Time{})
	return callerWriter
}

// Unwrap lets http.ResponseController reach the connection.
func (callerWriter *callerWriter) Unwrap() http.ResponseWriter { return callerWriter.ResponseWriter }

// WriteHeader writes the status under a new deadline.
func (callerWriter *callerWriter) WriteHeader(status int) {
	callerWriter.begin()
	callerWriter.setWriteDeadline()
	callerWriter.ResponseWriter.WriteHeader(status)
}

// begin marks the answer as begun: it gives way to others only if the caller does not read it.
func (callerWriter *callerWriter) begin() {
	if callerWriter.headerWritten {
		return
	}
	callerWriter.headerWritten = true
	if !callerWriter.conn.Holder().Enter(memory.Running) || callerWriter.isLast() {
		// Its body has given way, or the host shuts down.
		callerWriter.Header().Set("Connection", "close")
	}
}

// Write writes pieces of up to maxWriteBytes, each under a new deadline. It returns an
// error if the caller does not read a piece in time.
func (callerWriter *callerWriter) Write(part []byte) (int, error) {
	callerWriter.begin()
	written := 0
	for {
		callerWriter.setWriteDeadline()
		next := min(len(part)-written, maxWriteBytes)
		n, err := callerWriter.ResponseWriter.Write(part[written : written+next])
		written += n
		if err != nil || written == len(part) {
			return written, err
		}
	}
}

// flush sends what was buffered.
func (callerWriter *callerWriter) flush() error {
	callerWriter.setWriteDeadline()
	return callerWriter.control.Flush()
}

// setWriteDeadline starts a new timeout.
func (callerWriter *callerWriter) setWriteDeadline() {
	_ = callerWriter.control.SetWriteDeadline(time.Now().Add(callerWriter.timeout))
}
