package policy

import (
	"time"

	"nutmegfield.example/request"
)

// assumedPrefillRate and assumedDecodeRate, in tokens a second, stand for the
// targets where none has been observed yet.
const (
	assumedPrefillRate = 4000.0
	assumedDecodeRate  = 40.0
)

// maxBacklog is the seconds of prefill that a target may be granted ahead: more
// waits where the order of the tiers still counts.
const maxBacklog = 2.0

// safeMargin is how many times the expected time must be left for a target to
// be taken: an answer that comes late costs as much as one in time.
const safeMargin = 1.3

// delayWeight is what a second counts by which each request that runs on a
// target is delayed by a prefill there.
const delayWeight = 1.0

func init() {
	Register("expectedFinish", func(uint64) *Policy {
		return &Policy{Choose: chooseExpectedFinish, IncludeFull: true}
	})
}

// chooseExpectedFinish takes the target whose answer should end first, with
// what it delays there: the slot and the prefill to wait for, the uncached part
// of this prompt, and decode. It waits where that is a full target. It passes
// over those where the answer may be late; one that runs nothing is taken anyway,
// as nothing new would be learnt of its speed.
func chooseExpectedFinish(ticket *request.Ticket, candidates []Candidate) Choice {
	best := NoneInTime
	var least float64
	left := time.Until(ticket.Deadline).Seconds()
	assumeBest(candidates)
	for i := range candidates {
		candidate := &candidates[i]
		finish := expectedFinish(ticket, candidate)
		if candidate.Running > 0 && finish*safeMargin > left {
			continue
		}
		cost := finish + ownPrefill(ticket, candidate)*float64(candidate.Running)*delayWeight
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

// assumeBest lets a target that has not been observed count for as fast as the
// fastest that has: held for slower it would never be tried.
func assumeBest(candidates []Candidate) {
	var prefill, decode float64
	for i := range candidates {
		prefill = max(prefill, candidates[i].PrefillRate)
		decode = max(decode, candidates[i].DecodeRate)
	}
	for i := range candidates {
		candidates[i].PrefillRate = orAssumed(candidates[i].PrefillRate, orAssumed(prefill, assumedPrefillRate))
		candidates[i].DecodeRate = orAssumed(candidates[i].DecodeRate, orAssumed(decode, assumedDecodeRate))
	}
}

// ownPrefill is the seconds that the uncached part of a prompt takes.
func ownPrefill(ticket *request.Ticket, candidate *Candidate) float64 {
	uncached := float64(max(0, ticket.Size.PromptTokens-candidate.CachedTokens))
	return uncached / candidate.PrefillRate
}

// overloaded reports whether a target has too much prefill ahead to be given
// more of it.
func overloaded(ticket *request.Ticket, candidate *Candidate) bool {
	prefillRate := candidate.PrefillRate
	ahead := float64(candidate.PendingPrefillTokens) / prefillRate
	own := ownPrefill(ticket, candidate)
	return ahead > 0 && own > ownBacklog && ahead+own > maxBacklog
}

// ownBacklog is the seconds of prefill that a ticket may always add.
const ownBacklog = 0.1

// expectedFinish is in seconds.
func expectedFinish(ticket *request.Ticket, candidate *Candidate) float64 {
	ahead := float64(candidate.PendingPrefillTokens) / candidate.PrefillRate
	decode := float64(ticket.Size.OutputTokens) / candidate.DecodeRate
	return candidate.FreeInSeconds + ahead + ownPrefill(ticket, candidate) + decode
}

func orAssumed(rate, assumed float64) float64 {
	if rate <= 0 {
		return assumed
	}
	return rate
}
