package policy

import "nutmegfield.example/request"

// assumedPrefillRate and assumedDecodeRate, in tokens a second, stand for a
// target that has not been observed yet.
const (
	assumedPrefillRate = 4000.0
	assumedDecodeRate  = 40.0
)

func init() {
	Register("expectedFinish", func(uint64) *Policy {
		return &Policy{Choose: chooseExpectedFinish}
	})
}

// chooseExpectedFinish takes the target whose answer should end first:
// prefill waiting there, the uncached part of this prompt, and decode.
func chooseExpectedFinish(ticket *request.Ticket, candidates []Candidate) Choice {
	best := Wait
	var least float64
	for i := range candidates {
		finish := expectedFinish(ticket, &candidates[i])
		if best == Wait || finish < least {
			best = Choice(i)
			least = finish
		}
	}
	return best
}

// expectedFinish is in seconds.
func expectedFinish(ticket *request.Ticket, candidate *Candidate) float64 {
	prefillRate := orAssumed(candidate.PrefillRate, assumedPrefillRate)
	decodeRate := orAssumed(candidate.DecodeRate, assumedDecodeRate)
	uncached := max(0, ticket.Size.PromptTokens-candidate.CachedTokens)
	prefill := float64(candidate.PendingPrefill+uncached) / prefillRate
	decode := float64(ticket.Size.OutputTokens) / decodeRate
	load := float64(candidate.Running) / float64(max(1, candidate.Slots))
	return prefill + decode*(1+load)
}

func orAssumed(rate, assumed float64) float64 {
	if rate <= 0 {
		return assumed
	}
	return rate
}
