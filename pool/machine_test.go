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

// TestMachine drives a pool at random, always from the same seed unless one is
// given by -rapid.seed, and holds it against a simple account of its own.
func TestMachine(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		qt.Assert(t, flag.Set("rapid.seed", "20261203"), qt.IsNil)
		defer func() { _ = flag.Set("rapid.seed", "0") }()
	}
	rapid.Check(t, func(rt *rapid.T) {
		// Drawn ahead: rapid may not panic out of a bubble's goroutine.
		moves := rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, 1<<16), 8, 8), 1, 80).Draw(rt, "moves")
		var failure string
		synctest.Test(t, func(*testing.T) {
			account := newAccount()
			defer invariant.Watch(account.fail)()
			for _, move := range moves {
				account.step(&source{numbers: move})
				account.check()
				if account.failure != "" {
					failure = account.failure
					return
				}
			}
			failure = account.finish()
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// source gives out the numbers drawn for one step.
type source struct{ numbers []int }

// below returns a number from 0 to the limit less one.
func (source *source) below(limit int) int {
	number := source.numbers[0]
	source.numbers = source.numbers[1:]
	return number % limit
}

// account is what the test knows: where each ticket is, and what runs where.
type account struct {
	pool    *pool.Pool
	slots   map[string]int
	leaving map[string]bool
	waiting map[byte]*request.Ticket
	granted map[byte]request.Grant
	tickets map[byte]*request.Ticket
	crashes map[uint64]int
	// isolated are the grants of suspects, known the numbers seen.
	isolated map[byte]bool
	known    map[uint64]bool
	next     byte
	failure  string
}

func newAccount() *account {
	account := &account{
		slots: map[string]int{"a": 2, "b": 1, "c": 3}, leaving: map[string]bool{},
		waiting: map[byte]*request.Ticket{}, granted: map[byte]request.Grant{},
		tickets: map[byte]*request.Ticket{}, crashes: map[uint64]int{},
		isolated: map[byte]bool{}, known: map[uint64]bool{},
	}
	account.pool = &pool.Pool{
		Name: "p", Host: "h", SettlePeriod: 200 * time.Millisecond, Policy: policy.New("expectedFinish", 1),
		Prefixes: &prefix.Index{}, SendGrant: account.grant, SendRefusal: account.refuse,
	}
	account.pool.Start()
	account.configure()
	return account
}

func (account *account) configure() {
	configuration := pool.Configuration{MaxWaiting: 6, Weights: map[string]int{"v": 2}}
	for _, name := range slices.Sorted(maps.Keys(account.slots)) {
		configuration.Targets = append(configuration.Targets, pool.Target{Name: name, Slots: account.slots[name]})
	}
	account.pool.Configure(configuration)
}

func (account *account) fail(message string) {
	if account.failure == "" {
		account.failure = message
	}
}

func (account *account) grant(_ string, grant request.Grant) {
	id := grant.Ticket[0]
	if before, ok := account.granted[id]; ok && before.Number != grant.Number {
		account.fail(fmt.Sprintf("ticket %d granted twice in a round", id))
	}
	ticket := account.tickets[id]
	if grant.Round != ticket.Round {
		account.fail(fmt.Sprintf("ticket %d granted for an older round", id))
	}
	if account.leaving[grant.Target] {
		account.fail("grant to the leaving target " + grant.Target)
	}
	if !ticket.Deadline.After(time.Now()) {
		account.fail(fmt.Sprintf("ticket %d granted past its deadline", id))
	}
	delete(account.waiting, id)
	account.granted[id] = grant
	account.alone(grant)
}

// alone checks that a suspect shares no target, and slots are not exceeded.
func (account *account) alone(grant request.Grant) {
	id := grant.Ticket[0]
	if account.known[grant.Number] {
		return
	}
	account.known[grant.Number] = true
	account.isolated[id] = account.crashes[account.tickets[id].Fingerprint] > 0
	running := 0
	for other, held := range account.granted {
		if held.Target != grant.Target {
			continue
		}
		running++
		if other != id && (account.isolated[id] || account.isolated[other]) {
			account.fail("a suspect shares a target")
		}
	}
	if running > account.slots[grant.Target] {
		account.fail("too many run on " + grant.Target)
	}
}

func (account *account) refuse(_ string, refusal request.Refusal) {
	id := refusal.Ticket[0]
	ticket := account.waiting[id]
	if ticket == nil || refusal.Round != ticket.Round {
		account.fail(fmt.Sprintf("refusal of %d, which does not wait", id))
		return
	}
	delete(account.waiting, id)
	if refusal.Reason != request.ReasonShed {
		return
	}
	if !ticket.Sheddable {
		account.fail(fmt.Sprintf("ticket %d shed", id))
	}
	for _, other := range account.waiting {
		if other.Sheddable && other.Tier > ticket.Tier {
			account.fail(fmt.Sprintf("shed tier %d while %d waits", ticket.Tier, other.Tier))
		}
	}
}

func (account *account) step(source *source) {
	steps := []string{"submit", "submit", "submit", "again", "release", "release", "cancel", "leave", "configure", "wait", "wait"}
	switch steps[source.below(len(steps))] {
	case "submit":
		account.submit(source)
	case "again":
		account.again(source)
	case "release":
		account.release(source)
	case "cancel":
		if id, ok := draw(source, account.waiting); ok {
			ticket := account.waiting[id]
			delete(account.waiting, id)
			account.pool.Cancel(request.Cancel{Ticket: ticket.ID, Round: ticket.Round})
		}
	case "leave":
		name, _ := draw(source, account.slots)
		account.leaving[name] = source.below(2) == 0
		account.pool.SetLeaving(name, account.leaving[name])
	case "configure":
		name, _ := draw(source, account.slots)
		account.slots[name] = 1 + source.below(4)
		account.configure()
	case "wait":
		time.Sleep(time.Duration(1+source.below(1500)) * time.Millisecond)
		account.pool.Tick()
	}
}

func draw[K ~string | ~uint8, V any](source *source, from map[K]V) (K, bool) {
	keys := slices.Sorted(maps.Keys(from))
	if len(keys) == 0 {
		var none K
		return none, false
	}
	return keys[source.below(len(keys))], true
}

func (account *account) submit(source *source) {
	account.next++
	ticket := &request.Ticket{
		ID: request.ID{account.next}, Entry: "e", Round: 1,
		Workspace:   []string{"u", "v", "w"}[source.below(3)],
		Tier:        request.Tier(source.below(3)),
		Sheddable:   source.below(4) > 0,
		Deadline:    time.Now().Add(time.Duration(1+source.below(20)) * time.Second),
		Size:        request.Size{PromptTokens: 1 + source.below(4000), OutputTokens: 50},
		Fingerprint: uint64(1 + source.below(12)),
		Prefixes:    []request.Prefix{{Hash: uint64(1 + source.below(4)), Tokens: 64}},
	}
	account.tickets[account.next] = ticket
	account.waiting[account.next] = ticket
	account.pool.Submit(ticket)
}

// again sends a waiting ticket again, or a granted one with a new round.
func (account *account) again(source *source) {
	if id, ok := draw(source, account.waiting); ok {
		account.pool.Submit(account.waiting[id])
		return
	}
	id, ok := draw(source, account.granted)
	if !ok {
		return
	}
	ticket := *account.tickets[id]
	ticket.Round++
	delete(account.granted, id)
	account.tickets[id] = &ticket
	account.waiting[id] = &ticket
	account.pool.Submit(&ticket)
}

func (account *account) release(source *source) {
	id, ok := draw(source, account.granted)
	if !ok {
		return
	}
	grant := account.granted[id]
	ends := []request.End{
		request.EndDone, request.EndDone, request.EndDone, request.EndUnused,
		request.EndFailed, request.EndBroken, request.EndUnreachable,
	}
	end := ends[source.below(len(ends))]
	account.mark(id, grant, end)
	delete(account.granted, id)
	account.pool.Release(request.Release{
		Ticket: grant.Ticket, Target: grant.Target, Number: grant.Number, Scheduler: grant.Scheduler, End: end,
		FirstToken: time.Duration(1+source.below(900)) * time.Millisecond, Total: time.Second,
		Usage: request.Usage{PromptTokens: 500, OutputTokens: 50},
	})
}

// mark keeps the simple account of suspicion: only bodies that were the only
// ones on a target that broke.
func (account *account) mark(id byte, grant request.Grant, end request.End) {
	body := account.tickets[id].Fingerprint
	if end == request.EndDone {
		account.crashes[body] = 0
	}
	if end != request.EndBroken {
		return
	}
	for _, other := range account.granted {
		if other.Target == grant.Target && other.Ticket != grant.Ticket {
			return
		}
	}
	account.crashes[body]++
}

// check holds what is granted and waits against the pool.
func (account *account) check() {
	if waiting := account.pool.Waiting(); waiting != len(account.waiting) {
		account.fail(fmt.Sprintf("%d wait, should be %d", waiting, len(account.waiting)))
	}
	if held := len(account.pool.GrantsOf("e")); held != len(account.granted) {
		account.fail(fmt.Sprintf("%d held, should be %d", held, len(account.granted)))
	}
}

// finish ends all work and sees that nothing is forgotten.
func (account *account) finish() string {
	for _, id := range slices.Sorted(maps.Keys(account.granted)) {
		grant := account.granted[id]
		delete(account.granted, id)
		account.pool.Release(request.Release{Ticket: grant.Ticket, Number: grant.Number, End: request.EndUnused})
	}
	for range 600 {
		time.Sleep(50 * time.Millisecond)
		account.pool.Tick()
	}
	account.check()
	if len(account.waiting) > 0 {
		account.fail("a ticket still waits after its deadline")
	}
	return account.failure
}
