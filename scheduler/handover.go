package scheduler

import (
	"slices"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/pool"
	"nutmegfield.example/timeline"
)

var eventHandover = timeline.Define(timeline.Kind{
	Number: 2004, Name: "pool scheduler handed over", Level: timeline.Info,
	Meaning: "Another host schedules the pool in this zone from now on; waiting tickets go there, and grants issued here are counted until they end.",
})

// MembershipChanged hands over the pools that another host is responsible for
// now. Their waiting tickets are dropped, not refused: the entry hosts send
// them to the new scheduler. Grants stay counted until they are released.
func (scheduler *Scheduler) MembershipChanged() {
	for name, running := range scheduler.runningPools() {
		responsible := scheduler.Responsible(name)
		if responsible == scheduler.Host {
			continue
		}
		for _, host := range scheduler.Hosts() {
			running.DropWaiting(host)
		}
		if !scheduler.markHandedOver(name) {
			continue
		}
		scheduler.Events.Record(eventHandover, timeline.Event{Pool: name, Peer: responsible})
		if responsible != "" {
			scheduler.Send(responsible, &peerpb.Envelope{Handovers: []*peerpb.Handover{{Pool: name}}})
		}
	}
}

// Reconnected sends a host the leaving states and unconfirmed grants again,
// because it may have missed them.
func (scheduler *Scheduler) Reconnected(host string) {
	if slices.Contains(scheduler.ZoneHosts(), host) {
		if messages := scheduler.leavingStates.messages(); len(messages) > 0 {
			scheduler.Send(host, &peerpb.Envelope{Targets: messages})
		}
	}
	for _, running := range scheduler.runningPools() {
		running.ResendGrants(host)
	}
}

// runningPools returns a copy of the map of pools, for use without the lock.
func (scheduler *Scheduler) runningPools() map[string]*pool.Pool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	pools := make(map[string]*pool.Pool, len(scheduler.pools))
	for name, running := range scheduler.pools {
		pools[name] = running
	}
	return pools
}

// markHandedOver marks a pool as handed over and returns false if it already
// was.
func (scheduler *Scheduler) markHandedOver(name string) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.handedOver[name] {
		return false
	}
	if scheduler.handedOver == nil {
		scheduler.handedOver = map[string]bool{}
	}
	scheduler.handedOver[name] = true
	return true
}

// receiveHandovers opens the pools that other hosts handed over, so that their
// settle period begins before the tickets arrive.
func (scheduler *Scheduler) receiveHandovers(envelope *peerpb.Envelope) {
	for _, message := range envelope.GetHandovers() {
		if scheduler.Responsible(message.GetPool()) == scheduler.Host {
			scheduler.openPool(message.GetPool())
		}
	}
}

// receiveHoldings frees the slots of grants that their entry host no longer
// holds because the release was lost.
func (scheduler *Scheduler) receiveHoldings(from string, envelope *peerpb.Envelope) {
	for _, message := range envelope.GetHoldings() {
		if found := scheduler.findPool(message.GetPool()); found != nil {
			found.Reconcile(from, scheduler.withProbedGrants(message.GetPool(), message.GetNumbers()))
		}
	}
}
