package load

import "time"

// Utilisation is the part of the engines' capacity that a schedule asks for:
// the time a pool's engines would take with full batches, each block of a
// prompt computed once, over the time there is. It is the greatest of the
// model pools.
func (scenario *Scenario) Utilisation(requests []*Request) float64 {
	most := 0.0
	for i := range scenario.Pools {
		if len(scenario.Pools[i].Engines) > 0 {
			most = max(most, scenario.Pools[i].utilisation(requests, scenario.Duration))
		}
	}
	return most
}

func (pool *Pool) utilisation(requests []*Request, duration time.Duration) float64 {
	var prompt, output float64
	computed := map[uint64]struct{}{}
	for _, request := range requests {
		if request.Class.Pool != pool.Name {
			continue
		}
		output += float64(request.Output)
		left := request.PromptTokens()
		for _, hash := range request.Chain() {
			if _, ok := computed[hash]; ok {
				left -= blocks(1)
			}
			computed[hash] = struct{}{}
		}
		prompt += float64(left)
	}
	perSecond := 0.0
	for i := range pool.Engines {
		engine := &pool.Engines[i]
		step := (1 + engine.BatchSlope*float64(engine.Slots-1)) / engine.DecodeRate
		perSecond += 1 / (prompt/engine.PrefillRate + output*step/float64(engine.Slots))
	}
	return 1 / (perSecond * duration.Seconds())
}
