package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"nutmegfield.example/invariant"
	"nutmegfield.example/once"
	"nutmegfield.example/request"
	"nutmegfield.example/target"
	"nutmegfield.example/timeline"
)

// run takes a classified job to its end. It writes the one answer.
func (entry *Entry) run(writer http.ResponseWriter, received *http.Request, job *job) {
	entry.record(eventAccepted, job, "")
	record, problem := entry.claim(received.Context(), job)
	if problem != nil {
		entry.answerProblem(writer, job, problem)
		return
	}
	for {
		granted, problem := entry.wait(received.Context(), job)
		if problem != nil {
			entry.giveBack(job, record)
			entry.answerProblem(writer, job, problem)
			return
		}
		if entry.dispatch(writer, received, job, granted, record) {
			return
		}
	}
}

// claim makes the record of a non-idempotent request.
func (entry *Entry) claim(ctx context.Context, job *job) (once.Record, *Problem) {
	if !job.recorded {
		return once.Record{}, nil
	}
	record := once.Record{
		Request: job.id,
		Host:    entry.Host,
		Body:    sha256.Sum256(job.body),
		State:   once.Running,
		Made:    time.Now(),
	}
	claim, err := entry.Records.Claim(ctx, job.key, record)
	if err != nil {
		return record, notRun(request.ReasonRecordUnavailable, retryNoRecord)
	}
	if claim.Mine {
		return record, nil
	}
	return record, recorded(claim.Record, record)
}

// recorded turns another request's record into the answer for this one.
func recorded(present, mine once.Record) *Problem {
	if present.Body != mine.Body {
		problem := badRequest(http.StatusUnprocessableEntity, "the key was used with another body")
		problem.Reason = request.ReasonKeyReused
		return problem
	}
	problem := ended(request.Unknown, request.ReasonRecordHeld, "request "+present.Request.String()+" holds the key")
	problem.Status = http.StatusConflict
	return problem
}

func (entry *Entry) giveBack(job *job, record once.Record) {
	if !job.recorded {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryNoRecord)
	defer cancel()
	// A record that can't be given back leaves the caller's resend unknown,
	// never a second run.
	_ = entry.Records.Return(ctx, job.key, record)
}

// wait returns a grant, or the problem that ends the job.
func (entry *Entry) wait(ctx context.Context, job *job) (*request.Grant, *Problem) {
	ticket := job.ticket()
	decisions := entry.Tickets.Submit(ticket)
	timer := time.NewTimer(time.Until(job.deadline))
	defer timer.Stop()
	select {
	case decision := <-decisions:
		if decision.Refusal != nil {
			return nil, notRun(decision.Refusal.Reason, decision.Refusal.RetryAfter)
		}
		return decision.Grant, nil
	case <-timer.C:
		entry.withdraw(ticket, decisions)
		return nil, notRun(request.ReasonDeadline, retryDeadline)
	case <-ctx.Done():
		entry.withdraw(ticket, decisions)
		return nil, notRun(request.ReasonCallerGone, 0)
	case <-entry.drainSignal():
		entry.withdraw(ticket, decisions)
		return nil, notRun(request.ReasonDraining, retryDraining)
	}
}

// withdraw takes a ticket back, and the grant that may have come meanwhile.
func (entry *Entry) withdraw(ticket *request.Ticket, decisions <-chan Decision) {
	entry.Tickets.Withdraw(ticket)
	select {
	case decision := <-decisions:
		if decision.Grant != nil {
			entry.Tickets.Release(unused(decision.Grant))
		}
	default:
	}
}

func unused(grant *request.Grant) *request.Release {
	return release(grant, request.EndUnused)
}

func release(grant *request.Grant, end request.End) *request.Release {
	return &request.Release{
		Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target,
		Number: grant.Number, Scheduler: grant.Scheduler, End: end,
	}
}

// dispatch uses a grant. It returns false when nothing was sent and the job
// must wait again.
func (entry *Entry) dispatch(writer http.ResponseWriter, received *http.Request, job *job, grant *request.Grant, record once.Record) bool {
	described := job.pool.Target(grant.Target)
	if described == nil || !job.machine.Grant() {
		entry.Tickets.Release(unused(grant))
		return false
	}
	client := entry.Client(described.Protocol)
	if client == nil {
		job.machine.Return()
		entry.Tickets.Release(unused(grant))
		return false
	}
	arrived := time.Now()
	call := entry.call(received.Context(), job, grant, arrived)
	answer, err := client.Dispatch(received.Context(), described.Address, call)
	if err != nil && target.Is(err, target.NotSent) {
		job.machine.Undo()
		job.machine.Return()
		entry.Tickets.Release(release(grant, request.EndUnreachable))
		return false
	}
	entry.finish(writer, job, grant, record, arrived, answer, err)
	return true
}

func (entry *Entry) call(ctx context.Context, job *job, grant *request.Grant, arrived time.Time) *target.Call {
	return &target.Call{
		Request: job.id,
		Method:  job.method,
		Path:    job.path,
		Header:  job.header,
		Body:    job.body,
		Stream:  job.stream,
		Sending: func() bool {
			now := time.Now()
			stale := now.Sub(arrived) > grant.Lifetime || now.After(job.deadline) || ctx.Err() != nil
			if stale || !job.machine.Dispatch() {
				return false
			}
			entry.record(eventDispatched, job, "to "+grant.Target)
			return true
		},
	}
}

func (entry *Entry) answerProblem(writer http.ResponseWriter, job *job, problem *Problem) {
	ran := job.machine.Ran()
	invariant.NotRunIsTrue.Check(problem.Outcome != request.NotRun || !ran, "request %s", job.id)
	job.machine.Answer()
	entry.record(eventAnswered, job, string(problem.Outcome)+" "+string(problem.Reason))
	problem.write(writer, job.id)
}

func (entry *Entry) record(kind timeline.Kind, job *job, detail string) {
	entry.Events.Record(kind, timeline.Event{Request: job.id.String(), Pool: job.pool.Name, Detail: detail})
}
