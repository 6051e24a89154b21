package entry

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
)

// Zones chooses the scheduler that a pool's tickets wait at. Fields are set
// before use.
type Zones struct {
	// Self is this host.
	Self  peer.Host
	Store *profile.Store
	View  func() *peer.View
	// Leaving reports whether a target is known to be leaving.
	Leaving func(pool, target string) bool

	mutex sync.Mutex
	// unserved holds until when a zone's scheduler is passed over.
	unserved map[poolZone]time.Time
}

// poolZone is a pool in a zone.
type poolZone struct {
	pool string
	zone string
}

// unservedSpan is how long a zone is passed over after its scheduler said that
// no target of a pool is there.
const unservedSpan = 5 * time.Second

// Unserved notes that a scheduler's host said so, and reports whether that is
// news.
func (zones *Zones) Unserved(pool, host string) bool {
	found, known := zones.View().Find(host)
	if !known {
		return false
	}
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	if zones.unserved == nil {
		zones.unserved = map[poolZone]time.Time{}
	}
	place := poolZone{pool, found.Zone}
	now := time.Now()
	news := !now.Before(zones.unserved[place])
	zones.unserved[place] = now.Add(unservedSpan)
	return news
}

func (zones *Zones) passedOver(pool, zone string) bool {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	return time.Now().Before(zones.unserved[poolZone{pool, zone}])
}

// Scheduler names the host that schedules a pool for this host now: that of
// its own zone while the zone has a target that takes work and a host to
// schedule it, else that of the first other zone which has. Where none has it
// is the own zone's, whose scheduler knows best what to say; empty if there is
// none.
func (zones *Zones) Scheduler(pool string) string {
	view := zones.View()
	open := zones.order(pool, zones.open(pool))
	for _, zone := range open {
		responsible, found := view.Responsible(zone, pool)
		if found && !zones.passedOver(pool, zone) {
			return responsible.ID
		}
	}
	for _, zone := range append([]string{zones.Self.Zone}, open...) {
		if responsible, found := view.Responsible(zone, pool); found {
			return responsible.ID
		}
	}
	return ""
}

// open returns the zones with a target of the pool that takes work.
func (zones *Zones) open(pool string) []string {
	snapshot := zones.Store.Current()
	if snapshot == nil || snapshot.Pool(pool) == nil {
		return nil
	}
	seen := map[string]struct{}{}
	var open []string
	for _, target := range snapshot.Pool(pool).Targets {
		if _, known := seen[target.Zone]; known || target.Leaving || zones.Leaving(pool, target.Name) {
			continue
		}
		seen[target.Zone] = struct{}{}
		open = append(open, target.Zone)
	}
	return open
}

// order puts the own zone first and the others by rendezvous hashing for this
// host and pool, so that what one zone can't serve spreads over the others.
func (zones *Zones) order(pool string, open []string) []string {
	rank := func(zone string) uint64 {
		return xxhash.Sum64String(zones.Self.ID + "\x00" + pool + "\x00" + zone)
	}
	sort.Slice(open, func(i, j int) bool {
		if own := open[i] == zones.Self.Zone; own || open[j] == zones.Self.Zone {
			return own
		}
		return rank(open[i]) > rank(open[j])
	})
	return open
}
