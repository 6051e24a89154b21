package balance

import (
	"slices"
	"time"
)

const (
	// cutTargets is how many targets of another zone must be out of reach one
	// after the other, none answering in between, until the zone is taken to be
	// cut off. Where a quarter of them has crashed, one run in 250 gets that far.
	cutTargets = 4
	// zonePause is the time between two requests that try a zone that is cut
	// off: each costs its caller the time of a dial.
	zonePause = 500 * time.Millisecond
)

// zone is what a host believes of the way to another zone.
type zone struct {
	name string
	// failed are the targets out of reach since one of the zone answered.
	failed      []string
	pausedUntil time.Time
	// tell is called when the belief changes.
	tell func(zone string, cut bool)
}

// zone returns what is believed of the way to a zone, nil for the host's own.
func (balancer *Balancer) zone(name string) *zone {
	if name == balancer.Zone {
		return nil
	}
	if balancer.zones == nil {
		balancer.zones = map[string]*zone{}
	}
	found := balancer.zones[name]
	if found == nil {
		found = &zone{name: name, tell: balancer.OnZoneChange}
		balancer.zones[name] = found
	}
	return found
}

// cut reports whether the zone is taken to be cut off.
func (zone *zone) cut() bool { return zone != nil && len(zone.failed) >= cutTargets }

func (zone *zone) paused(now time.Time) bool { return zone.cut() && now.Before(zone.pausedUntil) }

// tried notes that a request is sent to the zone: one that is cut off gets the
// next only after a pause.
func (zone *zone) tried(now time.Time) {
	if zone.cut() {
		zone.pausedUntil = now.Add(zonePause)
	}
}

// reached notes that a target of the zone answered.
func (zone *zone) reached() {
	if zone == nil {
		return
	}
	cut := zone.cut()
	zone.failed = zone.failed[:0]
	zone.changed(cut)
}

// changed tells that the zone is cut off, or is no more, if it was not before.
func (zone *zone) changed(before bool) {
	if cut := zone.cut(); cut != before && zone.tell != nil {
		zone.tell(zone.name, cut)
	}
}

// unreachable notes that a target could not be reached.
func (zone *zone) unreachable(target string, now time.Time) {
	if zone == nil {
		return
	}
	cut := zone.cut()
	if !slices.Contains(zone.failed, target) && len(zone.failed) < cutTargets {
		zone.failed = append(zone.failed, target)
	}
	zone.changed(cut)
	zone.tried(now)
}
