package simulation

import (
	"time"

	"nutmegfield.example/load"
	"nutmegfield.example/pool"
	"nutmegfield.example/standin"
)

// target is an engine or a service of the scenario.
type target struct {
	simulation *Simulation
	name       string
	zone       string
	pool       string
	slots      int
	// model is nil for a service.
	model *standin.EngineModel
	// wake is when the model's next own event is planned.
	wake time.Time
	// isLimited is set while the engine takes a limited number of requests a second.
	isLimited bool
	// sequence is that of the last cache event read.
	sequence uint64
	service  service
}

// service runs up to its slots of calls at once; more wait.
type service struct {
	time    time.Duration
	factor  float64
	down    bool
	running []*serviceCall
	waiting []*serviceCall
}

type serviceCall struct{ ended func(done bool) }

func (simulation *Simulation) newEngine(pool string, engine *load.Engine, seed uint64) *target {
	delays := &simulation.Scenario.Delays
	model := &standin.EngineModel{
		Name:        engine.Name,
		PrefillRate: engine.PrefillRate,
		DecodeRate:  engine.DecodeRate,
		Seed:        seed,
		Options: standin.EngineOptions{
			Slots:        engine.Slots,
			BatchSlope:   engine.BatchSlope,
			ChunkTokens:  engine.Chunk,
			MemoryTokens: engine.Memory,
			EventLag:     delays.Events,
			EventLoss:    delays.EventLoss,
			ReportLag:    delays.Report,
		},
	}
	return &target{
		simulation: simulation, name: engine.Name, zone: engine.Zone, pool: pool,
		slots: engine.Slots, model: model,
	}
}

func (simulation *Simulation) newService(pool string, described *load.Service) *target {
	return &target{
		simulation: simulation, name: described.Name, zone: described.Zone, pool: pool,
		slots: described.Slots, service: service{time: described.Time, factor: 1},
	}
}

// touch plans the model's next own event.
func (target *target) touch() {
	next, ok := target.model.NextEvent()
	if !ok || next.Equal(target.wake) {
		return
	}
	target.wake = next
	target.simulation.agenda.at(next, func() {
		if !target.wake.Equal(next) {
			return
		}
		target.wake = time.Time{}
		target.model.Advance()
		target.touch()
	})
}

func (target *target) slow(factor float64) {
	if target.model == nil {
		target.service.factor = factor
		return
	}
	target.model.SetSlowdown(factor)
	target.touch()
}

func (target *target) limit(rate float64) {
	target.isLimited = rate > 0
	target.model.SetLimit(rate)
	target.touch()
}

func (target *target) crash() {
	if target.model != nil {
		target.model.Crash()
		target.sequence = 0
		return
	}
	target.service.down = true
	calls := append(target.service.running, target.service.waiting...)
	target.service.running, target.service.waiting = nil, nil
	for _, call := range calls {
		call.ended(false)
	}
}

func (target *target) restart() {
	target.service.down = false
	if target.model != nil {
		target.model.Restart()
	}
}

func (target *target) down() bool {
	return target.service.down || target.model != nil && target.model.Down()
}

// load is the target's last report.
func (target *target) load() pool.Load {
	if target.model == nil {
		return pool.Load{Running: len(target.service.running), Waiting: len(target.service.waiting), ReportedAt: time.Now()}
	}
	report := target.model.Load()
	return pool.Load{Running: report.Running, Waiting: report.Waiting, Limit: report.Limit, ReportedAt: report.ReportedAt}
}

// call runs a call on a service.
func (target *target) call(ended func(done bool)) {
	target.service.waiting = append(target.service.waiting, &serviceCall{ended})
	target.serve()
}

func (target *target) serve() {
	service := &target.service
	for len(service.waiting) > 0 && len(service.running) < target.slots {
		call := service.waiting[0]
		service.waiting = service.waiting[1:]
		service.running = append(service.running, call)
		spread := 0.5 + target.simulation.random.Float64()
		target.simulation.after(time.Duration(float64(service.time)*service.factor*spread), func() { target.served(call) })
	}
}

func (target *target) served(call *serviceCall) {
	for i, running := range target.service.running {
		if running == call {
			target.service.running = append(target.service.running[:i], target.service.running[i+1:]...)
			call.ended(true)
			target.serve()
			return
		}
	}
}
