package balance

import "time"

// ReceiveReport takes the report of another host. What it does not name, the host
// does not use.
func (balancer *Balancer) ReceiveReport(report *Report) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if balancer.reports == nil {
		balancer.reports = map[string]*Report{}
	}
	report.ReceivedAt = time.Now()
	if before := balancer.reports[report.Host]; before != nil {
		balancer.count(before, -1)
	}
	balancer.reports[report.Host] = report
	balancer.count(report, 1)
	for _, speed := range report.Speeds {
		if state := balancer.targets[speed.Target]; state != nil && speed.TimePerToken > 0 {
			state.tell(speed.TimePerToken)
		}
	}
	balancer.pumpAll()
}

// RemoveHost drops the report of a host that has ended.
func (balancer *Balancer) RemoveHost(host string) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.drop(host)
}

func (balancer *Balancer) drop(host string) {
	if report := balancer.reports[host]; report != nil {
		balancer.count(report, -1)
		delete(balancer.reports, host)
	}
}

// expire drops the reports that are too old.
func (balancer *Balancer) expire(now time.Time) {
	for host, report := range balancer.reports {
		if now.Sub(report.ReceivedAt) > reportLife {
			balancer.drop(host)
		}
	}
}

// recount sums up all reports anew, after the targets have changed.
func (balancer *Balancer) recount() {
	for _, state := range balancer.targets {
		state.peersOpen, state.peersBacklog = 0, 0
	}
	for _, pool := range balancer.pools {
		clear(pool.others)
	}
	for _, report := range balancer.reports {
		balancer.count(report, 1)
	}
}

// reportAge is the age of the oldest report that counts.
func (balancer *Balancer) reportAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, report := range balancer.reports {
		oldest = max(oldest, now.Sub(report.ReceivedAt))
	}
	return oldest
}

// count adds a report to the sums, or takes it off with a sign of -1.
func (balancer *Balancer) count(report *Report, sign int) {
	for _, use := range report.Uses {
		if state := balancer.targets[use.Target]; state != nil {
			state.peersOpen += sign * use.InFlight
			state.peersBacklog += sign * use.Backlog
		}
	}
	for _, queue := range report.Queues {
		pool := balancer.pool(queue.Pool)
		for len(pool.others) < len(queue.Waiting) {
			pool.others = append(pool.others, 0)
		}
		for tier, waiting := range queue.Waiting {
			pool.others[tier] += sign * waiting
		}
	}
}

// Report returns what this host tells the others, with what it knows of the
// speed of some targets, others each time.
func (balancer *Balancer) Report() *Report {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	report := &Report{}
	for id, state := range balancer.targets {
		if state.open > 0 {
			report.Uses = append(report.Uses, Use{Target: id, InFlight: state.open, Backlog: state.backlog})
		}
	}
	for _, pool := range balancer.pools {
		report.Queues = append(report.Queues, pool.queue()...)
		report.Speeds = append(report.Speeds, pool.speeds()...)
	}
	return report
}

// queue counts the waiting requests by tier, nil if there are none.
func (pool *pool) queue() []Queue {
	if len(pool.waiting) == 0 {
		return nil
	}
	tiers := pool.waiting[len(pool.waiting)-1].Tier + 1
	return []Queue{{Pool: pool.name, Waiting: pool.waitingByTier(tiers)}}
}

// speeds returns the next target's speed, in turn, if it is known well.
func (pool *pool) speeds() []Speed {
	if len(pool.targets) == 0 {
		return nil
	}
	pool.told++
	state := pool.targets[pool.told%len(pool.targets)]
	if state.speed.samples < fewSamples {
		return nil
	}
	return []Speed{{Target: state.ID, TimePerToken: state.speed.perToken()}}
}

// PoolStatus is how a pool stands as this host knows it.
type PoolStatus struct {
	// Waiting and OthersWaiting are the waiting requests of this host and of
	// the others.
	Waiting       int
	OthersWaiting int
	// FreeSlots are the slots that look free. Contended tells that they don't suffice
	// for all hosts, so that this one uses only its part of them.
	FreeSlots      int
	Contended bool
	// ReportAge is the age of the oldest report of the others that counts.
	ReportAge time.Duration
}

// Status returns how a pool stands.
func (balancer *Balancer) Status(name string) PoolStatus {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := time.Now()
	pool := balancer.pool(name)
	return PoolStatus{
		Waiting:       len(pool.waiting),
		OthersWaiting: pool.othersAhead(len(pool.others)),
		FreeSlots:          pool.free(now),
		Contended:     pool.contended,
		ReportAge:     balancer.reportAge(now),
	}
}

// Subtract takes another report's counts off this one's.
func (report *Report) Subtract(part *Report) {
	open := map[string]Use{}
	for _, use := range part.Uses {
		open[use.Target] = use
	}
	for i := range report.Uses {
		use := &report.Uses[i]
		use.InFlight = max(0, use.InFlight-open[use.Target].InFlight)
		use.Backlog = max(0, use.Backlog-open[use.Target].Backlog)
	}
	waiting := map[string][]int{}
	for _, queue := range part.Queues {
		waiting[queue.Pool] = queue.Waiting
	}
	for _, queue := range report.Queues {
		for tier, count := range waiting[queue.Pool] {
			if tier < len(queue.Waiting) {
				queue.Waiting[tier] = max(0, queue.Waiting[tier]-count)
			}
		}
	}
}
