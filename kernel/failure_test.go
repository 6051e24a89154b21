package kernel

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/settings"
)

// TestFailedPartDrainsWithinLimit checks that, when one part fails, the others
// may finish their work within the drain limit, as after a signal.
func TestFailedPartDrainsWithinLimit(t *testing.T) {
	for _, work := range []time.Duration{5 * time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			failure := errors.New("fault")
			started := time.Now()
			host := &Host{Settings: &settings.Settings{Drain: settings.Drain{Limit: time.Minute}}}
			host.parts = []*Part{
				{Name: "failing", Run: func(context.Context) error { return failure }},
				{Name: "working", Run: untilDone, Drain: func(force context.Context) error {
					return sleep(force, work)
				}},
			}
			err := host.Run(context.Background(), context.Background())
			c.Assert(errors.Is(err, failure), qt.IsTrue)
			c.Assert(time.Since(started), qt.Equals, min(work, time.Minute))
			c.Assert(errors.Is(err, context.DeadlineExceeded), qt.Equals, work > time.Minute)
		})
	}
}

func untilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
