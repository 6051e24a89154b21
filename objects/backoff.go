package objects

import (
	"context"
	"math/rand/v2"
	"time"

	"nutmegfield.example/pause"
)

const (
	// maxAttempts is how often a read, or a conditional change after its
	// read-back, is tried.
	maxAttempts = 3
	// initialBackoff is the longest pause after the first failure; it doubles
	// with each further one.
	initialBackoff = 50 * time.Millisecond
)

// backOff waits before a repeated attempt, a random time below a bound
// that doubles. It reports whether the context still stands.
func backOff(ctx context.Context, attempt int) bool {
	return pause.For(ctx, rand.N(initialBackoff<<attempt))
}
