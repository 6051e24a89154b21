// Package policy holds the ways to choose a target for a ticket. Policies
// register by name; the baselines to beat are among them.
package policy

import (
	"sort"
	"time"

	"nutmegfield.example/request"
)

// NoneInTime says that no target can answer the ticket before its deadline.
const NoneInTime Choice = -2

// Candidate is a target with room, or a full one for a policy that asks for
// those too, as the scheduler sees it.
type Candidate struct {
	Name string
	// Slots is how many requests it may run now, Running how many it does.
	Slots   int
	Running int
	// FreeInSeconds is how long until a slot frees in seconds, 0 for one with room.
	FreeInSeconds float64
	// CachedTokens is how much of the ticket's prompt it probably holds.
	CachedTokens int
	// PrefillRate and DecodeRate are tokens a second, as observed: a whole
	// target's prefill, one request's decode. 0 when not yet seen.
	PrefillRate float64
	DecodeRate  float64
	// PendingPrefillTokens is the uncached prompt tokens granted there whose first
	// token has not been seen.
	PendingPrefillTokens int
	// ReportedLoad is the load of its last report, ReportedAt when that was read.
	ReportedLoad   float64
	ReportedAt time.Time
}

// Choice is a policy's decision: the index of a candidate, Wait, Late, or
// WaitFor one.
type Choice int

// Wait leaves the ticket in the queue though there is room.
const Wait Choice = -1

// WaitFor leaves the ticket in the queue to wait for a candidate.
func WaitFor(index int) Choice { return NoneInTime - 1 - Choice(index) }

// Awaited returns the index of the candidate that is waited for, false if the
// choice is none of WaitFor's.
func (choice Choice) Awaited() (int, bool) { return int(NoneInTime - 1 - choice), choice < NoneInTime }

// Policy chooses among candidates, of which there is at least one.
type Policy struct {
	Name string
	// IncludeFull offers targets without room too; they may only be waited for.
	IncludeFull   bool
	Choose func(ticket *request.Ticket, candidates []Candidate) Choice
}

var constructors = map[string]func(seed uint64) *Policy{}

// Register adds a policy by name; packages call it from init.
func Register(name string, construct func(seed uint64) *Policy) { constructors[name] = construct }

// New makes a policy with a seed for its random choices, nil if the name is
// not registered.
func New(name string, seed uint64) *Policy {
	construct, ok := constructors[name]
	if !ok {
		return nil
	}
	policy := construct(seed)
	policy.Name = name
	return policy
}

// Names lists the registered policies.
func Names() []string {
	names := make([]string, 0, len(constructors))
	for name := range constructors {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
