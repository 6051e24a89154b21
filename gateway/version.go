package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/origin"
	"nutmegfield.example/timeline"
)

// Reasons of refusals of streams that can't go on.
const (
	reasonUnknownVersion = "the version that began the stream is unknown"
	reasonNoVersion      = "no target of the version that began the stream"
)

const (
	// trustedAge is the age of the targets' entries up to which new streams begin without a question to
	// the target.
	trustedAge = time.Second
	// maxBeginWait limits the wait of a new stream for its target's report.
	maxBeginWait = 200 * time.Millisecond
)

// findVersion finds the version at which a stream goes on that the caller takes up, and the
// pool that has it. It refuses the request and returns false if it is not known.
func (forwarding *forwarding) findVersion(ctx context.Context) bool {
	if !forwarding.route.Streaming || forwarding.call.LastEventID == "" {
		return true
	}
	gateway := forwarding.gateway
	forwarding.version = gateway.Origins.Find(ctx, forwarding.call.ID, forwarding.call.Resumes, forwarding.pool.Name)
	resumes := timeline.Fact{Key: "resumes", Value: forwarding.call.Resumes}
	if forwarding.version == 0 {
		forwarding.refuse(http.StatusServiceUnavailable, addJitter(minRetryAfter), reasonUnknownVersion, resumes)
		return false
	}
	for _, weightedPool := range forwarding.route.Pools {
		if gateway.Balancer.HasVersion(weightedPool.Pool, forwarding.version) {
			forwarding.pool = cmp.Or(gateway.Table().Pool(weightedPool.Pool), forwarding.pool)
			return true
		}
	}
	forwarding.refuse(http.StatusServiceUnavailable, forwarding.retryAfter(), reasonNoVersion, resumes)
	return false
}

// mayGoOn reports whether the stream, if it has begun, may go on at some target.
func (forwarding *forwarding) mayGoOn() bool {
	gateway := forwarding.gateway
	return forwarding.version == 0 || gateway.Balancer.HasVersion(forwarding.pool.Name, forwarding.version) &&
		gateway.Rollouts.MayGoOn(forwarding.pool.Name, forwarding.version, forwarding.route.Name, time.Until(forwarding.deadline))
}

// verifyStart returns what verifies that a stream goes on at the start of a target that its entry
// names, with the version that the entry names; nil for what needs none. Only engines are asked, whose
// report takes no slot. A new stream begins in any case, but may not go on elsewhere if its target
// may have started again since the entries were read.
func (forwarding *forwarding) verifyStart(target *balance.Target) func(ctx context.Context, openedAt time.Time) error {
	gateway := forwarding.gateway
	forwarding.isStartDoubted = false
	if !forwarding.route.Streaming || forwarding.pool.Engine == nil || gateway.Witnesses == nil {
		return nil
	}
	verify := func(ctx context.Context, openedAt time.Time) error {
		return gateway.Witnesses.Verify(ctx, target, openedAt)
	}
	if forwarding.goesOn() {
		return verify
	}
	if !forwarding.route.Resumable || gateway.TargetsAge == nil || gateway.TargetsAge() < trustedAge {
		return nil
	}
	return func(ctx context.Context, openedAt time.Time) error {
		ctx, cancel := context.WithTimeout(ctx, maxBeginWait)
		defer cancel()
		forwarding.isStartDoubted = verify(ctx, openedAt) != nil
		return nil
	}
}

// goesOn reports whether the request is for the rest of a stream.
func (forwarding *forwarding) goesOn() bool { return forwarding.resumedAfter() != "" }

// recordVersion records the version of the target whose event is the first one that is
// passed on in this answer. The rest of the stream comes from targets of that version.
func (forwarding *forwarding) recordVersion(target *balance.Target) {
	if forwarding.headerWritten {
		return
	}
	forwarding.version = target.VersionID()
	if forwarding.isStartDoubted {
		forwarding.version = origin.UnknownVersion
	}
	if attempt := cmp.Or(forwarding.call.Resumes, forwarding.call.ID); attempt != "" {
		forwarding.gateway.Origins.RecordBegin(origin.NewStream(attempt), target.Pool, forwarding.version)
	}
}
