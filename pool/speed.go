package pool

import (
	"time"

	"nutmegfield.example/request"
)

// learn takes the speed of a finished request.
func (pool *Pool) learn(held *holding, release request.Release, now time.Time) {
	known := held.target
	uncached := release.Usage.PromptTokens - release.Usage.CachedTokens
	if release.Usage.OutputTokens == 0 {
		if release.Usage.PromptTokens == 0 {
			known.judge(known.speed.whole.add(release.Total.Seconds(), release.Total.Seconds()), now)
		}
		return
	}
	if !held.started {
		pool.learnFirst(held, release.FirstToken, now)
	}
	if release.Usage.OutputTokens >= minDecodeTokens && release.Total > release.FirstToken {
		decode := (release.Total - release.FirstToken).Seconds() / float64(release.Usage.OutputTokens-1)
		known.judge(known.speed.decode.add(decode, decode), now)
		pool.peak.decode(decode)
	}
	if held.ticket.Size.OutputTokens > 0 {
		pool.peak.share(float64(release.Usage.OutputTokens) / float64(held.ticket.Size.OutputTokens))
	}
	if uncached >= minPrefillTokens && release.FirstToken > 0 {
		pool.peak.prefill(release.FirstToken.Seconds() / float64(uncached))
	}
}

// learnFirst takes the time to the first token of a running request.
func (pool *Pool) learnFirst(held *holding, first time.Duration, now time.Time) {
	if held.ownPrefill < minPrefillTokens {
		return
	}
	speed := &held.target.speed.prefill
	least := first.Seconds() / float64(held.expectedPrefill)
	held.target.judge(speed.add(least, first.Seconds()/float64(held.ownPrefill)), now)
}

// lookForOverdue takes slots from targets whose running requests should long
// have shown a token or ended: a target that slows sends no samples.
func (pool *Pool) lookForOverdue(now time.Time) {
	if now.Sub(pool.looked) < overduePause {
		return
	}
	pool.looked = now
	for _, held := range pool.held {
		if held.overdue(now) {
			held.target.judge(2*slowTolerance, now)
			pool.refresh(held.target, now)
		}
	}
}

func (held *holding) overdue(now time.Time) bool {
	speed := &held.target.speed
	var seconds float64
	switch {
	case speed.whole.best > 0:
		seconds = speed.whole.best
	case !held.started:
		if speed.prefill.best == 0 {
			return false
		}
		seconds = speed.prefill.best * float64(max(minPrefillTokens, held.target.pendingPrefill))
	default:
		if speed.decode.best == 0 {
			return false
		}
		seconds = speed.prefill.best*float64(held.expectedPrefill) + speed.decode.best*float64(held.ticket.Size.OutputTokens)
	}
	expected := time.Duration(seconds * slowTolerance * float64(time.Second))
	return now.Sub(held.at) > expected+overdueGrace
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
	prefills best
	decodes  best
	shares   best
}

// best is the least of the last one to two windows of values.
type best struct {
	current, earlier float64
	count            int
	full             bool
}

func (best *best) add(value float64) {
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
func (best *best) least() float64 {
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
