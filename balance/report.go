package balance

import (
	"slices"
	"time"
)

// ApplyReport replaces the previous report of the same host, which has no requests
// in flight at targets that the report doesn't name.
func (balancer *Balancer) ApplyReport(report *Report) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if balancer.reports == nil {
		balancer.reports = map[string]*Report{}
	}
	report.ReceivedAt = time.Now()
	report.Queues = slices.DeleteFunc(report.Queues, func(queue Queue) bool { return !balancer.hasRoom(queue.Pool) })
	if previous := balancer.reports[report.Host]; previous != nil {
		balancer.addToSums(previous, -1)
	}
	balancer.reports[report.Host] = report
	balancer.addToSums(report, 1)
	balancer.learnReported(report)
	balancer.learnBrittle(report)
	for _, speed := range report.Speeds {
		if targetState := balancer.targets[speed.Target]; targetState != nil {
			targetState.addReport(speed)
		}
	}
	balancer.dispatchAll()
}

// maxPools limits the pools of which reports of other hosts may tell this one.
const maxPools = 1024

// hasRoom reports whether a pool is known or may be added.
func (balancer *Balancer) hasRoom(pool string) bool {
	if balancer.pools[pool] == nil && len(balancer.pools) >= maxPools {
		return false
	}
	balancer.getOrCreatePool(pool)
	return true
}

// RemoveHost drops the report of a host that has shut down.
func (balancer *Balancer) RemoveHost(host string) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.dropReport(host)
}

func (balancer *Balancer) dropReport(host string) {
	if report := balancer.reports[host]; report != nil {
		balancer.addToSums(report, -1)
		delete(balancer.reports, host)
	}
}

// expireReports drops the reports older than reportLifetime.
func (balancer *Balancer) expireReports(now time.Time) {
	for host, report := range balancer.reports {
		if now.Sub(report.ReceivedAt) > reportLifetime {
			balancer.dropReport(host)
		}
	}
}

// recomputeSums recomputes the sums over all reports after the targets have changed.
func (balancer *Balancer) recomputeSums() {
	for _, targetState := range balancer.targets {
		targetState.othersInFlight, targetState.othersBacklogTokens = 0, 0
	}
	for _, pool := range balancer.pools {
		clear(pool.othersWaitingByTier)
	}
	for _, report := range balancer.reports {
		balancer.addToSums(report, 1)
	}
}

// oldestReportAge returns the age of the oldest report that is not dropped, 0 if
// there is none.
func (balancer *Balancer) oldestReportAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, report := range balancer.reports {
		oldest = max(oldest, now.Sub(report.ReceivedAt))
	}
	return oldest
}

// addToSums adds a report to the sums over the other hosts, or subtracts it if sign
// is -1.
func (balancer *Balancer) addToSums(report *Report, sign int) {
	for _, use := range report.Uses {
		if targetState := balancer.targets[use.Target]; targetState != nil {
			targetState.othersInFlight += sign * use.InFlight
			targetState.othersBacklogTokens += sign * use.Backlog
		}
	}
	for _, queue := range report.Queues {
		pool := balancer.getOrCreatePool(queue.Pool)
		for len(pool.othersWaitingByTier) < len(queue.Waiting) {
			pool.othersWaitingByTier = append(pool.othersWaitingByTier, 0)
		}
		for tier, waiting := range queue.Waiting {
			pool.othersWaitingByTier[tier] += sign * waiting
		}
	}
}

// Report returns this host's report for the others. It holds the speeds of the targets that
// were observed since the last one: of many hosts none observes a target often, but all
// together do.
func (balancer *Balancer) Report() *Report {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	report := &Report{Leaving: balancer.leavingTargets(time.Now())}
	for id, targetState := range balancer.targets {
		if targetState.inFlight > 0 {
			report.Uses = append(report.Uses,
				Use{Target: id, InFlight: targetState.inFlight, Backlog: targetState.backlogTokens})
		}
	}
	now := time.Now()
	for _, pool := range balancer.pools {
		if now.Sub(pool.brittleSeenAt) <= brittleReportTime {
			report.Brittle = append(report.Brittle, BrittlePool{Pool: pool.name, Limit: pool.brittleLimit})
		}
		report.Queues = append(report.Queues, pool.queueReport()...)
		report.Speeds = append(report.Speeds, pool.takeObserved()...)
	}
	return report
}

// queueReport returns the numbers of waiting requests by tier, nil if there are
// none.
func (pool *pool) queueReport() []Queue {
	if len(pool.waiting) == 0 {
		return nil
	}
	tiers := pool.waiting[len(pool.waiting)-1].Tier + 1
	return []Queue{{Pool: pool.name, Waiting: pool.waitingByTier(tiers)}}
}

// PoolStatus is the state of a pool as this host knows it.
type PoolStatus struct {
	// Waiting and OthersWaiting are the numbers of waiting requests of this host
	// and of the others.
	Waiting       int
	OthersWaiting int
	// FreeSlots is the number of requests that the targets can take in addition to
	// those of all hosts. Contended is set while it doesn't suffice for all hosts,
	// so that this one uses only its share.
	FreeSlots int
	Contended bool
	// LimitedTargets is the number of targets with a limit that may get requests,
	// LimitedRate the requests a second that these take together from all hosts.
	LimitedTargets int
	LimitedRate    float64
	// LeavingTargets is the number of targets that said that they leave, RestingTargets
	// that of those that want no requests from this host for a time.
	LeavingTargets int
	RestingTargets int
	// UnreachableTargets is the number of targets to which this host's last attempts to
	// connect failed.
	UnreachableTargets int
	// ReportAge is the age of the oldest report of another host, 0 if there is none.
	ReportAge time.Duration
}

// Status returns the status of a pool.
func (balancer *Balancer) Status(name string) PoolStatus {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := time.Now()
	pool := balancer.getOrCreatePool(name)
	status := PoolStatus{
		Waiting:       len(pool.waiting),
		OthersWaiting: pool.othersWaitingAbove(len(pool.othersWaitingByTier)),
		FreeSlots:     balancer.freeCapacity(pool, now),
		Contended:     pool.contended,
		ReportAge:     balancer.oldestReportAge(now),
	}
	for _, targetState := range pool.targets {
		if targetState.announcement.isLeaving {
			status.LeavingTargets++
		} else if now.Before(targetState.announcement.restUntil) {
			status.RestingTargets++
		}
		if targetState.consecutiveFailures > 0 {
			status.UnreachableTargets++
		}
		if limit := balancer.rate(targetState); limit > 0 && targetState.isEligible(now) {
			status.LimitedTargets++
			status.LimitedRate += limit
		}
	}
	return status
}

// Subtract subtracts the counts of another report, but not below 0.
func (report *Report) Subtract(other *Report) {
	otherUses := map[string]Use{}
	for _, use := range other.Uses {
		otherUses[use.Target] = use
	}
	for i := range report.Uses {
		use := &report.Uses[i]
		use.InFlight = max(0, use.InFlight-otherUses[use.Target].InFlight)
		use.Backlog = max(0, use.Backlog-otherUses[use.Target].Backlog)
	}
	otherWaiting := map[string][]int{}
	for _, queue := range other.Queues {
		otherWaiting[queue.Pool] = queue.Waiting
	}
	for _, queue := range report.Queues {
		for tier, count := range otherWaiting[queue.Pool] {
			if tier < len(queue.Waiting) {
				queue.Waiting[tier] = max(0, queue.Waiting[tier]-count)
			}
		}
	}
}
