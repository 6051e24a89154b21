package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"nutmegfield.example/timeline"
)

const (
	// leastRetry is the shortest time after which a caller is asked back.
	leastRetry = 50 * time.Millisecond
	// calmRetry is when callers of a pool that hardly refuses any may come
	// back, pressedRetry how much later they may where it refuses all.
	calmRetry    = 100 * time.Millisecond
	pressedRetry = 4 * time.Second
	// retryPart is the part of its time that a caller is asked to wait at
	// most, before the spread.
	retryPart = 5
	// retrySpread is the part of that time over which returns are spread.
	retrySpread = 0.5
)

var (
	eventRefused = timeline.Define(timeline.Kind{
		Number: 1101, Name: "request refused", Level: timeline.Info,
		Meaning: "The gateway answered a request itself; the detail holds the status and the reason.",
	})
	eventBroken = timeline.Define(timeline.Kind{
		Number: 1102, Name: "answer broken off", Level: timeline.Info,
		Meaning: "An answer that had begun could not be given whole; its connection was closed.",
	})
)

// spread lengthens a time at random, so that callers don't return together.
func spread(after time.Duration) time.Duration {
	after = max(after, leastRetry)
	return after + time.Duration(rand.Float64()*retrySpread*float64(after))
}

// refuse answers for the gateway itself. After is when the caller may come
// back, 0 if it need not.
func (forwarding *forwarding) refuse(status int, after time.Duration, reason string, facts ...timeline.Fact) {
	gateway := forwarding.gateway
	countRefusal(status, reason)
	gateway.Events.Record(eventRefused, timeline.Event{
		Request: forwarding.call.ID,
		Detail:  strconv.Itoa(status) + " " + reason,
		Facts:   append(facts, timeline.Took("retryAfter", after)),
	})
	gateway.Protocol.WriteRefusal(forwarding.writer.Header(), forwarding.call, after)
	forwarding.writer.Header().Set("Content-Length", "0")
	forwarding.writer.WriteHeader(status)
}

// giveUp answers a request that gets no answer from a target.
func (forwarding *forwarding) giveUp(ctx context.Context, reason string) {
	if forwarding.received.Context().Err() != nil {
		// The caller has left.
		panic(http.ErrAbortHandler)
	}
	cause := timeline.Fact{Key: "cause", Value: reason}
	switch {
	case forwarding.begun:
		forwarding.breakOff(reason)
	case forwarding.fallback != nil:
		forwarding.writeWhole(forwarding.fallback)
	case forwarding.mayHaveRun && ctx.Err() != nil:
		forwarding.refuse(http.StatusGatewayTimeout, 0, "no answer in time", cause)
	case forwarding.mayHaveRun:
		forwarding.refuse(http.StatusBadGateway, 0, "no whole answer", cause)
	default:
		standing := forwarding.gateway.Balancer.Standing(forwarding.pool.Name)
		forwarding.refuse(http.StatusServiceUnavailable, spread(forwarding.comeBack()), "no target in time", cause,
			timeline.Count("rank", forwarding.rank),
			timeline.Fact{Key: "returned", Value: strconv.FormatBool(forwarding.returned)},
			timeline.Took("waited", time.Since(forwarding.arrived)),
			timeline.Count("waiting", standing.Waiting),
			timeline.Count("othersWaiting", standing.OthersWaiting),
			timeline.Count("free", standing.Free),
			timeline.Fact{Key: "contended", Value: strconv.FormatBool(standing.Contended)},
			timeline.Took("reportAge", standing.ReportAge),
		)
	}
}

// comeBack is when a refused request may find a free target: the later the
// more requests are refused, but early enough that the caller can wait.
func (forwarding *forwarding) comeBack() time.Duration {
	pressure := forwarding.gateway.Balancer.Pressure(forwarding.pool.Name)
	after := calmRetry + time.Duration(pressure*float64(pressedRetry))
	return min(after, time.Until(forwarding.deadline)/retryPart)
}

// breakOff ends an answer that has begun so that it can't be taken for whole.
func (forwarding *forwarding) breakOff(reason string) {
	forwarding.gateway.Events.Record(eventBroken, timeline.Event{Request: forwarding.call.ID, Detail: reason})
	panic(http.ErrAbortHandler)
}

// writeWhole passes on a target's answer that was read to its end.
func (forwarding *forwarding) writeWhole(answer *whole) {
	header := forwarding.writer.Header()
	maps.Copy(header, answer.header)
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	forwarding.writer.WriteHeader(answer.status)
	// A caller that does not take its answer is gone.
	_, _ = forwarding.writer.Write(answer.body)
}
