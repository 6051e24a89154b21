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

// diary is what the parts of a test do, in order.
type diary struct {
	mutex sync.Mutex
	lines []string
}

func (diary *diary) write(line string) {
	diary.mutex.Lock()
	defer diary.mutex.Unlock()
	diary.lines = append(diary.lines, line)
}

// part runs until its context ends and takes a second to drain.
func (diary *diary) part(name string) *Part {
	return &Part{
		Name: name,
		Run: func(ctx context.Context) error {
			<-ctx.Done()
			diary.write(name + " stopped")
			return nil
		},
		Drain: func(ctx context.Context) error {
			select {
			case <-time.After(time.Second):
				diary.write(name + " drained")
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
		diary := &diary{}
		host := newHost(diary.part("links"), diary.part("entry"))
		ctx, end := context.WithCancel(t.Context())
		end()
		c.Assert(host.Run(ctx, t.Context()), qt.IsNil)
		c.Assert(diary.lines[:2], qt.DeepEquals, []string{"entry drained", "links drained"})
		c.Assert(diary.lines, qt.HasLen, 4)
	})
}

func TestFailedPartDrainsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		diary := &diary{}
		failing := &Part{Name: "links", Run: func(context.Context) error { return errors.New("address lost") }}
		err := newHost(failing, diary.part("entry")).Run(t.Context(), t.Context())
		c.Assert(err, qt.ErrorMatches, "run links: address lost")
		c.Assert(diary.lines, qt.DeepEquals, []string{"entry drained", "entry stopped"})
	})
}

func TestDrainLimitAndForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		diary := &diary{}
		host := newHost(diary.part("entry"))
		host.Settings.Drain.Limit = time.Second / 2
		ctx, end := context.WithCancel(t.Context())
		end()
		c.Assert(host.Run(ctx, t.Context()), qt.ErrorMatches, "drain entry: cut")
		host.Settings.Drain.Limit = time.Minute
		c.Assert(host.Run(ctx, ctx), qt.ErrorMatches, "drain entry: cut")
	})
}
