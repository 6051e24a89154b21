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

// TestScripts runs the scripts in testdata on a synthetic clock. A line is a
// step, "name key=value ..."; "= decision; decision" lists all decisions since
// the last such line. Steps without the key pool apply to the pool "p".
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
	defer invariant.OnBreach(func(message string) { t.Error(message) })()
	raw, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	scriptRunner := &scriptRunner{t: t, pools: map[string]*pool.Pool{}, grants: map[string]request.Grant{}}
	for number, line := range strings.Split(string(raw), "\n") {
		scriptRunner.location = fmt.Sprintf("%s:%d: %s", path, number+1, line)
		line, _, _ = strings.Cut(line, "#")
		line = strings.TrimSpace(line)
		switch {
		case line == "":
		case strings.HasPrefix(line, "="):
			got := strings.Join(scriptRunner.decisions, "; ")
			qt.Assert(t, got, qt.Equals, strings.TrimSpace(line[1:]), qt.Commentf("%s", scriptRunner.location))
			scriptRunner.decisions = nil
		default:
			scriptRunner.runStep(strings.Fields(line))
		}
	}
}

type scriptRunner struct {
	t         *testing.T
	location  string
	pools     map[string]*pool.Pool
	grants    map[string]request.Grant
	decisions []string
	// suspects are those not yet sent to another pool.
	suspects []pool.Suspect
}

// arguments are the arguments of a step.
type arguments map[string]string

func (arguments arguments) valueOr(key, otherwise string) string {
	if value, ok := arguments[key]; ok {
		return value
	}
	return otherwise
}

func (scriptRunner *scriptRunner) number(text string) int {
	value, err := strconv.Atoi(text)
	qt.Assert(scriptRunner.t, err, qt.IsNil, qt.Commentf("%s", scriptRunner.location))
	return value
}

func (scriptRunner *scriptRunner) duration(text string) time.Duration {
	value, err := time.ParseDuration(text)
	qt.Assert(scriptRunner.t, err, qt.IsNil, qt.Commentf("%s", scriptRunner.location))
	return value
}

func (scriptRunner *scriptRunner) runStep(fields []string) {
	arguments := arguments{}
	for _, field := range fields[1:] {
		key, value, _ := strings.Cut(field, "=")
		arguments[key] = value
	}
	name := arguments.valueOr("pool", "p")
	stepPool := scriptRunner.pools[name]
	switch fields[0] {
	case "configure":
		if stepPool == nil {
			stepPool = scriptRunner.start(name, scriptRunner.duration(arguments.valueOr("settle", "0s")))
		}
		stepPool.Configure(scriptRunner.configuration(arguments))
	case "submit":
		stepPool.Submit(scriptRunner.ticket(arguments))
	case "release":
		stepPool.Release(scriptRunner.release(arguments))
	case "setLeaving":
		stepPool.SetLeaving(arguments["target"], arguments.valueOr("leaving", "yes") == "yes")
	case "observeLoad":
		limit, err := strconv.ParseFloat(arguments["limit"], 64)
		qt.Assert(scriptRunner.t, err, qt.IsNil)
		stepPool.ObserveLoad(arguments["target"], pool.Load{Limit: limit, ReportedAt: time.Now()})
	case "sleep":
		scriptRunner.sleep(scriptRunner.duration(arguments["for"]))
	case "reconcile":
		stepPool.Reconcile("e1", nil)
	case "dropWaiting":
		stepPool.DropWaiting("e1")
	case "stop":
		stepPool.Stop()
	case "sendSuspects":
		for _, suspect := range scriptRunner.suspects {
			suspect.Zone = arguments["zone"]
			for _, to := range strings.Split(arguments.valueOr("to", name), ",") {
				scriptRunner.pools[to].ObserveSuspect(suspect)
			}
		}
		scriptRunner.suspects = nil
	case "exchangeFloors":
		scriptRunner.exchangeFloors()
	case "waiting":
		qt.Assert(scriptRunner.t, stepPool.Waiting(), qt.Equals, scriptRunner.number(arguments["is"]), qt.Commentf("%s", scriptRunner.location))
	default:
		scriptRunner.t.Fatalf("unknown step %s", scriptRunner.location)
	}
}

