package entry

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
)

// SchedulerSelector selects the host whose scheduler gets a pool's tickets. Fields
// are set before use.
type SchedulerSelector struct {
	// Self is this host.
	Self  peer.Host
	Store *profile.Store
	View  func() *peer.View
	// TargetLeaving reports whether a target last reported that it is leaving.
	TargetLeaving func(pool, target string) bool

	mutex sync.Mutex
	// unservedUntil is the time until which the scheduler of a zone is avoided
	// for a pool.
	unservedUntil map[poolZone]time.Time
}

// poolZone identifies a pool in a zone.
type poolZone struct {
	pool string
	zone string
}

// unservedTTL is how long a zone is avoided after its scheduler reported that it
// has no target of a pool.
const unservedTTL = 5 * time.Second

// MarkUnserved marks a pool as unserved in the zone of a scheduler's host, for
// unservedTTL. It reports whether the pool was not marked there; for an unknown
// host it returns false.
func (schedulerSelector *SchedulerSelector) MarkUnserved(pool, host string) bool {
	found, known := schedulerSelector.View().Find(host)
	if !known {
		return false
	}
	schedulerSelector.mutex.Lock()
	defer schedulerSelector.mutex.Unlock()
	if schedulerSelector.unservedUntil == nil {
		schedulerSelector.unservedUntil = map[poolZone]time.Time{}
	}
	key := poolZone{pool, found.Zone}
	now := time.Now()
	newlyMarked := !now.Before(schedulerSelector.unservedUntil[key])
	schedulerSelector.unservedUntil[key] = now.Add(unservedTTL)
	return newlyMarked
}

// isUnserved reports whether a pool is marked as unserved in a zone.
func (schedulerSelector *SchedulerSelector) isUnserved(pool, zone string) bool {
	schedulerSelector.mutex.Lock()
	defer schedulerSelector.mutex.Unlock()
	return time.Now().Before(schedulerSelector.unservedUntil[poolZone{pool, zone}])
}

// Scheduler returns the id of the host that schedules a pool for this host: that of
// the first zone, its own before all others, that has a target which takes work and
// a host to schedule it, and is not marked as unserved. If there is none, it is the
// scheduler of its own zone, whose refusal gives the reason, or else of any zone
// with such a target; empty if no host schedules the pool.
func (schedulerSelector *SchedulerSelector) Scheduler(pool string) string {
	view := schedulerSelector.View()
	candidates := schedulerSelector.sortByPreference(pool, schedulerSelector.zonesWithTarget(pool))
	for _, zone := range candidates {
		responsible, found := view.Responsible(zone, pool)
		if found && !schedulerSelector.isUnserved(pool, zone) {
			return responsible.ID
		}
	}
	for _, zone := range append([]string{schedulerSelector.Self.Zone}, candidates...) {
		if responsible, found := view.Responsible(zone, pool); found {
			return responsible.ID
		}
	}
	return ""
}

// zonesWithTarget returns the zones that have a target of the pool which is not
// leaving.
func (schedulerSelector *SchedulerSelector) zonesWithTarget(pool string) []string {
	snapshot := schedulerSelector.Store.Current()
	if snapshot == nil || snapshot.Pool(pool) == nil {
		return nil
	}
	seen := map[string]struct{}{}
	var available []string
	for _, target := range snapshot.Pool(pool).Targets {
		if _, known := seen[target.Zone]; known || target.Leaving || schedulerSelector.TargetLeaving(pool, target.Name) {
			continue
		}
		seen[target.Zone] = struct{}{}
		available = append(available, target.Zone)
	}
	return available
}

// sortByPreference sorts the own zone first and the others by rendezvous hashing of
// host and pool, which spreads the load that one zone can't serve over the others.
func (schedulerSelector *SchedulerSelector) sortByPreference(pool string, candidates []string) []string {
	weight := func(zone string) uint64 {
		return xxhash.Sum64String(schedulerSelector.Self.ID + "\x00" + pool + "\x00" + zone)
	}
	sort.Slice(candidates, func(i, j int) bool {
		if own := candidates[i] == schedulerSelector.Self.Zone; own || candidates[j] == schedulerSelector.Self.Zone {
			return own
		}
		return weight(candidates[i]) > weight(candidates[j])
	})
	return candidates
}
