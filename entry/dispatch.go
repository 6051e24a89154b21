package entry

import (
	"context"
	"sync"
	"time"

	"nutmegfield.example/invariant"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// attempt is the use of one grant.
type attempt struct {
	entry   *Entry
	job     *job
	grant   *request.Grant
	started time.Time
	// pendingRelease is sent when the attempt ends; it is updated on the way.
	pendingRelease *request.Release
	// cancel ends the call to the target.
	cancel context.CancelFunc
	// callerContext ends when the caller is gone.
	callerContext context.Context
	// mutex ensures that the attempt is either abandoned or dispatched.
	mutex sync.Mutex
	// abandoned is set when the request must not be dispatched any more.
	abandoned bool
}

// dispatch sends the request to the target of a grant and relays the answer. It
// returns false when nothing was sent and the job must wait again.
func (entry *Entry) dispatch(ctx context.Context, callerWriter *callerWriter, job *job, grant *request.Grant) bool {
	attempt := &attempt{
		entry: entry, job: job, grant: grant, callerContext: ctx,
		started: time.Now(), pendingRelease: newRelease(grant, request.EndUnused),
	}
	defer attempt.sendRelease()
	target := entry.findTarget(job, grant.Target)
	if target == nil || entry.targetLeaving(job, target) {
		return false
	}
	client := entry.Client(target.Protocol)
	if client == nil || !job.machine.Grant() {
		return false
	}
	callContext, stop := attempt.newCallContext()
	defer stop()
	answer, err := client.Dispatch(callContext, target.Address, attempt.newCall())
	if err != nil && protocol.Is(err, protocol.NotSent) {
		attempt.undoDispatch()
		return false
	}
	if err != nil {
		attempt.answerDispatchError(callerWriter, err)
		attempt.cancelOnTarget(client, target.Address)
		return true
	}
	defer answer.Body.Close()
	attempt.relayAnswer(callerWriter, answer)
	return true
}

// findTarget returns a target of the current configuration, or else of the one
// under which the job was classified; nil if neither has it.
func (entry *Entry) findTarget(job *job, name string) *profile.Target {
	if pool := entry.Store.Current().Pool(job.pool.Name); pool != nil {
		if target := pool.Target(name); target != nil {
			return target
		}
	}
	return job.pool.Target(name)
}

// targetLeaving reports whether a target takes no new work, according to the
// configuration or to the target's own report.
func (entry *Entry) targetLeaving(job *job, target *profile.Target) bool {
	return target.Leaving || entry.TargetLeaving != nil && entry.TargetLeaving(job.pool.Name, target.Name)
}

// sendRelease releases the grant with how the attempt ended and how long it took.
func (attempt *attempt) sendRelease() {
	attempt.pendingRelease.Fingerprint = attempt.job.fingerprint
	attempt.pendingRelease.Total = time.Since(attempt.started)
	attempt.entry.Release(attempt.pendingRelease)
}

// newCallContext returns the context of the call to the target. Before dispatch it
// ends when the caller is gone or the job's deadline passes. After dispatch the
// deadline no longer ends it, because a late answer is still the caller's own, and
// a caller that leaves ends it only for an idempotent request.
func (attempt *attempt) newCallContext() (context.Context, context.CancelFunc) {
	parent := attempt.callerContext
	if !attempt.job.profile.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	callContext, cancel := context.WithCancel(parent)
	attempt.cancel = cancel
	timer := time.AfterFunc(time.Until(attempt.job.deadline), attempt.abandon)
	unwatch := context.AfterFunc(attempt.callerContext, attempt.abandon)
	return callContext, func() {
		timer.Stop()
		unwatch()
		cancel()
	}
}

// abandon cancels the call unless the request was dispatched.
func (attempt *attempt) abandon() {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	if !attempt.job.machine.WasDispatched() {
		attempt.abandoned = true
		attempt.cancel()
	}
}

// newCall returns the call that the protocol's client sends.
func (attempt *attempt) newCall() *protocol.Call {
	job := attempt.job
	return &protocol.Call{
		Request:    job.id,
		Method:     job.method,
		Path:       job.path,
		Header:     job.header,
		Body:       job.body,
		Stream:     job.stream,
		BeforeSend: attempt.beginSending,
	}
}

// beginSending marks the request as dispatched just before its first byte is sent.
// It returns false if the grant's lifetime or the job's deadline has passed, the
// caller is gone or the target is leaving, all of which can happen while this host
// is paused.
func (attempt *attempt) beginSending() bool {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	job := attempt.job
	now := time.Now()
	expired := now.Sub(attempt.started) > attempt.grant.Lifetime || now.After(job.deadline)
	target := attempt.entry.findTarget(job, attempt.grant.Target)
	leaving := target == nil || attempt.entry.targetLeaving(job, target)
	if attempt.abandoned || expired || leaving || attempt.callerContext.Err() != nil || !job.machine.Dispatch() {
		attempt.abandoned = true
		return false
	}
	job.dispatches++
	invariant.DispatchedOnce.Check(job.dispatches == 1, "request %s", job)
	invariant.NonIdempotentOnce.Check(job.profile.Idempotent || job.claimed, "request %s", job)
	// From here on the slot was used, even if this host fails.
	attempt.pendingRelease.End = request.EndFailed
	attempt.entry.recordEvent(eventDispatched, job, "to "+attempt.grant.Target)
	return true
}

// undoDispatch requeues the job of an attempt of which no byte was sent.
func (attempt *attempt) undoDispatch() {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	if attempt.job.machine.UndoDispatch() {
		attempt.job.dispatches--
	}
	attempt.job.machine.Requeue()
	attempt.pendingRelease.End = request.EndUnreachable
	if attempt.abandoned {
		attempt.pendingRelease.End = request.EndUnused
	}
}

// cancelOnTarget cancels an idempotent request on its target if the caller is
// gone. A non-idempotent request keeps running.
func (attempt *attempt) cancelOnTarget(client *protocol.Client, address string) {
	if client.Cancel == nil || attempt.callerContext.Err() == nil || !attempt.job.profile.Idempotent {
		return
	}
	attempt.entry.startBackground(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// Best effort: the target also notices that nobody reads the answer.
		_ = client.Cancel(ctx, address, attempt.job.id)
	})
}
