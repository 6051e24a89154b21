package pool

import "time"

const (
	// slowTolerance is how many times slower than its best observed speed a
	// target may be before its slots are reduced; a full batch is slower too
	// without a fault.
	slowTolerance = 3.0
	// shrinkInterval is the least time between two reductions of a target's slots.
	shrinkInterval = 400 * time.Millisecond
	// growInterval is the interval at which slots are restored step by step
	// after a reduction.
	growInterval = time.Second
	// overdueInterval is the interval between checks for overdue requests.
	overdueInterval = 500 * time.Millisecond
	// overdueGrace is added to the expected time after which a request is overdue.
	overdueGrace = 300 * time.Millisecond
	// sampleWeight is the weight of a new value in a moving average.
	sampleWeight = 0.3
	// bestDrift is the fraction of the difference by which a slower value
	// raises the best one, so that a target that stays slow is eventually
	// compared with its new speed.
	bestDrift = 0.005
	// A target with a limit may get limitBurst requests at once, and those of
	// limitBurstTime. It gets one in ten seconds at least, so that its reports of none
	// don't end all use of it.
	limitBurst     = 1
	limitBurstTime = 250 * time.Millisecond
	minLimit       = 0.1
	// minSecondsUntilFree is the least estimated wait for a slot, in seconds.
	minSecondsUntilFree = 0.001
	// Observations of fewer tokens are ignored.
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
	// reportedLeaving is true if the target or the platform reported that the
	// target is leaving.
	reportedLeaving bool
	removed         bool
	// reserved stops new grants, so that a suspect can run alone.
	reserved             bool
	running              int
	pendingPrefillTokens int
	// prefilledTokens is the total of the estimated uncached prompt tokens of
	// all requests whose first output token was reported.
	prefilledTokens int
	// awaited is the number of skipped tickets that wait for this target,
	// awaitedPrefillTokens the total of their uncached prompt tokens.
	awaited              int
	awaitedPrefillTokens int
	// overdueCount is the number of overdue requests; it is only used by
	// checkOverdue.
	overdueCount int
	reportedLoad Load
	// limitLevel is the number of requests that the reported limit allows now,
	// limitFilledAt when it was computed.
	limitLevel    float64
	limitFilledAt time.Time
	speed         speed
	// slotLimit is the number of slots to use, lowered while the target is slow.
	slotLimit      float64
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
	// cachedTokens and candidate are valid if lookupNumber equals
	// Pool.lookupNumber: how many prompt tokens of the current ticket the
	// target has cached, and whether the target is among the candidates.
	cachedTokens int
	lookupNumber uint64
	candidate    bool
}

func newTarget(configured Target) *target {
	return &target{Target: configured, slotLimit: float64(configured.Slots), heapIndex: notInHeap}
}

// speed is the observed speed of a target, in seconds: prefill and decode per
// token, callTime per call of a service, slotTime per request from the begin of
// the attempt to its end. prefillSlowdown and decodeSlowdown are moving
// averages of the observed time divided by the time expected at the target's
// best speed under the same load.
type speed struct {
	prefill         timeStats
	decode          timeStats
	callTime        timeStats
	slotTime        timeStats
	prefillSlowdown float64
	decodeSlowdown  float64
}

// timeStats is the moving average and the recent minimum of a time in seconds.
type timeStats struct {
	mean float64
	best float64
}

