package policy

import (
	"time"

	"nutmegfield.example/request"
)

// assumedPrefillRate and assumedDecodeRate, in tokens per second, are used
// while no candidate has an observed rate.
const (
	assumedPrefillRate = 4000.0
	assumedDecodeRate  = 40.0
)

// maxBacklogSeconds is the most prefill that may be pending on a target, that
// of a newly granted ticket included. More waits in the queue, where it is
// still ordered by tier.
const maxBacklogSeconds = 2.0

// deadlineMargin is the factor by which the time left must exceed the estimated
// time to the end of the answer: a late answer costs as much as one in time.
const deadlineMargin = 1.3

// delayWeight is the weight of each second by which a prefill delays one
// request that already runs on the target.
const delayWeight = 1.0

func init() {
	Register("expectedFinish", func(uint64) *Policy {
		return &Policy{Choose: chooseExpectedFinish, IncludeFull: true}
	})
}

// chooseExpectedFinish chooses the target with the lowest cost: the estimated
// time to the end of the answer (the wait for a slot, the pending prefill, the
// uncached part of this prompt, and decode) plus the delay to the requests that
// run there. If that target is full or overloaded, the ticket waits for it.
// Targets where the answer may be late are skipped, except idle ones, whose
// rates would not be observed anew otherwise.
func chooseExpectedFinish(ticket *request.Ticket, candidates []Candidate) Choice {
	best := NoneInTime
	var least float64
	remaining := time.Until(ticket.Deadline).Seconds()
	fillUnobservedRates(candidates)
	for i := range candidates {
		candidate := &candidates[i]
		finish := expectedFinishSeconds(ticket, candidate)
		if candidate.Running > 0 && finish*deadlineMargin > remaining {
			continue
		}
		cost := finish + ownPrefillSeconds(ticket, candidate)*float64(candidate.Running)*delayWeight
		if best == NoneInTime || cost < least {
			best = Choice(i)
			least = cost
		}
	}
	if best == NoneInTime {
		return NoneInTime
	}
	if candidates[best].FreeInSeconds > 0 || overloaded(ticket, &candidates[best]) {
		return WaitFor(int(best))
	}
	return best
}

// fillUnobservedRates sets the rates of candidates that have not been observed
// to the highest observed one: with lower rates they would never be chosen.
func fillUnobservedRates(candidates []Candidate) {
	var prefill, decode float64
	for i := range candidates {
		prefill = max(prefill, candidates[i].PrefillRate)
		decode = max(decode, candidates[i].DecodeRate)
	}
	for i := range candidates {
		candidates[i].PrefillRate = orDefault(candidates[i].PrefillRate, orDefault(prefill, assumedPrefillRate))
		candidates[i].DecodeRate = orDefault(candidates[i].DecodeRate, orDefault(decode, assumedDecodeRate))
	}
}

// ownPrefillSeconds estimates the time to prefill the uncached part of the
// ticket's prompt.
func ownPrefillSeconds(ticket *request.Ticket, candidate *Candidate) float64 {
	uncached := float64(max(0, ticket.Size.PromptTokens-candidate.CachedTokens))
	return uncached / candidate.PrefillRate
}

// overloaded reports whether a target has too much prefill pending to be
// granted the ticket too.
func overloaded(ticket *request.Ticket, candidate *Candidate) bool {
	prefillRate := candidate.PrefillRate
	pendingSeconds := float64(candidate.PendingPrefillTokens) / prefillRate
	ownSeconds := ownPrefillSeconds(ticket, candidate)
	return pendingSeconds > 0 && ownSeconds > negligiblePrefillSeconds && pendingSeconds+ownSeconds > maxBacklogSeconds
}

// negligiblePrefillSeconds is the most prefill of a ticket that is granted
// whatever prefill is pending.
const negligiblePrefillSeconds = 0.1

// expectedFinishSeconds estimates the time until the answer ends.
func expectedFinishSeconds(ticket *request.Ticket, candidate *Candidate) float64 {
	pendingSeconds := float64(candidate.PendingPrefillTokens) / candidate.PrefillRate
	decode := float64(ticket.Size.OutputTokens) / candidate.DecodeRate
	return candidate.FreeInSeconds + pendingSeconds + ownPrefillSeconds(ticket, candidate) + decode
}

func orDefault(rate, assumed float64) float64 {
	if rate <= 0 {
		return assumed
	}
	return rate
}
