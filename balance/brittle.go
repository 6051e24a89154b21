package balance

import (
	"hash/fnv"
	"io"
	"math"
	"time"
)

// Brittle targets end when they have to turn away too many requests. Hosts learn of each
// other's requests with a delay, so each slot of such a target belongs to one host; the
// others use it only while the target has far more room than they need.

const (
	// brittleLifetime is the time for which the targets of a pool count as brittle after one
	// has said so.
	brittleLifetime = 5 * time.Second
	// freshReports is the largest age of reports that are relied on, relative to the time in
	// which they arrive.
	freshReports = 3
	// brittleReportTime is the time for which a host tells the others what a target said.
	brittleReportTime = time.Second
	// brittleBackoff is the shortest backoff of a brittle target that refused a request as
	// full; it is longer where hosts would together be refused too often in a second, up to
	// maxBrittleBackoff.
	brittleBackoff    = time.Second
	maxBrittleBackoff = 10 * time.Second
)

// BrittlePool is a pool whose targets are brittle.
type BrittlePool struct {
	Pool string
	// Limit is the number of requests that a target can turn away in a second.
	Limit int
}

// RecordBrittle records that a target said how many requests it can turn away in a second. It
// reports whether that is news of its pool.
func (balancer *Balancer) RecordBrittle(target *Target, limit int) bool {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := time.Now()
	pool := balancer.getOrCreatePool(target.Pool)
	isNews := !pool.isBrittle(now)
	pool.brittleLimit, pool.brittleUntil = max(1, limit), now.Add(brittleLifetime)
	pool.brittleSeenAt, pool.holdsBack = now, true
	return isNews
}

// learnBrittle records the pools that are brittle by another host's report: a host without
// slots of its own hears it from no target.
func (balancer *Balancer) learnBrittle(report *Report) {
	for _, brittle := range report.Brittle {
		if pool := balancer.pools[brittle.Pool]; pool != nil {
			pool.brittleLimit = max(1, brittle.Limit)
			pool.brittleUntil = report.ReceivedAt.Add(brittleLifetime)
		}
	}
}

func (pool *pool) isBrittle(now time.Time) bool { return now.Before(pool.brittleUntil) }

// acceptsBrittle reports whether this host may send one more request to a target of a
// brittle pool.
func (balancer *Balancer) acceptsBrittle(pool *pool, targetState *targetState, now time.Time) bool {
	if targetState.totalInFlight() >= targetState.Slots || now.Before(targetState.brittleBackoffUntil) {
		return false
	}
	if targetState.inFlight < balancer.ownSlots(targetState) {
		return true
	}
	if !balancer.hearsOthers(now) {
		return false
	}
	unseen := balancer.unseenRequests(pool, now, balancer.hostCount()) / float64(max(1, len(pool.targets)))
	return targetState.totalInFlight()+1+int(math.Ceil(herdFactor*unseen)) < targetState.Slots
}

// hearsOthers reports whether this host knows what the others have in flight: it is the only
// one, or all reports that it has are fresh. After a pause it has none, or old ones.
func (balancer *Balancer) hearsOthers(now time.Time) bool {
	if balancer.hostCount() == 1 {
		return true
	}
	return len(balancer.reports) > 0 && balancer.oldestReportAge(now) <= freshReports*balancer.propagationDelay()
}

// ownSlots returns the number of a target's slots that belong to this host. Hosts that know
// the same hosts agree on that.
func (balancer *Balancer) ownSlots(targetState *targetState) int {
	index, count := 0, 1
	if balancer.HostShare != nil {
		index, count = balancer.HostShare()
	}
	hash := fnv.New32a()
	// Writes to a hash don't fail.
	_, _ = io.WriteString(hash, targetState.ID)
	first := (index + int(hash.Sum32()%uint32(count))) % count
	return (targetState.Slots + count - 1 - first) / count
}

// brittleBackoff returns the backoff after a target of the pool refused a request as full.
func (balancer *Balancer) brittleBackoff(pool *pool) time.Duration {
	// Hosts may have several requests on their way when the first is refused.
	backoff := 2 * brittleBackoff * time.Duration(balancer.hostCount()) / time.Duration(max(1, pool.brittleLimit))
	return min(max(brittleBackoff, backoff), maxBrittleBackoff)
}