// add records a time and returns the average divided by the best.
func (timeStats *timeStats) add(seconds float64) float64 {
	if seconds <= 0 {
		return 1
	}
	if timeStats.best == 0 {
		timeStats.mean = seconds
		timeStats.best = seconds
		return 1
	}
	timeStats.mean += sampleWeight * (seconds - timeStats.mean)
	slowdown := timeStats.mean / timeStats.best
	timeStats.best = min(seconds, timeStats.best+bestDrift*(seconds-timeStats.best))
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

// rate returns tokens per second if the observed times are per token, 0 if none
// was observed.
func (timeStats *timeStats) rate() float64 {
	if timeStats.mean == 0 {
		return 0
	}
	return 1 / timeStats.mean
}

// prefillRate returns the current prefill speed in tokens per second, 0 if none
// was observed.
func (target *target) prefillRate() float64 {
	speed := &target.speed
	if speed.prefill.best == 0 {
		return 0
	}
	return 1 / (speed.prefill.best * max(1, speed.prefillSlowdown))
}

// secondsUntilFree returns the estimated seconds until a slot is free, 0 if one is.
func (target *target) secondsUntilFree() float64 {
	if target.heapIndex != notInHeap {
		return 0
	}
	return max(minSecondsUntilFree, target.speed.slotTime.mean*float64(1+target.awaited)/float64(max(1, target.slots)))
}

// capacity returns how many requests the target may run now.
func (target *target) capacity(now time.Time) int {
	if target.Leaving || target.reportedLeaving || target.removed || target.reserved || target.Slots <= 0 {
		return 0
	}
	target.fillLimit(now)
	slots := 1
	switch {
	case target.failures == 0:
		slots = min(target.Slots, max(1, int(target.slotLimit)))
	case now.Before(target.backedOffUntil):
		return 0
	}
	if target.reportedLoad.Limit > 0 {
		slots = min(slots, target.running+int(target.limitLevel))
	}
	return slots
}

// fillLimit adds to limitLevel what the reported limit allows since the last call. A new
// limit begins with none.
func (target *target) fillLimit(now time.Time) {
	limit := target.reportedLoad.Limit
	if limit <= 0 {
		target.limitLevel, target.limitFilledAt = 0, now
		return
	}
	limit = max(limit, minLimit)
	added := limit * now.Sub(target.limitFilledAt).Seconds()
	target.limitLevel = min(target.limitLevel+added, limitBurst+limit*limitBurstTime.Seconds())
	target.limitFilledAt = now
}

// usable reports whether requests may wait for the target: it is not leaving, and
// not in a back-off after unavailableFailures or more failures.
func (target *target) usable(now time.Time) bool {
	if target.Leaving || target.reportedLeaving || target.removed || target.Slots <= 0 {
		return false
	}
	return target.failures < unavailableFailures || !now.Before(target.backedOffUntil)
}

// adjustSlotLimit lowers or raises the limit on slots by an observed slowdown.
func (target *target) adjustSlotLimit(slowdown float64, now time.Time) {
	if slowdown <= slowTolerance {
		worst := max(target.speed.prefillSlowdown, target.speed.decodeSlowdown)
		if worst <= slowTolerance && now.Sub(target.lastShrunk) >= shrinkInterval {
			target.slotLimit = min(float64(target.Slots), target.slotLimit+1)
		}
		return
	}
	if now.Sub(target.lastShrunk) < shrinkInterval {
		return
	}
	target.lastShrunk = now
	target.lastGrown = now
	target.slotLimit = max(1, target.slotLimit*max(0.5, slowTolerance/slowdown))
}

// restoreSlots restores slots over time, because a target with few running
// requests may not complete enough of them to show that it is fast again.
func (target *target) restoreSlots(now time.Time) {
	if target.slotLimit >= float64(target.Slots) || now.Sub(target.lastGrown) < growInterval {
		return
	}
	target.lastGrown = now
	target.slotLimit = min(float64(target.Slots), target.slotLimit+max(1, float64(target.Slots)/8))
}

// recordFailure starts a back-off for a target that was unreachable or whose
// connection was lost, unless one is in progress.
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

// hasRecovered reports whether a target has shown since its last failure that
// it works, by an answer or a load report. A target that never reports its load
// counts as recovered, as only an answer after its back-off can show that it
// works.
func (target *target) hasRecovered() bool {
	return target.failures == 0 || target.lastReported.IsZero() || target.lastReported.After(target.lastFailed)
}

// recordSuccess resets the count of consecutive failures.
func (target *target) recordSuccess() { target.failures = 0 }

// busyness returns the order in which a large pool's targets become candidates,
// the lowest first: the seconds of pending prefill plus the fraction of slots
// in use.
func (target *target) busyness() float64 {
	prefill := float64(target.pendingPrefillTokens) * target.speed.prefill.best
	used := float64(target.running) / float64(max(1, target.Slots))
	return prefill + used
}
