package rollout

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/timeline"
)

var (
	eventOrdered = timeline.Define(timeline.Kind{
		Number: 1150, Name: "rollout ordered", Level: timeline.Info,
		Meaning: "This host has read, or another one told it, that the requests of the pool are to move to targets of the version in the detail.",
	})
	eventStage = timeline.Define(timeline.Kind{
		Number: 1151, Name: "rollout stage", Level: timeline.Info,
		Meaning: "The stage of the pool's rollout changed: sharing, moving, rollingBack, completed, rolledBack or dropped. The detail says why; the facts of the deciding host are its evidence, on other hosts the peer is the deciding one.",
	})
	eventRolledBack = timeline.Define(timeline.Kind{
		Number: 1152, Name: "rollout rolls back", Level: timeline.Warn,
		Meaning: "This host decides for all that the version in the detail gets no more requests of the pool, for the reason in the facts; evidence holds the measure, the bad answers of both versions, the route and the e-value.",
		Action:  "look at the version's answers on the route that the evidence names",
	})
	eventEvidence = timeline.Define(timeline.Kind{
		Number: 1153, Name: "rollout evidence", Level: timeline.Info,
		Meaning: "What the deciding host knows of the pool's rollout: the requests and those sent to the new version, its answers and failures, the share, and the e-value against it, which is 100 or more for a bad version.",
	})
	eventDecides = timeline.Define(timeline.Kind{
		Number: 1154, Name: "host decides on rollout", Level: timeline.Info,
		Meaning: "This host decides on the pool's rollout from now on, as the first of those that are heard and know rollouts.",
	})
	eventWritten = timeline.Define(timeline.Kind{
		Number: 1155, Name: "rollout status written", Level: timeline.Info,
		Meaning: "This host has written the state in the detail to the platform's order.",
	})
	eventNotWritten = timeline.Define(timeline.Kind{
		Number: 1156, Name: "rollout status not written", Level: timeline.Warn,
		Meaning: "The state of a rollout could not be written to the platform; the detail is the error. It is written again until that succeeds, and recorded once.",
		Action:  "see whether the platform answers",
	})
	eventLate = timeline.Define(timeline.Kind{
		Number: 1157, Name: "rollout late", Level: timeline.Warn,
		Meaning: "Requests still run at the old version at the deadline of the pool's rollout; the end is written when they have ended, so that none is cut off. The fact is their number.",
		Action:  "give later orders more time than the longest streams of the pool take",
	})
	eventHeld = timeline.Define(timeline.Kind{
		Number: 1158, Name: "version held", Level: timeline.Info,
		Meaning: "Targets of a version that is new to the pool get nothing until this host knows whether a rollout asks for it.",
	})
	eventReleased = timeline.Define(timeline.Kind{
		Number: 1159, Name: "version released", Level: timeline.Info,
		Meaning: "No rollout asks for a version that is new to the pool: its targets are used like all others.",
	})
)

var (
	statusWrites       = metrics.GetOrCreateCounter("nutmegfield_rollout_status_writes_total")
	statusWritesFailed = metrics.GetOrCreateCounter("nutmegfield_rollout_status_writes_failed_total")
)

// countStage counts the stages that this host decided on.
func countStage(stage Stage) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_rollout_stages_total{stage=%q}", stage)).Inc()
}

// countSent counts a request that was sent to the new version of a pool.
func countSent(pool string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_rollout_sent_total{pool=%q}", pool)).Inc()
}
