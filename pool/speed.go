package pool

import (
	"time"

	"nutmegfield.example/request"
)

// updateSpeeds updates the observed speeds by a request that ended with a
// complete answer.
func (pool *Pool) updateSpeeds(holding *holding, release request.Release, now time.Time) {
	target := holding.target
	usage := release.Usage
	target.speed.slotTime.add(release.Total.Seconds())
	if usage.OutputTokens == 0 {
		if usage.PromptTokens == 0 {
			target.adjustSlotLimit(target.speed.callTime.add(release.Total.Seconds()), now)
		}
		return
	}
	if !holding.started {
		pool.recordFirstToken(holding, release.FirstToken, now)
	}
	if usage.OutputTokens >= minDecodeTokens && release.Total > release.FirstToken {
		pool.updateDecodeSpeed(holding, release, now)
	}
	if holding.ticket.Size.OutputTokens > 0 {
		pool.bestPerformance.addOutputRatio(float64(usage.OutputTokens) / float64(holding.ticket.Size.OutputTokens))
	}
	if uncached := usage.PromptTokens - usage.CachedTokens; uncached >= minPrefillTokens && release.FirstToken > 0 {
		// The actual number is used because the estimate may be far above it.
		prefill := release.FirstToken.Seconds() / float64(uncached)
		target.speed.prefill.add(prefill)
		pool.bestPerformance.addPrefill(prefill)
	}
}

// recordFirstToken handles the first token of a running request.
func (pool *Pool) recordFirstToken(holding *holding, firstToken time.Duration, now time.Time) {
	target := holding.target
	holding.started = true
	holding.firstTokenAt = now
	target.recordSuccess()
	pool.updatePrefillSlowdown(holding, firstToken, now)
	target.pendingPrefillTokens -= holding.pendingPrefillTokens
	target.prefilledTokens += holding.pendingPrefillTokens
	holding.pendingPrefillTokens = 0
	holding.prefilledAtFirstToken = target.prefilledTokens
}

// updatePrefillSlowdown compares the time to the first token with the time that
// the request's own prompt and those before it take at the target's best
// prefill speed.
func (pool *Pool) updatePrefillSlowdown(holding *holding, firstToken time.Duration, now time.Time) {
	target := holding.target
	if target.speed.prefill.best == 0 || holding.ownPrefillTokens < minPrefillTokens {
		return
	}
	// The cache estimate may be wrong: then the whole prompt was computed.
	tokens := holding.pendingAtGrantTokens + holding.grant.CachedTokens
	ratio := firstToken.Seconds() / (target.speed.prefill.best * float64(tokens))
	target.adjustSlotLimit(target.speed.updateSlowdown(&target.speed.prefillSlowdown, ratio), now)
}

// updateDecodeSpeed records the time per output token and compares the decoding
// time with the expected time: that at the target's best speed, including the
// prompts computed in between.
func (pool *Pool) updateDecodeSpeed(holding *holding, release request.Release, now time.Time) {
	target := holding.target
	tokens := float64(release.Usage.OutputTokens - 1)
	took := (release.Total - release.FirstToken).Seconds()
	pool.bestPerformance.addDecode(took / tokens)
	target.speed.decode.add(took / tokens)
	expected := target.speed.decode.best*tokens + target.interveningPrefillSeconds(holding)
	target.adjustSlotLimit(target.speed.updateSlowdown(&target.speed.decodeSlowdown, took/expected), now)
}

// interveningPrefillSeconds returns the time that the target takes at its best
// prefill speed for the prompts computed since a request's first token and
// those pending.
func (target *target) interveningPrefillSeconds(holding *holding) float64 {
	return target.speed.prefill.best * float64(target.prefilledTokens-holding.prefilledAtFirstToken+target.pendingPrefillTokens)
}

