package balance

import (
	"slices"
	"time"
)

const (
	// unreachableZoneTargets is the number of different targets of another zone that
	// must be unreachable, with no answer from the zone in between, before the zone
	// is considered unreachable. With a quarter of its targets crashed, about one
	// such sequence in 250 occurs by chance.
	unreachableZoneTargets = 4
	// zoneAttemptInterval is the time between two requests to an unreachable zone:
	// each delays its caller until the connection attempt has failed.
	zoneAttemptInterval = 500 * time.Millisecond
)

// zone tracks whether another zone is reachable from this host.
type zone struct {
	name string
	// failedTargets are the targets that failed since the zone last answered.
	failedTargets []string
	nextAttemptAt time.Time
	// onChange is Balancer.OnZoneChange.
	onChange func(zone string, unreachable bool)
}

// getOrCreateZone returns the state of another zone, nil for the host's own.
func (balancer *Balancer) getOrCreateZone(name string) *zone {
	if name == balancer.Zone {
		return nil
	}
	if balancer.zones == nil {
		balancer.zones = map[string]*zone{}
	}
	entry := balancer.zones[name]
	if entry == nil {
		entry = &zone{name: name, onChange: balancer.OnZoneChange}
		balancer.zones[name] = entry
	}
	return entry
}

// isUnreachable reports whether the zone is considered unreachable; a nil zone, the
// host's own, never is.
func (zone *zone) isUnreachable() bool {
	return zone != nil && len(zone.failedTargets) >= unreachableZoneTargets
}

// isBackingOff reports whether the zone gets no requests until nextAttemptAt.
func (zone *zone) isBackingOff(now time.Time) bool {
	return zone.isUnreachable() && now.Before(zone.nextAttemptAt)
}

// recordAttempt records that a request is sent to the zone. If the zone is
// unreachable, it gets no other request for zoneAttemptInterval.
func (zone *zone) recordAttempt(now time.Time) {
	if zone.isUnreachable() {
		zone.nextAttemptAt = now.Add(zoneAttemptInterval)
	}
}

// recordSuccess records that a target of the zone answered.
func (zone *zone) recordSuccess() {
	if zone == nil {
		return
	}
	wasUnreachable := zone.isUnreachable()
	zone.failedTargets = zone.failedTargets[:0]
	zone.notifyIfChanged(wasUnreachable)
}

// notifyIfChanged calls onChange if isUnreachable no longer returns wasUnreachable.
func (zone *zone) notifyIfChanged(wasUnreachable bool) {
	if unreachable := zone.isUnreachable(); unreachable != wasUnreachable && zone.onChange != nil {
		zone.onChange(zone.name, unreachable)
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
