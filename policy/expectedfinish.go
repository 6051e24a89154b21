package policy

import "nutmegfield.example/request"

// assumedPrefillRate and assumedDecodeRate, in tokens a second, stand for a
// target that has not been observed yet.
const (
	assumedPrefillRate = 4000.0
	assumedDecodeRate  = 40.0
)

// maxBacklog is the seconds of prefill that a target may be granted ahead: more
// waits where the order of the tiers still counts.
const maxBacklog = 2.0

// delayWeight is what a second counts by which each request that runs on a
// target is delayed by a prefill there.
const delayWeight = 0.5

func init() {
	Register("expectedFinish", func(uint64) *Policy {
		return &Policy{Choose: chooseExpectedFinish, Full: true}
	})
}

// chooseExpectedFinish takes the target whose answer should end first, with
// what it delays there: the slot and the prefill to wait for, the uncached part
// of this prompt, and decode. It waits where that is a full target.
func chooseExpectedFinish(ticket *request.Ticket, candidates []Candidate) Choice {
	best := Wait
	var least float64
	for i := range candidates {
		candidate := &candidates[i]
		prefillRate := orAssumed(candidate.PrefillRate, assumedPrefillRate)
		own := float64(max(0, ticket.Size.PromptTokens-candidate.CachedTokens)) / prefillRate
		cost := expectedFinish(ticket, candidate) + own*float64(candidate.Running)*delayWeight
		if best == Wait || cost < least {
			best = Choice(i)
			least = cost
		}
	}
	if candidates[best].FreeIn > 0 || overloaded(ticket, &candidates[best]) {
		return WaitFor(int(best))
	}
	return best
}

// overloaded reports whether a target has too much prefill ahead to be given
// more of it.
func overloaded(ticket *request.Ticket, candidate *Candidate) bool {
	prefillRate := orAssumed(candidate.PrefillRate, assumedPrefillRate)
	ahead := float64(candidate.PendingPrefill) / prefillRate
	own := float64(max(0, ticket.Size.PromptTokens-candidate.CachedTokens)) / prefillRate
	return ahead > 0 && own > ownBacklog && ahead+own > maxBacklog
}

// ownBacklog is the seconds of prefill that a ticket may always add.
const ownBacklog = 0.1

// expectedFinish is in seconds.
func expectedFinish(ticket *request.Ticket, candidate *Candidate) float64 {
	prefillRate := orAssumed(candidate.PrefillRate, assumedPrefillRate)
	decodeRate := orAssumed(candidate.DecodeRate, assumedDecodeRate)
	uncached := max(0, ticket.Size.PromptTokens-candidate.CachedTokens)
	prefill := float64(candidate.PendingPrefill+uncached) / prefillRate
	decode := float64(ticket.Size.OutputTokens) / decodeRate
	return candidate.FreeIn + prefill + decode
}

func orAssumed(rate, assumed float64) float64 {
	if rate <= 0 {
		return assumed
	}
	return rate
}
