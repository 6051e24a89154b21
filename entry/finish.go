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

// streamBytes is the most that is passed on of a stream at once.
const streamBytes = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBytes]byte) }}

// errCaller says that the caller no longer takes its answer.
var errCaller = Errors.NewType("caller").New("the caller takes no more of its answer")

// finish brings the answer of a dispatched request to its caller.
func (attempt *attempt) finish(writer *callerWriter, answer *protocol.Answer) {
	if answer.Status < http.StatusOK || answer.Status > 599 {
		attempt.broken(writer, protocol.Garbled.New("status %d", answer.Status))
		return
	}
	body := &firstReader{Reader: answer.Body, first: attempt.firstByte}
	var err error
	if attempt.job.stream && answer.Status == http.StatusOK {
		err = attempt.stream(writer, answer, body)
	} else {
		err = attempt.whole(writer, answer, body)
	}
	attempt.ending.Usage = answer.Usage()
	attempt.ending.End = attempt.endOf(answer.Status, err)
}

func (attempt *attempt) firstByte() {
	attempt.ending.FirstToken = time.Since(attempt.begun)
	attempt.entry.Progress(attempt.grant, attempt.ending.FirstToken)
}

// endOf tells the scheduler how the grant was used. Only the loss of a target
// makes its request suspect.
func (attempt *attempt) endOf(status int, err error) request.End {
	switch {
	case err == nil && status < http.StatusInternalServerError:
		return request.EndDone
	case err == nil:
		return request.EndFailed
	case errors.Is(err, errCaller):
		return request.EndCancelled
	case attempt.caller.Err() != nil && attempt.job.profile.Idempotent:
		return request.EndCancelled
	case protocol.Is(err, protocol.Leaving):
		return request.EndTargetLeaving
	case protocol.Is(err, protocol.Garbled, protocol.TooMuch):
		return request.EndFailed
	default:
		return request.EndTargetLost
	}
}

// broken answers a dispatched request whose whole answer was not seen.
func (attempt *attempt) broken(writer *callerWriter, err error) {
	job := attempt.job
	attempt.ending.End = attempt.endOf(0, err)
	attempt.entry.answerProblem(writer, job, brokenAnswer(err))
	if protocol.Is(err, protocol.Leaving) {
		// The target says that it did not run: a resend may.
		attempt.entry.giveBack(job)
		return
	}
	attempt.entry.keep(job, nil, request.Unknown, nil)
}

func brokenAnswer(err error) *Problem {
	switch {
	case protocol.Is(err, protocol.Leaving):
		problem := ended(request.Failed, request.ReasonTargetError, "the target is leaving and refused")
		problem.RetryAfter = wholeSeconds(spread(leastRetry))
		return problem
	case protocol.Is(err, protocol.Garbled, protocol.TooMuch):
		return ended(request.Unknown, request.ReasonTargetGarbled, err.Error())
	default:
		return ended(request.Unknown, request.ReasonTargetSilent, err.Error())
	}
}

// whole reads an answer to its end before the caller gets any of it, so that
// the outcome in the header is true.
func (attempt *attempt) whole(writer *callerWriter, answer *protocol.Answer, body io.Reader) error {
	var buffer bytes.Buffer
	if _, err := buffer.ReadFrom(body); err != nil {
		attempt.broken(writer, err)
		return err
	}
	outcome := request.Done
	if answer.Status >= http.StatusInternalServerError {
		outcome = request.Failed
	}
	job := attempt.job
	kept := attempt.newKept()
	kept.add(buffer.Bytes())
	attempt.entry.keep(job, answer, outcome, kept)
	attempt.answered(outcome)
	header := writer.Header()
	attempt.setHeader(header, answer)
	header.Set(HeaderOutcome, string(outcome))
	setLength(header, job.method, answer, buffer.Len())
	writer.WriteHeader(answer.Status)
	if buffer.Len() == 0 {
		return nil
	}
	// The caller may be gone; the request ran all the same.
	_, _ = writer.Write(buffer.Bytes())
	return nil
}