func (scriptRunner *scriptRunner) start(name string, settle time.Duration) *pool.Pool {
	started := &pool.Pool{
		Name: name, Host: "h-" + name, SettlePeriod: settle, Policy: policy.New("expectedFinish", 1),
		SendGrant: func(_ string, grant request.Grant) {
			id := strconv.Itoa(int(grant.Ticket[0]))
			scriptRunner.grants[id] = grant
			scriptRunner.decisions = append(scriptRunner.decisions, "grant "+id+" "+grant.Target)
		},
		SendRefusal: func(_ string, refusal request.Refusal) {
			scriptRunner.decisions = append(scriptRunner.decisions, fmt.Sprintf("refuse %d %s", refusal.Ticket[0], refusal.Reason))
		},
		SendSuspect: func(suspect pool.Suspect) { scriptRunner.suspects = append(scriptRunner.suspects, suspect) },
	}
	started.Start()
	scriptRunner.pools[name] = started
	return started
}

func (scriptRunner *scriptRunner) configuration(arguments arguments) pool.Configuration {
	configuration := pool.Configuration{MaxWaiting: scriptRunner.number(arguments.valueOr("waiting", "100")), Weights: map[string]int{}}
	for _, text := range strings.FieldsFunc(arguments["targets"], func(r rune) bool { return r == ',' }) {
		name, slots, _ := strings.Cut(text, ":")
		slots, leaving := strings.CutSuffix(slots, "!")
		configuration.Targets = append(configuration.Targets, pool.Target{Name: name, Slots: scriptRunner.number(slots), Leaving: leaving})
	}
	for _, text := range strings.FieldsFunc(arguments["weights"], func(r rune) bool { return r == ',' }) {
		name, weight, _ := strings.Cut(text, ":")
		configuration.Weights[name] = scriptRunner.number(weight)
	}
	return configuration
}

func (scriptRunner *scriptRunner) ticket(arguments arguments) *request.Ticket {
	id := scriptRunner.number(arguments["id"])
	ticket := &request.Ticket{
		ID: request.ID{byte(id)}, Pool: "p", Entry: "e1", Workspace: arguments.valueOr("workspace", "w"),
		Tier:        request.Tier(scriptRunner.number(arguments.valueOr("tier", "0"))),
		Sheddable:   arguments.valueOr("sheddable", "yes") == "yes",
		Deadline:    time.Now().Add(scriptRunner.duration(arguments.valueOr("deadline", "1h"))),
		Size:        request.Size{PromptTokens: 100, OutputTokens: scriptRunner.number(arguments.valueOr("output", "100"))},
		Fingerprint: uint64(scriptRunner.number(arguments.valueOr("body", arguments["id"]))),
		Round:       uint32(scriptRunner.number(arguments.valueOr("round", "1"))),
	}
	if held, ok := arguments["held"]; ok {
		ticket.HeldGrant = &request.Grant{Ticket: ticket.ID, Round: ticket.Round, Target: held, Scheduler: "other", Number: 7}
		scriptRunner.grants[arguments["id"]] = *ticket.HeldGrant
	}
	return ticket
}

func (scriptRunner *scriptRunner) release(arguments arguments) request.Release {
	grant := scriptRunner.grants[arguments["id"]]
	ends := map[string]request.End{
		"unused": request.EndUnused, "done": request.EndDone, "failed": request.EndFailed,
		"targetLost": request.EndTargetLost, "unreachable": request.EndUnreachable, "leaving": request.EndTargetLeaving,
	}
	end, ok := ends[arguments.valueOr("end", "done")]
	qt.Assert(scriptRunner.t, ok, qt.IsTrue, qt.Commentf("%s", scriptRunner.location))
	return request.Release{
		Ticket: grant.Ticket, Target: grant.Target, Number: grant.Number, Scheduler: grant.Scheduler, End: end,
		Total: scriptRunner.duration(arguments.valueOr("total", "2s")), FirstToken: scriptRunner.duration(arguments.valueOr("first", "1s")),
		Usage: request.Usage{PromptTokens: 100, OutputTokens: scriptRunner.number(arguments.valueOr("output", "100"))},
	}
}

func (scriptRunner *scriptRunner) sleep(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		for _, each := range []string{"p", "q", "r"} {
			if found := scriptRunner.pools[each]; found != nil {
				found.Tick()
			}
		}
	}
}

func (scriptRunner *scriptRunner) exchangeFloors() {
	for name, from := range scriptRunner.pools {
		for other, to := range scriptRunner.pools {
			if name != other {
				to.ObserveFloor(name, from.Floor())
			}
		}
	}
}
