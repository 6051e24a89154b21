// Package pause waits with a context and adds jitter to durations.
package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for a duration or until the context ends. It reports whether the
// whole duration passed.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Jitter returns a random duration from 0.5 to 1.5 times the mean, or 0 if the
// mean is not positive.
func Jitter(mean time.Duration) time.Duration {
	if mean <= 0 {
		return 0
	}
	return mean/2 + rand.N(mean)
}
