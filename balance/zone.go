package balance

import (
	"slices"
	"time"
)

const (
	// unreachableZoneTargets is how many targets of another zone must be
	// unreachable in succession, with no answer from the zone in between, before the
	// zone counts as unreachable. With a quarter of its targets crashed, about one
	// sequence in 250 gets that far by chance.
	unreachableZoneTargets = 4
	// zoneAttemptInterval is the time between two requests to an unreachable zone:
	// each costs its caller the time of a dial.
	zoneAttemptInterval = 500 * time.Millisecond
)

// zone tracks whether another zone is reachable from this host.
type zone struct {
	name string
	// failedTargets are the targets that failed since the zone last answered.
	failedTargets []string
	pausedUntil   time.Time
	// onChange is called when the zone becomes unreachable or reachable; it may be
	// nil.
	onChange func(zone string, cut bool)
}

// zone returns the state of another zone, nil for the host's own.
func (balancer *Balancer) zone(name string) *zone {
	if name == balancer.Zone {
		return nil
	}
	if balancer.zones == nil {
		balancer.zones = map[string]*zone{}
	}
	found := balancer.zones[name]
	if found == nil {
		found = &zone{name: name, onChange: balancer.OnZoneChange}
		balancer.zones[name] = found
	}
	return found
}

// isUnreachable reports whether the zone counts as unreachable.
func (zone *zone) isUnreachable() bool {
	return zone != nil && len(zone.failedTargets) >= unreachableZoneTargets
}

func (zone *zone) isPaused(now time.Time) bool {
	return zone.isUnreachable() && now.Before(zone.pausedUntil)
}

// recordAttempt records that a request is sent to the zone. If the zone is
// unreachable, it gets the next request only after zoneAttemptInterval.
func (zone *zone) recordAttempt(now time.Time) {
	if zone.isUnreachable() {
		zone.pausedUntil = now.Add(zoneAttemptInterval)
	}
}

// recordSuccess records that a target of the zone answered.
func (zone *zone) recordSuccess() {
	if zone == nil {
		return
	}
	cut := zone.isUnreachable()
	zone.failedTargets = zone.failedTargets[:0]
	zone.notifyIfChanged(cut)
}

// notifyIfChanged calls onChange if isUnreachable no longer returns before.
func (zone *zone) notifyIfChanged(before bool) {
	if cut := zone.isUnreachable(); cut != before && zone.onChange != nil {
		zone.onChange(zone.name, cut)
	}
}

// recordFailure records that a target of the zone could not be reached.
func (zone *zone) recordFailure(target string, now time.Time) {
	if zone == nil {
		return
	}
	cut := zone.isUnreachable()
	if !slices.Contains(zone.failedTargets, target) && len(zone.failedTargets) < unreachableZoneTargets {
		zone.failedTargets = append(zone.failedTargets, target)
	}
	zone.notifyIfChanged(cut)
	zone.recordAttempt(now)
}
