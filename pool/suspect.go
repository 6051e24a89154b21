package pool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"nutmegfield.example/request"
)

const (
	// maxSuspects limits the fingerprints that are stored.
	maxSuspects = 4096
	// suspicionLifetime is how long a body stays suspect after a crash.
	suspicionLifetime = 10 * time.Minute
	// firstQuarantine doubles with each crash after the second.
	firstQuarantine = 10 * time.Second
	maxQuarantine   = 10 * time.Minute
	// quarantineCrashes is the number of crashes that leads to a quarantine.
	quarantineCrashes = 2
)

// Suspect is a request body that was in flight on a target that crashed. One with
// 0 crashes has been cleared.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
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
		if ok && !known.Quarantined {
			pool.suspects.recent.Remove(suspect.Fingerprint)
		}
		return
	}
	if !ok || suspect.Crashes > known.Crashes || known.Until.Before(suspect.Until) {
		suspect.Crashes = max(suspect.Crashes, known.Crashes)
		pool.suspects.put(suspect)
	}
	pool.schedule(now)
}

// suspects stores the most recently used suspects.
type suspects struct {
	recent *simplelru.LRU[uint64, Suspect]
}

func (suspects *suspects) get(fingerprint uint64) (Suspect, bool) {
	if suspects.recent == nil || fingerprint == 0 {
		return Suspect{}, false
	}
	return suspects.recent.Get(fingerprint)
}

func (suspects *suspects) put(suspect Suspect) {
	if suspects.recent == nil {
		// NewLRU fails only for a size below 1.
		suspects.recent, _ = simplelru.NewLRU[uint64, Suspect](maxSuspects, nil)
	}
	suspects.recent.Add(suspect.Fingerprint, suspect)
}

// suspected reports whether a body must run alone.
func (suspects *suspects) suspected(fingerprint uint64, now time.Time) bool {
	suspect, ok := suspects.get(fingerprint)
	return ok && now.Before(suspect.Until.Add(suspect.grace()))
}

// grace returns how long after Until a body is still suspect.
func (suspect Suspect) grace() time.Duration {
	if suspect.Quarantined {
		return suspicionLifetime
	}
	return 0
}

func (suspects *suspects) quarantined(fingerprint uint64, now time.Time) bool {
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
	if !ok || now.After(suspect.Until.Add(suspect.grace())) {
		suspect = Suspect{Fingerprint: fingerprint}
	}
	suspect.Crashes++
	suspect.Until = now.Add(suspicionLifetime)
	if suspect.Crashes >= quarantineCrashes {
		suspect.Quarantined = true
		doublings := min(suspect.Crashes-quarantineCrashes, 6)
		suspect.Until = now.Add(min(maxQuarantine, firstQuarantine<<doublings))
	}
	suspects.put(suspect)
	return suspect
}

// clear removes a body that completed without a crash, unless it is quarantined.
func (suspects *suspects) clear(fingerprint uint64, now time.Time, send func(Suspect)) {
	suspect, ok := suspects.get(fingerprint)
	if !ok || (suspect.Quarantined && now.Before(suspect.Until)) {
		return
	}
	suspects.recent.Remove(fingerprint)
	if send != nil {
		send(Suspect{Fingerprint: fingerprint})
	}
}

// recordTargetCrash counts the crash of a target for every body that was in
// flight there, once per grant.
func (pool *Pool) recordTargetCrash(broken *holding, now time.Time) {
	if broken.crashed {
		return
	}
	if pool.Prefixes != nil {
		pool.Prefixes.RemoveTarget(broken.target.Name)
	}
	// A body that ran twice on the target at once is counted once.
	counted := map[uint64]struct{}{}
	for _, held := range pool.held {
		if held.target != broken.target || held.crashed {
			continue
		}
		held.crashed = true
		fingerprint := held.ticket.Fingerprint
		if _, ok := counted[fingerprint]; ok {
			continue
		}
		counted[fingerprint] = struct{}{}
		pool.recordCrash(fingerprint, now)
	}
}

func (pool *Pool) recordCrash(fingerprint uint64, now time.Time) {
	if fingerprint == 0 {
		return
	}
	suspect := pool.suspects.addCrash(fingerprint, now)
	if pool.SendSuspect != nil {
		pool.SendSuspect(suspect)
	}
}

// isolation runs suspects one at a time, alone on a reserved target.
type isolation struct {
	target  *target
	running request.ID
	busy    bool
	since   time.Time
	// pauseUntil lets other requests run between two suspects of a pool that has
	// a single target.
	pauseUntil time.Time
	waiting    []*item
}

// isolate takes a suspect out of the fair order; it waits for the reserved target.
func (pool *Pool) isolate(suspect *item) {
	pool.queue.setAside(suspect)
	pool.isolation.waiting = append(pool.isolation.waiting, suspect)
}

// scheduleIsolated grants the next suspect once the reserved target is idle.
func (pool *Pool) scheduleIsolated(now time.Time) {
	isolation := &pool.isolation
	if isolation.busy {
		return
	}
	suspect := pool.nextIsolated(now)
	if suspect == nil {
		pool.unreserve(now)
		return
	}
	if isolation.target != nil && !isolation.target.usable(now) {
		pool.unreserve(now)
	}
	if isolation.target == nil && !pool.reserveTarget(now) {
		return
	}
	if isolation.target.running > 0 || now.Before(isolation.target.backedOffUntil) || !isolation.target.recovered() {
		return
	}
	pool.queue.take(suspect)
	isolation.waiting = isolation.waiting[1:]
	isolation.running = suspect.ticket.ID
	isolation.busy = true
	isolation.target.cached = 0
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
		case pool.suspects.quarantined(ticket.Fingerprint, now):
			pool.queue.remove(ticket.ID)
			pool.refuse(ticket, request.ReasonQuarantined)
		case !pool.suspects.suspected(ticket.Fingerprint, now):
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
		// blamed for the crash.
		if !target.usable(now) || now.Before(target.backedOffUntil) || !target.recovered() {
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
	pool.isolation.since = now
	pool.refresh(least, now)
	return true
}

// isolatedEnded gives up the reserved target after each suspect, so that other
// requests can run there; the next suspect reserves the least busy target again.
func (pool *Pool) isolatedEnded(held *holding, now time.Time) {
	isolation := &pool.isolation
	if !isolation.busy || isolation.running != held.ticket.ID {
		return
	}
	isolation.busy = false
	isolation.pauseUntil = now
	if len(pool.targets) == 1 {
		isolation.pauseUntil = now.Add(max(time.Second, now.Sub(isolation.since)))
	}
	pool.unreserve(now)
}

func (pool *Pool) unreserve(now time.Time) {
	reserved := pool.isolation.target
	if reserved == nil || pool.isolation.busy {
		return
	}
	pool.isolation.release()
	pool.refresh(reserved, now)
}

func (isolation *isolation) release() {
	if isolation.target != nil {
		isolation.target.reserved = false
	}
	isolation.target = nil
}
