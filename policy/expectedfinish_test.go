package policy_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/policy"
	"nutmegfield.example/request"
)

func TestExpectedFinish(t *testing.T) {
	ticket := &request.Ticket{Deadline: time.Now().Add(time.Hour), Size: request.Size{PromptTokens: 12_000, OutputTokens: 100}}
	idle := policy.Candidate{Name: "idle", Slots: 8, PrefillRate: 6000, DecodeRate: 50}
	with := func(candidate policy.Candidate, change func(candidate *policy.Candidate)) policy.Candidate {
		change(&candidate)
		return candidate
	}
	holder := with(idle, func(holder *policy.Candidate) { holder.CachedTokens = 11_900 })
	for _, each := range []struct {
		name       string
		candidates []policy.Candidate
		want       policy.Choice
	}{
		{"cached prefix", []policy.Candidate{idle, holder}, 1},
		{"full holder soon free", []policy.Candidate{
			idle, with(holder, func(full *policy.Candidate) { full.FreeInSeconds = 1 }),
		}, policy.WaitFor(1)},
		{"full holder long busy", []policy.Candidate{
			idle, with(holder, func(full *policy.Candidate) { full.FreeInSeconds = 5 }),
		}, 0},
		{"delays those that run", []policy.Candidate{
			with(idle, func(running *policy.Candidate) { running.Running = 4 }),
			with(idle, func(slower *policy.Candidate) { slower.DecodeRate = 30 }),
		}, 1},
		{"too much prefill ahead", []policy.Candidate{
			with(idle, func(backlog *policy.Candidate) { backlog.PendingPrefillTokens = 6000 }),
		}, policy.WaitFor(0)},
		{"cached part past a backlog", []policy.Candidate{
			with(holder, func(backlog *policy.Candidate) { backlog.PendingPrefillTokens = 60_000 }),
		}, 0},
	} {
		t.Run(each.name, func(t *testing.T) {
			got := policy.New("expectedFinish", 1).Choose(ticket, each.candidates)
			qt.Assert(t, got, qt.Equals, each.want)
		})
	}
	awaited, ok := policy.WaitFor(3).Awaited()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, awaited, qt.Equals, 3)
	_, ok = policy.Wait.Awaited()
	qt.Assert(t, ok, qt.IsFalse)
}

// TestExpectedFinishLate checks that targets where the answer may be late are
// skipped, except an idle one: without requests, its rates would not be
// measured again.
func TestExpectedFinishLate(t *testing.T) {
	ticket := &request.Ticket{
		Deadline: time.Now().Add(10 * time.Second),
		Size:     request.Size{PromptTokens: 1000, OutputTokens: 200},
	}
	slow := policy.Candidate{Slots: 8, Running: 1, PrefillRate: 1000, DecodeRate: 10}
	fast := policy.Candidate{Slots: 8, Running: 8, FreeInSeconds: 2, PrefillRate: 6000, DecodeRate: 50}
	idle := slow
	idle.Running = 0
	choose := policy.New("expectedFinish", 1).Choose
	qt.Assert(t, choose(ticket, []policy.Candidate{slow}), qt.Equals, policy.NoneInTime)
	qt.Assert(t, choose(ticket, []policy.Candidate{slow, fast}), qt.Equals, policy.WaitFor(1))
	qt.Assert(t, choose(ticket, []policy.Candidate{slow, idle}), qt.Equals, policy.Choice(1))
}
