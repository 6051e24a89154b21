package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// streamBufferBytes is the largest part of a stream that is relayed in one write.
const streamBufferBytes = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// errCallerGone ends the relay of a stream whose caller no longer reads it.
var errCallerGone = Errors.NewType("caller").New("the caller stopped reading its answer")

// relayAnswer relays the answer to a dispatched request to its caller.
func (attempt *attempt) relayAnswer(callerWriter *callerWriter, answer *protocol.Answer) {
	if answer.Status < http.StatusOK || answer.Status > 599 {
		attempt.answerDispatchError(callerWriter, protocol.Garbled.New("status %d", answer.Status))
		return
	}
	// New callers give way to those that were served before.
	callerWriter.conn.Holder().Serve()
	body := &firstByteReader{Reader: answer.Body, onFirstByte: attempt.reportFirstByte}
	var err error
	if attempt.job.stream && answer.Status == http.StatusOK {
		err = attempt.relayStream(callerWriter, answer, body)
	} else {
		err = attempt.relayBuffered(callerWriter, answer, body)
	}
	attempt.pendingRelease.Usage = answer.Usage()
	attempt.pendingRelease.End = attempt.releaseEnd(answer.Status, err)
}

// reportFirstByte reports the time to the answer's first byte as the time to the first
// token.
func (attempt *attempt) reportFirstByte() {
	attempt.pendingRelease.FirstToken = time.Since(attempt.started)
	attempt.entry.Progress(attempt.grant, attempt.pendingRelease.FirstToken)
}

// releaseEnd returns how the grant ended, as the scheduler is told. Only
// EndTargetLost makes the scheduler suspect the request of crashing its target.
func (attempt *attempt) releaseEnd(status int, err error) request.End {
	switch {
	case err == nil && status < http.StatusInternalServerError:
		return request.EndDone
	case err == nil:
		return request.EndFailed
	case errors.Is(err, errCallerGone):
		return request.EndCancelled
	case attempt.callerContext.Err() != nil && attempt.job.profile.Idempotent:
		return request.EndCancelled
	case protocol.Is(err, protocol.Leaving):
		return request.EndTargetLeaving
	case protocol.Is(err, protocol.Garbled, protocol.TooLong, protocol.NoRoom):
		return request.EndFailed
	default:
		return request.EndTargetLost
	}
}

// answerDispatchError answers a dispatched request whose answer was lost or is
// unusable. No part of the answer may have been sent to the caller.
func (attempt *attempt) answerDispatchError(callerWriter *callerWriter, err error) {
	job := attempt.job
	attempt.pendingRelease.End = attempt.releaseEnd(0, err)
	attempt.entry.answerProblem(callerWriter, job, newDispatchProblem(err))
	if protocol.Is(err, protocol.Leaving) {
		// The target did not run the request, so a resend may.
		attempt.entry.returnRecord(job)
		return
	}
	attempt.entry.storeEnd(job, nil, request.Unknown, nil)
}

// newDispatchProblem returns the problem for an error of the protocol's client after
// dispatch.
func newDispatchProblem(err error) *Problem {
	switch {
	case protocol.Is(err, protocol.Leaving):
		problem := badGateway(request.Failed, request.ReasonTargetError, "the target is leaving and refused")
		problem.RetryAfter = ceilSeconds(jitter(minRetryAfter))
		return problem
	case protocol.Is(err, protocol.Garbled, protocol.TooLong, protocol.NoRoom):
		return badGateway(request.Unknown, request.ReasonTargetGarbled, err.Error())
	default:
		return badGateway(request.Unknown, request.ReasonTargetSilent, err.Error())
	}
}

// outcomeOf returns the outcome of a whole answer.
func outcomeOf(answer *protocol.Answer) request.Outcome {
	if answer.Status >= http.StatusInternalServerError {
		return request.Failed
	}
	return request.Done
}

// relayBuffered reads the complete answer before it sends any of it, so that the
// header can state the outcome. An answer for which there is no memory is relayed as a stream.
func (attempt *attempt) relayBuffered(callerWriter *callerWriter, answer *protocol.Answer, body io.Reader) error {
	buffer := &answerBuffer{entry: attempt.entry}
	defer buffer.release()
	isWhole, err := buffer.readAll(body)
	if err != nil {
		attempt.answerDispatchError(callerWriter, err)
		return err
	}
	if !isWhole {
		return attempt.relayStream(callerWriter, answer, io.MultiReader(bytes.NewReader(buffer.bytes), body))
	}
	outcome := outcomeOf(answer)
	job := attempt.job
	recordedAnswer := attempt.newRecordedAnswer()
	defer recordedAnswer.releaseUnstored()
	recordedAnswer.add(buffer.bytes)
	attempt.entry.storeEnd(job, answer, outcome, recordedAnswer)
	attempt.markAnswered(outcome)
	header := callerWriter.Header()
	attempt.setResponseHeader(header, answer)
	header.Set(HeaderOutcome, string(outcome))
	setContentLength(header, job.method, answer, len(buffer.bytes))
	callerWriter.WriteHeader(answer.Status)
	if len(buffer.bytes) == 0 {
		return nil
	}
	// A write error means that the caller is gone; the request ran nevertheless.
	_, _ = callerWriter.Write(buffer.bytes)
	return nil
}

