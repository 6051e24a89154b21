package balance

import (
	"slices"
	"time"
)

// Restriction says which targets of a pool may be granted to a ticket. It is not changed once
// a ticket has it. Nil allows all.
type Restriction struct {
	// Only is the only version of targets that may be granted, 0 for any; Except are versions
	// that may not.
	Only   VersionID
	Except []VersionID
	// Among are the IDs of the only targets that may be granted, nil for any.
	Among []string
	// IsUsual is set if the usual ticket of the pool has it, so that the room of other targets
	// is not counted for the pool.
	IsUsual bool
}

// allows reports whether a target may be granted.
func (restriction *Restriction) allows(targetState *targetState) bool {
	if restriction == nil {
		return true
	}
	return (restriction.Only == 0 || targetState.versionID == restriction.Only) &&
		!slices.Contains(restriction.Except, targetState.versionID) &&
		(restriction.Among == nil || slices.Contains(restriction.Among, targetState.ID))
}

// allows reports whether a target may be granted to a ticket, whatever its state.
func (ticket *Ticket) allows(targetState *targetState) bool {
	return (ticket.Version == 0 || targetState.versionID == ticket.Version) && ticket.Restriction.allows(targetState)
}

// restrictedCapacity is the free capacity for tickets with a restriction or a version.
type restrictedCapacity struct {
	restriction *Restriction
	version     VersionID
	free        int
}

// freeFor returns the free capacity for a ticket in a dispatch, which the caller may change.
func (balancer *Balancer) freeFor(dispatchRound *dispatchRound, ticket *Ticket) *int {
	pool := dispatchRound.pool
	if pool.usual == nil && ticket.Restriction == nil || ticket.Version == 0 && ticket.Restriction == pool.usual {
		return &dispatchRound.freeCapacity
	}
	for i := range dispatchRound.restricted {
		if known := &dispatchRound.restricted[i]; known.restriction == ticket.Restriction && known.version == ticket.Version {
			return &known.free
		}
	}
	free := balancer.freeCapacityOf(pool, ticket.allows, dispatchRound.now)
	dispatchRound.restricted = append(dispatchRound.restricted, restrictedCapacity{restriction: ticket.Restriction, version: ticket.Version, free: free})
	return &dispatchRound.restricted[len(dispatchRound.restricted)-1].free
}

// lowestFailedFraction returns the lowest failed fraction of the targets that a ticket may get.
// Those of a version that fails more than others are as good as any for a ticket that gets no
// other.
func (dispatchRound *dispatchRound) lowestFailedFraction(ticket *Ticket) float64 {
	if ticket.Version == 0 && ticket.Restriction == nil {
		return dispatchRound.averages.lowestFailedFraction
	}
	lowest := 1.0
	for _, targetState := range dispatchRound.pool.targets {
		if ticket.allows(targetState) {
			lowest = min(lowest, targetState.failedFraction)
		}
	}
	return lowest
}

// Serves reports whether the pool has a target which a restriction allows, and that takes
// requests or may soon, and whether such a target has room for one now.
func (balancer *Balancer) Serves(name string, restriction *Restriction) (exists, hasRoom bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	pool, now := balancer.getOrCreatePool(name), time.Now()
	for _, targetState := range pool.targets {
		if !restriction.allows(targetState) || targetState.Leaving || targetState.replaced || targetState.announcement.isLeaving {
			continue
		}
		exists = true
		if targetState.isEligible(now) && targetState.totalInFlight() < pool.capacity(targetState) {
			return true, true
		}
	}
	return exists, false
}

// VersionUse is what a pool has of a version, and what runs at its other targets.
type VersionUse struct {
	// Targets is the number of targets of the version that take requests, Slots the sum of
	// their slots.
	Targets, Slots int
	// Others is the number of requests of all hosts that run at targets of other versions,
	// and OwnOthers of them those of this host, also at targets without an entry.
	Others, OwnOthers int
}

// Use returns what a pool has of a version.
func (balancer *Balancer) Use(name string, version VersionID) VersionUse {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	use, now := VersionUse{}, time.Now()
	for _, targetState := range balancer.getOrCreatePool(name).targets {
		switch {
		case targetState.versionID != version:
			use.Others += targetState.totalInFlight()
			use.OwnOthers += targetState.inFlight
		case targetState.isEligible(now):
			use.Targets++
			use.Slots += targetState.Slots
		}
	}
	for _, targetState := range balancer.removed {
		if targetState.Pool == name && targetState.versionID != version {
			use.Others += targetState.inFlight
			use.OwnOthers += targetState.inFlight
		}
	}
	return use
}
