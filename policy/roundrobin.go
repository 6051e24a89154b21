package policy

import "nutmegfield.example/request"

func init() {
	Register("roundRobin", func(uint64) *Policy {
		next := 0
		return &Policy{Choose: func(_ *request.Ticket, candidates []Candidate) Choice {
			next++
			return Choice(next % len(candidates))
		}}
	})
}
