package rollout

import (
	"slices"
	"strings"
	"time"
)

// Status is what a host knows of a rollout, for operators.
type Status struct {
	Pool    string `json:"pool"`
	Version string `json:"version"`
	Stage   string `json:"stage"`
	// Decider is the address of the host that decides, empty if it is not heard.
	Decider string `json:"decider"`
	// Share is the part of the requests that goes to the new version.
	Share float64 `json:"share"`
	// Requests and Sent are those of all hosts that the deciding one knew of.
	Requests uint64 `json:"requests"`
	Sent     uint64 `json:"sent"`
	// LeftMs is the time until the deadline in milliseconds, 0 after the end.
	LeftMs int64 `json:"leftMs"`
	// Evidence is that of the deciding host; others have none.
	Evidence string `json:"evidence,omitempty"`
}

// Statuses returns the rollouts that this host knows of, by pool.
func (rollouts *Rollouts) Statuses() []Status {
	statuses := []Status{}
	if rollouts == nil {
		return statuses
	}
	rollouts.mutex.Lock()
	defer rollouts.mutex.Unlock()
	now := time.Now()
	for _, move := range rollouts.moves {
		status := Status{
			Pool: move.order.Pool, Version: move.order.Version, Stage: move.stage.String(), Decider: move.decider,
			Requests: move.told.Requests, Sent: move.told.Sent,
		}
		if !move.stage.hasEnded() {
			status.Share = move.told.Share
			if !move.start.IsZero() {
				status.LeftMs = max(0, newSchedule(move.start, move.order.Duration).deadline.Sub(now).Milliseconds())
			}
		}
		if move.decision != nil {
			var facts []string
			for _, fact := range rollouts.evidenceFacts(move.decision) {
				facts = append(facts, fact.Key+" "+fact.Value)
			}
			status.Evidence = strings.Join(facts, ", ")
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(one, other Status) int { return strings.Compare(one.Pool, other.Pool) })
	return statuses
}
