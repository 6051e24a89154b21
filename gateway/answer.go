package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"nutmegfield.example/kernel"
	"nutmegfield.example/limit"
	"nutmegfield.example/timeline"
)

const (
	// minRetryAfter is the shortest retry time given to callers.
	minRetryAfter = 50 * time.Millisecond
	// baseRetryAfter is the retry time of a pool that refuses no requests. It
	// grows in proportion to the refused fraction, by maxExtraRetryAfter when all
	// are refused.
	baseRetryAfter     = 100 * time.Millisecond
	maxExtraRetryAfter = 4 * time.Second
	// retryAfterDivisor limits the retry time before jitter to the caller's
	// remaining time divided by it.
	retryAfterDivisor = 5
	// maxRetryJitter is the largest jitter, as a fraction of the retry time.
	maxRetryJitter = 0.5
)

var (
	eventRefused = timeline.Define(timeline.Kind{
		Number: 1101, Name: "request refused", Level: timeline.Info,
		Meaning: "The gateway answered a request itself; the detail holds the status and the reason.",
	})
	eventAborted = timeline.Define(timeline.Kind{
		Number: 1102, Name: "answer aborted", Level: timeline.Info,
		Meaning: "An answer that had begun could not be completed; the caller's connection was closed. The fact is the id of the last event that the caller has.",
	})
)

// addJitter lengthens a retry time at random, so that callers don't return at the
// same moment.
func addJitter(after time.Duration) time.Duration {
	after = max(after, minRetryAfter)
	return after + time.Duration(rand.Float64()*maxRetryJitter*float64(after))
}

// refuse answers a request with an error status of the gateway and an empty body.
// After is the retry time for the caller, 0 for none; reason is a label value of a
// metric.
func (forwarding *forwarding) refuse(status int, after time.Duration, reason string, facts ...timeline.Fact) {
	gateway := forwarding.gateway
	countRefusal(status, reason)
	gateway.Events.Record(eventRefused, timeline.Event{
		Request: forwarding.call.ID,
		Detail:  strconv.Itoa(status) + " " + reason,
		Facts:   append(facts, timeline.Duration("retryAfter", after)),
	})
	gateway.Protocol.WriteRefusal(forwarding.writer.Header(), forwarding.call, after)
	forwarding.endConnection()
	forwarding.writer.Header().Set("Content-Length", "0")
	if forwarding.hasBody {
		forwarding.conn.Refuse(forwarding.writer, status)
		return
	}
	forwarding.conn.RefuseUnread(forwarding.writer, forwarding.request, status)
}

// answerUnserved ends a request for which no target gave a usable answer: with a
// target's server error if there is one, else with a refusal. It aborts an answer
// that has begun.
func (forwarding *forwarding) answerUnserved(ctx context.Context, reason string) {
	if forwarding.request.Context().Err() != nil {
		// The caller has left.
		panic(http.ErrAbortHandler)
	}
	cause := timeline.Fact{Key: "cause", Value: reason}
	switch {
	case forwarding.headerWritten:
		forwarding.abortAnswer(reason)
	case forwarding.fallback != nil:
		forwarding.writeBuffered(forwarding.fallback)
	case forwarding.mayHaveRun && ctx.Err() != nil && !forwarding.hasSkipped:
		forwarding.refuse(http.StatusGatewayTimeout, 0, "no answer in time", cause)
	case forwarding.mayHaveRun:
		forwarding.refuse(http.StatusBadGateway, 0, "no whole answer", cause)
	default:
		status := forwarding.gateway.Balancer.Status(forwarding.pool.Name)
		forwarding.refuse(http.StatusServiceUnavailable, forwarding.retryAfter(), "no target in time", cause,
			timeline.Count("rank", forwarding.rank),
			timeline.Fact{Key: "returned", Value: strconv.FormatBool(forwarding.isRetry)},
			timeline.Duration("waited", time.Since(forwarding.arrivedAt)),
			timeline.Count("waiting", status.Waiting),
			timeline.Count("othersWaiting", status.OthersWaiting),
			timeline.Count("free", status.FreeSlots),
			timeline.Fact{Key: "contended", Value: strconv.FormatBool(status.Contended)},
			timeline.Count("limited", status.LimitedTargets),
			timeline.Fact{Key: "limitedRate", Value: limit.FormatRate(status.LimitedRate)},
			timeline.Count("leaving", status.LeavingTargets),
			timeline.Count("resting", status.RestingTargets),
			timeline.Count("unreachable", status.UnreachableTargets),
			timeline.Duration("reportAge", status.ReportAge),
		)
	}
}

// restTurn returns the part of the spread after which a caller of a rank returns when
// targets want requests again, for a random number in [0, 1): each rank before the next.
func restTurn(rank int, random float64) float64 {
	position := float64(rank) + random
	return position / (position + 1)
}

// retryAfter returns the retry time for a refused request, with jitter. While all targets
// want no requests it is the time until the first one does, after which the callers of
// important routes return first. Else it is longer the larger the fraction of refused
// requests, and at least the time until targets that all have limits take another request,
// but within the caller's remaining time.
func (forwarding *forwarding) retryAfter() time.Duration {
	balancer := forwarding.gateway.Balancer
	if wait, spread := balancer.RestingWait(forwarding.pool.Name); wait > 0 {
		return max(wait+time.Duration(restTurn(forwarding.rank, rand.Float64())*float64(spread)), minRetryAfter)
	}
	refusedFraction := balancer.RefusedFraction(forwarding.pool.Name)
	after := baseRetryAfter + time.Duration(refusedFraction*float64(maxExtraRetryAfter))
	after = max(after, balancer.LimitedWait(forwarding.pool.Name))
	return addJitter(min(after, time.Until(forwarding.deadline)/retryAfterDivisor))
}

// abortAnswer closes the caller's connection, so that an answer that has begun
// can't be mistaken for a complete one.
func (forwarding *forwarding) abortAnswer(reason string) {
	forwarding.gateway.Events.Record(eventAborted, timeline.Event{
		Request: forwarding.call.ID,
		Detail:  reason,
		Facts:   []timeline.Fact{{Key: "after", Value: forwarding.resumedAfter()}},
	})
	kernel.AbortAnswer(forwarding.writer, forwarding.request)
}

// writeBuffered writes a buffered answer to the caller.
func (forwarding *forwarding) writeBuffered(bufferedAnswer *bufferedAnswer) {
	header := forwarding.writer.Header()
	maps.Copy(header, bufferedAnswer.header)
	header.Set("Content-Length", strconv.Itoa(len(bufferedAnswer.body.bytes)))
	forwarding.endConnection()
	forwarding.writer.WriteHeader(bufferedAnswer.status)
	// A write fails only when the caller has left.
	_, _ = forwarding.writer.Write(bufferedAnswer.body.bytes)
}
