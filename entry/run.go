package entry

import (
	"context"
	"time"

	"nutmegfield.example/invariant"
	"nutmegfield.example/request"
	"nutmegfield.example/timeline"
)

// run takes a classified job to its end. It writes the one answer.
func (entry *Entry) run(ctx context.Context, writer *callerWriter, job *job) {
	job.digest()
	entry.record(eventAccepted, job, "")
	use, problem := entry.limits.admit(job.workspace)
	if problem != nil {
		entry.answerProblem(writer, job, problem)
		return
	}
	job.use = use
	defer job.stopWaiting()
	if job.recorded && !entry.claim(ctx, writer, job) {
		return
	}
	defer entry.forget(job)
	for attempt := 0; ; attempt++ {
		grant, problem := entry.wait(ctx, job)
		if problem != nil {
			entry.answerProblem(writer, job, problem)
			entry.giveBack(job)
			return
		}
		if entry.dispatch(ctx, writer, job, grant) {
			return
		}
		entry.pauseAgain(ctx, job, attempt)
	}
}

// forget lets go of a key that a panic left held.
func (entry *Entry) forget(job *job) {
	if job.claimed {
		job.claimed = false
		entry.keys.unlock(job.key)
	}
}

// wait returns a grant, or the problem that ends the job.
func (entry *Entry) wait(ctx context.Context, job *job) (*request.Grant, *Problem) {
	if problem := entry.givenUp(ctx, job); problem != nil {
		return nil, problem
	}
	ticket := job.ticket()
	decisions := entry.Submit(ticket)
	timer := time.NewTimer(time.Until(job.deadline))
	defer timer.Stop()
	select {
	case decision := <-decisions:
		if decision.Refusal != nil {
			return nil, notRun(decision.Refusal.Reason, decision.Refusal.RetryAfter)
		}
		job.stopWaiting()
		return decision.Grant, nil
	case <-timer.C:
	case <-ctx.Done():
	case <-entry.drainSignal():
	}
	entry.withdraw(ticket, decisions)
	return nil, entry.givenUp(ctx, job)
}

// givenUp returns the answer of a job that need not wait any more, nil if it
// must.
func (entry *Entry) givenUp(ctx context.Context, job *job) *Problem {
	switch {
	case ctx.Err() != nil:
		return notRun(request.ReasonCallerGone, leastRetry)
	case !time.Now().Before(job.deadline):
		return notRun(request.ReasonDeadline, spread(retryDeadline))
	case entry.draining.Load():
		return notRun(request.ReasonDraining, spread(retryDraining))
	default:
		return nil
	}
}

// pauseAgain keeps a job whose grants can't be used from asking for the next
// one without rest.
func (entry *Entry) pauseAgain(ctx context.Context, job *job, attempt int) {
	wait := min(pauseFirst<<min(attempt, 8), pauseMost, time.Until(job.deadline))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-entry.drainSignal():
	}
}

// withdraw takes a ticket back, and the grant that may have come meanwhile.
func (entry *Entry) withdraw(ticket *request.Ticket, decisions <-chan Decision) {
	entry.Withdraw(ticket)
	select {
	case decision := <-decisions:
		if decision.Grant != nil {
			entry.Release(release(decision.Grant, request.EndUnused))
		}
	default:
	}
}

func release(grant *request.Grant, end request.End) *request.Release {
	return &request.Release{
		Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target,
		Number: grant.Number, Scheduler: grant.Scheduler, End: end,
	}
}

func (entry *Entry) answerProblem(writer *callerWriter, job *job, problem *Problem) {
	ran := job.machine.WasDispatched()
	invariant.NotRunIsTrue.Check(problem.Outcome != request.NotRun || !ran, "request %s", job)
	job.machine.Answer()
	entry.record(eventAnswered, job, string(problem.Outcome)+" "+string(problem.Reason))
	problem.write(writer, job.id)
}

func (entry *Entry) record(kind timeline.Kind, job *job, detail string) {
	entry.Events.Record(kind, timeline.Event{Request: job.text, Pool: job.pool.Name, Detail: detail})
}
