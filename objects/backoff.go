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
	// baseBackoff is doubled for each failed attempt; the pause before the next
	// attempt is a random time below the result.
	baseBackoff = 50 * time.Millisecond
)

// backOff waits before a repeated attempt; attempt is the number of failed ones.
// It returns false if the context ended first.
func backOff(ctx context.Context, attempt int) bool {
	return pause.For(ctx, rand.N(baseBackoff<<attempt))
}
