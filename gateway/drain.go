package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

// drainReserve is the time before the drain limit that is kept for ending the
// process.
const drainReserve = 300 * time.Millisecond

var (
	eventDraining = timeline.Define(timeline.Kind{
		Number: 1106, Name: "gateway draining", Level: timeline.Info,
		Meaning: "The host is shutting down: it reports that it is not ready and lets running requests finish.",
	})
	eventDrained = timeline.Define(timeline.Kind{
		Number: 1107, Name: "gateway drained", Level: timeline.Info,
		Meaning: "The running requests have ended or the drain limit has passed; the detail is the number of requests that were cut off, the fact that of those that had not ended in time and were given up before, with an answer where none had begun.",
	})
	eventClosed = timeline.Define(timeline.Kind{
		Number: 1141, Name: "gateway closed to new connections", Level: timeline.Info,
		Meaning: "The host shuts down and takes no new connections any more. The facts count those that had waited and were taken last, those that are open, and the requests that run. A request whose deadline is later than the end of the host is refused from now on.",
	})
)

const (
	// withoutRequestTime is the time without running requests after which connections that sent
	// no whole request are not waited for.
	withoutRequestTime = time.Second
	drainPollInterval  = 20 * time.Millisecond
	// lastRefusalTime is the time before the end at which the requests are refused that were
	// sent to no target: their callers may still be sending.
	lastRefusalTime = 500 * time.Millisecond
)

// reasonDraining is the reason of refusals of a host that shuts down.
const reasonDraining = "the host shuts down"

// Drain reports the host as not ready, waits for Notice and then for running
// requests to end. It returns an error if the context ends first.
func (gateway *Gateway) Drain(ctx context.Context) error {
	gateway.Events.Record(eventDraining, timeline.Event{})
	gateway.draining.Store(true)
	if deadline, ok := ctx.Deadline(); ok {
		limited, cancel := context.WithDeadline(ctx, deadline.Add(-drainReserve))
		defer cancel()
		ctx = limited
	}
	pause.For(ctx, gateway.Notice)
	err := gateway.shutDown(ctx)
	if gateway.WaitForwarded != nil {
		err = errors.Join(err, gateway.WaitForwarded(ctx))
	}
	unfinished := gateway.runningRequests.Load()
	if err != nil {
		gateway.cancelRequests()
	}
	gateway.Events.Record(eventDrained, timeline.Event{
		Detail: strconv.FormatInt(gateway.runningRequests.Load(), 10),
		Facts:  []timeline.Fact{timeline.Count("unfinished", unfinished)},
	})
	if err != nil {
		return fmt.Errorf("wait for running requests: %w", err)
	}
	return nil
}

// shutDown stops accepting connections and waits for the running requests, and for a while for
// those that are not whole yet. The server must not be shut down before: it would close
// connections whose requests become whole meanwhile without an answer.
func (gateway *Gateway) shutDown(ctx context.Context) error {
	deadline, hasDeadline := ctx.Deadline()
	if hasDeadline {
		gateway.endsAt.Store(deadline.UnixNano())
	}
	accepted := gateway.Callers.StopAccepting()
	gateway.Events.Record(eventClosed, timeline.Event{Facts: []timeline.Fact{
		timeline.Count("accepted", accepted), timeline.Count("open", gateway.Callers.Budget.Holders()),
		timeline.Count("running", gateway.runningRequests.Load()),
	}})
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for lastRunAt := time.Now(); ; {
		// The end of an answer may still be written after its request.
		isRunning := gateway.runningRequests.Load() > 0 || gateway.Callers.Budget.Serving() > 0
		open := gateway.Callers.EndIdle()
		switch {
		case isRunning:
			lastRunAt = time.Now()
		case open == 0:
			return nil
		case time.Since(lastRunAt) >= withoutRequestTime:
			gateway.Callers.EndWaiting()
			return nil
		}
		if hasDeadline && time.Until(deadline) <= lastRefusalTime {
			gateway.Callers.EndWaiting()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// cancelRequests ends the requests that still run, and waits until their callers have answers.
func (gateway *Gateway) cancelRequests() {
	gateway.Callers.Budget.Cancel()
	for until := time.Now().Add(drainReserve / 2); gateway.runningRequests.Load() > 0 && time.Now().Before(until); {
		time.Sleep(drainPollInterval / 4)
	}
}

// endConnection lets the connection end with the answer if the host shuts down.
func (forwarding *forwarding) endConnection() {
	if forwarding.gateway.draining.Load() {
		forwarding.writer.Header().Set("Connection", "close")
	}
}

// endsInTime reports whether the request, sent to a target now, certainly ends before the host
// does: at its deadline. How long earlier answers took tells nothing of this one.
func (forwarding *forwarding) endsInTime() bool {
	endsAt := forwarding.gateway.endsAt.Load()
	return endsAt == 0 || forwarding.headerWritten || forwarding.deadline.UnixNano() <= endsAt
}

// refuseDraining refuses a request that may not end before the host does.
func (forwarding *forwarding) refuseDraining(ctx context.Context) {
	if forwarding.sends > 0 {
		forwarding.answerUnserved(ctx, reasonDraining)
		return
	}
	forwarding.refuse(http.StatusServiceUnavailable, addJitter(minRetryAfter), reasonDraining,
		timeline.Duration("left", time.Until(time.Unix(0, forwarding.gateway.endsAt.Load()))),
		timeline.Duration("needed", time.Until(forwarding.deadline)),
		timeline.Duration("waited", time.Since(forwarding.arrivedAt)))
}
