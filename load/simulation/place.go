package simulation

import (
	"fmt"
	"time"

	"nutmegfield.example/policy"
	"nutmegfield.example/pool"
	"nutmegfield.example/prefix"
	"nutmegfield.example/request"
)

// place is a pool's scheduler in one zone.
type place struct {
	key       placeKey
	scheduler *pool.Pool
	targets   []*target
}

type placeKey struct{ zone, pool string }

// tick is how often a scheduler does the work that only time brings about.
const tick = 50 * time.Millisecond

// build makes the hosts, targets and schedulers.
func (simulation *Simulation) build() {
	scenario := simulation.Scenario
	simulation.byName = map[string]*target{}
	simulation.places = map[placeKey]*place{}
	for i := range scenario.Pools {
		described := &scenario.Pools[i]
		for j := range described.Engines {
			simulation.add(simulation.newEngine(described.Name, &described.Engines[j], simulation.random.Uint64()))
		}
		for j := range described.Services {
			simulation.add(simulation.newService(described.Name, &described.Services[j]))
		}
	}
	for i := range scenario.Hosts {
		simulation.hosts = append(simulation.hosts, &host{
			number: i, id: fmt.Sprintf("host%d", i+1),
			zone: scenario.Zones[i%len(scenario.Zones)], choosers: map[string]*chooser{},
		})
	}
	for _, zone := range scenario.Zones {
		for i := range scenario.Pools {
			key := placeKey{zone, scenario.Pools[i].Name}
			simulation.places[key] = simulation.newPlace(key)
		}
	}
	simulation.repeat(tick, simulation.tick)
	simulation.repeat(scenario.Delays.ReportEvery, simulation.report)
	simulation.repeat(scenario.Delays.EventsEvery, simulation.readEvents)
}

func (simulation *Simulation) add(target *target) {
	simulation.targets = append(simulation.targets, target)
	simulation.byName[target.name] = target
}

func (simulation *Simulation) repeat(every time.Duration, do func()) {
	simulation.after(every, func() {
		do()
		simulation.repeat(every, do)
	})
}

// newPlace starts a scheduler that knows nothing yet.
func (simulation *Simulation) newPlace(key placeKey) *place {
	described := simulation.Scenario.Pool(key.pool)
	made := &place{key: key}
	configuration := pool.Configuration{MaxWaiting: described.Waiting, Weights: map[string]int{}}
	for _, target := range simulation.targets {
		if target.zone == key.zone && target.pool == key.pool {
			made.targets = append(made.targets, target)
			configuration.Targets = append(configuration.Targets, pool.Target{Name: target.name, Slots: target.slots})
		}
	}
	for _, workspace := range simulation.Scenario.Workspaces {
		configuration.Weights[workspace.Name] = workspace.Weight
	}
	made.scheduler = &pool.Pool{
		Name:        key.pool,
		Host:        key.zone,
		Policy:      simulation.Policy(simulation.random.Uint64(), simulation.held),
		SendGrant:   func(_ string, grant request.Grant) { simulation.granted(made, grant) },
		SendRefusal: func(_ string, refusal request.Refusal) { simulation.refused(made, refusal) },
		SendSuspect: func(suspect pool.Suspect) { simulation.sendSuspect(key, suspect) },
		Jitter: func(limit time.Duration) time.Duration {
			return time.Duration(simulation.random.Int64N(int64(limit)))
		},
	}
	if len(described.Engines) > 0 {
		made.scheduler.Prefixes = &prefix.Index{}
	}
	made.scheduler.Start()
	made.scheduler.Configure(configuration)
	return made
}

// sendSuspect sends a suspect to the schedulers of the other zones, as hosts do.
func (simulation *Simulation) sendSuspect(from placeKey, suspect pool.Suspect) {
	suspect.Zone = from.zone
	simulation.after(simulation.Scenario.Delays.Message, func() {
		simulation.each(func(place *place) {
			if place.key.pool == from.pool && place.key.zone != from.zone {
				place.scheduler.ObserveSuspect(suspect)
			}
		})
	})
}

// each runs a function for every scheduler of a zone that is not lost, in a
// fixed order.
func (simulation *Simulation) each(do func(place *place)) {
	for _, zone := range simulation.Scenario.Zones {
		if simulation.lost[zone] {
			continue
		}
		for i := range simulation.Scenario.Pools {
			do(simulation.places[placeKey{zone, simulation.Scenario.Pools[i].Name}])
		}
	}
}

func (simulation *Simulation) tick() {
	if !simulation.HostsAlone {
		simulation.each(func(place *place) { place.scheduler.Tick() })
	}
}

// report passes the targets' stale reports to the schedulers.
func (simulation *Simulation) report() {
	simulation.each(func(place *place) {
		for _, target := range place.targets {
			if target.down() {
				continue
			}
			place.scheduler.ObserveLoad(target.name, target.load())
		}
	})
	simulation.reportToHosts()
}

// readEvents passes the engines' late cache events to the schedulers.
func (simulation *Simulation) readEvents() {
	if simulation.HostsAlone {
		return
	}
	simulation.each(func(place *place) {
		for _, target := range place.targets {
			if target.model != nil && !target.down() {
				place.readEvents(target)
			}
		}
	})
}

func (place *place) readEvents(target *target) {
	for _, event := range target.model.Events(target.sequence) {
		if event.Sequence > target.sequence+1 {
			place.scheduler.Prefixes.RecordGap(target.name)
		}
		target.sequence = event.Sequence
		place.scheduler.Prefixes.ApplyEvent(target.name, event.Stored, event.Removed)
	}
}

// held tells what a target truly holds of a ticket's prompt.
func (simulation *Simulation) held(ticket *request.Ticket, name string) int {
	flight := simulation.flights[ticket.ID]
	target := simulation.byName[name]
	if flight == nil || target == nil || target.model == nil {
		return 0
	}
	return target.model.CachedTokens(flight.chain)
}

// chooser is a host's own choice of target, where hosts decide alone.
type chooser struct {
	policy     *policy.Policy
	targets    []*target
	candidates []policy.Candidate
}

// chooserOf returns a host's chooser of a pool, made at its first use.
func (simulation *Simulation) chooserOf(host *host, name string) *chooser {
	if made := host.choosers[name]; made != nil {
		return made
	}
	made := &chooser{policy: simulation.Policy(simulation.random.Uint64(), simulation.held)}
	for _, target := range simulation.places[placeKey{host.zone, name}].targets {
		made.targets = append(made.targets, target)
		made.candidates = append(made.candidates, policy.Candidate{Name: target.name, Slots: target.slots})
	}
	host.choosers[name] = made
	made.read()
	return made
}

// read takes the reports as they are now.
func (chooser *chooser) read() {
	for i, target := range chooser.targets {
		report := target.load()
		chooser.candidates[i].ReportedLoad = float64(report.Running + report.Waiting)
		chooser.candidates[i].ReportedAt = report.ReportedAt
	}
}

func (simulation *Simulation) reportToHosts() {
	for _, host := range simulation.hosts {
		for i := range simulation.Scenario.Pools {
			if made := host.choosers[simulation.Scenario.Pools[i].Name]; made != nil {
				made.read()
			}
		}
	}
}
