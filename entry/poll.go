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
	// initialPollInterval is the first interval at which a resend reads the
	// record of the request that holds its key; it doubles up to
	// maxPollInterval.
	initialPollInterval = 250 * time.Millisecond
	maxPollInterval     = 4 * time.Second
)

// recordReads counts how often a resend read a record.
var recordReads = expvar.NewInt("recordLooks")

// pollRecord reads a record while another request holds the job's key, until the
// record is no longer running, the incarnation of its host has ended or the job's
// deadline passes. It returns the record or the problem that ends the job. On each
// host one resend per key polls; the others wait for it.
func (entry *Entry) pollRecord(ctx context.Context, job *job, existing once.Record) (once.Record, *Problem) {
	for interval := initialPollInterval; ; interval = min(2*interval, maxPollInterval) {
		if existing.State != 0 && existing.BodyHash != job.record.BodyHash {
			return existing, keyReused()
		}
		if existing.State != once.Running {
			return existing, nil
		}
		holderEnded := entry.IncarnationEnded != nil && entry.IncarnationEnded(existing.Host)
		if !holderEnded && !entry.pausePolling(ctx, interval) {
			return existing, recordStillHeld("request " + existing.Request.String() + " holds the key")
		}
		recordReads.Add(1)
		read, err := entry.Records.Lookup(ctx, job.key)
		switch {
		case err == nil:
			existing = read
		case expired(ctx):
			return existing, recordStillHeld("request " + existing.Request.String() + " holds the key")
		}
		// The record was read after the host ended, so it has whatever the host
		// stored before.
		if holderEnded && existing.State == once.Running && entry.IncarnationEnded(existing.Host) {
			return existing, recordHeld("the host of request " + existing.Request.String() + " died")
		}
	}
}

// pausePolling waits for the interval plus jitter. It returns false if the context
// ended or the host drains.
func (entry *Entry) pausePolling(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(jitter(interval))
	defer timer.Stop()
	select {
	case <-timer.C:
		return !expired(ctx)
	case <-ctx.Done():
		return false
	case <-entry.drainSignal():
		return false
	}
}

// recordStillHeld is recordHeld for a holder that may still end: it asks the caller
// to resend later.
func recordStillHeld(detail string) *Problem {
	problem := recordHeld(detail)
	problem.RetryAfter = ceilSeconds(jitter(retryAfterDeadline))
	return problem
}

// keyReused returns the problem of a key that an earlier request used with another
// method, path or body.
func keyReused() *Problem {
	problem := badRequest(http.StatusUnprocessableEntity, "the key was used with another request")
	problem.Reason = request.ReasonKeyReused
	return problem
}
