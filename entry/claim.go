package entry

import (
	"context"
	"net/http"
	"time"

	"nutmegfield.example/once"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// claim makes the record of a non-idempotent request. A resend waits for the
// request that holds the key, on whichever host it runs. It returns false when
// the job has its answer.
func (entry *Entry) claim(ctx context.Context, writer *callerWriter, job *job) bool {
	waiting, cancel := context.WithDeadline(ctx, job.deadline)
	defer cancel()
	if !entry.keys.lock(waiting, entry.drainSignal(), job.key) {
		entry.answerProblem(writer, job, heldYet("the request that holds the key still runs"))
		return false
	}
	job.record = once.Record{
		Request:   job.id,
		Host:      entry.Host,
		BodyHash:  job.bodySum(),
		State:     once.Running,
		CreatedAt: time.Now(),
	}
	for {
		claim, err := entry.Records.Claim(waiting, job.key, job.record)
		if err != nil {
			// The write may have taken effect all the same.
			job.claimed = true
			entry.answerProblem(writer, job, notRun(request.ReasonRecordUnavailable, spread(retryNoRecord)))
			entry.giveBack(job)
			return false
		}
		if claim.Granted {
			job.claimed = true
			return true
		}
		present, problem := entry.follow(waiting, job, claim.Record)
		if problem != nil || present.State == once.Ended {
			entry.keys.unlock(job.key)
			entry.answerHeld(writer, job, present, problem)
			return false
		}
	}
}

// held says that another request has the key, so that this one may not run.
func held(detail string) *Problem {
	problem := ended(request.Unknown, request.ReasonRecordHeld, detail)
	problem.Title = http.StatusText(http.StatusConflict)
	problem.Status = http.StatusConflict
	return problem
}

// answerHeld answers a job whose key belongs to another request.
func (entry *Entry) answerHeld(writer *callerWriter, job *job, present once.Record, problem *Problem) {
	switch {
	case problem != nil:
		entry.answerProblem(writer, job, problem)
	case present.Outcome == request.Unknown:
		entry.answerProblem(writer, job, held("request "+present.Request.String()+" was dispatched and its end was not seen"))
	case present.AnswerOmitted:
		entry.answerProblem(writer, job, notKept(present))
	default:
		entry.replay(writer, job, present)
	}
}

// notKept says that the request ran and how it ended, and that there is no
// answer to give again.
func notKept(present once.Record) *Problem {
	problem := held("request " + present.Request.String() + " ran; its answer was too large to keep")
	problem.Outcome = present.Outcome
	problem.Reason = request.ReasonAnswerNotKept
	return problem
}

func (entry *Entry) replay(writer *callerWriter, job *job, present once.Record) {
	job.machine.Answer()
	entry.record(eventAnswered, job, string(present.Outcome)+" recorded")
	header := writer.Header()
	if present.ContentType != "" {
		header.Set("Content-Type", present.ContentType)
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
		if err := entry.Records.Release(ctx, job.key, job.record); err != nil {
			entry.record(eventRecordLeft, job, err.Error())
		}
	})
}

// keep stores how a non-idempotent request ended; nil when its end was not
// seen, which its resends are told at once.
func (entry *Entry) keep(job *job, answer *protocol.Answer, outcome request.Outcome, kept *keptAnswer) {
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
		record.Answer = kept.bytes
		record.AnswerOmitted = kept.dropped
	}
	entry.background(func() {
		defer entry.keys.unlock(job.key)
		entry.endRecord(job, record)
	})
}

// endRecord tries to end a record until it is kept, a cut drain ends the host,
// or endSpan has passed: an outage of the platform shall not lose the answer.
func (entry *Entry) endRecord(job *job, record once.Record) {
	until := time.Now().Add(endSpan)
	for wait := endFirst; ; wait = min(2*wait, endMost) {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		err := entry.Records.End(ctx, job.key, record)
		cancel()
		if err == nil {
			return
		}
		if entry.forced.Load() || time.Now().Add(wait).After(until) {
			entry.record(eventRecordLeft, job, err.Error())
			return
		}
		time.Sleep(spread(wait))
	}
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
