package balance

import "time"

// Heard takes the report of another host.
func (balancer *Balancer) Heard(report *Report) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if balancer.reports == nil {
		balancer.reports = map[string]*Report{}
	}
	report.Arrived = time.Now()
	balancer.reports[report.Host] = report
	for _, use := range report.Uses {
		if state := balancer.targets[use.Target]; state != nil && use.Cost > 0 {
			state.tell(use.Cost)
		}
	}
	balancer.fold(report.Arrived)
	balancer.pumpAll()
}

// Lost drops the report of a host that has ended.
func (balancer *Balancer) Lost(host string) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	delete(balancer.reports, host)
	balancer.fold(time.Now())
}

// fold sums up what the other hosts report.
func (balancer *Balancer) fold(now time.Time) {
	for _, state := range balancer.targets {
		state.peersOpen, state.peersBacklog = 0, 0
	}
	for _, pool := range balancer.pools {
		clear(pool.others)
	}
	for host, report := range balancer.reports {
		if now.Sub(report.Arrived) > reportLife {
			delete(balancer.reports, host)
			continue
		}
		balancer.add(report)
	}
}

// reportAge is the age of the oldest report that counts.
func (balancer *Balancer) reportAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, report := range balancer.reports {
		oldest = max(oldest, now.Sub(report.Arrived))
	}
	return oldest
}

func (balancer *Balancer) add(report *Report) {
	for _, use := range report.Uses {
		if state := balancer.targets[use.Target]; state != nil {
			state.peersOpen += use.Open
			state.peersBacklog += use.Backlog
		}
	}
	for _, queue := range report.Queues {
		pool := balancer.pool(queue.Pool)
		for len(pool.others) < len(queue.Waiting) {
			pool.others = append(pool.others, 0)
		}
		for tier, waiting := range queue.Waiting {
			pool.others[tier] += waiting
		}
	}
}

// Report returns what this host tells the others.
func (balancer *Balancer) Report() ([]Use, []Queue) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	uses := make([]Use, 0, len(balancer.targets))
	for id, state := range balancer.targets {
		cost := time.Duration(0)
		if state.speed.samples >= fewSamples {
			cost = state.speed.perToken()
		}
		if state.open > 0 || cost > 0 {
			uses = append(uses, Use{Target: id, Open: state.open, Backlog: state.backlog, Cost: cost})
		}
	}
	var queues []Queue
	for name, pool := range balancer.pools {
		if len(pool.waiting) == 0 {
			continue
		}
		last := pool.waiting[len(pool.waiting)-1].Tier
		waiting := make([]int, last+1)
		for _, ticket := range pool.waiting {
			waiting[ticket.Tier]++
		}
		queues = append(queues, Queue{Pool: name, Waiting: waiting})
	}
	return uses, queues
}

// Waiting is the number of waiting requests of a pool on this host.
func (balancer *Balancer) Waiting(pool string) int {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	return len(balancer.pool(pool).waiting)
}
