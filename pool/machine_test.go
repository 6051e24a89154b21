package pool_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nutmegfield.example/invariant"
	"nutmegfield.example/policy"
	"nutmegfield.example/pool"
	"nutmegfield.example/prefix"
	"nutmegfield.example/request"
)

// TestMachine drives a pool with random operations and compares it with a simple
// model. The seed is fixed unless -rapid.seed is given.
func TestMachine(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		qt.Assert(t, flag.Set("rapid.seed", "20261203"), qt.IsNil)
		defer func() { _ = flag.Set("rapid.seed", "0") }()
	}
	rapid.Check(t, func(rt *rapid.T) {
		// Drawn in advance: rapid may not panic in a synctest bubble's goroutine.
		moves := rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, 1<<16), 8, 8), 1, 80).Draw(rt, "moves")
		var failure string
		synctest.Test(t, func(*testing.T) {
			model := newModel()
			defer invariant.OnBreach(model.fail)()
			for _, move := range moves {
				model.applyOperation(&randomNumbers{numbers: move})
				model.check()
				if model.failure != "" {
					failure = model.failure
					return
				}
			}
			failure = model.finish()
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// randomNumbers holds the random numbers for one operation.
type randomNumbers struct{ numbers []int }

// below returns a number from 0 to limit-1.
func (randomNumbers *randomNumbers) below(limit int) int {
	number := randomNumbers.numbers[0]
	randomNumbers.numbers = randomNumbers.numbers[1:]
	return number % limit
}

// model is the expected state of the pool: the state of each ticket and what runs
// on each target.
type model struct {
	pool    *pool.Pool
	slots   map[string]int
	leaving map[string]bool
	waiting map[byte]*request.Ticket
	granted map[byte]request.Grant
	tickets map[byte]*request.Ticket
	crashes map[uint64]int
	// isolated holds the tickets that were suspect when granted, checked the
	// numbers of the grants that were checked.
	isolated map[byte]bool
	checked  map[uint64]bool
	lastID   byte
	failure  string
}

func newModel() *model {
	model := &model{
		slots: map[string]int{"a": 2, "b": 1, "c": 3}, leaving: map[string]bool{},
		waiting: map[byte]*request.Ticket{}, granted: map[byte]request.Grant{},
		tickets: map[byte]*request.Ticket{}, crashes: map[uint64]int{},
		isolated: map[byte]bool{}, checked: map[uint64]bool{},
	}
	model.pool = &pool.Pool{
		Name: "p", Host: "h", SettlePeriod: 200 * time.Millisecond, Policy: policy.New("expectedFinish", 1),
		Prefixes: &prefix.Index{}, SendGrant: model.grant, SendRefusal: model.refuse,
	}
	model.pool.Start()
	model.configure()
	return model
}

func (model *model) configure() {
	configuration := pool.Configuration{MaxWaiting: 6, Weights: map[string]int{"v": 2}}
	for _, name := range slices.Sorted(maps.Keys(model.slots)) {
		configuration.Targets = append(configuration.Targets, pool.Target{Name: name, Slots: model.slots[name]})
	}
	model.pool.Configure(configuration)
}

func (model *model) fail(message string) {
	if model.failure == "" {
		model.failure = message
	}
}

func (model *model) grant(_ string, grant request.Grant) {
	id := grant.Ticket[0]
	if before, ok := model.granted[id]; ok && before.Number != grant.Number {
		model.fail(fmt.Sprintf("ticket %d granted twice in a round", id))
	}
	ticket := model.tickets[id]
	if grant.Round != ticket.Round {
		model.fail(fmt.Sprintf("ticket %d granted for an older round", id))
	}
	if model.leaving[grant.Target] {
		model.fail("grant to the leaving target " + grant.Target)
	}
	if !ticket.Deadline.After(time.Now()) {
		model.fail(fmt.Sprintf("ticket %d granted past its deadline", id))
	}
	delete(model.waiting, id)
	model.granted[id] = grant
	model.checkGrant(grant)
}

// checkGrant checks that a suspect shares no target and that no target runs more
// requests than it has slots.
func (model *model) checkGrant(grant request.Grant) {
	id := grant.Ticket[0]
	if model.checked[grant.Number] {
		return
	}
	model.checked[grant.Number] = true
	model.isolated[id] = model.crashes[model.tickets[id].Fingerprint] > 0
	running := 0
	for other, held := range model.granted {
		if held.Target != grant.Target {
			continue
		}
		running++
		if other != id && (model.isolated[id] || model.isolated[other]) {
			model.fail("a suspect shares a target")
		}
	}
	if running > model.slots[grant.Target] {
		model.fail("more requests than slots on " + grant.Target)
	}
}

func (model *model) refuse(_ string, refusal request.Refusal) {
	id := refusal.Ticket[0]
	ticket := model.waiting[id]
	if ticket == nil || refusal.Round != ticket.Round {
		model.fail(fmt.Sprintf("ticket %d refused but not waiting", id))
		return
	}
	delete(model.waiting, id)
	if refusal.Reason != request.ReasonShed {
		return
	}
	if !ticket.Sheddable {
		model.fail(fmt.Sprintf("ticket %d shed though not sheddable", id))
	}
	for _, other := range model.waiting {
		if other.Sheddable && other.Tier > ticket.Tier {
			model.fail(fmt.Sprintf("shed tier %d while tier %d waits", ticket.Tier, other.Tier))
		}
	}
}

func (model *model) applyOperation(randomNumbers *randomNumbers) {
	steps := []string{"submit", "submit", "submit", "again", "release", "release", "cancel", "leave", "configure", "wait", "wait"}
	switch steps[randomNumbers.below(len(steps))] {
	case "submit":
		model.submit(randomNumbers)
	case "again":
		model.resubmit(randomNumbers)
	case "release":
		model.release(randomNumbers)
	case "cancel":
		if id, ok := pickKey(randomNumbers, model.waiting); ok {
			ticket := model.waiting[id]
			delete(model.waiting, id)
			model.pool.Cancel(request.Cancel{Ticket: ticket.ID, Round: ticket.Round})
		}
	case "leave":
		name, _ := pickKey(randomNumbers, model.slots)
		model.leaving[name] = randomNumbers.below(2) == 0
		model.pool.SetLeaving(name, model.leaving[name])
	case "configure":
		name, _ := pickKey(randomNumbers, model.slots)
		model.slots[name] = 1 + randomNumbers.below(4)
		model.configure()
	case "wait":
		time.Sleep(time.Duration(1+randomNumbers.below(1500)) * time.Millisecond)
		model.pool.Tick()
	}
}

func pickKey[K ~string | ~uint8, V any](randomNumbers *randomNumbers, from map[K]V) (K, bool) {
	keys := slices.Sorted(maps.Keys(from))
	if len(keys) == 0 {
		var none K
		return none, false
	}
	return keys[randomNumbers.below(len(keys))], true
}

func (model *model) submit(randomNumbers *randomNumbers) {
	model.lastID++
	ticket := &request.Ticket{
		ID: request.ID{model.lastID}, Entry: "e", Round: 1,
		Workspace:   []string{"u", "v", "w"}[randomNumbers.below(3)],
		Tier:        request.Tier(randomNumbers.below(3)),
		Sheddable:   randomNumbers.below(4) > 0,
		Deadline:    time.Now().Add(time.Duration(1+randomNumbers.below(20)) * time.Second),
		Size:        request.Size{PromptTokens: 1 + randomNumbers.below(4000), OutputTokens: 50},
		Fingerprint: uint64(1 + randomNumbers.below(12)),
		Prefixes:    []request.Prefix{{Hash: uint64(1 + randomNumbers.below(4)), Tokens: 64}},
	}
	model.tickets[model.lastID] = ticket
	model.waiting[model.lastID] = ticket
	model.pool.Submit(ticket)
}

// resubmit resends a waiting ticket, or submits a granted one with a new round.
func (model *model) resubmit(randomNumbers *randomNumbers) {
	if id, ok := pickKey(randomNumbers, model.waiting); ok {
		model.pool.Submit(model.waiting[id])
		return
	}
	id, ok := pickKey(randomNumbers, model.granted)
	if !ok {
		return
	}
	ticket := *model.tickets[id]
	ticket.Round++
	delete(model.granted, id)
	model.tickets[id] = &ticket
	model.waiting[id] = &ticket
	model.pool.Submit(&ticket)
}

func (model *model) release(randomNumbers *randomNumbers) {
	id, ok := pickKey(randomNumbers, model.granted)
	if !ok {
		return
	}
	grant := model.granted[id]
	ends := []request.End{
		request.EndDone, request.EndDone, request.EndDone, request.EndUnused,
		request.EndFailed, request.EndTargetLost, request.EndUnreachable,
	}
	end := ends[randomNumbers.below(len(ends))]
	model.countCrash(id, grant, end)
	delete(model.granted, id)
	model.pool.Release(request.Release{
		Ticket: grant.Ticket, Target: grant.Target, Number: grant.Number, Scheduler: grant.Scheduler, End: end,
		FirstToken: time.Duration(1+randomNumbers.below(900)) * time.Millisecond, Total: time.Second,
		Usage: request.Usage{PromptTokens: 500, OutputTokens: 50},
	})
}

// countCrash models which bodies become suspect: it counts a crash only for a
// body that ran alone on the target that crashed.
func (model *model) countCrash(id byte, grant request.Grant, end request.End) {
	body := model.tickets[id].Fingerprint
	if end == request.EndDone {
		model.crashes[body] = 0
	}
	if end != request.EndTargetLost {
		return
	}
	for _, other := range model.granted {
		if other.Target == grant.Target && other.Ticket != grant.Ticket {
			return
		}
	}
	model.crashes[body]++
}

// check compares the numbers of granted and waiting tickets with the pool's.
func (model *model) check() {
	if waiting := model.pool.Waiting(); waiting != len(model.waiting) {
		model.fail(fmt.Sprintf("%d tickets waiting, want %d", waiting, len(model.waiting)))
	}
	if held := len(model.pool.GrantsOf("e")); held != len(model.granted) {
		model.fail(fmt.Sprintf("%d grants held, want %d", held, len(model.granted)))
	}
}

// finish releases all grants, lets the deadlines pass and checks that no ticket
// is left.
func (model *model) finish() string {
	for _, id := range slices.Sorted(maps.Keys(model.granted)) {
		grant := model.granted[id]
		delete(model.granted, id)
		model.pool.Release(request.Release{Ticket: grant.Ticket, Number: grant.Number, End: request.EndUnused})
	}
	for range 600 {
		time.Sleep(50 * time.Millisecond)
		model.pool.Tick()
	}
	model.check()
	if len(model.waiting) > 0 {
		model.fail("a ticket still waits after its deadline")
	}
	return model.failure
}