// checkOverdue takes slots from targets where at least half of the running
// requests are overdue. A target that has slowed down completes no requests, so
// that no slowdown is observed; a single overdue request may just have a long
// answer.
func (pool *Pool) checkOverdue(now time.Time) {
	if now.Sub(pool.lastOverdueCheck) < overdueInterval {
		return
	}
	pool.lastOverdueCheck = now
	for _, holding := range pool.holdings {
		if holding.isOverdue(now) {
			holding.target.overdueCount++
		}
	}
	for _, target := range pool.targets {
		if target.overdueCount > 0 && 2*target.overdueCount >= target.running {
			target.speed.decodeSlowdown = max(target.speed.decodeSlowdown, 2*slowTolerance)
			target.adjustSlotLimit(target.speed.decodeSlowdown, now)
			pool.refresh(target, now)
		}
		target.overdueCount = 0
	}
}

// isOverdue reports whether a request runs for more than slowTolerance times as
// long as expected at the target's best speeds, plus overdueGrace.
func (holding *holding) isOverdue(now time.Time) bool {
	speed := &holding.target.speed
	since := holding.grantedAt
	var seconds float64
	switch {
	case speed.callTime.best > 0:
		seconds = speed.callTime.best
	case speed.prefill.best == 0 || speed.decode.best == 0:
		return false
	case !holding.started:
		tokens := max(minPrefillTokens, holding.pendingAtGrantTokens+holding.grant.CachedTokens)
		seconds = speed.prefill.best * float64(tokens)
	default:
		since = holding.firstTokenAt
		seconds = speed.decode.best*float64(holding.ticket.Size.OutputTokens) + holding.target.interveningPrefillSeconds(holding)
	}
	expected := time.Duration(seconds * slowTolerance * float64(time.Second))
	return now.Sub(since) > expected+overdueGrace
}

const (
	// bestMargin is the multiple of the best observed speed with which a
	// deadline is checked: a request that would miss it even then is refused.
	bestMargin = 2.0
	// windowSize is the number of values in a window of windowMin.
	windowSize = 512
)

// bestPerformance is the best performance of the pool over recent answers:
// seconds per prompt token, seconds per output token, and the ratio of actual
// to estimated output tokens.
type bestPerformance struct {
	prefills     windowMin
	decodes      windowMin
	outputRatios windowMin
}

// windowMin finds the minimum of the most recent windowSize to 2*windowSize
// values: those of the current window and of the one before.
type windowMin struct {
	current, previous float64
	count             int
	hasPrevious       bool
}

func (windowMin *windowMin) add(value float64) {
	if windowMin.count == 0 || value < windowMin.current {
		windowMin.current = value
	}
	windowMin.count++
	if windowMin.count == windowSize {
		windowMin.previous = windowMin.current
		windowMin.hasPrevious = true
		windowMin.count = 0
	}
}

// minimum returns the least value of the current window and the one before, 0
// until the first window is full.
func (windowMin *windowMin) minimum() float64 {
	if !windowMin.hasPrevious {
		return 0
	}
	if windowMin.count == 0 {
		return windowMin.previous
	}
	return min(windowMin.current, windowMin.previous)
}

func (bestPerformance *bestPerformance) addPrefill(seconds float64) {
	bestPerformance.prefills.add(seconds)
}
func (bestPerformance *bestPerformance) addDecode(seconds float64) {
	bestPerformance.decodes.add(seconds)
}
func (bestPerformance *bestPerformance) addOutputRatio(ratio float64) {
	bestPerformance.outputRatios.add(ratio)
}

// minAnswerTime returns the least time in which a ticket could be answered if a
// slot were free now and a target had cached the given number of prompt tokens.
func (bestPerformance *bestPerformance) minAnswerTime(ticket *request.Ticket, cached int) time.Duration {
	prompt := float64(max(0, ticket.Size.PromptTokens-cached))
	output := float64(ticket.Size.OutputTokens) * bestPerformance.outputRatios.minimum()
	seconds := prompt*bestPerformance.prefills.minimum() + output*bestPerformance.decodes.minimum()
	return time.Duration(seconds / bestMargin * float64(time.Second))
}
