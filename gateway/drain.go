package gateway

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

// drainReserve is the part of the drain limit that is left for the end of the
// process.
const drainReserve = 300 * time.Millisecond

var (
	eventDraining = timeline.Define(timeline.Kind{
		Number: 1106, Name: "gateway draining", Level: timeline.Info,
		Meaning: "The host shuts down: it says that it is not ready and lets running requests end.",
	})
	eventDrained = timeline.Define(timeline.Kind{
		Number: 1107, Name: "gateway drained", Level: timeline.Info,
		Meaning: "The host answered what it had taken; the detail is how many requests were cut.",
	})
)

// Drain lets callers move to other hosts and returns when running requests
// have ended, or at the end of the context.
func (gateway *Gateway) Drain(ctx context.Context) error {
	gateway.Events.Record(eventDraining, timeline.Event{})
	gateway.leaving.Store(true)
	if deadline, ok := ctx.Deadline(); ok {
		limited, cancel := context.WithDeadline(ctx, deadline.Add(-drainReserve))
		defer cancel()
		ctx = limited
	}
	pause.For(ctx, gateway.Notice)
	// The end of the context cuts what still runs; it is counted.
	err := gateway.Shutdown(ctx)
	gateway.Events.Record(eventDrained, timeline.Event{Detail: strconv.FormatInt(gateway.running.Load(), 10)})
	if err != nil {
		return fmt.Errorf("wait for running requests: %w", err)
	}
	return nil
}
