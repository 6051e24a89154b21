package scheduler

import (
	"sync"
	"time"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/pool"
	"nutmegfield.example/timeline"
)

// minLeavingTime is the least time that a target counts as leaving: a load
// report that arrives late, from before the state changed, must not revert it.
const minLeavingTime = 5 * time.Second

var eventLeaving = timeline.Define(timeline.Kind{
	Number: 2005, Name: "target leaving", Level: timeline.Info,
	Meaning: "A target reported that it is leaving or, with the detail back, that it takes requests again; the other hosts of the zone are notified.",
})

// targetKey identifies a target of a pool.
type targetKey struct {
	pool   string
	target string
}

// leavingState is the newest report on whether a target is leaving.
type leavingState struct {
	leaving bool
	// sequence orders the states of one target: the time in microseconds at
	// which a host first received the report, or the previous sequence plus 1
	// if that is greater.
	sequence   uint64
	receivedAt time.Time
}

// leavingStates holds the newest leaving state of each target.
type leavingStates struct {
	mutex    sync.Mutex
	byTarget map[targetKey]leavingState
}

// update sets a state received from another host and reports true if its
// sequence is greater than that of the known state.
func (leavingStates *leavingStates) update(targetKey targetKey, leaving bool, sequence uint64) bool {
	leavingStates.mutex.Lock()
	defer leavingStates.mutex.Unlock()
	if sequence <= leavingStates.byTarget[targetKey].sequence {
		return false
	}
	leavingStates.set(targetKey, leaving, sequence)
	return true
}

// updateFromReport sets a state from the target's own report if it changed. It
// returns the sequence of the new state, 0 if unchanged.
func (leavingStates *leavingStates) updateFromReport(targetKey targetKey, leaving bool) uint64 {
	leavingStates.mutex.Lock()
	defer leavingStates.mutex.Unlock()
	known := leavingStates.byTarget[targetKey]
	if known.leaving == leaving || (!leaving && time.Since(known.receivedAt) < minLeavingTime) {
		return 0
	}
	sequence := max(known.sequence+1, uint64(time.Now().UnixMicro()))
	leavingStates.set(targetKey, leaving, sequence)
	return sequence
}

func (leavingStates *leavingStates) set(key targetKey, leaving bool, sequence uint64) {
	if leavingStates.byTarget == nil {
		leavingStates.byTarget = map[targetKey]leavingState{}
	}
	leavingStates.byTarget[key] = leavingState{leaving: leaving, sequence: sequence, receivedAt: time.Now()}
}

// leaving reports whether a target is leaving by its newest state.
func (leavingStates *leavingStates) leaving(targetKey targetKey) bool {
	leavingStates.mutex.Lock()
	defer leavingStates.mutex.Unlock()
	return leavingStates.byTarget[targetKey].leaving
}

// messages returns the messages for all states, for a host that may have missed
// some.
func (leavingStates *leavingStates) messages() []*peerpb.TargetWord {
	leavingStates.mutex.Lock()
	defer leavingStates.mutex.Unlock()
	var messages []*peerpb.TargetWord
	for targetKey, leavingState := range leavingStates.byTarget {
		messages = append(messages, targetWordMessage(targetKey, leavingState.leaving, leavingState.sequence))
	}
	return messages
}

func targetWordMessage(targetKey targetKey, leaving bool, sequence uint64) *peerpb.TargetWord {
	return &peerpb.TargetWord{Pool: targetKey.pool, Target: targetKey.target, Leaving: leaving, Sequence: sequence}
}

// TargetLeaving reports whether a target is leaving by its newest report.
func (scheduler *Scheduler) TargetLeaving(pool, target string) bool {
	return scheduler.leavingStates.leaving(targetKey{pool, target})
}

// recordLeaving applies a target's own report and sends a changed state to the
// other hosts of the zone.
func (scheduler *Scheduler) recordLeaving(targetKey targetKey, leaving bool) {
	sequence := scheduler.leavingStates.updateFromReport(targetKey, leaving)
	if sequence == 0 {
		return
	}
	scheduler.applyLeaving(targetKey, leaving)
	message := targetWordMessage(targetKey, leaving, sequence)
	for _, host := range scheduler.ZoneHosts() {
		if host != scheduler.Host {
			scheduler.Send(host, &peerpb.Envelope{Targets: []*peerpb.TargetWord{message}})
		}
	}
}

// receiveLeaving applies the leaving states from other hosts.
func (scheduler *Scheduler) receiveLeaving(envelope *peerpb.Envelope) {
	for _, message := range envelope.GetTargets() {
		targetKey := targetKey{message.GetPool(), message.GetTarget()}
		if scheduler.leavingStates.update(targetKey, message.GetLeaving(), message.GetSequence()) {
			scheduler.applyLeaving(targetKey, message.GetLeaving())
		}
	}
}

// applyLeaving records an event and applies a target's changed state to its
// pool.
func (scheduler *Scheduler) applyLeaving(targetKey targetKey, leaving bool) {
	event := timeline.Event{Pool: targetKey.pool, Target: targetKey.target}
	if !leaving {
		event.Detail = "back"
	}
	scheduler.Events.Record(eventLeaving, event)
	found := scheduler.findPool(targetKey.pool)
	switch {
	case found == nil:
	case leaving:
		found.SetLeaving(targetKey.target, true)
	case scheduler.reconfigure(targetKey, found):
		found.SetLeaving(targetKey.target, false)
	}
}

// reconfigure applies a pool's configuration again after one of its targets
// reported that it is no longer leaving. It reports whether the configuration
// has the target and does not mark it as leaving.
func (scheduler *Scheduler) reconfigure(targetKey targetKey, running *pool.Pool) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	snapshot := scheduler.Store.Current()
	profilePool := snapshot.Pool(targetKey.pool)
	if profilePool == nil {
		return false
	}
	running.Configure(scheduler.withLeaving(targetKey.pool, configuration(snapshot, profilePool, scheduler.Zone)))
	target := profilePool.Target(targetKey.target)
	return target != nil && !target.Leaving
}

// withLeaving returns a configuration with those targets marked as leaving that
// reported so.
func (scheduler *Scheduler) withLeaving(name string, configuration pool.Configuration) pool.Configuration {
	for i := range configuration.Targets {
		target := &configuration.Targets[i]
		target.Leaving = target.Leaving || scheduler.TargetLeaving(name, target.Name)
	}
	return configuration
}
