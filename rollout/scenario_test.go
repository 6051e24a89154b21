package rollout

import (
	"bufio"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	seeds     = flag.Int("rollout.seeds", 1, "the number of seeds of each case")
	firstSeed = flag.Int("rollout.first", 1, "the first seed")
)

// TestScenarios plays testdata/*.case with hosts, targets and a store on the paused clock, and
// holds the results against the bounds: the requests that a bad version gets, the time of the
// last one, the state at the deadline, and that nothing is cut off at the end. The lines of a
// case are
//
//	hosts N | rate N | duration D | more D | patience D | old N | new N | slots N | newAfter D
//	route NAME part F first D [gap D events N] [spread F]
//	speeds old|new F...               factors of the times of the targets, in turn
//	fault [version V] part F [from D] [to D] [route R] [load F] [target T] [slow]
//	                                  a part of the answers fails, or is five times slower
//	at D EVENT                        one of the events of applyEvent
//	want completed|rolledBack|running [late] [cut N] [over]
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.case")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".case")+"/"+strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runScenario(t, readScenario(t, file), uint64(seed)) })
			})
		}
	}
}

func runScenario(t *testing.T, scenario *scenario, seed uint64) {
	simulation := newSimulation(t, scenario, seed)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	simulation.run(ctx)
	simulation.check()
}

// check holds the results against the bounds.
func (simulation *simulation) check() {
	scenario := simulation.scenario
	want := strings.Fields(scenario.want)
	state := simulation.order.State
	allowed := 0.1*float64(simulation.requestsAtDeadline) + 50
	endedAfter := simulation.endedAt.Sub(simulation.started.Add(time.Second))
	simulation.Logf("%s after %s; %v; %d requests, %d of %.0f to the new version, %d bad, %d cut; %d bytes a second a host, largest %d; %s",
		state, endedAfter.Round(time.Millisecond), simulation.stageLog, simulation.requests, simulation.sentNew, allowed, simulation.bads, simulation.cut,
		simulation.bytes/simulation.scenario.hosts/int(scenario.duration.Seconds()), simulation.largest, simulation.evidence())
	if state.String() != want[0] {
		simulation.Errorf("the state is %s, not %s", state, want[0])
	}
	isLate := strings.Contains(scenario.want, "late")
	if !isLate && want[0] != "running" && endedAfter > scenario.duration {
		simulation.Errorf("it ended %s after the order, of %s", endedAfter, scenario.duration)
	}
	if state != Completed && !strings.Contains(scenario.want, "over") && float64(simulation.sentNew) > allowed {
		simulation.Errorf("%d requests were sent to the new version, of %.0f", simulation.sentNew, allowed)
	}
	if !simulation.badAt.IsZero() && state != Completed && simulation.lastSentAt.Sub(simulation.badAt) > rollbackWithin {
		simulation.Errorf("a request was sent to the new version %s after the bad answer %d", simulation.lastSentAt.Sub(simulation.badAt), bindingBads)
	}
	if simulation.cut > 0 && !strings.Contains(scenario.want, "cut") {
		simulation.Errorf("%d requests were cut off", simulation.cut)
	}
}

// evidence returns the last evidence of a deciding host.
func (simulation *simulation) evidence() string {
	last := ""
	for _, host := range simulation.hosts {
		events := host.Events.Events()
		for i := range events {
			if number := events[i].Number; number == eventRolledBack.Number || number == eventStage.Number && events[i].Peer == "" {
				for _, fact := range events[i].Facts {
					if fact.Key == "reason" || fact.Key == "evidence" || fact.Key == "eValue" {
						last += " " + fact.Value + ";"
					}
				}
			}
		}
	}
	return last
}

func readScenario(t *testing.T, file string) *scenario {
	text, err := os.Open(file)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = text.Close() }()
	scenario := &scenario{hosts: 6, rate: 60, duration: 40 * time.Second, oldTargets: 6, newTargets: 6, slots: 8, patience: 10 * time.Second}
	reader := &scenarioReader{C: qt.New(t), scenario: scenario}
	for lines := bufio.NewScanner(text); lines.Scan(); {
		if words := strings.Fields(lines.Text()); len(words) > 0 && !strings.HasPrefix(words[0], "#") {
			reader.read(words)
		}
	}
	if len(scenario.routes) == 0 {
		reader.read(strings.Fields("route plain part 0.5 first 80ms spread 0.4"))
		reader.read(strings.Fields("route chat part 0.5 first 250ms gap 40ms events 20 spread 0.3"))
	}
	return scenario
}

type scenarioReader struct {
	*qt.C
	scenario *scenario
}