// setLength gives the length of the body that follows or, for a HEAD request,
// would.
func setLength(header http.Header, method string, answer *protocol.Answer, length int) {
	switch {
	case method == http.MethodHead:
		if value := answer.Header.Get("Content-Length"); value != "" {
			header.Set("Content-Length", value)
		}
	case answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified:
		header.Set("Content-Length", strconv.Itoa(length))
	}
}

// setHeader passes on what a target's answer says of itself, and says where
// it came from.
func (attempt *attempt) setHeader(header http.Header, answer *protocol.Answer) {
	passed := endToEnd(answer.Header)
	for _, name := range targetHeaders {
		delete(passed, name)
	}
	for name, values := range passed {
		header[name] = values
	}
	header.Set(HeaderRequest, attempt.job.text)
	header.Set(HeaderTarget, attempt.grant.Target)
}

func (attempt *attempt) newKept() *keptAnswer {
	if !attempt.job.claimed {
		return &keptAnswer{}
	}
	return &keptAnswer{limit: attempt.job.snapshot.Configuration.Limits.RecordAnswer}
}

func (attempt *attempt) answered(outcome request.Outcome) {
	attempt.job.machine.Answer()
	attempt.entry.record(eventAnswered, attempt.job, string(outcome))
}

// stream passes events on as they come. The outcome follows as a trailer. A
// stream that breaks is aborted, so that the caller can't take it for whole.
func (attempt *attempt) stream(writer *callerWriter, answer *protocol.Answer, body io.Reader) error {
	job := attempt.job
	passing := &streamWriter{attempt: attempt, writer: writer, answer: answer, kept: attempt.newKept()}
	err := passing.copy(body)
	if err != nil && !writer.begun {
		attempt.broken(writer, err)
		return err
	}
	if err != nil {
		attempt.entry.keep(job, nil, request.Unknown, nil)
		attempt.answered(request.Unknown)
		job.abort = true
		return err
	}
	attempt.entry.keep(job, answer, request.Done, passing.kept)
	attempt.answered(request.Done)
	passing.begin()
	writer.Header().Set(HeaderOutcome, string(request.Done))
	job.abort = passing.callerGone
	return nil
}

// streamWriter passes a stream on to its caller.
type streamWriter struct {
	attempt *attempt
	writer  *callerWriter
	answer  *protocol.Answer
	kept    *keptAnswer
	// callerGone: a non-idempotent stream is read to its end all the same.
	callerGone bool
}

// copy reads to the end of the stream. It stops at a caller that is gone,
// except for a non-idempotent request, which runs to its end for its record.
func (stream *streamWriter) copy(body io.Reader) error {
	buffer := streamBuffers.Get().(*[streamBytes]byte)
	defer streamBuffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			stream.pass(buffer[:n])
		}
		if stream.callerGone && stream.attempt.job.profile.Idempotent {
			return errCaller
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (stream *streamWriter) pass(part []byte) {
	stream.kept.add(part)
	if stream.callerGone {
		return
	}
	stream.begin()
	if _, err := stream.writer.Write(part); err != nil {
		stream.callerGone = true
		return
	}
	stream.callerGone = stream.writer.flush() != nil
}

// begin sends the header with the first event, so that a stream that breaks
// before it can still be answered by a problem.
func (stream *streamWriter) begin() {
	if stream.writer.begun {
		return
	}
	header := stream.writer.Header()
	stream.attempt.setHeader(header, stream.answer)
	header.Set("Trailer", HeaderOutcome)
	stream.writer.WriteHeader(stream.answer.Status)
}

// firstReader calls first with the first byte that comes.
type firstReader struct {
	io.Reader
	first func()
	seen  bool
}

// Read passes on.
func (reader *firstReader) Read(into []byte) (int, error) {
	n, err := reader.Reader.Read(into)
	if n > 0 && !reader.seen {
		reader.seen = true
		reader.first()
	}
	return n, err
}
