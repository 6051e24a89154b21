package pool_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/invariant"
	"nutmegfield.example/policy"
	"nutmegfield.example/pool"
	"nutmegfield.example/request"
)

// TestScripts runs the scripts in testdata on a synthetic clock. A line is a step,
// "name key=value ..."; "= decision; decision" lists all decisions since the last
// such line. Steps without a pool= key apply to the pool "p".
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScript(t, path) })
		})
	}
}

func runScript(t *testing.T, path string) {
	defer invariant.Watch(func(message string) { t.Error(message) })()
	raw, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	script := &script{t: t, pools: map[string]*pool.Pool{}, grants: map[string]request.Grant{}}
	for number, line := range strings.Split(string(raw), "\n") {
		script.where = fmt.Sprintf("%s:%d: %s", path, number+1, line)
		line, _, _ = strings.Cut(line, "#")
		line = strings.TrimSpace(line)
		switch {
		case line == "":
		case strings.HasPrefix(line, "="):
			got := strings.Join(script.decisions, "; ")
			qt.Assert(t, got, qt.Equals, strings.TrimSpace(line[1:]), qt.Commentf("%s", script.where))
			script.decisions = nil
		default:
			script.step(strings.Fields(line))
		}
	}
}

type script struct {
	t         *testing.T
	where     string
	pools     map[string]*pool.Pool
	grants    map[string]request.Grant
	decisions []string
	// suspects are those not yet sent to another pool.
	suspects []pool.Suspect
}

// arguments are the arguments of a step.
type arguments map[string]string

func (arguments arguments) or(key, otherwise string) string {
	if value, ok := arguments[key]; ok {
		return value
	}
	return otherwise
}

func (script *script) number(text string) int {
	value, err := strconv.Atoi(text)
	qt.Assert(script.t, err, qt.IsNil, qt.Commentf("%s", script.where))
	return value
}

func (script *script) duration(text string) time.Duration {
	value, err := time.ParseDuration(text)
	qt.Assert(script.t, err, qt.IsNil, qt.Commentf("%s", script.where))
	return value
}

func (script *script) step(fields []string) {
	arguments := arguments{}
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		arguments[key] = value
	}
	name := arguments.or("pool", "p")
	target := script.pools[name]
	switch fields[0] {
	case "configure":
		if target == nil {
			target = script.start(name, script.duration(arguments.or("settle", "0s")))
		}
		target.Configure(script.configuration(arguments))
	case "submit":
		target.Submit(script.ticket(arguments))
	case "release":
		target.Release(script.release(arguments))
	case "leave":
		target.SetLeaving(arguments["target"], arguments.or("leaving", "yes") == "yes")
	case "sleep":
		script.sleep(script.duration(arguments["for"]))
	case "reconcile":
		target.Reconcile("e1", nil)
	case "forget":
		target.DropWaiting("e1")
	case "stop":
		target.Stop()
	case "spread":
		for _, suspect := range script.suspects {
			target.ObserveSuspect(suspect)
		}
		script.suspects = nil
	case "floors":
		script.exchangeFloors()
	case "waiting":
		qt.Assert(script.t, target.Waiting(), qt.Equals, script.number(arguments["is"]), qt.Commentf("%s", script.where))
	default:
		script.t.Fatalf("unknown step %s", script.where)
	}
}

func (script *script) start(name string, settle time.Duration) *pool.Pool {
	started := &pool.Pool{
		Name: name, Host: "h-" + name, SettlePeriod: settle, Policy: policy.New("expectedFinish", 1),
		SendGrant: func(_ string, grant request.Grant) {
			id := strconv.Itoa(int(grant.Ticket[0]))
			script.grants[id] = grant
			script.decisions = append(script.decisions, "grant "+id+" "+grant.Target)
		},
		SendRefusal: func(_ string, refusal request.Refusal) {
			script.decisions = append(script.decisions, fmt.Sprintf("refuse %d %s", refusal.Ticket[0], refusal.Reason))
		},
		SendSuspect: func(suspect pool.Suspect) { script.suspects = append(script.suspects, suspect) },
	}
	started.Start()
	script.pools[name] = started
	return started
}

func (script *script) configuration(arguments arguments) pool.Configuration {
	configuration := pool.Configuration{MaxWaiting: script.number(arguments.or("waiting", "100")), Weights: map[string]int{}}
	for _, text := range strings.FieldsFunc(arguments["targets"], func(r rune) bool { return r == ',' }) {
		name, slots, _ := strings.Cut(text, ":")
		slots, leaving := strings.CutSuffix(slots, "!")
		configuration.Targets = append(configuration.Targets, pool.Target{Name: name, Slots: script.number(slots), Leaving: leaving})
	}
	for _, text := range strings.FieldsFunc(arguments["weights"], func(r rune) bool { return r == ',' }) {
		name, weight, _ := strings.Cut(text, ":")
		configuration.Weights[name] = script.number(weight)
	}
	return configuration
}

func (script *script) ticket(arguments arguments) *request.Ticket {
	id := script.number(arguments["id"])
	ticket := &request.Ticket{
		ID: request.ID{byte(id)}, Pool: "p", Entry: "e1", Workspace: arguments.or("workspace", "w"),
		Tier:        request.Tier(script.number(arguments.or("tier", "0"))),
		Sheddable:   arguments.or("sheddable", "yes") == "yes",
		Deadline:    time.Now().Add(script.duration(arguments.or("deadline", "1h"))),
		Size:        request.Size{PromptTokens: 100, OutputTokens: script.number(arguments.or("output", "100"))},
		Fingerprint: uint64(script.number(arguments.or("body", arguments["id"]))),
		Round:       uint32(script.number(arguments.or("round", "1"))),
	}
	if held, ok := arguments["held"]; ok {
		ticket.HeldGrant = &request.Grant{Ticket: ticket.ID, Round: ticket.Round, Target: held, Scheduler: "other", Number: 7}
		script.grants[arguments["id"]] = *ticket.HeldGrant
	}
	return ticket
}

func (script *script) release(arguments arguments) request.Release {
	grant := script.grants[arguments["id"]]
	ends := map[string]request.End{
		"unused": request.EndUnused, "done": request.EndDone, "failed": request.EndFailed,
		"broken": request.EndTargetLost, "unreachable": request.EndUnreachable, "leaving": request.EndTargetLeaving,
	}
	end, ok := ends[arguments.or("end", "done")]
	qt.Assert(script.t, ok, qt.IsTrue, qt.Commentf("%s", script.where))
	return request.Release{
		Ticket: grant.Ticket, Target: grant.Target, Number: grant.Number, Scheduler: grant.Scheduler, End: end,
		Total: script.duration(arguments.or("total", "2s")), FirstToken: script.duration(arguments.or("first", "1s")),
		Usage: request.Usage{PromptTokens: 100, OutputTokens: script.number(arguments.or("output", "100"))},
	}
}

func (script *script) sleep(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		for _, each := range []string{"p", "q"} {
			if found := script.pools[each]; found != nil {
				found.Tick()
			}
		}
	}
}

func (script *script) exchangeFloors() {
	for name, from := range script.pools {
		for other, to := range script.pools {
			if name != other {
				to.ObserveFloor(name, from.Floor())
			}
		}
	}
}
