// Package pause waits for a time or the end of a context.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits and reports whether the time passed before the context ended.
func For(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Jitter returns a random duration around the given one, from half of it to
// one and a half.
func Jitter(around time.Duration) time.Duration {
	if around <= 0 {
		return 0
	}
	return around/2 + rand.N(around)
}
