package pool

import (
	"time"

	"nutmegfield.example/request"
)

// learn takes the speed of a finished request.
func (pool *Pool) learn(held *holding, release request.Release, now time.Time) {
	known := held.target
	usage := release.Usage
	known.speed.residence.add(release.Total.Seconds())
	if usage.OutputTokens == 0 {
		if usage.PromptTokens == 0 {
			known.adjustLimit(known.speed.call.add(release.Total.Seconds()), now)
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
		pool.peak.share(float64(usage.OutputTokens) / float64(held.ticket.Size.OutputTokens))
	}
	if uncached := usage.PromptTokens - usage.CachedTokens; uncached >= minPrefillTokens && release.FirstToken > 0 {
		// What was guessed to be uncached may be far more than what was.
		prefill := release.FirstToken.Seconds() / float64(uncached)
		known.speed.prefill.add(prefill)
		pool.peak.prefill(prefill)
	}
}

// recordFirstToken notes the recordFirstToken token of a running request.
func (pool *Pool) recordFirstToken(held *holding, first time.Duration, now time.Time) {
	known := held.target
	held.started = true
	held.firstTokenAt = now
	known.recordSuccess()
	pool.learnPrefillSlowdown(held, first, now)
	known.pendingPrefill -= held.prefill
	known.prefilled += held.prefill
	held.prefill = 0
	held.prefilled = known.prefilled
}

// learnPrefillSlowdown holds the time to the first token of a running request against
// what the prompts before it and its own take at the target's best.
func (pool *Pool) learnPrefillSlowdown(held *holding, first time.Duration, now time.Time) {
	known := held.target
	if known.speed.prefill.best == 0 || held.ownPrefill < minPrefillTokens {
		return
	}
	// The guess may be wrong: then the whole prompt was computed.
	tokens := held.expectedPrefill + held.grant.CachedTokens
	times := first.Seconds() / (known.speed.prefill.best * float64(tokens))
	known.adjustLimit(known.speed.updateSlowdown(&known.speed.prefillSlowdown, times), now)
}

// learnDecodeSpeed holds the time between tokens against the target's best, with
// the prompts that were computed in between.
func (pool *Pool) learnDecodeSpeed(held *holding, release request.Release, now time.Time) {
	known := held.target
	tokens := float64(release.Usage.OutputTokens - 1)
	took := (release.Total - release.FirstToken).Seconds()
	pool.peak.decode(took / tokens)
	known.speed.decode.add(took / tokens)
	expected := known.speed.decode.best*tokens + known.interveningPrefill(held)
	known.adjustLimit(known.speed.updateSlowdown(&known.speed.decodeSlowdown, took/expected), now)
}

// interveningPrefill is how many seconds the prompts take, at the target's best, that
// were or are computed there since a request's first token.
func (target *target) interveningPrefill(held *holding) float64 {
	return target.speed.prefill.best * float64(target.prefilled-held.prefilled+target.pendingPrefill)
}

// checkOverdue takes slots from targets where half of what runs should long
// have shown a token or ended: a target that slows sends no samples, and a
// single long answer says nothing.
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
	for _, known := range pool.targets {
		if known.overdue > 0 && 2*known.overdue >= known.running {
			known.speed.decodeSlowdown = max(known.speed.decodeSlowdown, 2*slowTolerance)
			known.adjustLimit(known.speed.decodeSlowdown, now)
			pool.refresh(known, now)
		}
		known.overdue = 0
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
	// peakMargin is how much faster than ever seen a request may be before
	// it is refused for its deadline.
	peakMargin = 2.0
	// peakWindow is how many answers the best values are taken over.
	peakWindow = 512
)

// peak is the best a pool has been seen to do, over the last answers.
type peak struct {
	prefills windowMin
	decodes  windowMin
	shares   windowMin
}

// windowMin is the least of the last one to two windows of values.
type windowMin struct {
	current, earlier float64
	count            int
	full             bool
}

func (best *windowMin) add(value float64) {
	if best.count == 0 || value < best.current {
		best.current = value
	}
	best.count++
	if best.count == peakWindow {
		best.earlier = best.current
		best.full = true
		best.count = 0
	}
}

// least is 0 until a whole window has been seen.
func (best *windowMin) least() float64 {
	if !best.full {
		return 0
	}
	if best.count == 0 {
		return best.earlier
	}
	return min(best.current, best.earlier)
}

func (peak *peak) prefill(seconds float64) { peak.prefills.add(seconds) }
func (peak *peak) decode(seconds float64)  { peak.decodes.add(seconds) }
func (peak *peak) share(share float64)     { peak.shares.add(share) }

// fastest is the least time in which a ticket could be answered if a slot
// were free now and the prompt's cached part need not be computed.
func (peak *peak) fastest(ticket *request.Ticket, cached int) time.Duration {
	prompt := float64(max(0, ticket.Size.PromptTokens-cached))
	output := float64(ticket.Size.OutputTokens) * peak.shares.least()
	seconds := prompt*peak.prefills.least() + output*peak.decodes.least()
	return time.Duration(seconds / peakMargin * float64(time.Second))
}
