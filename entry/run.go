package entry

import (
	"context"
	"time"

	"nutmegfield.example/invariant"
	"nutmegfield.example/request"
	"nutmegfield.example/timeline"
)

// run takes a classified job through admission, its record, its grants and its
// dispatch, and writes its only answer.
func (entry *Entry) run(ctx context.Context, callerWriter *callerWriter, job *job) {
	job.setFingerprint()
	entry.recordEvent(eventAccepted, job, "")
	workspaceUsage, problem := entry.limits.admit(job.workspace)
	if problem != nil {
		entry.answerProblem(callerWriter, job, problem)
		return
	}
	job.workspaceUsage = workspaceUsage
	defer job.uncountWaiting()
	if job.needsRecord && !entry.claim(ctx, callerWriter, job) {
		return
	}
	defer entry.unlockKeyOnPanic(job)
	for attempt := 0; ; attempt++ {
		grant, problem := entry.awaitGrant(ctx, job)
		if problem != nil {
			entry.answerProblem(callerWriter, job, problem)
			entry.returnRecord(job)
			return
		}
		if entry.dispatch(ctx, callerWriter, job, grant) {
			return
		}
		entry.backOff(ctx, job, attempt)
	}
}

// unlockKeyOnPanic unlocks the job's idempotency key if a panic skipped the code
// that unlocks it.
func (entry *Entry) unlockKeyOnPanic(job *job) {
	if job.claimed {
		job.claimed = false
		entry.keys.unlock(job.key)
	}
}

// awaitGrant submits a ticket and waits for its decision. It returns the grant, or
// the problem that ends the job.
func (entry *Entry) awaitGrant(ctx context.Context, job *job) (*request.Grant, *Problem) {
	if problem := entry.waitProblem(ctx, job); problem != nil {
		return nil, problem
	}
	ticket := job.newTicket()
	decisions := entry.Submit(ticket)
	timer := time.NewTimer(time.Until(job.deadline))
	defer timer.Stop()
	select {
	case decision := <-decisions:
		if decision.Refusal != nil {
			return nil, notRun(decision.Refusal.Reason, decision.Refusal.RetryAfter)
		}
		job.uncountWaiting()
		return decision.Grant, nil
	case <-timer.C:
	case <-ctx.Done():
	case <-entry.drainSignal():
	}
	entry.withdraw(ticket, decisions)
	return nil, entry.waitProblem(ctx, job)
}

// waitProblem returns the problem that ends the wait of a job: its caller is gone,
// its deadline has passed or the host drains. It returns nil if the job may wait.
func (entry *Entry) waitProblem(ctx context.Context, job *job) *Problem {
	switch {
	case ctx.Err() != nil:
		return notRun(request.ReasonCallerGone, minRetryAfter)
	case !time.Now().Before(job.deadline):
		return notRun(request.ReasonDeadline, jitter(retryAfterDeadline))
	case entry.draining.Load():
		return notRun(request.ReasonDraining, jitter(retryAfterDraining))
	default:
		return nil
	}
}

// backOff pauses before a job asks for another grant, for longer the more grants
// it could not use. It returns early when the caller is gone or the host drains.
func (entry *Entry) backOff(ctx context.Context, job *job, attempt int) {
	wait := min(initialRequeueBackoff<<min(attempt, 8), maxRequeueBackoff, time.Until(job.deadline))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-entry.drainSignal():
	}
}

// withdraw cancels a ticket and releases the grant that may have arrived meanwhile.
func (entry *Entry) withdraw(ticket *request.Ticket, decisions <-chan Decision) {
	entry.Withdraw(ticket)
	select {
	case decision := <-decisions:
		if decision.Grant != nil {
			entry.Release(newRelease(decision.Grant, request.EndUnused))
		}
	default:
	}
}

// newRelease returns the release of a grant with the given end.
func newRelease(grant *request.Grant, end request.End) *request.Release {
	return &request.Release{
		Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target,
		Number: grant.Number, Scheduler: grant.Scheduler, End: end,
	}
}

// answerProblem writes a problem as the answer of a job.
func (entry *Entry) answerProblem(callerWriter *callerWriter, job *job, problem *Problem) {
	dispatched := job.machine.WasDispatched()
	invariant.NotRunIsTrue.Check(problem.Outcome != request.NotRun || !dispatched, "request %s", job)
	job.machine.Answer()
	entry.recordEvent(eventAnswered, job, string(problem.Outcome)+" "+string(problem.Reason))
	problem.write(callerWriter, job.id)
}

// recordEvent records a timeline event of a job.
func (entry *Entry) recordEvent(kind timeline.Kind, job *job, detail string) {
	entry.Events.Record(kind, timeline.Event{Request: job.idText, Pool: job.pool.Name, Detail: detail})
}
