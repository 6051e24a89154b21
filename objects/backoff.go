package objects

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// attempts is how often a read, or a conditional change after its
	// read-back, is tried.
	attempts = 3
	// firstBackoff is the longest pause after the first failure; it doubles
	// with each further one.
	firstBackoff = 50 * time.Millisecond
)

// Jitter returns a random duration around the given one, from half of it to
// one and a half.
func Jitter(around time.Duration) time.Duration {
	if around <= 0 {
		return 0
	}
	return around/2 + rand.N(around)
}

// pauseBefore waits before a repeated attempt, a random time below a bound
// that doubles. It reports whether the context still stands.
func pauseBefore(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(rand.N(firstBackoff << attempt))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
