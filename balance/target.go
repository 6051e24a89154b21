package balance

import (
	"slices"
	"time"
)

// Target is one incarnation of a server of a pool.
type Target struct {
	// ID usually changes with each incarnation.
	ID      string
	Pool    string
	Address string
	Zone    string
	// Version is that of the target's software.
	Version string
	// Slots is the maximum number of requests that the target runs at once.
	Slots int
	// StartedAt is when this incarnation started.
	StartedAt time.Time
	// Leaving targets get no new requests.
	Leaving bool
	// ColdUntil is when the target reaches its normal speed after its start.
	ColdUntil time.Time
}

const (
	// backlogFraction is the fraction of the other requests' prompt tokens that
	// delays a new request: some were already read, and engines interleave prompts.
	backlogFraction = 0.5
	// speedDecay is the factor by which each new observation of the speed reduces
	// the weight of the older ones.
	speedDecay = 0.97
	// averageWeight is the weight of a new observation in a running average.
	averageWeight = 0.05
	// minOwnSamples is the number of own observations from which a host prefers
	// them to reported ones.
	minOwnSamples = 8
	// maxObserved limits the speeds in a report to the latest observed.
	maxObserved = 16
	// failureWeight is the weight of a new outcome in the failed fraction.
	failureWeight = 0.1
	// minBackoff and maxBackoff bound the backoff of an unreachable target, which
	// doubles with each consecutive failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// fullBackoff is the backoff of a target that refused a request as full. After
	// usualRefusals without an answer in between it doubles with each, maxDoublings times.
	fullBackoff   = 60 * time.Millisecond
	usualRefusals = 2
	maxDoublings  = 4
	// A cancelled request without a first event counts as failed after
	// overdueFactor times the estimate, but not before minOverdue.
	overdueFactor = 4
	minOverdue    = time.Second
)

// targetState is a target with this host's observations of it.
type targetState struct {
	Target
	versionID VersionID
	// zone is nil for targets in the host's own zone.
	zone *zone
	// inFlight is the number of this host's requests in flight, backlogTokens the
	// number of prompt tokens of those without a first event.
	inFlight      int
	backlogTokens int
	// othersInFlight and othersBacklogTokens are sums over the other hosts' reports.
	othersInFlight      int
	othersBacklogTokens int
	// remainingShare is the number of additional requests that this host may send
	// while the pool is contended.
	remainingShare int
	// speed is observed by this host, reportedTimePerToken is an average over the
	// reports of other hosts, 0 without any.
	speed                speedModel
	reportedTimePerToken time.Duration
	// reportedInterval is the average over the other hosts' reports of the time between
	// events. reports and intervalReports count the reports in the two averages.
	reportedInterval         time.Duration
	reports, intervalReports int
	// failedFraction is the running average of the fraction of this host's requests
	// that failed.
	failedFraction float64
	// consecutiveFailures is the number of failures to connect since the last
	// answer.
	consecutiveFailures int
	// consecutiveRefusals is the number of requests refused as full since the last answer.
	consecutiveRefusals int
	// backoffUntil is when the backoff ends, brittleBackoffUntil that of a brittle target that
	// was full.
	backoffUntil        time.Time
	brittleBackoffUntil time.Time
	// replaced is true once another incarnation answered at the address.
	replaced     bool
	announcement *announcement
	// present is nil until the target tells how long work takes there now.
	present *presentSpeed
}

func (targetState *targetState) totalInFlight() int {
	return targetState.inFlight + targetState.othersInFlight
}

// speedModel fits the time that prompt tokens take by a least-squares line through
// the origin, from exponentially decayed sums, and averages the time between
// events.
type speedModel struct {
	samples                         int
	sumTokensSquared, sumTokensTime float64
	// eventInterval is the average time between events in nanoseconds, 0 if unknown, and
	// streams the number of streams in it.
	eventInterval float64
	streams       int
}

// addPrompt adds an observation of the time in which a number of prompt tokens was
// read.
func (speedModel *speedModel) addPrompt(duration time.Duration, tokens float64) {
	speedModel.samples++
	speedModel.sumTokensSquared = speedDecay*speedModel.sumTokensSquared + tokens*tokens
	speedModel.sumTokensTime = speedDecay*speedModel.sumTokensTime + tokens*float64(max(0, duration))
}

