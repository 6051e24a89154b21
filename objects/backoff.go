package objects

import (
	"context"
	"math/rand/v2"
	"time"

	"nutmegfield.example/pause"
)

const (
	// attempts is how often a read, or a conditional change after its
	// read-back, is tried.
	attempts = 3
	// firstBackoff is the longest pause after the first failure; it doubles
	// with each further one.
	firstBackoff = 50 * time.Millisecond
)

// pauseBefore waits before a repeated attempt, a random time below a bound
// that doubles. It reports whether the context still stands.
func pauseBefore(ctx context.Context, attempt int) bool {
	return pause.For(ctx, rand.N(firstBackoff<<attempt))
}
