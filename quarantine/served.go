package quarantine

import (
	"sync/atomic"
	"time"
)

const (
	// servedSlots is the number of shared traits whose last success is remembered.
	servedSlots = 1 << 13
	// servedTick is the resolution of these times.
	servedTick = 16 * time.Millisecond
	// The lower bits of a slot hold the time, the upper ones a part of the trait.
	servedTimeBits = 24
	servedTimeMask = 1<<servedTimeBits - 1
)

// servedTimes remembers when targets last served shared traits. A trait takes the place of
// another that has the same slot.
type servedTimes struct {
	slots [servedSlots]atomic.Uint64
	// startedAt is when the first one was recorded.
	startedAt atomic.Pointer[time.Time]
}

func servedSlot(trait Trait) int { return int(trait % servedSlots) }

func servedTag(trait Trait) uint64 { return uint64(trait) >> 13 << servedTimeBits }

// record records that a target has served a trait.
func (servedTimes *servedTimes) record(trait Trait) {
	now := time.Now()
	servedTimes.startedAt.CompareAndSwap(nil, &now)
	ticks := 1 + uint64(now.Sub(*servedTimes.startedAt.Load())/servedTick)
	servedTimes.slots[servedSlot(trait)].Store(servedTag(trait) | ticks&servedTimeMask)
}

// last returns when a target last served a trait, zero if that is not known.
func (servedTimes *servedTimes) last(trait Trait) time.Time {
	startedAt := servedTimes.startedAt.Load()
	slot := servedTimes.slots[servedSlot(trait)].Load()
	if startedAt == nil || slot == 0 || slot&^servedTimeMask != servedTag(trait) {
		return time.Time{}
	}
	// The counter of ticks wraps around.
	elapsed := uint64(time.Since(*startedAt)/servedTick) + 1
	age := (elapsed - slot) & servedTimeMask
	return time.Now().Add(-time.Duration(age) * servedTick)
}
