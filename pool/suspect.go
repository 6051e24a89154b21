package pool

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"nutmegfield.example/request"
)

const (
	// maxSuspects bounds the fingerprints remembered.
	maxSuspects = 4096
	// suspicionLifetime is how long a crash is held against a fingerprint.
	suspicionLifetime = 10 * time.Minute
	// firstQuarantine doubles with each crash after the second.
	firstQuarantine = 10 * time.Second
	maxQuarantine   = 10 * time.Minute
	// quarantineCrashes is how many crashes lead to a quarantine.
	quarantineCrashes = 2
)

// Suspect is a request body that was in flight on a target that crashed. One
// without crashes has been cleared.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
	// Until is when the suspicion, or the quarantine, ends.
	Until       time.Time
	Quarantined bool
}

// ObserveSuspect learns a suspicion from another scheduler.
func (pool *Pool) ObserveSuspect(suspect Suspect) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	known, ok := pool.suspects.get(suspect.Fingerprint)
	if suspect.Crashes == 0 {
		if ok && !known.Quarantined {
			pool.suspects.known.Remove(suspect.Fingerprint)
		}
		return
	}
	if !ok || suspect.Crashes > known.Crashes || known.Until.Before(suspect.Until) {
		suspect.Crashes = max(suspect.Crashes, known.Crashes)
		pool.suspects.put(suspect)
	}
	pool.schedule(now)
}

// suspects remembers the bodies that may crash a target, the latest ones.
type suspects struct {
	known *simplelru.LRU[uint64, Suspect]
}

func (suspects *suspects) get(fingerprint uint64) (Suspect, bool) {
	if suspects.known == nil || fingerprint == 0 {
		return Suspect{}, false
	}
	return suspects.known.Get(fingerprint)
}

func (suspects *suspects) put(suspect Suspect) {
	if suspects.known == nil {
		// NewLRU fails only for a size below 1.
		suspects.known, _ = simplelru.NewLRU[uint64, Suspect](maxSuspects, nil)
	}
	suspects.known.Add(suspect.Fingerprint, suspect)
}

// suspected reports whether a body must run alone.
func (suspects *suspects) suspected(fingerprint uint64, now time.Time) bool {
	suspect, ok := suspects.get(fingerprint)
	return ok && now.Before(suspect.Until.Add(suspect.grace()))
}

// grace is how long after a quarantine a body is still suspect.
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

// quarantineLeft is how long a quarantine still lasts.
func (suspects *suspects) quarantineLeft(fingerprint uint64, now time.Time) time.Duration {
	suspect, _ := suspects.get(fingerprint)
	return max(minRetryAfter, suspect.Until.Sub(now))
}

// addCrash counts a crash against a body and returns what is now held of it.
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

// clear forgets a body that ran fine, unless it is quarantined.
func (suspects *suspects) clear(fingerprint uint64, now time.Time, tell func(Suspect)) {
	suspect, ok := suspects.get(fingerprint)
	if !ok || (suspect.Quarantined && now.Before(suspect.Until)) {
		return
	}
	suspects.known.Remove(fingerprint)
	if tell != nil {
		tell(Suspect{Fingerprint: fingerprint})
	}
}

// recordTargetCrash counts the loss of a target against all that was in flight there, once
// for each grant.
func (pool *Pool) recordTargetCrash(broken *holding, now time.Time) {
	if broken.crashed {
		return
	}
	if pool.Prefixes != nil {
		pool.Prefixes.Forget(broken.target.Name)
	}
	// A body that ran there twice at once crashed it once.
	accused := map[uint64]struct{}{}
	for _, held := range pool.held {
		if held.target != broken.target || held.crashed {
			continue
		}
		held.crashed = true
		fingerprint := held.ticket.Fingerprint
		if _, ok := accused[fingerprint]; ok {
			continue
		}
		accused[fingerprint] = struct{}{}
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

// isolation runs suspects one at a time on one target that is kept free for it.
type isolation struct {
	target  *target
	running request.ID
	busy    bool
	since   time.Time
	// pauseUntil lets other work run between two suspects of a pool that has
	// no other target.
	pauseUntil time.Time
	waiting    []*item
}

// isolate takes a suspect out of the turns; it waits for the kept target.
func (pool *Pool) isolate(suspect *item) {
	pool.queue.setAside(suspect)
	pool.isolation.waiting = append(pool.isolation.waiting, suspect)
}

// scheduleIsolated grants the next suspect once its target is free of others.
func (pool *Pool) scheduleIsolated(now time.Time) {
	alone := &pool.isolation
	if alone.busy {
		return
	}
	suspect := pool.nextIsolated(now)
	if suspect == nil {
		pool.unreserve(now)
		return
	}
	if alone.target != nil && !alone.target.usable(now) {
		pool.unreserve(now)
	}
	if alone.target == nil && !pool.reserveTarget(now) {
		return
	}
	if alone.target.running > 0 || now.Before(alone.target.backedOffUntil) || !alone.target.recovered() {
		return
	}
	pool.queue.take(suspect)
	alone.waiting = alone.waiting[1:]
	alone.running = suspect.ticket.ID
	alone.busy = true
	alone.target.cached = 0
	pool.grant(suspect.ticket, alone.target, now)
}

// nextIsolated returns the next suspect of the highest tier; those that left the
// queue, were cleared or quarantined meanwhile are sorted out.
func (pool *Pool) nextIsolated(now time.Time) *item {
	alone := &pool.isolation
	kept := alone.waiting[:0]
	for _, suspect := range alone.waiting {
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
	clear(alone.waiting[len(kept):])
	alone.waiting = kept
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

// reserveTarget keeps the target with the least work free for suspects.
func (pool *Pool) reserveTarget(now time.Time) bool {
	if now.Before(pool.isolation.pauseUntil) {
		return false
	}
	var least *target
	for _, target := range pool.targets {
		// A suspect that met a target which is still down would be held to
		// have crashed it.
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

// isolatedEnded gives the kept target back after each suspect, so that other work
// gets its turn there; the least busy one is picked anew for the next.
func (pool *Pool) isolatedEnded(held *holding, now time.Time) {
	alone := &pool.isolation
	if !alone.busy || alone.running != held.ticket.ID {
		return
	}
	alone.busy = false
	alone.pauseUntil = now
	if len(pool.targets) == 1 {
		alone.pauseUntil = now.Add(max(time.Second, now.Sub(alone.since)))
	}
	pool.unreserve(now)
}

func (pool *Pool) unreserve(now time.Time) {
	kept := pool.isolation.target
	if kept == nil || pool.isolation.busy {
		return
	}
	pool.isolation.release()
	pool.refresh(kept, now)
}

func (alone *isolation) release() {
	if alone.target != nil {
		alone.target.reserved = false
	}
	alone.target = nil
}
