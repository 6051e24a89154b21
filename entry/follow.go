package entry

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"nutmegfield.example/once"
	"nutmegfield.example/request"
)

const (
	// lookFirst and lookMost bound the pause before a resend looks again at
	// the record of the request that holds its key.
	lookFirst = 250 * time.Millisecond
	lookMost  = 4 * time.Second
)

// looks counts how often a resend looked at a record.
var looks = expvar.NewInt("recordLooks")

// follow waits while another request holds the key of a job: until its record
// changes, its host is dead or the job's own time is over. It returns the
// record or the problem that ends the job. On each host one resend of a key
// looks, the others wait for that one.
func (entry *Entry) follow(ctx context.Context, job *job, present once.Record) (once.Record, *Problem) {
	for wait := lookFirst; ; wait = min(2*wait, lookMost) {
		if present.State != 0 && present.BodyHash != job.record.BodyHash {
			return present, keyReused()
		}
		if present.State != once.Running {
			return present, nil
		}
		dead := entry.Dead != nil && entry.Dead(present.Host)
		if !dead && !entry.lookPause(ctx, wait) {
			return present, heldYet("request " + present.Request.String() + " holds the key")
		}
		looks.Add(1)
		looked, err := entry.Records.Lookup(ctx, job.key)
		switch {
		case err == nil:
			present = looked
		case over(ctx):
			return present, heldYet("request " + present.Request.String() + " holds the key")
		}
		// The look after the death sees what the host still kept before it.
		if dead && present.State == once.Running && entry.Dead(present.Host) {
			return present, held("the host of request " + present.Request.String() + " died")
		}
	}
}

// lookPause waits; false means that the context ended or that the host drains.
func (entry *Entry) lookPause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(spread(wait))
	defer timer.Stop()
	select {
	case <-timer.C:
		return !over(ctx)
	case <-ctx.Done():
		return false
	case <-entry.drainSignal():
		return false
	}
}

// heldYet is held for a request that may still end: a later resend may get its
// answer.
func heldYet(detail string) *Problem {
	problem := held(detail)
	problem.RetryAfter = wholeSeconds(spread(retryDeadline))
	return problem
}

func keyReused() *Problem {
	problem := badRequest(http.StatusUnprocessableEntity, "the key was used with another request")
	problem.Reason = request.ReasonKeyReused
	return problem
}
