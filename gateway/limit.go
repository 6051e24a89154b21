package gateway

import (
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/limit"
	"nutmegfield.example/quarantine"
	"nutmegfield.example/timeline"
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

// observeLimit records what an answer, to a request that was sent at a time, says of the
// target's limit. One to a request that did not run ends no limit: it may not be the
// target's own.
func (gateway *Gateway) observeLimit(target *balance.Target, reply Reply, sentAt time.Time) {
	switch {
	case reply.Misdirected:
	case reply.NotRun && reply.RateLimit == 0:
		gateway.Limiter.RecordAnswer(limitedTarget(target), sentAt)
	default:
		gateway.Limiter.Observe(limitedTarget(target), reply.RateLimit, sentAt)
	}
}

// limitFacts returns the facts of a sent request for the limit of its target, none if it
// has no limit.
func limitFacts(grant *balance.Grant) []timeline.Fact {
	if grant.Limit == 0 {
		return nil
	}
	return []timeline.Fact{{Key: "limit", Value: limit.FormatRate(grant.Limit)}}
}

// limitCalls returns the balancer's calls for the limits of targets.
func limitCalls(limiter *limit.Limiter) balance.Limits {
	return balance.Limits{
		Rate: func(target *balance.Target) float64 {
			if limiter.IsEmpty() {
				return 0
			}
			return limiter.Rate(limitedTarget(target))
		},
		Permits: func(target *balance.Target) int { return limiter.Permits(limitedTarget(target)) },
		Take:    func(target *balance.Target) bool { return limiter.Take(limitedTarget(target)) },
		Want: func(target *balance.Target, count, tier int) {
			if tier < 0 {
				tier = limit.ExpectedTier
			}
			limiter.Want(limitedTarget(target), count, tier)
		},
	}
}
