package balance

import (
	"bufio"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestScripts runs testdata/*.script; the head of each describes its case. Each line
// is one step:
//
//	target NAME slots N [zone Z] [leaving]   adds or replaces a target of the pool
//	remove NAME                              removes it
//	speed NAME DURATION                      sets the reported time per prompt token
//	events NAME DURATION                     sets the observed time between events
//	others HOST [NAME OPEN]... [waiting N,N] receives another host's report
//	take NAME tier N [prompt N] [events N] [due D] [deadline D] [exclude T]
//	after DURATION                           sleeps
//	start NAME | end NAME OUTCOME            records the first event or the end
//	want NAME TARGET|waiting|refused|zone Z  checks the result of a take
//	pressure above|below FRACTION            checks RefusedFraction
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
	takes    map[string]*take
	ctx      context.Context
	line     qt.Comment
}

// take is one call of Acquire and its result.
type take struct {
	returned chan taken
	taken    *taken
}

type taken struct {
	grant *Grant
	err   error
}

// result returns the result of the call, nil while it waits.
func (take *take) result() *taken {
	select {
	case returned := <-take.returned:
		take.taken = &returned
	default:
	}
	return take.taken
}

func runScript(t *testing.T, file string) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	script := &script{C: qt.New(t), balancer: &Balancer{Zone: "a"}, takes: map[string]*take{}, ctx: ctx}
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
		script.line = qt.Commentf("%s:%d: %s", file, number, lines.Text())
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
		target.Slots = script.number(after(words, "slots"))
		if zone := after(words, "zone"); zone != "" {
			target.Zone = zone
		}
		target.Leaving = slices.Contains(words, "leaving")
		script.targets = slices.DeleteFunc(script.targets, func(other Target) bool { return other.ID == target.ID })
		script.targets = append(script.targets, target)
		script.balancer.SetTargets(script.targets, map[string]bool{scriptPool: true})
	case "remove":
		script.targets = slices.DeleteFunc(script.targets, func(other Target) bool { return other.ID == words[0] })
		script.balancer.SetTargets(script.targets, map[string]bool{scriptPool: true})
	case "speed":
		script.known(words[0], func(targetState *targetState) { targetState.reportedTimePerToken = script.duration(words[1]) })
	case "events":
		script.known(words[0], func(targetState *targetState) { targetState.speed.eventInterval = float64(script.duration(words[1])) })
	case "others":
		script.others(words)
	case "take":
		script.take(words)
	case "after":
		time.Sleep(script.duration(words[0]))
	case "start":
		script.takes[words[0]].result().grant.RecordFirstEvent()
	case "end":
		outcomes := map[string]Outcome{
			"served": Served, "failed": Failed, "unreachable": Unreachable,
			"full": Full, "replaced": Replaced, "cancelled": Cancelled,
		}
		script.takes[words[0]].result().grant.End(outcomes[words[1]])
	case "want":
		if zone := after(words, "zone"); zone != "" {
			script.Assert(script.takes[words[0]].result().grant.Target.Zone, qt.Equals, zone, script.line)
			return
		}
		script.Assert(script.state(words[0]), qt.Equals, words[1], script.line)
	case "pressure":
		share, err := strconv.ParseFloat(words[1], 64)
		script.Assert(err, qt.IsNil, script.line)
		script.Assert(script.balancer.RefusedFraction(scriptPool) > share, qt.Equals, words[0] == "above", script.line)
	default:
		script.Fatalf("unknown step: %v", script.line)
	}
}

// known edits the state of a target.
func (script *script) known(name string, edit func(*targetState)) {
	script.balancer.mutex.Lock()
	defer script.balancer.mutex.Unlock()
	edit(script.balancer.targets[name])
}

func (script *script) others(words []string) {
	report := &Report{Host: words[0]}
	for i := 1; i+1 < len(words); i += 2 {
		if words[i] != "waiting" {
			report.Uses = append(report.Uses, Use{Target: words[i], InFlight: script.number(words[i+1])})
			continue
		}
		queue := Queue{Pool: scriptPool}
		for count := range strings.SplitSeq(words[i+1], ",") {
			queue.Waiting = append(queue.Waiting, script.number(count))
		}
		report.Queues = append(report.Queues, queue)
	}
	script.balancer.ApplyReport(report)
}

func (script *script) take(words []string) {
	ticket := &Ticket{Pool: scriptPool, Tier: script.number(after(words, "tier"))}
	if prompt := after(words, "prompt"); prompt != "" {
		ticket.PromptTokens = script.number(prompt)
	}
	if events := after(words, "events"); events != "" {
		ticket.ExpectedEvents = script.number(events)
	}
	if due := after(words, "due"); due != "" {
		ticket.Due = time.Now().Add(script.duration(due))
	}
	if deadline := after(words, "deadline"); deadline != "" {
		ticket.Deadline = time.Now().Add(script.duration(deadline))
	}
	if exclude := after(words, "exclude"); exclude != "" {
		ticket.Exclude = []string{exclude}
	}
	call := &take{returned: make(chan taken, 1)}
	script.takes[words[0]] = call
	go func() {
		grant, err := script.balancer.Acquire(script.ctx, ticket)
		call.returned <- taken{grant, err}
	}()
}

func (script *script) state(name string) string {
	taken := script.takes[name].result()
	switch {
	case taken == nil:
		return "waiting"
	case Is(taken.err, Refused):
		return "refused"
	case taken.err != nil:
		return taken.err.Error()
	}
	return taken.grant.Target.ID
}

func after(words []string, name string) string {
	if at := slices.Index(words, name); at >= 0 && at+1 < len(words) {
		return words[at+1]
	}
	return ""
}

func (script *script) number(text string) int {
	number, err := strconv.Atoi(text)
	script.Assert(err, qt.IsNil, script.line)
	return number
}

func (script *script) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	script.Assert(err, qt.IsNil, script.line)
	return duration
}
