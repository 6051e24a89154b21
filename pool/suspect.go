package pool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"nutmegfield.example/request"
)

const (
	// maxSuspects limits the fingerprints that are stored.
	maxSuspects = 4096
	// suspicionLifetime is how long a body stays suspect after a crash or the
	// end of its quarantine.
	suspicionLifetime = 10 * time.Minute
	// maxSuspectZones limits the other zones whose crashes are counted for a body.
	maxSuspectZones = 16
	// firstQuarantine grows by the factor 1<<quarantineGrowth with each crash after the
	// second, so that a body crashes at most three more targets in a day.
	firstQuarantine  = 10 * time.Minute
	quarantineGrowth = 3
	maxQuarantine    = 24 * time.Hour
	// quarantineCrashes is the number of crashes in a zone that leads to a quarantine:
	// after the first one a body runs alone there. quarantineCrashesOfZones is that in
	// all zones together.
	quarantineCrashes        = 2
	quarantineCrashesOfZones = 3
)

// Suspect is a request body that was in flight on a target that crashed. A
// Suspect with 0 crashes reports that the body has been cleared.
type Suspect struct {
	Fingerprint uint64
	// Zone is the zone whose targets crashed, empty for that of the pool.
	Zone    string
	Crashes int
	// Until is when the suspicion or the quarantine ends.
	Until       time.Time
	Quarantined bool
}

// ObserveSuspect records a suspect that another scheduler sent.
func (pool *Pool) ObserveSuspect(suspect Suspect) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	known, ok := pool.suspects.get(suspect.Fingerprint)
	if suspect.Crashes == 0 {
		pool.suspects.elsewhere.remove(suspect.Fingerprint)
		if ok && !known.Quarantined {
			pool.suspects.lru.remove(suspect.Fingerprint)
		}
		return
	}
	if suspect.Zone != "" && !suspect.Quarantined {
		pool.suspects.addElsewhere(suspect, now)
		if pool.suspects.isSuspect(suspect.Fingerprint, now) && !known.Quarantined && pool.suspects.quarantine(&known, now) {
			pool.sendSuspect(known)
		}
		pool.schedule(now)
		return
	}
	suspect.Zone = ""
	if !ok || suspect.Crashes > known.Crashes || known.Until.Before(suspect.Until) || suspect.Quarantined && !known.Quarantined {
		suspect.Crashes = max(suspect.Crashes, known.Crashes)
		pool.suspects.put(suspect)
	}
	pool.schedule(now)
}

// suspects stores the most recently used suspects.
type suspects struct {
	lru recentlyUsed[Suspect]
	// elsewhere holds those of other zones by zone.
	elsewhere recentlyUsed[map[string]Suspect]
}

// recentlyUsed holds the values of the maxSuspects most recently used fingerprints; 0
// is none. The zero value is empty.
type recentlyUsed[Value any] struct {
	lru *simplelru.LRU[uint64, Value]
}

func (recentlyUsed *recentlyUsed[Value]) get(fingerprint uint64) (Value, bool) {
	if recentlyUsed.lru == nil || fingerprint == 0 {
		var none Value
		return none, false
	}
	return recentlyUsed.lru.Get(fingerprint)
}

func (recentlyUsed *recentlyUsed[Value]) put(fingerprint uint64, value Value) {
	if recentlyUsed.lru == nil {
		// NewLRU fails only for a size below 1.
		recentlyUsed.lru, _ = simplelru.NewLRU[uint64, Value](maxSuspects, nil)
	}
	recentlyUsed.lru.Add(fingerprint, value)
}

// remove removes a fingerprint and reports whether it was there.
func (recentlyUsed *recentlyUsed[Value]) remove(fingerprint uint64) bool {
	return recentlyUsed.lru != nil && recentlyUsed.lru.Remove(fingerprint)
}

func (suspects *suspects) get(fingerprint uint64) (Suspect, bool) {
	return suspects.lru.get(fingerprint)
}

func (suspects *suspects) put(suspect Suspect) { suspects.lru.put(suspect.Fingerprint, suspect) }

// addElsewhere records the crashes that another zone counts for a body.
func (suspects *suspects) addElsewhere(suspect Suspect, now time.Time) {
	known, _ := suspects.elsewhere.get(suspect.Fingerprint)
	zones := map[string]Suspect{suspect.Zone: suspect}
	for zone, other := range known {
		if zone != suspect.Zone && now.Before(other.Until) && len(zones) < maxSuspectZones {
			zones[zone] = other
		}
	}
	suspects.elsewhere.put(suspect.Fingerprint, zones)
}

