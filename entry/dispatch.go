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
	entry  *Entry
	job    *job
	grant  *request.Grant
	begun  time.Time
	ending *request.Release
	// cancel ends the call to the target.
	cancel context.CancelFunc
	// caller ends when the caller is gone.
	caller context.Context
	// mutex orders giving up against the first byte: the one excludes the
	// other.
	mutex   sync.Mutex
	refused bool
}

// dispatch uses a grant. It returns false when nothing was sent and the job
// must wait again.
func (entry *Entry) dispatch(ctx context.Context, writer *callerWriter, job *job, grant *request.Grant) bool {
	attempt := &attempt{
		entry: entry, job: job, grant: grant, caller: ctx,
		begun: time.Now(), ending: release(grant, request.EndUnused),
	}
	defer attempt.release()
	described := entry.describe(job, grant.Target)
	if described == nil || entry.leaves(job, described) {
		return false
	}
	client := entry.Client(described.Protocol)
	if client == nil || !job.machine.Grant() {
		return false
	}
	calling, stop := attempt.context()
	defer stop()
	answer, err := client.Dispatch(calling, described.Address, attempt.call())
	if err != nil && protocol.Is(err, protocol.NotSent) {
		attempt.undo()
		return false
	}
	if err != nil {
		attempt.broken(writer, err)
		attempt.cancelOnTarget(client, described.Address)
		return true
	}
	defer answer.Body.Close()
	attempt.finish(writer, answer)
	return true
}

// describe finds a target as it is configured now, or was when the job came.
func (entry *Entry) describe(job *job, name string) *profile.Target {
	if pool := entry.Store.Current().Pool(job.pool.Name); pool != nil {
		if described := pool.Target(name); described != nil {
			return described
		}
	}
	return job.pool.Target(name)
}

// leaves reports whether a target is known to take no new work, by its
// configuration or by its own word that came with the hosts' messages.
func (entry *Entry) leaves(job *job, described *profile.Target) bool {
	return described.Leaving || entry.Leaving != nil && entry.Leaving(job.pool.Name, described.Name)
}

func (attempt *attempt) release() {
	attempt.ending.Fingerprint = attempt.job.fingerprint
	attempt.ending.Total = time.Since(attempt.begun)
	attempt.entry.Release(attempt.ending)
}

// context returns the context of the call to the target. Before the first
// byte it ends with the caller or the job's deadline. After it, the caller's
// end cancels an idempotent request only, and the deadline none: the answer
// is still the caller's own, and late.
func (attempt *attempt) context() (context.Context, context.CancelFunc) {
	parent := attempt.caller
	if !attempt.job.profile.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	calling, cancel := context.WithCancel(parent)
	attempt.cancel = cancel
	timer := time.AfterFunc(time.Until(attempt.job.deadline), attempt.giveUp)
	unwatch := context.AfterFunc(attempt.caller, attempt.giveUp)
	return calling, func() {
		timer.Stop()
		unwatch()
		cancel()
	}
}

// giveUp ends the call unless the request was dispatched.
func (attempt *attempt) giveUp() {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	if !attempt.job.machine.WasDispatched() {
		attempt.refused = true
		attempt.cancel()
	}
}

func (attempt *attempt) call() *protocol.Call {
	job := attempt.job
	return &protocol.Call{
		Request: job.id,
		Method:  job.method,
		Path:    job.path,
		Header:  job.header,
		Body:    job.body,
		Stream:  job.stream,
		Sending: attempt.sending,
	}
}

// sending takes the right to dispatch, unless the grant is too old, the
// deadline has passed, the caller is gone or the target has begun to leave:
// this host may have been paused.
func (attempt *attempt) sending() bool {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	job := attempt.job
	now := time.Now()
	late := now.Sub(attempt.begun) > attempt.grant.Lifetime || now.After(job.deadline)
	described := attempt.entry.describe(job, attempt.grant.Target)
	leaves := described == nil || attempt.entry.leaves(job, described)
	if attempt.refused || late || leaves || attempt.caller.Err() != nil || !job.machine.Dispatch() {
		attempt.refused = true
		return false
	}
	job.dispatches++
	invariant.DispatchedOnce.Check(job.dispatches == 1, "request %s", job)
	invariant.NonIdempotentOnce.Check(job.profile.Idempotent || job.claimed, "request %s", job)
	// Should this host fail now, the slot is no longer unused.
	attempt.ending.End = request.EndFailed
	attempt.entry.record(eventDispatched, job, "to "+attempt.grant.Target)
	return true
}

// undo takes back an attempt of which no byte has left.
func (attempt *attempt) undo() {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	if attempt.job.machine.UndoDispatch() {
		attempt.job.dispatches--
	}
	attempt.job.machine.Requeue()
	attempt.ending.End = request.EndUnreachable
	if attempt.refused {
		attempt.ending.End = request.EndUnused
	}
}

// cancelOnTarget stops what may still run on the target for a caller that is
// gone. A non-idempotent request runs on.
func (attempt *attempt) cancelOnTarget(client *protocol.Client, address string) {
	if client.Cancel == nil || attempt.caller.Err() == nil || !attempt.job.profile.Idempotent {
		return
	}
	attempt.entry.background(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		// The target finds out by itself that nobody reads.
		_ = client.Cancel(ctx, address, attempt.job.id)
	})
}
