package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"nutmegfield.example/once"
	"nutmegfield.example/request"
	"nutmegfield.example/target"
)

// finish brings the answer of a dispatched request to its caller and gives
// the slot back.
func (entry *Entry) finish(writer http.ResponseWriter, job *job, grant *request.Grant, record once.Record, sent time.Time, answer *target.Answer, err error) {
	ending := release(grant, request.EndBroken)
	ending.Fingerprint = job.fingerprint
	defer func() {
		ending.Total = time.Since(sent)
		entry.Tickets.Release(ending)
	}()
	if err != nil {
		entry.answerProblem(writer, job, brokenAnswer(err))
		return
	}
	defer answer.Body.Close()
	first := func() {
		ending.FirstToken = time.Since(sent)
		entry.Tickets.Progress(grant, ending.FirstToken)
	}
	body := &firstReader{Reader: answer.Body, first: first}
	if job.stream && answer.Status == http.StatusOK {
		err = entry.stream(writer, job, grant, answer, body)
	} else {
		err = entry.whole(writer, job, grant, record, answer, body)
	}
	ending.Usage = answer.Usage()
	ending.End = endOf(answer.Status, err)
}

func endOf(status int, err error) request.End {
	switch {
	case errors.Is(err, context.Canceled):
		return request.EndCancelled
	case err != nil:
		return request.EndBroken
	case status >= http.StatusInternalServerError:
		return request.EndFailed
	default:
		return request.EndDone
	}
}

func brokenAnswer(err error) *Problem {
	switch {
	case target.Is(err, target.Leaving):
		return ended(request.Failed, request.ReasonTargetError, "the target is leaving and refused")
	case target.Is(err, target.Garbled, target.TooMuch):
		return ended(request.Unknown, request.ReasonTargetGarbled, err.Error())
	default:
		return ended(request.Unknown, request.ReasonTargetSilent, err.Error())
	}
}

// whole reads an answer to its end before the caller gets any of it, so that
// the outcome in the header is true.
func (entry *Entry) whole(writer http.ResponseWriter, job *job, grant *request.Grant, record once.Record, answer *target.Answer, body io.Reader) error {
	var buffer bytes.Buffer
	if _, err := io.Copy(&buffer, body); err != nil {
		entry.answerProblem(writer, job, brokenAnswer(err))
		return err
	}
	outcome := request.Done
	if answer.Status >= http.StatusInternalServerError {
		outcome = request.Failed
	}
	entry.keep(job, record, answer, buffer.Bytes(), outcome)
	job.machine.Answer()
	entry.record(eventAnswered, job, string(outcome))
	header := writer.Header()
	header.Set("Content-Type", answer.Header.Get("Content-Type"))
	header.Set(HeaderRequest, job.id.String())
	header.Set(HeaderOutcome, string(outcome))
	header.Set(HeaderTarget, grant.Target)
	writer.WriteHeader(answer.Status)
	// The caller may be gone; the request ran all the same.
	_, _ = writer.Write(buffer.Bytes())
	return nil
}

// keep stores the answer of a non-idempotent request in its record.
func (entry *Entry) keep(job *job, record once.Record, answer *target.Answer, body []byte, outcome request.Outcome) {
	if !job.recorded {
		return
	}
	record.State = once.Ended
	record.Status = answer.Status
	record.Type = answer.Header.Get("Content-Type")
	record.Outcome = outcome
	record.Truncated = len(body) > job.snapshot.Configuration.Limits.RecordAnswer
	if !record.Truncated {
		record.Answer = body
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryNoRecord)
	defer cancel()
	// Without it the caller's resend hears unknown, never a second run.
	_ = entry.Records.End(ctx, job.key, record)
}

// stream passes events on as they come. The outcome follows as a trailer.
func (entry *Entry) stream(writer http.ResponseWriter, job *job, grant *request.Grant, answer *target.Answer, body io.Reader) error {
	header := writer.Header()
	header.Set("Content-Type", answer.Header.Get("Content-Type"))
	header.Set(HeaderRequest, job.id.String())
	header.Set(HeaderTarget, grant.Target)
	header.Set("Trailer", HeaderOutcome)
	writer.WriteHeader(answer.Status)
	sink := &flushWriter{writer: writer, control: http.NewResponseController(writer), timeout: entry.Settings.WriteTimeout}
	_, err := io.Copy(sink, body)
	job.machine.Answer()
	outcome := request.Done
	if err != nil {
		outcome = request.Unknown
	}
	header.Set(HeaderOutcome, string(outcome))
	entry.record(eventAnswered, job, string(outcome))
	if err != nil {
		// The caller must not take what it has for the whole.
		sink.abort = true
	}
	if sink.abort {
		panic(http.ErrAbortHandler)
	}
	return err
}

// flushWriter sends each write at once, and gives up on a caller that does
// not read.
type flushWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	abort   bool
}

// Write fails when the caller does not read for the timeout.
func (writer *flushWriter) Write(part []byte) (int, error) {
	// A writer without deadlines is one of a test.
	_ = writer.control.SetWriteDeadline(time.Now().Add(writer.timeout))
	n, err := writer.writer.Write(part)
	if err != nil {
		return n, errors.Join(context.Canceled, err)
	}
	return n, writer.control.Flush()
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
