package pool

import (
	"time"

	"nutmegfield.example/request"
)

// learn updates the observed speeds by a completed request.
func (pool *Pool) learn(held *holding, release request.Release, now time.Time) {
	target := held.target
	usage := release.Usage
	target.speed.residence.add(release.Total.Seconds())
	if usage.OutputTokens == 0 {
		if usage.PromptTokens == 0 {
			target.adjustLimit(target.speed.call.add(release.Total.Seconds()), now)
		}
		return
	}
	if !held.started {
		pool.recordFirstToken(held, release.FirstToken, now)
	}
	if usage.OutputTokens >= minDecodeTokens && release.Total > release.FirstToken {
		pool.learnDecodeSpeed(held, release, now)
	}
	if held.ticket.Size.OutputTokens > 0 {
		pool.peak.addOutputRatio(float64(usage.OutputTokens) / float64(held.ticket.Size.OutputTokens))
	}
	if uncached := usage.PromptTokens - usage.CachedTokens; uncached >= minPrefillTokens && release.FirstToken > 0 {
		// The estimate of uncached tokens may be far above the actual number.
		prefill := release.FirstToken.Seconds() / float64(uncached)
		target.speed.prefill.add(prefill)
		pool.peak.addPrefill(prefill)
	}
}

// recordFirstToken handles the first token of a running request.
func (pool *Pool) recordFirstToken(held *holding, firstToken time.Duration, now time.Time) {
	target := held.target
	held.started = true
	held.firstTokenAt = now
	target.recordSuccess()
	pool.learnPrefillSlowdown(held, firstToken, now)
	target.pendingPrefill -= held.prefill
	target.prefilled += held.prefill
	held.prefill = 0
	held.prefilled = target.prefilled
}

// learnPrefillSlowdown compares the time to the first token with the time that
// the request's own prompt and those before it take at the target's best.
func (pool *Pool) learnPrefillSlowdown(held *holding, firstToken time.Duration, now time.Time) {
	target := held.target
	if target.speed.prefill.best == 0 || held.ownPrefill < minPrefillTokens {
		return
	}
	// The cache estimate may be wrong: then the whole prompt was computed.
	tokens := held.expectedPrefill + held.grant.CachedTokens
	ratio := firstToken.Seconds() / (target.speed.prefill.best * float64(tokens))
	target.adjustLimit(target.speed.updateSlowdown(&target.speed.prefillSlowdown, ratio), now)
}

// learnDecodeSpeed records the time per output token and compares the decoding
// time with the time at the target's best, including the prompts that were
// computed in between.
func (pool *Pool) learnDecodeSpeed(held *holding, release request.Release, now time.Time) {
	target := held.target
	tokens := float64(release.Usage.OutputTokens - 1)
	took := (release.Total - release.FirstToken).Seconds()
	pool.peak.addDecode(took / tokens)
	target.speed.decode.add(took / tokens)
	expected := target.speed.decode.best*tokens + target.interveningPrefill(held)
	target.adjustLimit(target.speed.updateSlowdown(&target.speed.decodeSlowdown, took/expected), now)
}

// interveningPrefill returns the seconds that the prompts computed since a
// request's first token, and those pending, take at the target's best.
func (target *target) interveningPrefill(held *holding) float64 {
	return target.speed.prefill.best * float64(target.prefilled-held.prefilled+target.pendingPrefill)
}

// checkOverdue takes slots from targets where at least half of the running
// requests are overdue. A target that has slowed down yields no samples, and a
// single long answer proves nothing.
func (pool *Pool) checkOverdue(now time.Time) {
	if now.Sub(pool.lastOverdueCheck) < overdueInterval {
		return
	}
	pool.lastOverdueCheck = now
	for _, held := range pool.held {
		if held.overdue(now) {
			held.target.overdue++
		}
	}
	for _, target := range pool.targets {
		if target.overdue > 0 && 2*target.overdue >= target.running {
			target.speed.decodeSlowdown = max(target.speed.decodeSlowdown, 2*slowTolerance)
			target.adjustLimit(target.speed.decodeSlowdown, now)
			pool.refresh(target, now)
		}
		target.overdue = 0
	}
}

func (held *holding) overdue(now time.Time) bool {
	speed := &held.target.speed
	since := held.grantedAt
	var seconds float64
	switch {
	case speed.call.best > 0:
		seconds = speed.call.best
	case speed.prefill.best == 0 || speed.decode.best == 0:
		return false
	case !held.started:
		tokens := max(minPrefillTokens, held.expectedPrefill+held.grant.CachedTokens)
		seconds = speed.prefill.best * float64(tokens)
	default:
		since = held.firstTokenAt
		seconds = speed.decode.best*float64(held.ticket.Size.OutputTokens) + held.target.interveningPrefill(held)
	}
	expected := time.Duration(seconds * slowTolerance * float64(time.Second))
	return now.Sub(since) > expected+overdueGrace
}

const (
	// peakMargin is the multiple of the best observed speed at which a request
	// must still miss its deadline to be refused for it.
	peakMargin = 2.0
	// peakWindow is the number of answers in a window of windowMin.
	peakWindow = 512
)

// peak is the best performance of the pool over recent answers: seconds per
// prompt token, seconds per output token, and the ratio of actual to estimated
// output tokens.
type peak struct {
	prefills     windowMin
	decodes      windowMin
	outputRatios windowMin
}

// windowMin is the minimum over the current window of values and the one before.
type windowMin struct {
	current, earlier float64
	count            int
	full             bool
}

func (windowMin *windowMin) add(value float64) {
	if windowMin.count == 0 || value < windowMin.current {
		windowMin.current = value
	}
	windowMin.count++
	if windowMin.count == peakWindow {
		windowMin.earlier = windowMin.current
		windowMin.full = true
		windowMin.count = 0
	}
}

// least returns the minimum, 0 until the first window is full.
func (windowMin *windowMin) least() float64 {
	if !windowMin.full {
		return 0
	}
	if windowMin.count == 0 {
		return windowMin.earlier
	}
	return min(windowMin.current, windowMin.earlier)
}

func (peak *peak) addPrefill(seconds float64)   { peak.prefills.add(seconds) }
func (peak *peak) addDecode(seconds float64)    { peak.decodes.add(seconds) }
func (peak *peak) addOutputRatio(ratio float64) { peak.outputRatios.add(ratio) }

// fastest returns the least time in which a ticket could be answered if a slot
// were free now and the cached prompt tokens need not be computed.
func (peak *peak) fastest(ticket *request.Ticket, cached int) time.Duration {
	prompt := float64(max(0, ticket.Size.PromptTokens-cached))
	output := float64(ticket.Size.OutputTokens) * peak.outputRatios.least()
	seconds := prompt*peak.prefills.least() + output*peak.decodes.least()
	return time.Duration(seconds / peakMargin * float64(time.Second))
}
