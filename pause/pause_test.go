package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		started := time.Now()
		c.Assert(For(t.Context(), time.Second), qt.IsTrue)
		c.Assert(time.Since(started), qt.Equals, time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.Assert(For(ctx, time.Minute), qt.IsFalse)
		c.Assert(time.Since(started), qt.Equals, 2*time.Second)
	})
}

func TestJitter(t *testing.T) {
	c := qt.New(t)
	c.Assert(Jitter(0), qt.Equals, time.Duration(0))
	for range 1000 {
		jittered := Jitter(time.Second)
		c.Assert(jittered >= time.Second/2 && jittered < 3*time.Second/2, qt.IsTrue)
	}
}
