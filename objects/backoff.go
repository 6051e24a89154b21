package objects

import (
	"context"
	"math/rand/v2"
	"time"

	"nutmegfield.example/pause"
)

const (
	// maxAttempts limits the attempts of a read, and of a conditional write
	// that is read back after each lost answer.
	maxAttempts = 3
	// initialBackoff is doubled with each failed attempt to give the longest
	// pause before the next one.
	initialBackoff = 50 * time.Millisecond
)

// backOff waits before a repeated attempt for a random time below a limit that
// doubles with each attempt. It returns false if the context ended first.
func backOff(ctx context.Context, attempt int) bool {
	return pause.For(ctx, rand.N(initialBackoff<<attempt))
}