// crashesElsewhere returns the crashes that other zones count for a body.
func (suspects *suspects) crashesElsewhere(fingerprint uint64, now time.Time) int {
	crashes := 0
	zones, _ := suspects.elsewhere.get(fingerprint)
	for _, suspect := range zones {
		if now.Before(suspect.Until) {
			crashes += suspect.Crashes
		}
	}
	return crashes
}

// quarantine quarantines a body that has crashed targets of this zone, if it has crashed
// enough of them, or of all zones. It reports whether it did.
func (suspects *suspects) quarantine(suspect *Suspect, now time.Time) bool {
	if suspect.Crashes < quarantineCrashes && suspect.Crashes+suspects.crashesElsewhere(suspect.Fingerprint, now) < quarantineCrashesOfZones {
		return false
	}
	suspect.Quarantined = true
	growths := min(max(0, suspect.Crashes-quarantineCrashes), 3)
	suspect.Until = now.Add(min(maxQuarantine, firstQuarantine<<(quarantineGrowth*growths)))
	suspects.put(*suspect)
	return true
}

// isSuspect reports whether a body is suspect and must run alone on its target.
func (suspects *suspects) isSuspect(fingerprint uint64, now time.Time) bool {
	suspect, ok := suspects.get(fingerprint)
	return ok && now.Before(suspect.Until.Add(suspect.gracePeriod()))
}

// gracePeriod returns how long after Until a body is still suspect.
func (suspect Suspect) gracePeriod() time.Duration {
	if suspect.Quarantined {
		return suspicionLifetime
	}
	return 0
}

// isQuarantined reports whether requests with a body must be refused.
func (suspects *suspects) isQuarantined(fingerprint uint64, now time.Time) bool {
	suspect, ok := suspects.get(fingerprint)
	return ok && suspect.Quarantined && now.Before(suspect.Until)
}

// remainingQuarantine returns how long a quarantine still lasts, at least
// minRetryAfter.
func (suspects *suspects) remainingQuarantine(fingerprint uint64, now time.Time) time.Duration {
	suspect, _ := suspects.get(fingerprint)
	return max(minRetryAfter, suspect.Until.Sub(now))
}

// addCrash counts a crash for a body and returns the updated suspect.
func (suspects *suspects) addCrash(fingerprint uint64, now time.Time) Suspect {
	suspect, ok := suspects.get(fingerprint)
	if !ok || now.After(suspect.Until.Add(suspect.gracePeriod())) {
		suspect = Suspect{Fingerprint: fingerprint}
	}
	suspect.Crashes++
	suspect.Until = now.Add(suspicionLifetime)
	if !suspects.quarantine(&suspect, now) {
		suspects.put(suspect)
	}
	return suspect
}

// clear removes a body that completed without a crash, unless it is quarantined.
func (suspects *suspects) clear(fingerprint uint64, now time.Time, send func(Suspect)) {
	if suspects.isQuarantined(fingerprint, now) {
		return
	}
	isSuspect := suspects.lru.remove(fingerprint)
	isSuspectElsewhere := suspects.elsewhere.remove(fingerprint)
	if (isSuspect || isSuspectElsewhere) && send != nil {
		send(Suspect{Fingerprint: fingerprint})
	}
}

// recordTargetCrash counts the crash of a target for every body that was in
// flight there, once per grant.
func (pool *Pool) recordTargetCrash(lost *holding, now time.Time) {
	if lost.crashCounted {
		return
	}
	if pool.Prefixes != nil {
		pool.Prefixes.RemoveTarget(lost.target.Name)
	}
	// A body that ran twice on the target at once is counted once.
	counted := map[uint64]struct{}{}
	for _, holding := range pool.holdings {
		if holding.target != lost.target || holding.crashCounted {
			continue
		}
		holding.crashCounted = true
		fingerprint := holding.ticket.Fingerprint
		if _, ok := counted[fingerprint]; ok {
			continue
		}
		counted[fingerprint] = struct{}{}
		pool.recordCrash(fingerprint, now)
	}
}

// recordCrash counts a crash for a body and sends the updated suspect.
func (pool *Pool) recordCrash(fingerprint uint64, now time.Time) {
	if fingerprint == 0 {
		return
	}
	pool.sendSuspect(pool.suspects.addCrash(fingerprint, now))
}

func (pool *Pool) sendSuspect(suspect Suspect) {
	if pool.SendSuspect != nil {
		pool.SendSuspect(suspect)
	}
}

// isolation is the state of running suspects one at a time, each alone on a
// reserved target.
type isolation struct {
	// target is the reserved target, nil if there is none; runningTicket runs
	// there while hasRunning is true.
	target        *target
	runningTicket request.ID
	hasRunning    bool
	reservedAt    time.Time
	// No target is reserved before pauseUntil, so that other requests can run
	// between two suspects of a pool with a single target.
	pauseUntil time.Time
	// waiting are the suspects that were excluded from normal scheduling.
	waiting []*item
}