func (reader *scenarioReader) read(words []string) {
	scenario := reader.scenario
	switch words[0] {
	case "hosts":
		scenario.hosts = int(reader.number(words[1]))
	case "rate":
		scenario.rate = reader.number(words[1])
	case "duration":
		scenario.duration = reader.duration(words[1])
	case "patience":
		scenario.patience = reader.duration(words[1])
	case "more":
		scenario.more = reader.duration(words[1])
	case "old":
		scenario.oldTargets = int(reader.number(words[1]))
	case "new":
		scenario.newTargets = int(reader.number(words[1]))
	case "slots":
		scenario.slots = int(reader.number(words[1]))
	case "newAfter":
		scenario.targetsAfter = reader.duration(words[1])
	case "speeds":
		for _, word := range words[2:] {
			if words[1] == "old" {
				scenario.oldSpeeds = append(scenario.oldSpeeds, reader.number(word))
			} else {
				scenario.newSpeeds = append(scenario.newSpeeds, reader.number(word))
			}
		}
	case "route":
		route := simulatedRoute{name: words[1], events: 1}
		for i := 2; i < len(words); i += 2 {
			switch value := words[i+1]; words[i] {
			case "part":
				route.part = reader.number(value)
			case "first":
				route.first = reader.duration(value)
			case "gap":
				route.gap = reader.duration(value)
			case "events":
				route.events = int(reader.number(value))
			case "spread":
				route.spread = reader.number(value)
			}
		}
		scenario.routes = append(scenario.routes, route)
	case "fault":
		fault := simulatedFault{}
		for i := 1; i < len(words); i += 2 {
			switch words[i] {
			case "version":
				fault.version = words[i+1]
			case "part":
				fault.part = reader.number(words[i+1])
			case "from":
				fault.from = reader.duration(words[i+1])
			case "to":
				fault.to = reader.duration(words[i+1])
			case "route":
				fault.route = words[i+1]
			case "load":
				fault.minLoad = reader.number(words[i+1])
			case "target":
				fault.target = words[i+1]
			case "slow":
				fault.isSlow = true
				i--
			default:
				reader.Fatalf("unknown word %q", words[i])
			}
		}
		scenario.faults = append(scenario.faults, fault)
	case "at":
		scenario.events = append(scenario.events, simulatedEvent{at: reader.duration(words[1]), words: words[2:]})
	case "want":
		scenario.want = strings.Join(words[1:], " ")
	default:
		reader.Fatalf("unknown line %v", words)
	}
}

func (reader *scenarioReader) number(text string) float64 {
	number, err := strconv.ParseFloat(text, 64)
	reader.Assert(err, qt.IsNil)
	return number
}

func (reader *scenarioReader) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	reader.Assert(err, qt.IsNil)
	return duration
}

// applyEvents applies the events that are due.
func (simulation *simulation) applyEvents(elapsed time.Duration) {
	for len(simulation.scenario.events) > 0 && simulation.scenario.events[0].at <= elapsed {
		event := simulation.scenario.events[0]
		simulation.scenario.events = simulation.scenario.events[1:]
		simulation.applyEvent(event.words)
	}
}

// applyEvent applies one event:
//
//	kill|start|cut|heal|pause|resume HOST|all
//	kill HOST D                       the others notice it after D
//	start HOST D                      it reads the orders after D
//	storeAway | storeBack | loseAnswer | storeSlow D | mute | unmute
//	remove | order VERSION DURATION
//	crash TARGET
func (simulation *simulation) applyEvent(words []string) {
	number := func() int {
		number, err := strconv.Atoi(words[1])
		qt.Assert(simulation, err, qt.IsNil)
		return number
	}
	simulation.isDisturbed = true
	if len(words) > 1 && words[1] == "all" {
		for i := range simulation.hosts {
			simulation.applyEvent([]string{words[0], strconv.Itoa(i)})
		}
		return
	}
	switch words[0] {
	case "kill":
		host := simulation.hosts[number()]
		host.isDown, host.runningOld = true, 0
		if len(words) > 2 {
			delay, err := time.ParseDuration(words[2])
			qt.Assert(simulation, err, qt.IsNil)
			host.missedFrom = time.Now().Add(delay)
		}
	case "start":
		simulation.addHost(number())
		if len(words) > 2 {
			delay, err := time.ParseDuration(words[2])
			qt.Assert(simulation, err, qt.IsNil)
			readsFrom := time.Now().Add(delay)
			simulation.hosts[number()].readsFrom = readsFrom
			simulation.push(readsFrom, simulation.tellOrder)
		}
		simulation.tellOrder()
	case "cut":
		simulation.hosts[number()].isCut = true
	case "heal":
		simulation.hosts[number()].isCut = false
	case "pause":
		simulation.hosts[number()].isPaused = true
	case "resume":
		simulation.hosts[number()].isPaused = false
	case "storeAway":
		simulation.isAway = true
	case "storeBack":
		simulation.isAway = false
		simulation.tellOrder()
	case "storeSlow":
		delay, err := time.ParseDuration(words[1])
		qt.Assert(simulation, err, qt.IsNil)
		simulation.writeDelay = delay
	case "mute":
		simulation.isMute = true
	case "unmute":
		simulation.isMute = false
	case "loseAnswer":
		simulation.losesNext = true
	case "remove":
		simulation.isOrdered = false
		simulation.order.Revision++
	case "order":
		duration, err := time.ParseDuration(words[2])
		qt.Assert(simulation, err, qt.IsNil)
		simulation.isOrdered = true
		simulation.order.Version, simulation.order.Duration = words[1], duration
		simulation.order.Revision++
	case "crash":
		for _, target := range simulation.targets {
			if target.id == words[1] {
				target.isDown = true
			}
		}
	default:
		simulation.Fatalf("unknown event %v", words)
	}
}
