package kernel

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/settings"
)

// recorder records the actions of a test's parts in order.
type recorder struct {
	mutex   sync.Mutex
	actions []string
}

func (recorder *recorder) record(action string) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.actions = append(recorder.actions, action)
}

// newPart returns a part that runs until its context ends and takes 1 s to
// drain.
func (recorder *recorder) newPart(name string) *Part {
	return &Part{
		Name: name,
		Run: func(ctx context.Context) error {
			<-ctx.Done()
			recorder.record(name + " stopped")
			return nil
		},
		Drain: func(ctx context.Context) error {
			select {
			case <-time.After(time.Second):
				recorder.record(name + " drained")
				return nil
			case <-ctx.Done():
				return errors.New("cut")
			}
		},
	}
}

func newHost(parts ...*Part) *Host {
	return &Host{Settings: &settings.Settings{Drain: settings.Drain{Limit: time.Minute}}, parts: parts}
}

func TestPartsRunWhileTheyDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		recorder := &recorder{}
		host := newHost(recorder.newPart("links"), recorder.newPart("entry"))
		ctx, end := context.WithCancel(t.Context())
		end()
		c.Assert(host.Run(ctx, t.Context()), qt.IsNil)
		c.Assert(recorder.actions[:2], qt.DeepEquals, []string{"entry drained", "links drained"})
		c.Assert(recorder.actions, qt.HasLen, 4)
	})
}

func TestFailedPartDrainsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		recorder := &recorder{}
		failing := &Part{Name: "links", Run: func(context.Context) error { return errors.New("address lost") }}
		err := newHost(failing, recorder.newPart("entry")).Run(t.Context(), t.Context())
		c.Assert(err, qt.ErrorMatches, "run links: address lost")
		c.Assert(recorder.actions, qt.DeepEquals, []string{"entry drained", "entry stopped"})
	})
}

func TestDrainLimitAndForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		recorder := &recorder{}
		host := newHost(recorder.newPart("entry"))
		host.Settings.Drain.Limit = time.Second / 2
		ctx, end := context.WithCancel(t.Context())
		end()
		c.Assert(host.Run(ctx, t.Context()), qt.ErrorMatches, "drain entry: cut")
		host.Settings.Drain.Limit = time.Minute
		c.Assert(host.Run(ctx, ctx), qt.ErrorMatches, "drain entry: cut")
	})
}
