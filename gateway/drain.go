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
	err := gateway.Shutdown(ctx)
	if gateway.WaitForwarded != nil {
		err = errors.Join(err, gateway.WaitForwarded(ctx))
	}
	gateway.Events.Record(eventDrained, timeline.Event{Detail: strconv.FormatInt(gateway.runningRequests.Load(), 10)})
	if err != nil {
		return fmt.Errorf("wait for running requests: %w", err)
	}
	return nil
}
