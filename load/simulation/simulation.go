// Package simulation plays a schedule against the real pool schedulers,
// policies and prefix indexes, with models of the engines, in one process and
// one goroutine. It takes the time from the runtime's clock: under
// testing/synctest an hour of load takes seconds, and a seed repeats.
package simulation

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"nutmegfield.example/load"
	"nutmegfield.example/policy"
	"nutmegfield.example/request"
)

// Simulation plays one schedule. Fields are set before Run.
type Simulation struct {
	Scenario *load.Scenario
	Seed     uint64
	// Policy makes the policy of one scheduler, or of one host where hosts
	// decide alone. Held tells what a target truly holds of a ticket's
	// prompt; only a policy with perfect knowledge may use it.
	Policy func(seed uint64, held Held) *policy.Policy
	// HostsAlone lets each host choose by stale reports and dispatch at once,
	// without a scheduler, slots or a queue: the engines queue.
	HostsAlone bool

	agenda   agenda
	random   *rand.Rand
	started  time.Time
	places   map[placeKey]*place
	targets  []*target
	byName   map[string]*target
	hosts    []*host
	lost     map[string]bool
	flights  map[request.ID]*flight
	open     int
	results  []*load.Result
	duration time.Duration
	// crashes are the times at which crashing requests crashed engines.
	crashes []time.Time
	// limitedRequests are the times at which requests reached engines while these were
	// limited.
	limitedRequests []time.Time
}

// Held returns how many tokens of a ticket's prompt a target holds.
type Held func(ticket *request.Ticket, target string) int

type host struct {
	number int
	id     string
	zone   string
	// choosers are its own policies where it decides alone, by pool.
	choosers map[string]*chooser
}

// stray is how long after the last arrival answers are waited for.
const stray = 5 * time.Minute

// Run plays the schedule and returns the report.
func (simulation *Simulation) Run() *load.Report {
	scenario := simulation.Scenario
	simulation.random = rand.New(rand.NewPCG(simulation.Seed, 4))
	simulation.started = time.Now()
	simulation.flights = map[request.ID]*flight{}
	simulation.lost = map[string]bool{}
	simulation.duration = scenario.Duration + stray
	simulation.build()
	for _, failing := range scenario.Faults {
		simulation.plan(failing)
	}
	requests := scenario.Schedule(simulation.Seed)
	simulation.open = len(requests)
	simulation.arrive(requests)
	simulation.agenda.run(func() bool {
		return simulation.open > 0 && time.Since(simulation.started) < simulation.duration
	})
	for _, flight := range simulation.flights {
		simulation.finish(flight, request.Unknown, request.ReasonTargetSilent)
	}
	slices.SortFunc(simulation.results, func(one, other *load.Result) int {
		return one.Request.Number - other.Request.Number
	})
	report := load.NewReport(scenario, simulation.results)
	report.Seed = simulation.Seed
	return report
}

// arrive plans the first request; each plans the next.
func (simulation *Simulation) arrive(requests []*load.Request) {
	if len(requests) == 0 {
		return
	}
	at := simulation.started.Add(requests[0].At)
	simulation.agenda.at(at, func() {
		simulation.send(newFlight(requests[0]))
		simulation.arrive(requests[1:])
	})
}

// plan plans a fault and its end.
func (simulation *Simulation) plan(failing load.Fault) {
	start := simulation.started.Add(failing.At)
	end := start.Add(failing.For)
	switch {
	case failing.Slow != "":
		slowed := simulation.byName[failing.Slow]
		simulation.agenda.at(start, func() { slowed.slow(failing.Times) })
		simulation.agenda.at(end, func() { slowed.slow(1) })
	case failing.Crash != "":
		crashed := simulation.byName[failing.Crash]
		simulation.agenda.at(start, crashed.crash)
		simulation.agenda.at(end, crashed.restart)
	case failing.Limited != "":
		limited := simulation.byName[failing.Limited]
		simulation.agenda.at(start, func() { limited.limit(failing.Rate) })
		simulation.agenda.at(end, func() { limited.limit(0) })
	case failing.Zone != "":
		simulation.agenda.at(start, func() { simulation.lose(failing.Zone) })
		simulation.agenda.at(end, func() { simulation.regain(failing.Zone) })
	}
}

// lose takes a zone away with its hosts, schedulers and targets.
func (simulation *Simulation) lose(zone string) {
	simulation.lost[zone] = true
	for _, target := range simulation.targets {
		if target.zone == zone {
			target.crash()
		}
	}
	var gone []*flight
	for _, flight := range simulation.flights {
		if flight.host != nil && flight.host.zone == zone {
			gone = append(gone, flight)
		}
	}
	slices.SortFunc(gone, func(one, other *flight) int {
		return one.request.Number - other.request.Number
	})
	for _, flight := range gone {
		simulation.hostGone(flight)
	}
	for key := range simulation.places {
		if key.zone == zone {
			simulation.places[key] = simulation.newPlace(key)
		}
	}
}

func (simulation *Simulation) regain(zone string) {
	simulation.lost[zone] = false
	for _, target := range simulation.targets {
		if target.zone == zone {
			target.restart()
		}
	}
}

// after plans something for a time from now.
func (simulation *Simulation) after(delay time.Duration, do func()) {
	simulation.agenda.at(time.Now().Add(delay), do)
}

// newID makes an identity that a seed repeats.
func (simulation *Simulation) newID() request.ID {
	var id request.ID
	binary.LittleEndian.PutUint64(id[:], simulation.random.Uint64())
	binary.LittleEndian.PutUint64(id[8:], simulation.random.Uint64())
	return id
}
