package standin

import (
	"time"

	"nutmegfield.example/protocol"
)

// maxEvents limits the number of cache events that can be read.
const maxEvents = 4096

// eventLog holds the last maxEvents cache events of an engine, without the lost
// ones. Lost events use up a sequence number.
type eventLog struct {
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	event protocol.CacheEvent
	at    time.Time
}

func (model *EngineModel) recordCacheEvent(stored, removed []uint64) {
	model.events.sequence++
	if model.random.Float64() < model.Options.EventLoss {
		return
	}
	event := protocol.CacheEvent{Sequence: model.events.sequence, Stored: stored, Removed: removed}
	model.events.events = append(model.events.events, timedEvent{event, time.Now()})
	if excess := len(model.events.events) - maxEvents; excess > 0 {
		model.events.events = model.events.events[excess:]
	}
}

// Events returns the cache events after a sequence number, without those lost
// and those younger than EventLag.
func (model *EngineModel) Events(after uint64) []protocol.CacheEvent {
	model.Advance()
	readable := time.Now().Add(-model.Options.EventLag)
	events := []protocol.CacheEvent{}
	for _, logged := range model.events.events {
		if logged.event.Sequence > after && !logged.at.After(readable) {
			events = append(events, logged.event)
		}
	}
	return events
}

// recordLoad records the present load, which Load returns after ReportLag.
func (model *EngineModel) recordLoad() {
	model.reports = append(model.reports, protocol.Load{
		Running:    len(model.prefills) + len(model.decoding),
		Waiting:    len(model.waiting),
		Leaving:    model.leaving,
		Limit:      model.limit,
		ReportedAt: time.Now(),
	})
	model.dropOldReports()
}

// Load returns the load as it was ReportLag ago.
func (model *EngineModel) Load() protocol.Load {
	model.Advance()
	model.dropOldReports()
	reportedAt := time.Now().Add(-model.Options.ReportLag)
	if len(model.reports) == 0 || model.reports[0].ReportedAt.After(reportedAt) {
		return protocol.Load{ReportedAt: reportedAt}
	}
	load := model.reports[0]
	load.ReportedAt = reportedAt
	return load
}

// dropOldReports removes the reports before the last one that is at least
// ReportLag old.
func (model *EngineModel) dropOldReports() {
	reportedAt := time.Now().Add(-model.Options.ReportLag)
	dropped := 0
	for dropped+1 < len(model.reports) && !model.reports[dropped+1].ReportedAt.After(reportedAt) {
		dropped++
	}
	model.reports = model.reports[dropped:]
}
