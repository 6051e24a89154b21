package entry

import (
	"context"
	"net/http"
	"time"

	"nutmegfield.example/once"
	"nutmegfield.example/request"
	"nutmegfield.example/target"
)

// claim makes the record of a non-idempotent request. A resend waits on this
// host for the request that holds the key. It returns false when the job has
// its answer.
func (entry *Entry) claim(ctx context.Context, writer *callerWriter, job *job) bool {
	waiting, cancel := context.WithDeadline(ctx, job.deadline)
	defer cancel()
	if !entry.keys.lock(waiting, entry.drainSignal(), job.key) {
		entry.answerProblem(writer, job, held("the request that holds the key still runs"))
		return false
	}
	job.record = once.Record{
		Request: job.id,
		Host:    entry.Host,
		Body:    job.bodySum(),
		State:   once.Running,
		Made:    time.Now(),
	}
	claim, err := entry.Records.Claim(waiting, job.key, job.record)
	if err != nil {
		// The write may have taken effect all the same.
		job.claimed = true
		entry.answerProblem(writer, job, notRun(request.ReasonRecordUnavailable, spread(retryNoRecord)))
		entry.giveBack(job)
		return false
	}
	if !claim.Mine {
		entry.keys.unlock(job.key)
		entry.answerRecorded(writer, job, claim.Record)
		return false
	}
	job.claimed = true
	return true
}

// held says that another request has the key, so that this one may not run.
func held(detail string) *Problem {
	problem := ended(request.Unknown, request.ReasonRecordHeld, detail)
	problem.Title = http.StatusText(http.StatusConflict)
	problem.Status = http.StatusConflict
	return problem
}

// answerRecorded turns another request's record into the answer for this
// one.
func (entry *Entry) answerRecorded(writer *callerWriter, job *job, present once.Record) {
	switch {
	case present.Body != job.record.Body:
		problem := badRequest(http.StatusUnprocessableEntity, "the key was used with another request")
		problem.Reason = request.ReasonKeyReused
		entry.answerProblem(writer, job, problem)
	case present.State == once.Ended && !present.Truncated:
		entry.replay(writer, job, present)
	case present.State == once.Ended:
		problem := held("request " + present.Request.String() + " ran; its answer was too large to keep")
		problem.Outcome = present.Outcome
		entry.answerProblem(writer, job, problem)
	default:
		entry.answerProblem(writer, job, held("request "+present.Request.String()+" holds the key"))
	}
}

func (entry *Entry) replay(writer *callerWriter, job *job, present once.Record) {
	job.machine.Answer()
	entry.record(eventAnswered, job, string(present.Outcome)+" recorded")
	header := writer.Header()
	if present.Type != "" {
		header.Set("Content-Type", present.Type)
	}
	header.Set(HeaderRequest, present.Request.String())
	header.Set(HeaderOutcome, string(present.Outcome))
	writer.WriteHeader(present.Status)
	// The caller may be gone; there is nobody to tell.
	_, _ = writer.Write(present.Answer)
}

// giveBack returns the record of a request that did not run, after its
// answer: a platform that can't be reached holds no caller back.
func (entry *Entry) giveBack(job *job) {
	if !job.claimed {
		return
	}
	job.claimed = false
	entry.background(func() {
		defer entry.keys.unlock(job.key)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		// A record that can't be given back leaves the caller's resend
		// unknown, never a second run.
		if err := entry.Records.Return(ctx, job.key, job.record); err != nil {
			entry.record(eventRecordLeft, job, err.Error())
		}
	})
}

// keep stores how a non-idempotent request ended; nil when its end was not
// seen.
func (entry *Entry) keep(job *job, answer *target.Answer, outcome request.Outcome, kept *keptAnswer) {
	if !job.claimed {
		return
	}
	job.claimed = false
	if answer == nil {
		entry.keys.unlock(job.key)
		return
	}
	record := job.record
	record.State = once.Ended
	record.Status = answer.Status
	record.Type = answer.Header.Get("Content-Type")
	record.Outcome = outcome
	record.Answer = kept.bytes
	record.Truncated = kept.dropped
	entry.background(func() {
		defer entry.keys.unlock(job.key)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := entry.Records.End(ctx, job.key, record); err != nil {
			entry.record(eventRecordLeft, job, err.Error())
		}
	})
}

// keptAnswer collects an answer for its record, up to a limit in bytes.
type keptAnswer struct {
	limit   int
	bytes   []byte
	dropped bool
}

func (kept *keptAnswer) add(part []byte) {
	if kept.dropped {
		return
	}
	if len(kept.bytes)+len(part) > kept.limit {
		kept.dropped = true
		kept.bytes = nil
		return
	}
	kept.bytes = append(kept.bytes, part...)
}
