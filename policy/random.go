package policy

import (
	"math/rand/v2"

	"nutmegfield.example/request"
)

func init() {
	Register("leastReported", func(seed uint64) *Policy {
		random := rand.New(rand.NewPCG(seed, 0))
		return &Policy{Choose: func(_ *request.Ticket, candidates []Candidate) Choice {
			return leastReported(random, candidates)
		}}
	})
	Register("twoChoices", func(seed uint64) *Policy {
		random := rand.New(rand.NewPCG(seed, 0))
		return &Policy{Choose: func(_ *request.Ticket, candidates []Candidate) Choice {
			return twoChoices(random, candidates)
		}}
	})
}

// reportedLoadPerSlot returns the load in a target's last report, divided by
// its slots.
func reportedLoadPerSlot(candidate *Candidate) float64 {
	return candidate.ReportedLoad / float64(max(1, candidate.Slots))
}

// leastReported chooses the candidate with the least reported load per slot,
// one of them at random if several have the same.
func leastReported(random *rand.Rand, candidates []Candidate) Choice {
	best := Choice(0)
	equal := 1
	for i := 1; i < len(candidates); i++ {
		one, other := reportedLoadPerSlot(&candidates[i]), reportedLoadPerSlot(&candidates[best])
		switch {
		case one < other:
			best, equal = Choice(i), 1
		case one == other:
			equal++
			if random.IntN(equal) == 0 {
				best = Choice(i)
			}
		}
	}
	return best
}

// twoChoices chooses the less loaded of two random candidates. See
// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
func twoChoices(random *rand.Rand, candidates []Candidate) Choice {
	one := random.IntN(len(candidates))
	other := random.IntN(len(candidates))
	if reportedLoadPerSlot(&candidates[other]) < reportedLoadPerSlot(&candidates[one]) {
		one = other
	}
	return Choice(one)
}
