// Package quota keeps the quotas of workspaces over all hosts. Each host
// tells the others what it has used in its life, so that every host keeps the
// same bucket; for hosts that are silent, their even part is taken off.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// missedReports is how many reports of a host may be missing before it is
	// taken to use its even part of each quota.
	missedReports = 6
	// wholeReport is how many reports there are to one of all workspaces.
	wholeReport = 16
	// forget is how long a silent host counts; by then it has ended, or has
	// only its even part, like every host that hears no other.
	forget = time.Minute
	// tinyPart requests that take the whole bucket are tiny, and may be in debt
	// for tinyDebt of it.
	tinyPart = 100
	tinyDebt = 0.25
	// aloneAfter is how long a host that just started waits for the first word
	// of another before it takes itself to be alone.
	aloneAfter = 150 * time.Millisecond
	// startPace is how many times its quota a workspace is held to use on the
	// other hosts before any has told.
	startPace = 4
	// advanceInterval is the least time between two fillings: the words of many
	// hosts come together.
	advanceInterval = time.Millisecond
	// paceTime is the time over which the pace of requests is taken.
	paceTime = time.Second
)

// Limit is a workspace's quota.
type Limit struct {
	// Rate is the units a second, 0 for no limit.
	Rate float64
	// Burst is the most units in the bucket.
	Burst float64
}

// toleranceShare is the part of the tolerance that hosts use; the rest is for
// what they use before they hear of each other.
const toleranceShare = 0.5

// Tolerance is by how much a quota may be exceeded in any window.
type Tolerance struct {
	Window time.Duration
	// Overage is a part of the quota, Slack in its unit.
	Overage float64
	Slack   float64
}

// depthPart is the part of what a workspace may use in a window that it may
// use at once. The rest comes evenly, so that one workspace does not fill all
// targets and then has nothing for the rest of the window.
const depthPart = 8

// Bucket returns the bucket that lets a workspace use, in any window, what its
// quota and the tolerance allow for that long.
func (tolerance Tolerance) Bucket(limit Limit) Limit {
	window := tolerance.Window.Seconds()
	if limit.Rate <= 0 || window <= 0 {
		return limit
	}
	whole := limit.Rate*window + limit.Burst
	whole += toleranceShare * (tolerance.Overage*whole + tolerance.Slack)
	depth := whole / depthPart
	return Limit{Rate: (whole - depth) / window, Burst: depth}
}

// Spend is what a host says of a workspace.
type Spend struct {
	Workspace string
	// Total is the units that it used in its life.
	Total float64
	// Level is what it believes to be left for all.
	Level float64
}

// Ledger holds the buckets of all workspaces. Fields are set before use.
type Ledger struct {
	// Interval returns the time between two reports of a host.
	Interval func() time.Duration
	// ReportsDelayed reports whether the reports of other hosts come so late that these
	// may be taking the same last units; nil is for never.
	ReportsDelayed func() bool
	// ExpectedPeers returns how many other hosts there are; those not heard yet
	// count as silent for a while. Nil is for none.
	ExpectedPeers func() int
	// Draw returns a number from 0 to below 1; nil draws at random.
	Draw func() float64

	mutex   sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*account
	// silent is how many of the other hosts are not heard.
	silent int
	// unheard is how many of those expected were never heard, since began.
	unheard int
	began   time.Time
	// reports is how often this host reported.
	reports int
	// advanced is when the buckets were last filled.
	advanced time.Time
}

// bucket is what is left of a workspace's quota, as this host knows it.
type bucket struct {
	limit   Limit
	level   float64
	total   float64
	updated time.Time
	// changed is when the total last changed.
	changed time.Time
	// told tells that another host's word of the level was taken.
	told bool
	// others is what the other hosts said to have used of late, turnedAway what
	// this one refused; both fade with paceTime.
	others     float64
	turnedAway float64
}

// account is what is known of another host.
type account struct {
	life  uint64
	heard time.Time
	// counted lives are known from their beginning.
	counted bool
	totals  map[string]float64
}

