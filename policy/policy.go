// Package policy implements the policies that choose a target for a ticket,
// including simple ones that serve as baselines for comparison. Policies
// register by name.
package policy

import (
	"sort"
	"time"

	"nutmegfield.example/request"
)

// NoneInTime is the choice if no candidate is expected to answer the ticket
// before its deadline.
const NoneInTime Choice = -2

// Candidate is a target that may be chosen, as the scheduler sees it: one with
// a free slot or, for a policy with IncludeFull, a full one.
type Candidate struct {
	Name string
	// Slots is the number of requests that the target may run now, Running the
	// number that it runs.
	Slots   int
	Running int
	// FreeInSeconds is the estimated time until a slot is free, 0 if one is.
	FreeInSeconds float64
	// CachedTokens is the estimated number of the prompt's tokens in the
	// target's prefix cache.
	CachedTokens int
	// PrefillRate and DecodeRate are observed rates in tokens per second,
	// prefill for the whole target and decode for one request; 0 if not yet
	// observed.
	PrefillRate float64
	DecodeRate  float64
	// PendingPrefillTokens is the number of uncached prompt tokens granted to
	// the target whose requests have not had their first output token.
	PendingPrefillTokens int
	// ReportedLoad is the number of running and waiting requests in the
	// target's last report, ReportedAt the time at which it was read.
	ReportedLoad float64
	ReportedAt   time.Time
}

// Choice is a policy's decision: the index of a candidate, Wait, NoneInTime, or
// a result of WaitFor.
type Choice int

// Wait leaves the ticket in the queue although a candidate has a free slot.
const Wait Choice = -1

// WaitFor leaves the ticket in the queue to wait for the candidate at the
// index.
func WaitFor(index int) Choice { return NoneInTime - 1 - Choice(index) }

// Awaited returns the index of the candidate to wait for, and false if the
// choice is not a result of WaitFor.
func (choice Choice) Awaited() (int, bool) { return int(NoneInTime - 1 - choice), choice < NoneInTime }

// Policy chooses among candidates, of which there is at least one.
type Policy struct {
	Name string
	// IncludeFull adds targets without a free slot to the candidates; for these
	// the policy may only return WaitFor.
	IncludeFull bool
	Choose      func(ticket *request.Ticket, candidates []Candidate) Choice
}

var constructors = map[string]func(seed uint64) *Policy{}

// Register adds a policy under a name. It must be called from init.
func Register(name string, construct func(seed uint64) *Policy) { constructors[name] = construct }

// New returns the named policy, or nil if the name is not registered. The seed
// is for its random choices.
func New(name string, seed uint64) *Policy {
	construct, ok := constructors[name]
	if !ok {
		return nil
	}
	policy := construct(seed)
	policy.Name = name
	return policy
}

// Names returns the names of the registered policies in ascending order.
func Names() []string {
	names := make([]string, 0, len(constructors))
	for name := range constructors {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
