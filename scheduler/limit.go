package scheduler

import (
	"strconv"

	"nutmegfield.example/timeline"
)

var eventLimited = timeline.Define(timeline.Kind{
	Number: 2007, Name: "target limited", Level: timeline.Info,
	Meaning: "A target's load report names the requests a second in the fact rate, which it takes from all hosts together, or 0 for no limit any more. This host schedules the target alone and keeps to it.",
})

// recordLimit records an event if the limit that a target reports is another one than
// before.
func (scheduler *Scheduler) recordLimit(key targetKey, limit float64) {
	scheduler.mutex.Lock()
	changed := scheduler.limits[key] != limit
	if limit > 0 {
		if scheduler.limits == nil {
			scheduler.limits = map[targetKey]float64{}
		}
		scheduler.limits[key] = limit
	} else {
		delete(scheduler.limits, key)
	}
	scheduler.mutex.Unlock()
	if changed {
		scheduler.Events.Record(eventLimited, timeline.Event{
			Pool: key.pool, Target: key.target,
			Facts: []timeline.Fact{{Key: "rate", Value: strconv.FormatFloat(limit, 'g', 4, 64)}},
		})
	}
}
