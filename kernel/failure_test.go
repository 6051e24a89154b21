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

// TestFailedPartCutsNothing lets one part fail while another has work: that
// ends first, as after a signal, but within the drain limit.
func TestFailedPartCutsNothing(t *testing.T) {
	for _, work := range []time.Duration{5 * time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fault := errors.New("fault")
			begin := time.Now()
			host := &Host{Settings: &settings.Settings{Drain: settings.Drain{Limit: time.Minute}}}
			host.parts = []*Part{
				{Name: "failing", Run: func(context.Context) error { return fault }},
				{Name: "working", Run: untilDone, Drain: func(force context.Context) error {
					return wait(force, work)
				}},
			}
			err := host.Run(context.Background(), context.Background())
			c.Assert(errors.Is(err, fault), qt.IsTrue)
			c.Assert(time.Since(begin), qt.Equals, min(work, time.Minute))
			c.Assert(errors.Is(err, context.DeadlineExceeded), qt.Equals, work > time.Minute)
		})
	}
}

func untilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func wait(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
