package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// burstBase and burstTime give the permits that a bucket holds at most: burstBase
	// and those of burstTime.
	burstBase = 1
	burstTime = 250 * time.Millisecond
	// outstandingBase and outstandingTime give the permits that hosts may hold at most.
	// Together with a bucket they are what a target can get beyond its limit at once.
	outstandingBase = 2
	outstandingTime = 500 * time.Millisecond
	// pendingBase and pendingTime give the requests that may be pending at most: those
	// that may not have reached the target, and permits. They may reach it all at once
	// when the way there was interrupted.
	pendingBase = 3
	pendingTime = 1500 * time.Millisecond
	// maxArrivedByZone is the number of a host's requests that answers to other hosts
	// of its zone show to have reached the target. The host alone may be cut off from it.
	maxArrivedByZone = 3
	// grantTimeout is the time after which a grant that a host has not confirmed is
	// taken for lost. Its permits are not granted again.
	grantTimeout = 200 * time.Millisecond
	// An ask is forgotten if it is not repeated for askRefreshes intervals, but not while
	// its host's requests count as unanswered.
	askRefreshes = 3
)

// bucket holds the permits of a target that this host grants. It starts empty, as
// another host may have granted before.
type bucket struct {
	level    float64
	filledAt time.Time
	askers   map[string]*asker
	// news is the number of times that the limit has still to be told, toldAt when it
	// was last told.
	news   int
	toldAt time.Time
	// grants counts the permits, to serve askers of a tier in turn.
	grants uint64
}

// asker is a host that asks for permits.
type asker struct {
	Ask
	heardAt time.Time
	// granted is the number of permits granted to the host, by its own count of those
	// received and those on their way since grantedAt.
	granted   uint32
	grantedAt time.Time
	// arrived is the host's count of sent requests when it last got an answer, and
	// arrivedByZone when a host of its zone did: these have reached the target.
	arrived, arrivedByZone uint32
	// turn is the bucket's count of grants when the host last got one.
	turn uint64
}

// bucket returns the bucket of a target. The caller holds the mutex.
func (limiter *Limiter) bucket(target Target, now time.Time) *bucket {
	entry := limiter.buckets[target]
	if entry == nil {
		entry = &bucket{filledAt: now, askers: map[string]*asker{}, news: newsRepeats}
		if limiter.buckets == nil {
			limiter.buckets = map[Target]*bucket{}
		}
		limiter.buckets[target] = entry
	}
	return entry
}

// apply replaces a host's ask. Older ones are ignored, unless the host was silent: it
// may have started again.
func (bucket *bucket) apply(host string, zones map[string]string, ask Ask, now time.Time) {
	entry := bucket.askers[host]
	if entry == nil {
		arrived := ask.Sent - uint32(ask.Unanswered)
		entry = &asker{Ask: Ask{Answered: ask.Answered}, granted: ask.Received, arrived: arrived, arrivedByZone: arrived}
		bucket.askers[host] = entry
	} else if ask.Sequence <= entry.Sequence && now.Sub(entry.heardAt) < grantTimeout {
		return
	}
	if entry.granted-ask.Received > maxOnWay || now.Sub(entry.grantedAt) > grantTimeout {
		entry.granted = ask.Received
	}
	isAnswered := entry.Answered != ask.Answered
	entry.Ask, entry.heardAt = ask, now
	if isAnswered {
		entry.arrived = ask.Sent
		for other, asker := range bucket.askers {
			if zones[other] == zones[host] {
				asker.arrivedByZone = asker.Sent
			}
		}
	}
	bucket.level += float64(max(0, ask.Returned))
}

// maxOnWay is the largest difference of the counts of a host and its grantor; a larger
// one means that one of them started again.
const maxOnWay = 1 << 16

// onWay returns the number of permits granted to a host that it has not confirmed.
func (asker *asker) onWay(now time.Time) int {
	if now.Sub(asker.grantedAt) > grantTimeout {
		return 0
	}
	return int(asker.granted - asker.Received)
}

// pending returns the number of the host's requests that may not have reached the target.
func (asker *asker) pending() int {
	pending := min(asker.Unanswered, int(asker.Sent-asker.arrived))
	if pending > maxArrivedByZone {
		return pending
	}
	return min(pending, int(asker.Sent-asker.arrivedByZone))
}

// grant fills the bucket and returns the permits that it grants, by host: to the most
// important waiting requests first, to the hosts of a tier in turn.
func (bucket *bucket) grant(rate float64, members *Members, refreshInterval time.Duration, now time.Time) map[string]int {
	bucket.fill(rate*members.fraction(), now)
	isOutdated := func(asker *asker) bool { return now.Sub(asker.heardAt) > askRefreshes*refreshInterval }
	maps.DeleteFunc(bucket.askers, func(_ string, asker *asker) bool {
		return isOutdated(asker) && (asker.Unanswered == 0 || now.Sub(asker.heardAt) > unansweredLifetime)
	})
	if bucket.level < 1 {
		return nil
	}
	outstanding, pending := 0, 0
	var hosts []string
	for host, asker := range bucket.askers {
		pending += asker.pending()
		if now.Sub(asker.heardAt) <= PermitLifetime || now.Sub(asker.grantedAt) <= PermitLifetime {
			outstanding += asker.Held + asker.onWay(now)
		}
		if asker.Wanted > asker.onWay(now) && !isOutdated(asker) {
			hosts = append(hosts, host)
		}
	}
	grants := map[string]int{}
	maxOutstanding := min(outstandingBase+int(rate*outstandingTime.Seconds()), pendingBase+int(rate*pendingTime.Seconds())-pending)
	for bucket.level >= 1 && outstanding < maxOutstanding && len(hosts) > 0 {
		next := slices.MinFunc(hosts, func(one, other string) int {
			first, second := bucket.askers[one], bucket.askers[other]
			return cmp.Or(cmp.Compare(first.Tier, second.Tier), cmp.Compare(first.turn, second.turn), cmp.Compare(one, other))
		})
		asker := bucket.askers[next]
		bucket.grants++
		asker.turn, asker.grantedAt = bucket.grants, now
		asker.granted++
		grants[next]++
		bucket.level--
		outstanding++
		if asker.Wanted <= asker.onWay(now) {
			hosts = slices.DeleteFunc(hosts, func(host string) bool { return host == next })
		}
	}
	return grants
}

// fill adds the permits of the time since the last call.
func (bucket *bucket) fill(rate float64, now time.Time) {
	bucket.level = min(bucket.level+rate*now.Sub(bucket.filledAt).Seconds(), burstBase+rate*burstTime.Seconds())
	bucket.filledAt = now
}

// fraction returns the part of the limits that this host grants. Hosts that hear only
// some of the others grant the whole to each other if they are more than half of all,
// and their part of it otherwise: as many as all hear may do the same.
func (members *Members) fraction() float64 {
	if members.IsMajority() {
		return 1
	}
	return float64(1+len(members.Others)) / float64(members.Known)
}

// IsMajority reports whether this host and those that it hears are more than half of all.
func (members *Members) IsMajority() bool { return 2*(1+len(members.Others)) > members.Known }

// isNewsDue reports whether the limit has to be told to all hosts now.
func (bucket *bucket) isNewsDue(now time.Time) bool {
	if bucket.news == 0 || now.Sub(bucket.toldAt) < newsInterval {
		return false
	}
	bucket.news--
	bucket.toldAt = now
	return true
}