// isolate excludes a suspect from normal scheduling and adds it to those that
// wait for the reserved target.
func (pool *Pool) isolate(suspect *item) {
	pool.queue.setAside(suspect)
	pool.isolation.waiting = append(pool.isolation.waiting, suspect)
}

// scheduleIsolated grants the next suspect once the reserved target is idle.
func (pool *Pool) scheduleIsolated(now time.Time) {
	isolation := &pool.isolation
	// Refuses those that are quarantined meanwhile, also while another one runs.
	suspect := pool.nextIsolated(now)
	if isolation.hasRunning {
		return
	}
	if suspect == nil {
		pool.unreserveTarget(now)
		return
	}
	if isolation.target != nil && !isolation.target.usable(now) {
		pool.unreserveTarget(now)
	}
	if isolation.target == nil && !pool.reserveTarget(now) {
		return
	}
	if isolation.target.running > 0 || now.Before(isolation.target.backedOffUntil) || !isolation.target.hasRecovered() {
		return
	}
	pool.queue.takeGranted(suspect)
	isolation.waiting = isolation.waiting[1:]
	isolation.runningTicket = suspect.ticket.ID
	isolation.hasRunning = true
	isolation.target.cachedTokens = 0
	pool.grant(suspect.ticket, isolation.target, now)
}

// nextIsolated returns the first suspect of the highest tier. It removes those
// that have left the queue, were cleared or were quarantined in the meantime.
func (pool *Pool) nextIsolated(now time.Time) *item {
	isolation := &pool.isolation
	kept := isolation.waiting[:0]
	for _, suspect := range isolation.waiting {
		ticket := suspect.ticket
		switch {
		case pool.queue.items[ticket.ID] != suspect:
		case pool.suspects.isQuarantined(ticket.Fingerprint, now):
			pool.queue.remove(ticket.ID)
			pool.refuse(ticket, request.ReasonQuarantined)
		case !pool.suspects.isSuspect(ticket.Fingerprint, now):
			pool.queue.putBack(suspect)
		default:
			kept = append(kept, suspect)
			if last := len(kept) - 1; higherTierOrEarlier(suspect.ticket, kept[0].ticket) {
				kept[0], kept[last] = kept[last], kept[0]
			}
		}
	}
	clear(isolation.waiting[len(kept):])
	isolation.waiting = kept
	if len(kept) == 0 {
		return nil
	}
	return kept[0]
}

// higherTierOrEarlier reports whether one ticket has a higher tier than another,
// or the same tier and an earlier deadline.
func higherTierOrEarlier(one, other *request.Ticket) bool {
	if one.Tier != other.Tier {
		return one.Tier < other.Tier
	}
	return earlierDeadline(one, other)
}

// reserveTarget reserves the target with the fewest running requests for suspects
// and reports whether there is one.
func (pool *Pool) reserveTarget(now time.Time) bool {
	if now.Before(pool.isolation.pauseUntil) {
		return false
	}
	var least *target
	for _, target := range pool.targets {
		// A suspect that was sent to a target which is still down would be
		// counted as the cause of the crash.
		if !target.usable(now) || now.Before(target.backedOffUntil) || !target.hasRecovered() {
			continue
		}
		if least == nil || target.running < least.running {
			least = target
		}
	}
	if least == nil {
		return false
	}
	least.reserved = true
	pool.isolation.target = least
	pool.isolation.reservedAt = now
	pool.refresh(least, now)
	return true
}

// recordIsolatedEnd unreserves the target after each suspect has run, so that
// other requests can run there; the next suspect reserves the least busy target
// again.
func (pool *Pool) recordIsolatedEnd(holding *holding, now time.Time) {
	isolation := &pool.isolation
	if !isolation.hasRunning || isolation.runningTicket != holding.ticket.ID {
		return
	}
	isolation.hasRunning = false
	isolation.pauseUntil = now
	if len(pool.targets) == 1 {
		isolation.pauseUntil = now.Add(max(time.Second, now.Sub(isolation.reservedAt)))
	}
	pool.unreserveTarget(now)
}

// unreserveTarget makes the reserved target available again unless a suspect
// runs there.
func (pool *Pool) unreserveTarget(now time.Time) {
	reserved := pool.isolation.target
	if reserved == nil || pool.isolation.hasRunning {
		return
	}
	pool.isolation.unreserve()
	pool.refresh(reserved, now)
}

func (isolation *isolation) unreserve() {
	if isolation.target != nil {
		isolation.target.reserved = false
	}
	isolation.target = nil
}
