package origin

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"nutmegfield.example/balance"
)

// PoolState is what a host knows of the versions of a pool.
type PoolState struct {
	// Only is the version of all targets, 0 if there are several or none.
	Only balance.VersionID
	// IsMixed is set if the host has seen several within streamLifetime.
	IsMixed bool
	// IsEstablished is set if the host has seen the targets for that long.
	IsEstablished bool
}

// poolVersions are the versions of the targets of a pool.
type poolVersions struct {
	name string
	// current are the versions now, with their names; seenAt is when a version was last
	// seen that the pool has no more.
	current map[balance.VersionID]string
	seenAt  map[balance.VersionID]time.Time
}

// describe returns the versions for events.
func (poolVersions *poolVersions) describe() string {
	return strings.Join(slices.Sorted(maps.Values(poolVersions.current)), ", ")
}

// pools are the versions of all pools.
type pools struct {
	mutex  sync.Mutex
	byName map[string]*poolVersions
	// startedAt is when targets were first set.
	startedAt time.Time
}

// set sets the current targets. It returns the pools that have several versions now and
// had one before, or the reverse.
func (pools *pools) set(targets []balance.Target, now time.Time) []*poolVersions {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	if pools.byName == nil {
		pools.byName = map[string]*poolVersions{}
	}
	if pools.startedAt.IsZero() {
		pools.startedAt = now
	}
	current := map[string]map[balance.VersionID]string{}
	for name := range pools.byName {
		current[name] = map[balance.VersionID]string{}
	}
	for i := range targets {
		target := &targets[i]
		if current[target.Pool] == nil {
			current[target.Pool] = map[balance.VersionID]string{}
		}
		current[target.Pool][target.VersionID()] = target.Version
	}
	var changed []*poolVersions
	for name, versions := range current {
		before := pools.byName[name]
		if before == nil {
			before = &poolVersions{}
		}
		after := &poolVersions{name: name, current: versions, seenAt: map[balance.VersionID]time.Time{}}
		for version, at := range before.seenAt {
			if now.Sub(at) < streamLifetime {
				after.seenAt[version] = at
			}
		}
		for version := range before.current {
			after.seenAt[version] = now
		}
		if (len(before.current) > 1) != (len(versions) > 1) {
			changed = append(changed, after)
		}
		pools.byName[name] = after
		if len(versions) == 0 && len(after.seenAt) == 0 {
			// Entries of other writers may name ever new pools.
			delete(pools.byName, name)
		}
	}
	return changed
}

// learn adds versions that other hosts have seen, with the times in milliseconds since 1970 at which
// they last did. It reports whether a pool is known to have had several versions by that.
func (pools *pools) learn(seen map[string]map[balance.VersionID]int64, now time.Time) (isMixed bool) {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	if pools.byName == nil {
		pools.byName = map[string]*poolVersions{}
	}
	for name, versions := range seen {
		pool := pools.byName[name]
		if pool == nil {
			pool = &poolVersions{name: name, seenAt: map[balance.VersionID]time.Time{}}
		}
		for version, milliseconds := range versions {
			at := earlier(time.UnixMilli(milliseconds), now)
			if now.Sub(at) >= streamLifetime || !at.After(pool.seenAt[version]) {
				continue
			}
			_, isCurrent := pool.current[version]
			_, isKnown := pool.seenAt[version]
			isMixed = isMixed || !isCurrent && !isKnown && len(pool.current) > 0
			pool.seenAt[version] = at
			pools.byName[name] = pool
		}
	}
	return isMixed
}

// seen returns the times at which the versions of all pools were last seen, in milliseconds since
// 1970.
func (pools *pools) seen(now time.Time) map[string]map[balance.VersionID]int64 {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	seen := map[string]map[balance.VersionID]int64{}
	for _, name := range slices.Sorted(maps.Keys(pools.byName)) {
		if len(seen) == maxHistoryPools {
			break
		}
		pool, versions := pools.byName[name], map[balance.VersionID]int64{}
		for version, at := range pool.seenAt {
			if now.Sub(at) < streamLifetime {
				versions[version] = at.UnixMilli()
			}
		}
		for version := range pool.current {
			versions[version] = now.UnixMilli()
		}
		if len(versions) > 0 {
			seen[name] = versions
		}
	}
	return seen
}

// current returns the present versions of the pools that a history holds.
func (pools *pools) current() []balance.VersionID {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	names := slices.Sorted(maps.Keys(pools.byName))
	var current []balance.VersionID
	for _, name := range names[:min(maxHistoryPools, len(names))] {
		current = slices.AppendSeq(current, maps.Keys(pools.byName[name].current))
	}
	return current
}

// start returns when targets were first set, zero if they were not.
func (pools *pools) start() time.Time {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	return pools.startedAt
}

// state returns what is known of a pool.
func (pools *pools) state(name string, now time.Time) PoolState {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	pool := pools.byName[name]
	if pool == nil {
		return PoolState{}
	}
	state := PoolState{IsMixed: len(pool.current) > 1, IsEstablished: now.Sub(pools.startedAt) >= streamLifetime}
	for version := range pool.current {
		if len(pool.current) == 1 {
			state.Only = version
		}
	}
	for version, at := range pool.seenAt {
		if _, isCurrent := pool.current[version]; !isCurrent && now.Sub(at) < streamLifetime && len(pool.current) > 0 {
			state.IsMixed = true
		}
	}
	return state
}

// isMixed reports whether a pool has or recently had several versions.
func (pools *pools) isMixed(name string, now time.Time) bool { return pools.state(name, now).IsMixed }

// mixed returns the names of the pools that have or recently had several versions.
func (pools *pools) mixed(now time.Time) []string {
	pools.mutex.Lock()
	names := slices.Collect(maps.Keys(pools.byName))
	pools.mutex.Unlock()
	return slices.DeleteFunc(names, func(name string) bool { return !pools.isMixed(name, now) })
}

// isNew reports whether targets have been known for less than membersTimeout.
func (pools *pools) isNew(now time.Time) bool {
	pools.mutex.Lock()
	defer pools.mutex.Unlock()
	return pools.startedAt.IsZero() || now.Sub(pools.startedAt) < membersTimeout
}
