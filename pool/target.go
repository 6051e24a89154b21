package pool

import "time"

const (
	// slowTolerance is how much slower than its own best a target may be
	// before it gets fewer slots; a full batch alone makes it slower too.
	slowTolerance = 3.0
	// shrinkInterval is the least time between two cuts of a target's slots.
	shrinkInterval = 400 * time.Millisecond
	// growInterval is how long after a cut slots come back one by one.
	growInterval = time.Second
	// overdueInterval is the interval of the look at what runs too long.
	overdueInterval = 500 * time.Millisecond
	// overdueGrace is added to each expectation before it counts as missed.
	overdueGrace = 300 * time.Millisecond
	// sampleWeight is the weight of a new sample in a mean.
	sampleWeight = 0.3
	// bestDrift is how far a slower sample moves the best one, so that a
	// target that stays slow is measured against its new self in the end.
	bestDrift = 0.005
	// minFreeIn is the least time, in seconds, that a slot is waited for.
	minFreeIn = 0.001
	// minPrefillTokens and minDecodeTokens bound the samples worth keeping.
	minPrefillTokens = 64
	minDecodeTokens  = 8

	// firstBackOff doubles with each failure in a row up to maxBackOff.
	firstBackOff = 250 * time.Millisecond
	maxBackOff   = 30 * time.Second
	// unavailableFailures is how many failures in a row make a target count as
	// none while it is backed off from.
	unavailableFailures = 3
)

// target is what the scheduler knows of one target.
type target struct {
	Target
	// reportedLeaving is the target's own word that it leaves, or the platform's.
	reportedLeaving    bool
	removed bool
	// reserved stops new grants, so that a suspect can run alone.
	reserved       bool
	running        int
	pendingPrefill int
	// prefilled is all prompt tokens whose first output token was seen.
	prefilled int
	// awaited are the tickets passed over that wait for this target, and
	// awaitedPrefill their prompt tokens.
	awaited        int
	awaitedPrefill int
	// overdue is how many of the running requests are, while they are counted.
	overdue        int
	load           Load
	speed          speed
	limit          float64
	lastShrunk         time.Time
	lastGrown          time.Time
	failures       int
	backedOffUntil time.Time
	// lastFailed is when it lastFailed last, heard when it last reported its load.
	lastFailed time.Time
	lastReported  time.Time
	// slots and busy are what refresh last found, place is that among the
	// targets with room.
	slots int
	busy  float64
	heapIndex int
	// cached holds for the ticket that stamp counts; added, that the target
	// is among its candidates.
	cached int
	stamp  uint64
	added  bool
}

func newTarget(told Target) *target {
	return &target{Target: told, limit: float64(told.Slots), heapIndex: notInHeap}
}

// speed is what was seen of a target's speed. The times are seconds, of
// prefill and decode for one token, of whole a call of a service, of stay a
// request's on the target. prefilling and decoding are how many times
// longer than at its best under the same load they take now.
type speed struct {
	prefill    sample
	decode     sample
	call      sample
	residence       sample
	prefillSlowdown float64
	decodeSlowdown   float64
}

// sample is a mean and a recent best of a time in seconds.
type sample struct {
	mean float64
	best float64
}

// add learns a time and returns how many times slower the mean is than the
// best.
func (sample *sample) add(seconds float64) float64 {
	if seconds <= 0 {
		return 1
	}
	if sample.best == 0 {
		sample.mean = seconds
		sample.best = seconds
		return 1
	}
	sample.mean += sampleWeight * (seconds - sample.mean)
	slowness := sample.mean / sample.best
	sample.best = min(seconds, sample.best+bestDrift*(seconds-sample.best))
	return slowness
}

// updateSlowdown learns how many times longer than expected something took and returns
// the mean.
func (speed *speed) updateSlowdown(mean *float64, times float64) float64 {
	if *mean == 0 {
		*mean = 1
	}
	*mean += sampleWeight * (times - *mean)
	return *mean
}

// rate turns a time for one token into tokens a second, 0 if not seen.
func (sample *sample) rate() float64 {
	if sample.mean == 0 {
		return 0
	}
	return 1 / sample.mean
}

// prefillRate is tokens a second at the target's present speed, 0 if not seen.
func (target *target) prefillRate() float64 {
	speed := &target.speed
	if speed.prefill.best == 0 {
		return 0
	}
	return 1 / (speed.prefill.best * max(1, speed.prefillSlowdown))
}

// freeIn is the seconds until a slot should free, 0 if one is free.
func (target *target) freeIn() float64 {
	if target.heapIndex != notInHeap {
		return 0
	}
	return max(minFreeIn, target.speed.residence.mean*float64(1+target.awaited)/float64(max(1, target.slots)))
}

// capacity is how many requests the target may run now.
func (target *target) capacity(now time.Time) int {
	if target.Leaving || target.reportedLeaving || target.removed || target.reserved || target.Slots <= 0 {
		return 0
	}
	if target.failures == 0 {
		return min(target.Slots, max(1, int(target.limit)))
	}
	if now.Before(target.backedOffUntil) {
		return 0
	}
	return 1
}

// usable reports whether the target counts as there at all.
func (target *target) usable(now time.Time) bool {
	if target.Leaving || target.reportedLeaving || target.removed || target.Slots <= 0 {
		return false
	}
	return target.failures < unavailableFailures || !now.Before(target.backedOffUntil)
}

// adjustLimit changes the slots by how slow a sample was.
func (target *target) adjustLimit(slowness float64, now time.Time) {
	if slowness <= slowTolerance {
		worst := max(target.speed.prefillSlowdown, target.speed.decodeSlowdown)
		if worst <= slowTolerance && now.Sub(target.lastShrunk) >= shrinkInterval {
			target.limit = min(float64(target.Slots), target.limit+1)
		}
		return
	}
	if now.Sub(target.lastShrunk) < shrinkInterval {
		return
	}
	target.lastShrunk = now
	target.lastGrown = now
	target.limit = max(1, target.limit*max(0.5, slowTolerance/slowness))
}

// grow gives slots back with time when nothing speaks against it, as no
// sample may come from a target that runs little.
func (target *target) grow(now time.Time) {
	if target.limit >= float64(target.Slots) || now.Sub(target.lastGrown) < growInterval {
		return
	}
	target.lastGrown = now
	target.limit = min(float64(target.Slots), target.limit+max(1, float64(target.Slots)/8))
}

// recordFailure backs off from a target that could not be reached or broke.
func (target *target) recordFailure(now time.Time) {
	target.lastFailed = now
	if now.Before(target.backedOffUntil) {
		return
	}
	target.failures++
	backOff := maxBackOff
	if doublings := target.failures - 1; doublings < 7 {
		backOff = min(maxBackOff, firstBackOff<<doublings)
	}
	target.backedOffUntil = now.Add(backOff)
}

// recovered reports whether a target that failed has shown since that it lives.
// One that never reports its load can only show it by an answer, after its
// back-off.
func (target *target) recovered() bool {
	return target.failures == 0 || target.lastReported.IsZero() || target.lastReported.After(target.lastFailed)
}

// recordSuccess ends the back-off.
func (target *target) recordSuccess() { target.failures = 0 }

// busyness orders targets for large pools: the seconds of prefill that wait,
// and how full it is for its speed.
func (target *target) busyness() float64 {
	prefill := float64(target.pendingPrefill) * target.speed.prefill.best
	share := float64(target.running) / float64(max(1, target.Slots))
	return prefill + share
}
