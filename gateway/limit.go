package gateway

import (
	"nutmegfield.example/balance"
	"nutmegfield.example/limit"
	"nutmegfield.example/quarantine"
)

// limitedTarget returns the identity of a target's incarnation for its limit.
func limitedTarget(target *balance.Target) limit.Target {
	return limit.Target(quarantine.IncarnationOf(target))
}

// limitedTargets returns the ids of targets by their identity for limits.
func limitedTargets(targets []balance.Target) map[limit.Target]string {
	names := map[limit.Target]string{}
	for i := range targets {
		names[limitedTarget(&targets[i])] = targets[i].ID
	}
	return names
}
