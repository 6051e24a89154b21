package gateway

import (
	"context"
	"errors"
	"fmt"
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
		Meaning: "The running requests have ended or the drain limit has passed; the detail is the number of requests that were cut off.",
	})
)

const (
	// withoutRequestTime is the time without running requests after which connections that sent
	// no whole request are not waited for. http.Server waits for new ones for 5 s, which is as
	// long as some grace periods, but runs no request that becomes whole once Shutdown has begun.
	withoutRequestTime = time.Second
	drainPollInterval  = 20 * time.Millisecond
)

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
	// Requests that still run when the context ends are cut off; the event counts them.
	err := gateway.shutDown(ctx)
	if gateway.WaitForwarded != nil {
		err = errors.Join(err, gateway.WaitForwarded(ctx))
	}
	gateway.Events.Record(eventDrained, timeline.Event{Detail: strconv.FormatInt(gateway.runningRequests.Load(), 10)})
	if err != nil {
		return fmt.Errorf("wait for running requests: %w", err)
	}
	return nil
}

// shutDown stops accepting requests and waits for the running ones, and for a while for those
// that are not whole yet.
func (gateway *Gateway) shutDown(ctx context.Context) error {
	shutdownCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- gateway.Shutdown(shutdownCtx) }()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	lastRunAt := time.Now()
	for {
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
			return <-done
		case <-ticker.C:
		}
		// The end of an answer may still be written after its request.
		if gateway.runningRequests.Load() > 0 || gateway.bufferRoom.budget.Serving() > 0 {
			lastRunAt = time.Now()
		} else if time.Since(lastRunAt) >= withoutRequestTime {
			return nil
		}
	}
}
