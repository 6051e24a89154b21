package rollout

import "time"

const (
	// MinDuration is the shortest time of an order. In less nothing can be told of a version
	// and no request can end in time.
	MinDuration = 5 * time.Second
	// noticeTime is the time that may have passed from the order until the first host read
	// it.
	noticeTime = 300 * time.Millisecond
	// The time for writing the end to the platform is writeFraction of the duration, within
	// minWriteTime and maxWriteTime: a slow platform answers within half a second, a lost
	// answer takes a second, and a host that ends meanwhile is replaced within two.
	writeFraction = 10
	minWriteTime  = 400 * time.Millisecond
	maxWriteTime  = 4 * time.Second
	// The time for which all requests go to the new version before the end is written, and
	// the time in which its share rises before, are watchFraction of the duration each, within
	// minWatchTime and maxWatchTime. What fails only under load shows in them. Together, with
	// the time until a rollback reaches all hosts, they take half of the usual share of 0.1.
	watchFraction = 40
	minWatchTime  = 300 * time.Millisecond
	maxWatchTime  = 5 * time.Second
	// A request to the old version is expected to end within leadFactor times the longest
	// time that was seen, and leadMargin more, but not more than the duration divided by
	// maxLeadFraction: where streams are longer, the end waits for them beyond the deadline.
	leadFactor      = 1.5
	leadMargin      = 300 * time.Millisecond
	maxLeadFraction = 3
	// reserveFactor is the factor of the longest write that was seen for which the end leaves
	// time besides the usual one, in which a host takes over if the deciding one ends before
	// it has written: both write. More than the duration divided by maxReserveFraction is not
	// reserved.
	reserveFactor      = 2
	maxReserveFraction = 8
)

// schedule has the times by which the steps of a rollout must be taken for it to end in time.
type schedule struct {
	start, deadline time.Time
	// rampAt is when the share begins to rise, fullAt when all requests go to the new version,
	// endAt when the old one must be idle and the end is written.
	rampAt, fullAt, endAt time.Time
	// maxLead is the longest time before endAt from which requests that take long go to the
	// new version.
	maxLead time.Duration
}

// newSchedule returns the schedule of an order that was first read at a time.
func newSchedule(start time.Time, duration time.Duration) schedule {
	writeTime := min(max(duration/writeFraction, minWriteTime), maxWriteTime)
	watchTime := min(max(duration/watchFraction, minWatchTime), maxWatchTime)
	schedule := schedule{start: start, deadline: start.Add(duration - noticeTime), maxLead: duration / maxLeadFraction}
	schedule.endAt = schedule.deadline.Add(-writeTime)
	schedule.fullAt = schedule.endAt.Add(-watchTime)
	schedule.rampAt = schedule.fullAt.Add(-watchTime)
	return schedule
}

// lead returns the time that a request to the old version is expected to take, by the longest
// that was seen; 0 stands for none.
func (schedule *schedule) lead(longest time.Duration) time.Duration {
	if longest == 0 {
		return schedule.maxLead
	}
	return min(time.Duration(leadFactor*float64(longest))+leadMargin, schedule.maxLead)
}

// ramp returns the share of the requests that go to the new version while they move.
func (schedule *schedule) ramp(now time.Time, share float64) float64 {
	if now.Before(schedule.rampAt) {
		return share
	}
	part := float64(now.Sub(schedule.rampAt)) / float64(schedule.fullAt.Sub(schedule.rampAt))
	return min(1, max(share, part))
}
