package discovery

import (
	"math/rand/v2"
	"time"
)

// Verification is a read of the platform that found no newer state.
type Verification struct {
	// At is the time before the read, as far as this host can tell.
	At time.Time
	// ID identifies the read to all hosts, 0 if it is unknown. Each host that hears of a read
	// from another one takes it for a little younger than it is, so that a read of which hosts
	// hear again and again would never grow old.
	ID uint64
}

// NewVerification returns the verification of a read that begins now.
func NewVerification() Verification {
	return Verification{At: time.Now(), ID: 1 + rand.Uint64N(1<<64-1)}
}

// heardReads are the ids of the last reads that a host has heard of.
type heardReads struct {
	ids  [64]uint64
	next int
}

// add reports whether a read is new, and remembers it.
func (heardReads *heardReads) add(id uint64) bool {
	if id == 0 {
		return true
	}
	for _, heard := range heardReads.ids {
		if heard == id {
			return false
		}
	}
	heardReads.ids[heardReads.next] = id
	heardReads.next = (heardReads.next + 1) % len(heardReads.ids)
	return true
}
