package load

import (
	"errors"
	"slices"
)

// check returns every fault of a scenario.
func (scenario *Scenario) check() error {
	var faults []error
	fault := func(good bool, format string, arguments ...any) {
		if !good {
			faults = append(faults, BadScenario.New(format, arguments...))
		}
	}
	fault(scenario.Duration > scenario.WarmUp && scenario.WarmUp >= 0, "duration: must be longer than warmUp")
	fault(scenario.Rate > 0, "rate: must be above 0")
	fault(scenario.Factor > 0, "factor: must be above 0")
	fault(len(scenario.Tiers) > 0, "tiers: none")
	fault(len(scenario.Workspaces) > 0, "workspaces: none")
	fault(scenario.Hosts >= len(scenario.Zones), "hosts: fewer than zones")
	for i := range scenario.Classes {
		class := &scenario.Classes[i]
		fault(scenario.Pool(class.Pool) != nil, "classes[%d].pool: there is no %s", i, class.Pool)
		fault(scenario.Tier(class.Tier) >= 0, "classes[%d].tier: there is no %s", i, class.Tier)
		fault(class.Deadline > 0, "classes[%d].deadline: must be above 0", i)
		fault(class.Share >= 0, "classes[%d].share: must not be below 0", i)
		fault(class.Turns.Most >= 1, "classes[%d].turns.most: must be at least 1", i)
	}
	for i := range scenario.Pools {
		for _, engine := range scenario.Pools[i].Engines {
			fault(slices.Contains(scenario.Zones, engine.Zone), "pools[%d]: %s: there is no zone %s", i, engine.Name, engine.Zone)
			fault(engine.PrefillRate > 0 && engine.DecodeRate > 0, "pools[%d]: %s: a rate is not above 0", i, engine.Name)
			fault(engine.Slots > 0 && engine.Memory > 0, "pools[%d]: %s: slots and memory must be above 0", i, engine.Name)
		}
		for _, service := range scenario.Pools[i].Services {
			fault(slices.Contains(scenario.Zones, service.Zone), "pools[%d]: %s: there is no zone %s", i, service.Name, service.Zone)
			fault(service.Slots > 0, "pools[%d]: %s: slots must be above 0", i, service.Name)
		}
	}
	for i, burst := range scenario.Bursts {
		fault(scenario.workspace(burst.Workspace) >= 0, "bursts[%d].workspace: there is no %s", i, burst.Workspace)
	}
	for i, failing := range scenario.Faults {
		what := 0
		for _, name := range []string{failing.Slow, failing.Crash, failing.Zone, failing.Limited, failing.Crashing} {
			if name != "" {
				what++
			}
		}
		fault(what == 1, "faults[%d]: one of slow, crash, zone, limited and crashing must be set", i)
		if failing.Limited != "" {
			fault(scenario.hasEngine(failing.Limited), "faults[%d].limited: there is no engine %s", i, failing.Limited)
			fault(failing.Rate > 0, "faults[%d].rate must be above 0", i)
		}
		if failing.Crashing != "" {
			class := scenario.class(failing.Crashing)
			fault(class != nil && scenario.Pool(class.Pool) != nil && len(scenario.Pool(class.Pool).Engines) > 0,
				"faults[%d].crashing: no class of engines is named %s", i, failing.Crashing)
			fault(failing.Every > 0 && failing.Down > 0, "faults[%d]: every and down must be above 0", i)
		}
	}
	return errors.Join(faults...)
}

// class returns a class by name, nil if there is none.
func (scenario *Scenario) class(name string) *Class {
	for i := range scenario.Classes {
		if scenario.Classes[i].Name == name {
			return &scenario.Classes[i]
		}
	}
	return nil
}

func (scenario *Scenario) workspace(name string) int {
	return slices.IndexFunc(scenario.Workspaces, func(workspace Workspace) bool { return workspace.Name == name })
}

// hasEngine reports whether a pool has an engine with a name.
func (scenario *Scenario) hasEngine(name string) bool {
	return slices.ContainsFunc(scenario.Pools, func(pool Pool) bool {
		return slices.ContainsFunc(pool.Engines, func(engine Engine) bool { return engine.Name == name })
	})
}