// setContentLength sets the length of the body that follows. For a HEAD request it
// passes on the target's value.
func setContentLength(header http.Header, method string, answer *protocol.Answer, length int) {
	switch {
	case method == http.MethodHead:
		if value := answer.Header.Get("Content-Length"); value != "" {
			header.Set("Content-Length", value)
		}
	case answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified:
		header.Set("Content-Length", strconv.Itoa(length))
	}
}

// setResponseHeader copies the end-to-end headers of the target's answer and adds
// the request id and the target's name.
func (attempt *attempt) setResponseHeader(header http.Header, answer *protocol.Answer) {
	passed := endToEndHeaders(answer.Header)
	for _, name := range replacedHeaders {
		delete(passed, name)
	}
	for name, values := range passed {
		header[name] = values
	}
	header.Set(HeaderRequest, attempt.job.idText)
	header.Set(HeaderTarget, attempt.grant.Target)
}

// newRecordedAnswer returns the buffer that collects the answer for the job's record.
// For a job without a record it keeps nothing.
func (attempt *attempt) newRecordedAnswer() *recordedAnswer {
	if !attempt.job.claimed {
		return &recordedAnswer{entry: attempt.entry}
	}
	return &recordedAnswer{entry: attempt.entry, limit: attempt.job.snapshot.Configuration.Limits.MaxAnswerBytes}
}

// markAnswered marks the job as answered and records the event.
func (attempt *attempt) markAnswered(outcome request.Outcome) {
	attempt.job.machine.Answer()
	attempt.entry.recordEvent(eventAnswered, attempt.job, string(outcome))
}

// relayStream relays a stream as it arrives and sends the outcome as a trailer. A
// stream that breaks off is aborted, so that the caller can't take it for complete.
func (attempt *attempt) relayStream(callerWriter *callerWriter, answer *protocol.Answer, body io.Reader) error {
	job := attempt.job
	streamWriter := &streamWriter{attempt: attempt, writer: callerWriter, answer: answer, recordedAnswer: attempt.newRecordedAnswer()}
	defer streamWriter.recordedAnswer.releaseUnstored()
	err := streamWriter.copy(body)
	if err != nil && !callerWriter.headerWritten {
		attempt.answerDispatchError(callerWriter, err)
		return err
	}
	if err != nil {
		attempt.entry.storeEnd(job, nil, request.Unknown, nil)
		attempt.markAnswered(request.Unknown)
		job.abort = true
		return err
	}
	outcome := outcomeOf(answer)
	attempt.entry.storeEnd(job, answer, outcome, streamWriter.recordedAnswer)
	attempt.markAnswered(outcome)
	streamWriter.writeHeader()
	callerWriter.Header().Set(HeaderOutcome, string(outcome))
	job.abort = streamWriter.callerGone
	return nil
}

// streamWriter relays a stream to its caller and collects it for the record.
type streamWriter struct {
	attempt        *attempt
	writer         *callerWriter
	answer         *protocol.Answer
	recordedAnswer *recordedAnswer
	// callerGone is set when a write failed; nothing more is written after it.
	callerGone bool
}

// copy reads to the end of the stream. If the caller is gone, it stops for an
// idempotent request and reads on for a non-idempotent one, whose record needs the
// whole answer.
func (streamWriter *streamWriter) copy(body io.Reader) error {
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			streamWriter.forward(buffer[:n])
		}
		if streamWriter.callerGone && streamWriter.attempt.job.profile.Idempotent {
			return errCallerGone
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// forward writes and flushes a part of the stream.
func (streamWriter *streamWriter) forward(part []byte) {
	streamWriter.recordedAnswer.add(part)
	if streamWriter.callerGone {
		return
	}
	streamWriter.writeHeader()
	if _, err := streamWriter.writer.Write(part); err != nil {
		streamWriter.callerGone = true
		return
	}
	streamWriter.callerGone = streamWriter.writer.flush() != nil
}

// writeHeader sends the header on the first call. It is called with the first part
// of the stream, so that a stream that breaks before it can be answered with a
// problem.
func (streamWriter *streamWriter) writeHeader() {
	if streamWriter.writer.headerWritten {
		return
	}
	header := streamWriter.writer.Header()
	streamWriter.attempt.setResponseHeader(header, streamWriter.answer)
	header.Set("Trailer", HeaderOutcome)
	streamWriter.writer.WriteHeader(streamWriter.answer.Status)
}

// firstByteReader calls onFirstByte when the first byte is read.
type firstByteReader struct {
	io.Reader
	onFirstByte func()
	received    bool
}

// Read implements io.Reader.
func (firstByteReader *firstByteReader) Read(into []byte) (int, error) {
	n, err := firstByteReader.Reader.Read(into)
	if n > 0 && !firstByteReader.received {
		firstByteReader.received = true
		firstByteReader.onFirstByte()
	}
	return n, err
}
