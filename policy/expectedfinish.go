package policy

import (
	"time"

	"nutmegfield.example/request"
)

// assumedPrefillRate and assumedDecodeRate, in tokens per second, are used if
// no candidate has an observed rate.
const (
	assumedPrefillRate = 4000.0
	assumedDecodeRate  = 40.0
)

// maxBacklogSeconds is the most prefill time that may be pending on a target,
// including that of the ticket to grant. Further tickets stay in the queue,
// where they are ordered by tier.
const maxBacklogSeconds = 2.0

// deadlineMargin is the factor by which the time left must exceed the estimated
// time to the end of the answer, because a late answer wastes as much work as
// one in time takes.
const deadlineMargin = 1.3

// delayWeight is the cost of each second by which the ticket's prefill delays
// one request that already runs on the target.
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
// Targets where the answer may be late are skipped, except idle ones: without
// requests, their rates would not be measured again.
func chooseExpectedFinish(ticket *request.Ticket, candidates []Candidate) Choice {
	best := NoneInTime
	var lowestCost float64
	remaining := time.Until(ticket.Deadline).Seconds()
	fillUnobservedRates(candidates)
	for i := range candidates {
		candidate := &candidates[i]
		finish := expectedFinishSeconds(ticket, candidate)
		if candidate.Running > 0 && finish*deadlineMargin > remaining {
			continue
		}
		cost := finish + ownPrefillSeconds(ticket, candidate)*float64(candidate.Running)*delayWeight
		if best == NoneInTime || cost < lowestCost {
			best = Choice(i)
			lowestCost = cost
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

// fillUnobservedRates sets rates that have not been observed to the highest
// rate observed for any candidate; with a lower one the candidate might never
// be chosen and its rate never observed.
func fillUnobservedRates(candidates []Candidate) {
	var prefill, decode float64
	for i := range candidates {
		prefill = max(prefill, candidates[i].PrefillRate)
		decode = max(decode, candidates[i].DecodeRate)
	}
	for i := range candidates {
		candidates[i].PrefillRate = rateOrDefault(candidates[i].PrefillRate, rateOrDefault(prefill, assumedPrefillRate))
		candidates[i].DecodeRate = rateOrDefault(candidates[i].DecodeRate, rateOrDefault(decode, assumedDecodeRate))
	}
}

// ownPrefillSeconds estimates the time to prefill the uncached part of the
// ticket's prompt.
func ownPrefillSeconds(ticket *request.Ticket, candidate *Candidate) float64 {
	uncached := float64(max(0, ticket.Size.PromptTokens-candidate.CachedTokens))
	return uncached / candidate.PrefillRate
}

// overloaded reports whether the pending prefill of a target and that of the
// ticket together exceed maxBacklogSeconds. It returns false if no prefill is
// pending or that of the ticket is negligible.
func overloaded(ticket *request.Ticket, candidate *Candidate) bool {
	prefillRate := candidate.PrefillRate
	pendingSeconds := float64(candidate.PendingPrefillTokens) / prefillRate
	ownSeconds := ownPrefillSeconds(ticket, candidate)
	return pendingSeconds > 0 && ownSeconds > negligiblePrefillSeconds && pendingSeconds+ownSeconds > maxBacklogSeconds
}

// negligiblePrefillSeconds is the prefill time up to which a ticket is granted
// even if the target has too much prefill pending.
const negligiblePrefillSeconds = 0.1

// expectedFinishSeconds estimates the time until the answer ends.
func expectedFinishSeconds(ticket *request.Ticket, candidate *Candidate) float64 {
	pendingSeconds := float64(candidate.PendingPrefillTokens) / candidate.PrefillRate
	decode := float64(ticket.Size.OutputTokens) / candidate.DecodeRate
	return candidate.FreeInSeconds + pendingSeconds + ownPrefillSeconds(ticket, candidate) + decode
}

func rateOrDefault(rate, assumed float64) float64 {
	if rate <= 0 {
		return assumed
	}
	return rate
}
