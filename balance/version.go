package balance

import (
	"hash/fnv"
	"io"
	"slices"
)

// VersionID identifies a version of the software of a pool's targets. It is the same on all
// hosts, and not 0.
type VersionID uint32

// NewVersionID returns the id of a pool's version.
func NewVersionID(pool, version string) VersionID {
	hash := fnv.New32a()
	// Writes to a hash don't fail.
	_, _ = io.WriteString(hash, pool)
	_, _ = hash.Write([]byte{0})
	_, _ = io.WriteString(hash, version)
	return VersionID(max(1, hash.Sum32()))
}

// VersionID returns the id of the target's version.
func (target *Target) VersionID() VersionID { return NewVersionID(target.Pool, target.Version) }

// HasVersion reports whether the pool has a target of a version that takes requests, or may
// soon.
func (balancer *Balancer) HasVersion(name string, version VersionID) bool {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	return slices.ContainsFunc(balancer.getOrCreatePool(name).targets, func(targetState *targetState) bool {
		return targetState.versionID == version && !targetState.Leaving
	})
}