// timePerToken returns the time for one prompt token, 0 if it is unknown.
func (speedModel *speedModel) timePerToken() time.Duration {
	if speedModel.sumTokensSquared == 0 {
		return 0
	}
	return time.Duration(speedModel.sumTokensTime / speedModel.sumTokensSquared)
}

// addEvents adds an observation of the time in which a number of events arrived.
func (speedModel *speedModel) addEvents(duration time.Duration, events int) {
	speedModel.streams++
	sample := float64(duration) / float64(events)
	if speedModel.eventInterval == 0 {
		speedModel.eventInterval = sample
		return
	}
	speedModel.eventInterval += 2 * averageWeight * (sample - speedModel.eventInterval)
}

// timePerToken returns the time for one prompt token, by own observations if there
// are enough and by those of other hosts otherwise; 0 if it is unknown.
func (targetState *targetState) timePerToken() time.Duration {
	if targetState.speed.samples >= minOwnSamples || targetState.reportedTimePerToken == 0 {
		return targetState.speed.timePerToken()
	}
	return targetState.reportedTimePerToken
}

// eventInterval returns the time between two events, by own observations if there are
// enough and by those of other hosts otherwise; 0 if it is unknown.
func (targetState *targetState) eventInterval() time.Duration {
	if targetState.speed.streams >= minOwnSamples || targetState.reportedInterval == 0 {
		return time.Duration(targetState.speed.eventInterval)
	}
	return targetState.reportedInterval
}

// addReport adds what another host observed. The first reports have more weight, so that
// the averages don't depend on a single one.
func (targetState *targetState) addReport(speed Speed) {
	if speed.TimePerToken > 0 {
		targetState.reports++
		targetState.reportedTimePerToken += reportWeight(targetState.reports, speed.TimePerToken-targetState.reportedTimePerToken)
	}
	if speed.EventInterval > 0 {
		targetState.intervalReports++
		targetState.reportedInterval += reportWeight(targetState.intervalReports, speed.EventInterval-targetState.reportedInterval)
	}
}

// reportWeight returns the part of a difference by which the report with a number changes
// an average.
func reportWeight(number int, difference time.Duration) time.Duration {
	return time.Duration(max(averageWeight, 1/float64(number)) * float64(difference))
}

// recordObserved puts a target among those whose speeds the next report has.
func (pool *pool) recordObserved(targetState *targetState) {
	if !slices.Contains(pool.observed, targetState) {
		pool.observed = append(pool.observed, targetState)
	}
	if excess := len(pool.observed) - maxObserved; excess > 0 {
		pool.observed = slices.Delete(pool.observed, 0, excess)
	}
}

// takeObserved returns the speeds of the targets that were observed since the last report.
func (pool *pool) takeObserved() []Speed {
	var speeds []Speed
	for _, targetState := range pool.observed {
		speeds = append(speeds, Speed{
			Target: targetState.ID, TimePerToken: targetState.speed.timePerToken(),
			EventInterval: time.Duration(targetState.speed.eventInterval),
		})
	}
	pool.observed = pool.observed[:0]
	return speeds
}

func (targetState *targetState) recordOutcome(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	targetState.failedFraction += failureWeight * (value - targetState.failedFraction)
}

// recordFull starts the backoff of a target that refused a request as full.
func (targetState *targetState) recordFull(now time.Time) {
	targetState.consecutiveRefusals++
	doublings := min(max(0, targetState.consecutiveRefusals-usualRefusals), maxDoublings)
	targetState.backoffUntil = now.Add(fullBackoff << doublings)
}

// recordUnreachable starts a backoff, longer with each consecutive failure.
func (targetState *targetState) recordUnreachable(now time.Time) {
	backoff := min(maxBackoff, minBackoff<<min(targetState.consecutiveFailures, 10))
	targetState.consecutiveFailures++
	targetState.backoffUntil = now.Add(backoff)
}