// SetLimits puts the quotas of a configuration in force.
func (ledger *Ledger) SetLimits(limits map[string]Limit) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := time.Now()
	ledger.advance(now)
	if ledger.buckets == nil {
		ledger.buckets = map[string]*bucket{}
	}
	for name, limit := range limits {
		known := ledger.buckets[name]
		if known == nil {
			// A bucket is empty until another host tells its level: the hosts
			// that ran before may have used all of it.
			known = &bucket{updated: now, others: startPace * limit.Rate * paceTime.Seconds()}
			ledger.buckets[name] = known
		}
		if limit.Burst > known.limit.Burst && known.limit.Burst > 0 {
			known.level += limit.Burst - known.limit.Burst
		}
		known.limit = limit
		known.level = min(known.level, limit.Burst)
	}
}

// Decision is whether units of a quota were taken, and what decided it.
type Decision struct {
	Allowed bool
	// RetryAfter is when there may be enough, where there is too little.
	RetryAfter time.Duration
	// Level is what was left, Limit what is in force.
	Level float64
	Limit Limit
	// SilentPeers is how many of the Peers other hosts are not heard.
	SilentPeers int
	Peers  int
}

// Take uses units of a workspace's quota, or none where there are too few.
func (ledger *Ledger) Take(workspace string, units float64) Decision {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	silent := ledger.advance(time.Now())
	bucket := ledger.buckets[workspace]
	if bucket == nil || bucket.limit.Rate <= 0 {
		return Decision{Allowed: true}
	}
	decision := Decision{Level: bucket.level, Limit: bucket.limit, SilentPeers: silent, Peers: len(ledger.peers)}
	floor := bucket.floor(units)
	switch {
	case bucket.level <= floor:
		decision.RetryAfter = time.Duration((floor - bucket.level) / bucket.limit.Rate * float64(time.Second))
	case !ledger.suffices(bucket, bucket.level-floor):
		decision.RetryAfter = ledger.Interval()
	default:
		decision.Allowed = true
	}
	if !decision.Allowed {
		bucket.turnedAway += units
		return decision
	}
	bucket.level -= units
	bucket.total += units
	bucket.changed = time.Now()
	return decision
}

// suffices reports whether a request may be let through while others hosts,
// of which this one hears late, may be taking the same last units. They are
// held to go on as they were heard, and to be asked for as much as this one
// had to turn away; if all of that is more than is left, a part of the requests
// is let through.
func (ledger *Ledger) suffices(bucket *bucket, left float64) bool {
	others := float64(ledger.unheard + len(ledger.peers))
	if others == 0 || ledger.ReportsDelayed == nil || !ledger.ReportsDelayed() {
		return true
	}
	wanted := (bucket.others + others*bucket.turnedAway) * ledger.Interval().Seconds() / paceTime.Seconds()
	return wanted <= left || ledger.draw()*wanted < left
}

func (ledger *Ledger) draw() float64 {
	if ledger.Draw != nil {
		return ledger.Draw()
	}
	return rand.Float64()
}

// floor is the level above which a request is let through. Any one may take
// the last units and more, and later ones wait for what it took too much: else
// large ones would hardly ever be let through beside small ones. Tiny ones, as
// payments are beside prompts, don't wait for what a large one took.
func (bucket *bucket) floor(units float64) float64 {
	if units*tinyPart > bucket.limit.Burst {
		return 0
	}
	return -tinyDebt * bucket.limit.Burst
}

// Return gives back what was taken for a request that did not run.
func (ledger *Ledger) Return(workspace string, units float64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if bucket := ledger.buckets[workspace]; bucket != nil && bucket.limit.Rate > 0 {
		bucket.level = min(bucket.limit.Burst, bucket.level+units)
		bucket.total -= units
		bucket.changed = time.Now()
	}
}

