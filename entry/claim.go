package entry

import (
	"context"
	"net/http"
	"time"

	"nutmegfield.example/once"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// claim creates the record of a non-idempotent request. While another request
// holds the key, on this host or another, it waits for that one to end. It returns
// false when it has answered the job.
func (entry *Entry) claim(ctx context.Context, callerWriter *callerWriter, job *job) bool {
	waitCtx, cancel := context.WithDeadline(ctx, job.deadline)
	defer cancel()
	if !entry.keys.lock(waitCtx, entry.drainSignal(), job.key) {
		entry.answerProblem(callerWriter, job, recordStillHeld("the request that holds the key still runs"))
		return false
	}
	job.record = once.Record{
		Request:   job.id,
		Host:      entry.HostIncarnation,
		BodyHash:  job.requestSum(),
		State:     once.Running,
		CreatedAt: time.Now(),
	}
	for {
		claim, err := entry.Records.Claim(waitCtx, job.key, job.record)
		if err != nil {
			// The write may have taken effect nevertheless.
			job.claimed = true
			entry.answerProblem(callerWriter, job, notRun(request.ReasonRecordUnavailable, jitter(retryAfterRecordUnavailable)))
			entry.returnRecord(job)
			return false
		}
		if claim.Granted {
			job.claimed = true
			return true
		}
		existing, problem := entry.pollRecord(waitCtx, job, claim.Record)
		if problem != nil || existing.State == once.Ended {
			entry.keys.unlock(job.key)
			entry.answerFromRecord(callerWriter, job, existing, problem)
			return false
		}
	}
}

// recordHeld returns the problem of a job that may not run because its key belongs
// to another request.
func recordHeld(detail string) *Problem {
	problem := badGateway(request.Unknown, request.ReasonRecordHeld, detail)
	problem.Title = http.StatusText(http.StatusConflict)
	problem.Status = http.StatusConflict
	return problem
}

// answerFromRecord answers a job whose key belongs to another request: with the
// problem if there is one, else with what the record says of that request.
func (entry *Entry) answerFromRecord(callerWriter *callerWriter, job *job, existing once.Record, problem *Problem) {
	switch {
	case problem != nil:
		entry.answerProblem(callerWriter, job, problem)
	case existing.Outcome == request.Unknown:
		entry.answerProblem(callerWriter, job, recordHeld("request "+existing.Request.String()+" was dispatched and its end was not seen"))
	case existing.AnswerOmitted:
		entry.answerProblem(callerWriter, job, answerNotKept(existing))
	default:
		entry.replay(callerWriter, job, existing)
	}
}

// answerNotKept returns the problem of a resend whose original request ran, but
// whose answer was too large for the record.
func answerNotKept(existing once.Record) *Problem {
	problem := recordHeld("request " + existing.Request.String() + " ran; its answer was too large to keep")
	problem.Outcome = existing.Outcome
	problem.Reason = request.ReasonAnswerNotKept
	return problem
}

// replay sends the recorded answer.
func (entry *Entry) replay(callerWriter *callerWriter, job *job, existing once.Record) {
	job.machine.Answer()
	entry.recordEvent(eventAnswered, job, string(existing.Outcome)+" recorded")
	header := callerWriter.Header()
	if existing.ContentType != "" {
		header.Set("Content-Type", existing.ContentType)
	}
	header.Set(HeaderRequest, existing.Request.String())
	header.Set(HeaderOutcome, string(existing.Outcome))
	callerWriter.WriteHeader(existing.Status)
	// A write error means that the caller is gone.
	_, _ = callerWriter.Write(existing.Answer)
}

// returnRecord returns the record of a request that did not run. It does so after
// the answer and in the background, so that an unreachable platform does not delay
// the caller.
func (entry *Entry) returnRecord(job *job) {
	if !job.claimed {
		return
	}
	job.claimed = false
	entry.startBackground(func() {
		defer entry.keys.unlock(job.key)
		ctx, cancel := context.WithTimeout(context.Background(), recordCallTimeout)
		defer cancel()
		// If the record can't be returned, a resend gets the outcome unknown. It
		// never runs a second time.
		if err := entry.Records.Release(ctx, job.key, job.record); err != nil {
			entry.recordEvent(eventRecordNotWritten, job, err.Error())
		}
	})
}

// storeEnd stores in the background how a non-idempotent request ended. A nil
// answer means that the end was not seen; resends are then answered with unknown
// without waiting.
func (entry *Entry) storeEnd(job *job, answer *protocol.Answer, outcome request.Outcome, recordedAnswer *recordedAnswer) {
	if !job.claimed {
		return
	}
	job.claimed = false
	record := job.record
	record.State = once.Ended
	record.Outcome = outcome
	record.AnswerOmitted = true
	if answer != nil {
		record.Status = answer.Status
		record.ContentType = answer.Header.Get("Content-Type")
		record.Answer = recordedAnswer.bytes
		record.AnswerOmitted = recordedAnswer.truncated
	}
	if recordedAnswer != nil {
		recordedAnswer.isStored = true
	}
	entry.startBackground(func() {
		defer entry.keys.unlock(job.key)
		defer recordedAnswer.release()
		entry.endRecord(job, record)
	})
}

// endRecord retries until the record is ended, endRecordTimeout passes or a drain
// is cut short, so that the answer survives an outage of the platform.
func (entry *Entry) endRecord(job *job, record once.Record) {
	giveUpAt := time.Now().Add(endRecordTimeout)
	for backoff := initialEndRecordBackoff; ; backoff = min(2*backoff, maxEndRecordBackoff) {
		ctx, cancel := context.WithTimeout(context.Background(), recordCallTimeout)
		err := entry.Records.End(ctx, job.key, record)
		cancel()
		if err == nil {
			return
		}
		if entry.drainCutShort.Load() || time.Now().Add(backoff).After(giveUpAt) {
			entry.recordEvent(eventRecordNotWritten, job, err.Error())
			return
		}
		time.Sleep(jitter(backoff))
	}
}

// recordedAnswer collects the body of an answer for its record.
type recordedAnswer struct {
	entry *Entry
	// limit is the most bytes that are kept; a longer answer is dropped whole.
	limit     int
	bytes     []byte
	truncated bool
	// isStored means that background work stores and releases it.
	isStored bool
}

// release gives back the memory of the answer, which may be nil.
func (recordedAnswer *recordedAnswer) release() {
	if recordedAnswer == nil {
		return
	}
	recordedAnswer.entry.giveAnswer(len(recordedAnswer.bytes))
	recordedAnswer.bytes = nil
}

// releaseUnstored releases an answer that is not stored.
func (recordedAnswer *recordedAnswer) releaseUnstored() {
	if !recordedAnswer.isStored {
		recordedAnswer.release()
	}
}

func (recordedAnswer *recordedAnswer) add(part []byte) {
	if recordedAnswer.truncated {
		return
	}
	if len(recordedAnswer.bytes)+len(part) > recordedAnswer.limit || !recordedAnswer.entry.takeAnswer(len(part)) {
		recordedAnswer.truncated = true
		recordedAnswer.release()
		return
	}
	recordedAnswer.bytes = append(recordedAnswer.bytes, part...)
}
