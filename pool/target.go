package pool

import "time"

const (
	// slowTolerance is how many times slower than its own best a target may be
	// before it loses slots; a full batch alone slows it too.
	slowTolerance = 3.0
	// shrinkInterval is the least time between two reductions of a target's slots.
	shrinkInterval = 400 * time.Millisecond
	// growInterval is the interval at which slots are restored after a reduction.
	growInterval = time.Second
	// overdueInterval is the interval between checks for overdue requests.
	overdueInterval = 500 * time.Millisecond
	// overdueGrace is added to the expected time after which a request is overdue.
	overdueGrace = 300 * time.Millisecond
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.3
	// bestDrift is the fraction by which a slower sample raises the best one, so
	// that a target that stays slow is eventually compared with its new speed.
	bestDrift = 0.005
	// minFreeIn is the least estimated wait for a slot, in seconds.
	minFreeIn = 0.001
	// Samples of fewer tokens are ignored.
	minPrefillTokens = 64
	minDecodeTokens  = 8

	// firstBackOff doubles with each consecutive failure up to maxBackOff.
	firstBackOff = 250 * time.Millisecond
	maxBackOff   = 30 * time.Second
	// unavailableFailures is the number of consecutive failures from which a
	// target is not usable during its back-off.
	unavailableFailures = 3
)

// target is the scheduler's state of one target.
type target struct {
	Target
	// reportedLeaving is true if the target or the platform reported that it
	// leaves.
	reportedLeaving bool
	removed         bool
	// reserved stops new grants, so that a suspect can run alone.
	reserved       bool
	running        int
	pendingPrefill int
	// prefilled is the total of estimated prompt tokens of requests whose first
	// output token was seen.
	prefilled int
	// awaited is the number of skipped tickets that wait for this target,
	// awaitedPrefill the number of their uncached prompt tokens.
	awaited        int
	awaitedPrefill int
	// overdue is the number of overdue requests; it is only used by checkOverdue.
	overdue        int
	load           Load
	speed          speed
	limit          float64
	lastShrunk     time.Time
	lastGrown      time.Time
	failures       int
	backedOffUntil time.Time
	// lastFailed is the time of the last failure, lastReported that of the last
	// load report.
	lastFailed   time.Time
	lastReported time.Time
	// slots and busyRank are set by refresh to capacity and busyness; heapIndex
	// is the target's position in Pool.available.
	slots     int
	busyRank  float64
	heapIndex int
	// cached is the number of prompt tokens that the target has cached of the
	// ticket for which Pool.stamp equals stamp; candidate is true if the target
	// is among its candidates.
	cached    int
	stamp     uint64
	candidate bool
}

func newTarget(configured Target) *target {
	return &target{Target: configured, limit: float64(configured.Slots), heapIndex: notInHeap}
}

// speed is the observed speed of a target, in seconds: prefill and decode per
// token, call per call of a service, residence per request from grant to release.
// prefillSlowdown and decodeSlowdown are moving averages of the observed time
// divided by the time expected at the target's best under the same load.
type speed struct {
	prefill         sample
	decode          sample
	call            sample
	residence       sample
	prefillSlowdown float64
	decodeSlowdown  float64
}

// sample is a moving average and a recent best of a time in seconds.
type sample struct {
	mean float64
	best float64
}

// add records a time and returns the average divided by the best.
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
	slowdown := sample.mean / sample.best
	sample.best = min(seconds, sample.best+bestDrift*(seconds-sample.best))
	return slowdown
}

// updateSlowdown adds a ratio of observed to expected time to a moving average
// and returns the average.
func (speed *speed) updateSlowdown(mean *float64, ratio float64) float64 {
	if *mean == 0 {
		*mean = 1
	}
	*mean += sampleWeight * (ratio - *mean)
	return *mean
}

// rate returns tokens per second for a sample of seconds per token, 0 without
// samples.
func (sample *sample) rate() float64 {
	if sample.mean == 0 {
		return 0
	}
	return 1 / sample.mean
}

// prefillRate returns the current prefill speed in tokens per second, 0 without
// samples.
func (target *target) prefillRate() float64 {
	speed := &target.speed
	if speed.prefill.best == 0 {
		return 0
	}
	return 1 / (speed.prefill.best * max(1, speed.prefillSlowdown))
}

// freeIn returns the estimated seconds until a slot is free, 0 if one is.
func (target *target) freeIn() float64 {
	if target.heapIndex != notInHeap {
		return 0
	}
	return max(minFreeIn, target.speed.residence.mean*float64(1+target.awaited)/float64(max(1, target.slots)))
}

// capacity returns how many requests the target may run now.
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

// usable reports whether requests may wait for the target: it is not leaving, and
// not in a back-off after unavailableFailures or more failures.
func (target *target) usable(now time.Time) bool {
	if target.Leaving || target.reportedLeaving || target.removed || target.Slots <= 0 {
		return false
	}
	return target.failures < unavailableFailures || !now.Before(target.backedOffUntil)
}

// adjustLimit lowers or raises the limit on slots by an observed slowdown.
func (target *target) adjustLimit(slowdown float64, now time.Time) {
	if slowdown <= slowTolerance {
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
	target.limit = max(1, target.limit*max(0.5, slowTolerance/slowdown))
}

// grow restores slots over time, because a target with few running requests may
// yield no samples.
func (target *target) grow(now time.Time) {
	if target.limit >= float64(target.Slots) || now.Sub(target.lastGrown) < growInterval {
		return
	}
	target.lastGrown = now
	target.limit = min(float64(target.Slots), target.limit+max(1, float64(target.Slots)/8))
}

// recordFailure starts a back-off from a target that could not be reached or
// broke, unless one is in progress.
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

// recovered reports whether a target has shown since its last failure that it
// works, by an answer or a load report. A target that never reports its load counts
// as recovered, as only an answer after its back-off can show that it works.
func (target *target) recovered() bool {
	return target.failures == 0 || target.lastReported.IsZero() || target.lastReported.After(target.lastFailed)
}

// recordSuccess resets the count of consecutive failures.
func (target *target) recordSuccess() { target.failures = 0 }

// busyness ranks the targets of large pools: the seconds of pending prefill plus
// the fraction of slots in use.
func (target *target) busyness() float64 {
	prefill := float64(target.pendingPrefill) * target.speed.prefill.best
	used := float64(target.running) / float64(max(1, target.Slots))
	return prefill + used
}