// advance fills the buckets for the time passed, less the parts of silent
// hosts, and returns how many these are.
func (ledger *Ledger) advance(now time.Time) int {
	if now.Sub(ledger.advanced) < advanceInterval {
		return ledger.silent + ledger.unheard
	}
	ledger.advanced = now
	silence := missedReports * ledger.Interval()
	before, hosts := ledger.part(), len(ledger.peers)
	if ledger.began.IsZero() {
		ledger.began = now
	}
	ledger.silent, ledger.unheard = 0, 0
	if now.Sub(ledger.began) < forget && ledger.ExpectedPeers != nil {
		ledger.unheard = max(0, ledger.ExpectedPeers()-hosts)
	}
	for host, account := range ledger.peers {
		age := now.Sub(account.heard)
		switch {
		case age > forget:
			delete(ledger.peers, host)
		case age > silence:
			ledger.silent++
		}
	}
	part := ledger.part()
	if ledger.unheard > 0 && hosts == 0 && now.Sub(ledger.began) < aloneAfter {
		part = 0
	}
	for _, bucket := range ledger.buckets {
		passed := now.Sub(bucket.updated).Seconds()
		bucket.updated = now
		fading := math.Exp(-passed / paceTime.Seconds())
		bucket.others *= fading
		bucket.turnedAway *= fading
		// What is left is divided too: silent hosts may use it.
		if part < before && hosts == len(ledger.peers) && bucket.level > 0 {
			bucket.level *= part / before
		}
		bucket.level = min(bucket.limit.Burst, bucket.level+passed*bucket.limit.Rate*part)
	}
	return ledger.silent + ledger.unheard
}

// part is the part of each quota that belongs to the hosts that are heard,
// with this one.
func (ledger *Ledger) part() float64 {
	silent := ledger.silent + ledger.unheard
	return 1 - float64(silent)/float64(1+ledger.unheard+len(ledger.peers))
}

// ApplyReport takes what another host says of its use.
func (ledger *Ledger) ApplyReport(host string, life uint64, spends []Spend) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := time.Now()
	ledger.advance(now)
	if ledger.peers == nil {
		ledger.peers = map[string]*account{}
	}
	known := ledger.peers[host]
	if known == nil {
		known = &account{life: life, totals: map[string]float64{}}
		ledger.peers[host] = known
	}
	if known.life > life && now.Sub(known.heard) <= missedReports*ledger.Interval() {
		return
	}
	if known.life != life {
		known = &account{life: life, counted: true, totals: map[string]float64{}}
		ledger.peers[host] = known
	}
	known.heard = now
	for _, spend := range spends {
		ledger.charge(known, spend)
	}
}

// charge takes off what a host used since its last report. The first report of
// a life that began before this host's says nothing of when that much was used;
// a bucket that no one told the level of takes its level.
func (ledger *Ledger) charge(account *account, spend Spend) {
	bucket := ledger.buckets[spend.Workspace]
	if bucket == nil {
		return
	}
	before, known := account.totals[spend.Workspace]
	account.totals[spend.Workspace] = spend.Total
	switch {
	case known || account.counted:
		bucket.level -= spend.Total - before
		bucket.others = max(0, bucket.others+spend.Total-before)
	case !bucket.told:
		bucket.level = spend.Level
		bucket.told = true
	}
	bucket.level = min(bucket.level, bucket.limit.Burst)
}

// RemoveHost tells that a host has left and uses nothing any more.
func (ledger *Ledger) RemoveHost(host string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.advance(time.Now())
	delete(ledger.peers, host)
}

// Report returns what this host tells the others: what it used lately, and
// all of it now and then.
func (ledger *Ledger) Report() []Spend {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := time.Now()
	ledger.advance(now)
	ledger.reports++
	whole := ledger.reports%wholeReport == 1
	recent := now.Add(-missedReports * ledger.Interval())
	var spends []Spend
	for name, bucket := range ledger.buckets {
		if bucket.limit.Rate > 0 && (whole || bucket.changed.After(recent)) {
			spends = append(spends, Spend{Workspace: name, Total: bucket.total, Level: bucket.level})
		}
	}
	return spends
}
