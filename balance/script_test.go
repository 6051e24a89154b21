package balance

import (
	"bufio"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestScripts runs testdata/*.script; the head of each describes its case. Each line
// is one step:
//
//	target NAME slots N [zone Z] [version V] [leaving]
//	                                         adds or replaces a target of the pool
//	remove NAME                              removes it
//	speed NAME DURATION                      sets the reported time per prompt token
//	events NAME DURATION                     sets the observed time between events
//	duration NAME FIGURE...                  an answer tells how long work takes there now
//	interval NAME DURATION                   another host reports it
//	others HOST [NAME INFLIGHT]... [waiting N,N]
//	                                         applies another host's report
//	take NAME tier N [prompt N] [events N] [gap D] [due D] [deadline D] [exclude T]
//	    [version V] [only V] [except V] [among T]
//	                                         calls Acquire
//	serves only|except V exists|missing room|full
//	                                         checks Serves
//	after DURATION                           sleeps
//	start NAME | end NAME OUTCOME            records the first event or the end
//	want NAME TARGET|waiting|refused|zone Z  checks the result of a take step
//	free N                                   checks the pool's free slots
//	pressure above|below FRACTION            checks RefusedFraction
//	limit NAME RATE permits N                the target has a limit and this host permits
//	wanted NAME N                            checks the permits that the host asks for
//	limitedWait DURATION                     checks LimitedWait
//	says NAME leaving | rest DURATION        the target says so in an answer
//	told NAME leaving                        another host reports it
//	maySend NAME yes|no                      checks MaySend
//	resting DURATION                         checks RestingWait
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScript(t, file) })
		})
	}
}

const scriptPool = "engines"

type script struct {
	*qt.C
	balancer *Balancer
	targets  []Target
	calls    map[string]*acquireCall
	ctx      context.Context
	// mutex guards limits, the limits of targets by ID.
	mutex    sync.Mutex
	limits   map[string]*scriptLimit
	position qt.Comment
}

// acquireCall is one call of Acquire and its result.
type acquireCall struct {
	results  chan acquireResult
	received *acquireResult
}

// scriptLimit is the limit of a target, with the permits that this host has and wants.
type scriptLimit struct {
	rate            float64
	permits, wanted int
}

// limitCalls returns the calls for the script's limits.
func (script *script) limitCalls() Limits {
	find := func(target *Target) *scriptLimit {
		if found := script.limits[target.ID]; found != nil {
			return found
		}
		return &scriptLimit{}
	}
	locked := func(do func()) {
		script.mutex.Lock()
		defer script.mutex.Unlock()
		do()
	}
	return Limits{
		Rate: func(target *Target) (rate float64) {
			locked(func() { rate = find(target).rate })
			return rate
		},
		Permits: func(target *Target) (permits int) {
			locked(func() { permits = find(target).permits })
			return permits
		},
		Take: func(target *Target) bool {
			locked(func() { find(target).permits-- })
			return true
		},
		Want: func(target *Target, count, _ int) { locked(func() { find(target).wanted = count }) },
	}
}

type acquireResult struct {
	grant *Grant
	err   error
}

// poll returns the result of the call, nil while it waits.
func (acquireCall *acquireCall) poll() *acquireResult {
	select {
	case result := <-acquireCall.results:
		acquireCall.received = &result
	default:
	}
	return acquireCall.received
}

func runScript(t *testing.T, file string) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	script := &script{C: qt.New(t), balancer: &Balancer{Zone: "a", RandIntN: func(bound int) int { return bound - 1 }}, calls: map[string]*acquireCall{}, ctx: ctx}
	script.balancer.Limits = script.limitCalls()
	go func() { _ = script.balancer.Run(ctx) }()
	text, err := os.Open(file)
	script.Assert(err, qt.IsNil)
	defer text.Close()
	lines := bufio.NewScanner(text)
	for number := 1; lines.Scan(); number++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		script.position = qt.Commentf("%s:%d: %s", file, number, lines.Text())
		script.step(words[0], words[1:])
		synctest.Wait()
	}
	cancel()
	synctest.Wait()
}

func (script *script) step(verb string, words []string) {
	switch verb {
	case "target":
		target := Target{ID: words[0], Pool: scriptPool, Address: words[0], Zone: "a"}
		target.Slots = script.parseInt(wordAfter(words, "slots"))
		if zone := wordAfter(words, "zone"); zone != "" {
			target.Zone = zone
		}
		target.Version = wordAfter(words, "version")
		target.Leaving = slices.Contains(words, "leaving")
		script.targets = slices.DeleteFunc(script.targets, func(other Target) bool { return other.ID == target.ID })
		script.targets = append(script.targets, target)
		script.balancer.SetTargets(script.targets, map[string]bool{scriptPool: true})
	case "remove":
		script.targets = slices.DeleteFunc(script.targets, func(other Target) bool { return other.ID == words[0] })
		script.balancer.SetTargets(script.targets, map[string]bool{scriptPool: true})
	case "speed":
		script.editTargetState(words[0], func(targetState *targetState) {
			targetState.reportedTimePerToken = script.parseDuration(words[1])
		})
	case "events":
		script.editTargetState(words[0], func(targetState *targetState) {
			targetState.speed.eventInterval = float64(script.parseDuration(words[1]))
		})
	case "duration":
		for _, word := range words[1:] {
			figure, err := strconv.ParseFloat(word, 64)
			script.Assert(err, qt.IsNil, script.position)
			script.balancer.RecordDuration(script.target(words[0]), figure)
		}
	case "interval":
		script.balancer.ApplyReport(&Report{Host: "observer", Speeds: []Speed{{Target: words[0], EventInterval: script.parseDuration(words[1])}}})
	case "others":
		script.applyReport(words)
	case "take":
		script.startAcquire(words)
	case "after":
		time.Sleep(script.parseDuration(words[0]))
	case "start":
		script.calls[words[0]].poll().grant.RecordFirstEvent()
	case "end":
		outcomes := map[string]Outcome{
			"served": Served, "failed": Failed, "unreachable": Unreachable,
			"full": Full, "replaced": Replaced, "cancelled": Cancelled,
		}
		script.calls[words[0]].poll().grant.End(outcomes[words[1]])
	case "want":
		if zone := wordAfter(words, "zone"); zone != "" {
			script.Assert(script.calls[words[0]].poll().grant.Target.Zone, qt.Equals, zone, script.position)
			return
		}
		script.Assert(script.outcome(words[0]), qt.Equals, words[1], script.position)
	case "limit":
		rate, err := strconv.ParseFloat(words[1], 64)
		script.Assert(err, qt.IsNil, script.position)
		script.mutex.Lock()
		if script.limits == nil {
			script.limits = map[string]*scriptLimit{}
		}
		script.limits[words[0]] = &scriptLimit{rate: rate, permits: script.parseInt(wordAfter(words, "permits"))}
		script.mutex.Unlock()
		script.balancer.Dispatch()
	case "wanted":
		script.mutex.Lock()
		defer script.mutex.Unlock()
		script.Assert(script.limits[words[0]].wanted, qt.Equals, script.parseInt(words[1]), script.position)
	case "limitedWait":
		script.Assert(script.balancer.LimitedWait(scriptPool), qt.Equals, script.parseDuration(words[0]), script.position)
	case "says":
		target := script.target(words[0])
		if rest := wordAfter(words, "rest"); rest != "" {
			script.balancer.RecordRest(target, script.parseDuration(rest))
			return
		}
		script.balancer.RecordLeaving(target)
	case "told":
		script.balancer.ApplyReport(&Report{Host: "other", Leaving: []Incarnation{script.target(words[0]).Incarnation()}})
	case "maySend":
		script.Assert(script.balancer.MaySend(script.target(words[0])), qt.Equals, words[1] == "yes", script.position)
	case "resting":
		wait, _ := script.balancer.RestingWait(scriptPool)
		script.Assert(wait, qt.Equals, script.parseDuration(words[0]), script.position)
	case "serves":
		exists, hasRoom := script.balancer.Serves(scriptPool, restrictionOf(words))
		script.Assert([]bool{exists, hasRoom}, qt.DeepEquals, []bool{words[2] == "exists", words[3] == "room"}, script.position)
	case "free":
		script.Assert(script.balancer.Status(scriptPool).FreeSlots, qt.Equals, script.parseInt(words[0]), script.position)
	case "pressure":
		fraction, err := strconv.ParseFloat(words[1], 64)
		script.Assert(err, qt.IsNil, script.position)
		script.Assert(script.balancer.RefusedFraction(scriptPool) > fraction, qt.Equals, words[0] == "above", script.position)
	default:
		script.Fatalf("unknown step: %v", script.position)
	}
}

// target returns a target with a name, which may have no entry.
func (script *script) target(name string) *Target {
	for i := range script.targets {
		if script.targets[i].ID == name {
			return &script.targets[i]
		}
	}
	return &Target{ID: name}
}

// editTargetState calls edit with the state of a target.
func (script *script) editTargetState(name string, edit func(*targetState)) {
	script.balancer.mutex.Lock()
	defer script.balancer.mutex.Unlock()
	edit(script.balancer.targets[name])
}

func (script *script) applyReport(words []string) {
	report := &Report{Host: words[0]}
	for i := 1; i+1 < len(words); i += 2 {
		if words[i] != "waiting" {
			report.Uses = append(report.Uses, Use{Target: words[i], InFlight: script.parseInt(words[i+1])})
			continue
		}
		queue := Queue{Pool: scriptPool}
		for count := range strings.SplitSeq(words[i+1], ",") {
			queue.Waiting = append(queue.Waiting, script.parseInt(count))
		}
		report.Queues = append(report.Queues, queue)
	}
	script.balancer.ApplyReport(report)
}

func (script *script) startAcquire(words []string) {
	ticket := &Ticket{Pool: scriptPool, Tier: script.parseInt(wordAfter(words, "tier"))}
	if prompt := wordAfter(words, "prompt"); prompt != "" {
		ticket.PromptTokens = script.parseInt(prompt)
	}
	if events := wordAfter(words, "events"); events != "" {
		ticket.ExpectedEvents = script.parseInt(events)
	}
	if gap := wordAfter(words, "gap"); gap != "" {
		ticket.EventGap = script.parseDuration(gap)
	}
	if due := wordAfter(words, "due"); due != "" {
		ticket.Due = time.Now().Add(script.parseDuration(due))
	}
	if deadline := wordAfter(words, "deadline"); deadline != "" {
		ticket.Deadline = time.Now().Add(script.parseDuration(deadline))
	}
	if exclude := wordAfter(words, "exclude"); exclude != "" {
		ticket.Exclude = []string{exclude}
	}
	if version := wordAfter(words, "version"); version != "" {
		ticket.Version = NewVersionID(scriptPool, version)
	}
	ticket.Restriction = restrictionOf(words)
	acquireCall := &acquireCall{results: make(chan acquireResult, 1)}
	script.calls[words[0]] = acquireCall
	go func() {
		grant, err := script.balancer.Acquire(script.ctx, ticket)
		acquireCall.results <- acquireResult{grant, err}
	}()
}

// restrictionOf returns the restriction in the words of a step, nil if there is none. That of
// tickets which may not get a version is the usual one.
func restrictionOf(words []string) *Restriction {
	restriction := &Restriction{}
	if only := wordAfter(words, "only"); only != "" {
		restriction.Only = NewVersionID(scriptPool, only)
	}
	if except := wordAfter(words, "except"); except != "" {
		restriction.Except, restriction.IsUsual = []VersionID{NewVersionID(scriptPool, except)}, true
	}
	if among := wordAfter(words, "among"); among != "" {
		restriction.Among = []string{among}
	}
	if restriction.Only == 0 && restriction.Except == nil && restriction.Among == nil {
		return nil
	}
	return restriction
}

func (script *script) outcome(name string) string {
	result := script.calls[name].poll()
	switch {
	case result == nil:
		return "waiting"
	case Is(result.err, Refused):
		return "refused"
	case result.err != nil:
		return result.err.Error()
	}
	return result.grant.Target.ID
}

func wordAfter(words []string, keyword string) string {
	if index := slices.Index(words, keyword); index >= 0 && index+1 < len(words) {
		return words[index+1]
	}
	return ""
}

func (script *script) parseInt(text string) int {
	number, err := strconv.Atoi(text)
	script.Assert(err, qt.IsNil, script.position)
	return number
}

func (script *script) parseDuration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	script.Assert(err, qt.IsNil, script.position)
	return duration
}
