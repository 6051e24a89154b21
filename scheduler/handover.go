package scheduler

import (
	"slices"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/pool"
	"nutmegfield.example/timeline"
)

var eventHandover = timeline.Define(timeline.Kind{
	Number: 2004, Name: "pool scheduler handed over", Level: timeline.Info,
	Meaning: "Another host schedules the pool in this zone from now on; waiting tickets go there, and grants given here are counted until they end.",
})

// Moved hands over the pools that fall to another host now. Their waiting
// tickets are forgotten, not refused: the entry hosts send them to the new
// scheduler. Grants stay counted until they are released.
func (scheduler *Scheduler) Moved() {
	for name, running := range scheduler.running() {
		responsible := scheduler.Responsible(name)
		if responsible == scheduler.Host {
			continue
		}
		for _, host := range scheduler.Hosts() {
			running.DropWaiting(host)
		}
		if !scheduler.handOver(name) {
			continue
		}
		scheduler.Events.Record(eventHandover, timeline.Event{Pool: name, Peer: responsible})
		if responsible != "" {
			scheduler.Send(responsible, &peerpb.Envelope{Handovers: []*peerpb.Handover{{Pool: name}}})
		}
	}
}

// Reconnected sends a host the words and grants again that it may not have
// got.
func (scheduler *Scheduler) Reconnected(host string) {
	if slices.Contains(scheduler.ZoneHosts(), host) {
		if told := scheduler.words.messages(); len(told) > 0 {
			scheduler.Send(host, &peerpb.Envelope{Targets: told})
		}
	}
	for _, running := range scheduler.running() {
		running.ResendGrants(host)
	}
}

// running returns the pools, without the lock.
func (scheduler *Scheduler) running() map[string]*pool.Pool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	pools := make(map[string]*pool.Pool, len(scheduler.pools))
	for name, running := range scheduler.pools {
		pools[name] = running
	}
	return pools
}

// handOver notes that a pool falls to another host, and reports whether that
// is new.
func (scheduler *Scheduler) handOver(name string) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.handed[name] {
		return false
	}
	if scheduler.handed == nil {
		scheduler.handed = map[string]bool{}
	}
	scheduler.handed[name] = true
	return true
}

// receiveHandovers starts the pools that another host gave up, so that they
// settle before the tickets come.
func (scheduler *Scheduler) receiveHandovers(envelope *peerpb.Envelope) {
	for _, message := range envelope.GetHandovers() {
		if scheduler.Responsible(message.GetPool()) == scheduler.Host {
			scheduler.open(message.GetPool())
		}
	}
}

// receiveHoldings frees the slots of grants whose release was lost.
func (scheduler *Scheduler) receiveHoldings(from string, envelope *peerpb.Envelope) {
	for _, message := range envelope.GetHoldings() {
		if found := scheduler.find(message.GetPool()); found != nil {
			found.Reconcile(from, scheduler.withAsked(message.GetPool(), message.GetNumbers()))
		}
	}
}
