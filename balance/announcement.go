package balance

import "time"

const (
	// maxRest is the longest time for which a target gets nothing because it asked for it.
	maxRest = 10 * time.Minute
	// announcementLifetime is how long what a target said is kept while it has no entry.
	announcementLifetime = 10 * time.Minute
	// maxAnnouncements limits the targets without an entry whose words are kept.
	maxAnnouncements = 4096
	// leavingReportTime is how long this host tells the others that a target leaves.
	leavingReportTime = 3 * time.Second
	// maxRestSpread limits the time over which callers return after a rest.
	maxRestSpread = time.Second
)

// Incarnation identifies one life of a target.
type Incarnation struct {
	Target string
	// StartedAt is in milliseconds since 1970.
	StartedAt int64
}

// Incarnation returns the identity of the target's life.
func (target *Target) Incarnation() Incarnation {
	return Incarnation{Target: target.ID, StartedAt: target.StartedAt.UnixMilli()}
}

// announcement is what an incarnation of a target said about further requests. It is kept
// whatever becomes of the target's entry on the platform.
type announcement struct {
	isLeaving bool
	// leavingSeenAt is when a request of this host was answered so, zero if only
	// another host told it.
	leavingSeenAt time.Time
	// restUntil is the time until which the target wants nothing from this host.
	restUntil time.Time
	changedAt time.Time
}

// allows reports whether the target may get a new request.
func (announcement *announcement) allows(now time.Time) bool {
	return !announcement.isLeaving && !now.Before(announcement.restUntil)
}

// announcement returns what an incarnation said, which may be nothing yet. The caller
// holds the mutex.
func (balancer *Balancer) announcement(incarnation Incarnation) *announcement {
	entry := balancer.announcements[incarnation]
	if entry == nil {
		entry = &announcement{}
		if balancer.announcements == nil {
			balancer.announcements = map[Incarnation]*announcement{}
		}
		balancer.announcements[incarnation] = entry
	}
	return entry
}

// forgetAnnouncements drops the empty and the old ones of targets without an entry.
func (balancer *Balancer) forgetAnnouncements(now time.Time) {
	for incarnation, announcement := range balancer.announcements {
		targetState := balancer.targets[incarnation.Target]
		if targetState != nil && targetState.announcement == announcement {
			continue
		}
		isOld := now.Sub(announcement.changedAt) > announcementLifetime
		if announcement.allows(now) || isOld || len(balancer.announcements) > maxAnnouncements+len(balancer.targets) {
			delete(balancer.announcements, incarnation)
		}
	}
}

// RecordLeaving records that a target said that it leaves: it gets nothing new. It reports
// whether that was news.
func (balancer *Balancer) RecordLeaving(target *Target) bool {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := time.Now()
	isNews := balancer.learnLeaving(target.Incarnation(), now)
	balancer.announcement(target.Incarnation()).leavingSeenAt = now
	return isNews
}

// learnReported records what another host reported of leaving targets. It ignores targets
// without an entry beyond maxAnnouncements.
func (balancer *Balancer) learnReported(report *Report) {
	for _, incarnation := range report.Leaving {
		isKnown := balancer.announcements[incarnation] != nil
		if !isKnown && len(balancer.announcements) > maxAnnouncements+len(balancer.targets) {
			continue
		}
		if balancer.learnLeaving(incarnation, report.ReceivedAt) && balancer.OnLeavingLearned != nil {
			balancer.OnLeavingLearned(incarnation.Target, report.Host)
		}
	}
}

// learnLeaving records that an incarnation leaves, and reports whether that was news. The
// caller holds the mutex.
func (balancer *Balancer) learnLeaving(incarnation Incarnation, now time.Time) bool {
	announcement := balancer.announcement(incarnation)
	if announcement.isLeaving {
		return false
	}
	announcement.isLeaving, announcement.changedAt = true, now
	return true
}

// leavingTargets returns the incarnations of which this host has to tell the others.
func (balancer *Balancer) leavingTargets(now time.Time) []Incarnation {
	var leaving []Incarnation
	for incarnation, announcement := range balancer.announcements {
		if !announcement.leavingSeenAt.IsZero() && now.Sub(announcement.leavingSeenAt) <= leavingReportTime {
			leaving = append(leaving, incarnation)
		}
	}
	return leaving
}

// RecordRest records that a target wants nothing from this host for a time, which is cut
// to maxRest. It returns the time that is kept.
func (balancer *Balancer) RecordRest(target *Target, rest time.Duration) time.Duration {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := time.Now()
	rest = min(rest, maxRest)
	announcement := balancer.announcement(target.Incarnation())
	if until := now.Add(rest); until.After(announcement.restUntil) {
		announcement.restUntil, announcement.changedAt = until, now
	}
	return rest
}

// MaySend reports whether a target may still get a request that was granted to it.
func (balancer *Balancer) MaySend(target *Target) bool {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	entry := balancer.announcements[target.Incarnation()]
	return entry == nil || entry.allows(time.Now())
}

// Find returns the current target of an incarnation and whether it may get requests of this
// host now, by its entry and by what it said.
func (balancer *Balancer) Find(incarnation Incarnation) (target Target, isKnown, maySend bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	targetState := balancer.targets[incarnation.Target]
	if targetState == nil || targetState.Incarnation() != incarnation {
		return Target{}, false, false
	}
	mayGet := !targetState.Leaving && !targetState.replaced && targetState.announcement.allows(time.Now())
	return targetState.Target, true, mayGet
}

// restingUntil returns when the first target wants requests again, zero if some target
// may get them or none will.
func (pool *pool) restingUntil(now time.Time) time.Time {
	var first time.Time
	for _, targetState := range pool.targets {
		if targetState.Leaving || targetState.replaced || targetState.announcement.isLeaving {
			continue
		}
		until := targetState.announcement.restUntil
		if !now.Before(until) {
			return time.Time{}
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// RestingWait returns how long all targets of a pool want no requests, and the time over
// which callers should return after that; both are 0 if a target may get requests.
func (balancer *Balancer) RestingWait(name string) (wait, spread time.Duration) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := time.Now()
	until := balancer.getOrCreatePool(name).restingUntil(now)
	if until.IsZero() {
		return 0, 0
	}
	wait = until.Sub(now)
	return wait, min(wait/2, maxRestSpread)
}
