// Package quota enforces the quotas of workspaces over all hosts. Each host
// keeps a token bucket per workspace and reports its total use to the others,
// which charge it to their buckets. While hosts are silent, each is assumed to
// use an even share of every quota, and the buckets of the others fill by that
// much less.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// A host whose last report is older than this many report intervals is
	// silent and assumed to use its even share of each quota.
	maxMissedReports = 6
	// One in fullReportInterval reports lists all workspaces, the others only those
	// whose use changed recently.
	fullReportInterval = 16
	// A silent host is removed after this time: it has shut down by then, or is
	// cut off and limits itself to its even share, as every host does that
	// receives no reports.
	peerRemovalTimeout = time.Minute
	// A request is tiny if it needs at most 1/tinyRequestDivisor of the bucket's
	// burst. Tiny requests may overdraw the bucket by tinyRequestDebtFraction of
	// its burst.
	tinyRequestDivisor      = 100
	tinyRequestDebtFraction = 0.25
	// The rest of a stream may overdraw the bucket by restDebtFraction of its burst.
	restDebtFraction = 0.25
	// A host that just started refills no bucket for this long while it expects
	// other hosts and has received no report; then it assumes that they are
	// unreachable and refills its even share.
	startupWait = 150 * time.Millisecond
	// Until reports arrive, all other hosts together are assumed to use a
	// workspace's quota at this multiple of the quota's rate.
	startupRateFactor = 4
	// A host that started no longer than this before another one, by their clocks, has used
	// all that it reports in the other's time.
	sameStart = 2 * time.Second
	// The minimum time between two refills of the buckets: reports of many hosts
	// arrive together.
	minRefillInterval = time.Millisecond
	// The time constant of the exponential decay of recentPeerUse and
	// recentRefused.
	rateDecayTime = time.Second
)

// Limit is the token bucket of a workspace's quota.
type Limit struct {
	// Rate is in units per second; 0 means no limit.
	Rate float64
	// Burst is the capacity of the bucket in units.
	Burst float64
}

// The buckets include this fraction of the tolerance; the rest covers requests
// that hosts admit before they receive each other's reports.
const toleranceFraction = 0.5

// Tolerance is how far a quota may be exceeded in any window of a given length.
type Tolerance struct {
	Window time.Duration
	// Overage is a fraction of the quota, Slack is in the quota's units; their sum
	// is allowed.
	Overage float64
	Slack   float64
}

// The burst of a bucket is the allowance for a window divided by burstDivisor:
// a workspace may use that at once. The rest is refilled evenly, so that one
// workspace doesn't fill all targets at the start of the window and then has
// nothing for the rest of it.
const burstDivisor = 8

// Bucket returns the bucket that lets a workspace use, in any window, its quota
// for that time plus the usable fraction of the tolerance. It returns limit
// unchanged if the limit's rate or the window is 0.
func (tolerance Tolerance) Bucket(limit Limit) Limit {
	window := tolerance.Window.Seconds()
	if limit.Rate <= 0 || window <= 0 {
		return limit
	}
	allowance := limit.Rate*window + limit.Burst
	allowance += toleranceFraction * (tolerance.Overage*allowance + tolerance.Slack)
	burst := allowance / burstDivisor
	return Limit{Rate: (allowance - burst) / window, Burst: burst}
}

// Spend is a host's report of its use of a workspace's quota.
type Spend struct {
	Workspace string
	// Total is the units used since the host started.
	Total float64
	// Level is the host's estimate of the units left in the shared bucket.
	Level float64
}

// Ledger holds the buckets of all workspaces. Its exported fields are set before
// use.
type Ledger struct {
	// Interval returns the time between two reports of a host.
	Interval func() time.Duration
	// ReportsDelayed reports whether the reports of other hosts arrive so late
	// that several hosts may admit requests for the same remaining units. Nil means
	// never.
	ReportsDelayed func() bool
	// ExpectedPeers returns the number of other hosts with known addresses.
	// Those that have sent no report count as silent until peerRemovalTimeout after
	// the start, or until another host has been heard if that is later. Nil means none.
	ExpectedPeers func() int
	// Incarnation is the start of this host in microseconds since 1970, as in the reports
	// of the others; 0 if it is not known.
	Incarnation uint64
	// Random returns a number in [0, 1); nil uses math/rand.
	Random func() float64

	mutex   sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
	// silentPeers is the number of peers whose reports are stale.
	silentPeers int
	// unseenPeers is the number of expected peers that have sent no report
	// since this host started, 0 from peerRemovalTimeout after the start if some has.
	unseenPeers int
	// hasHeard is set once a host has sent a report.
	hasHeard  bool
	startedAt time.Time
	// reportCount is the number of calls of Report.
	reportCount int
	// lastRefill is when the buckets were last refilled.
	lastRefill time.Time
}

// bucket is this host's estimate of what is left of a workspace's quota. Its
// total is the units used on this host since it started.
type bucket struct {
	limit        Limit
	level        float64
	total        float64
	lastRefilled time.Time
	// lastChanged is when the total last changed.
	lastChanged time.Time
	// levelKnown is set once the level was set to that of a peer's report.
	levelKnown bool
	// recentPeerUse is the units that peers recently reported as used,
	// recentRefused the units of requests that this host recently refused; both
	// decay with rateDecayTime.
	recentPeerUse float64
	recentRefused float64
}

// peer holds the last reported totals of another host, by workspace.
type peer struct {
	incarnation  uint64
	lastReceived time.Time
	// replacesEarlier is set if this host has received reports of another
	// incarnation of the peer: all that this one uses is then charged, from 0 on.
	replacesEarlier bool
	// isNew is set if the peer did not start before this host. What it reports first is
	// charged, too, but at most a burst, as clocks may be wrong.
	isNew  bool
	totals map[string]float64
}

// SetLimits applies the quotas of a configuration.
func (ledger *Ledger) SetLimits(limits map[string]Limit) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := time.Now()
	ledger.refill(now)
	if ledger.buckets == nil {
		ledger.buckets = map[string]*bucket{}
	}
	for name, limit := range limits {
		entry := ledger.buckets[name]
		if entry == nil {
			// A new bucket is empty until a peer reports its level: the hosts
			// that ran before may have used all of it.
			entry = &bucket{lastRefilled: now, recentPeerUse: startupRateFactor * limit.Rate * rateDecayTime.Seconds()}
			ledger.buckets[name] = entry
		}
		if limit.Burst > entry.limit.Burst && entry.limit.Burst > 0 {
			entry.level += limit.Burst - entry.limit.Burst
		}
		entry.limit = limit
		entry.level = min(entry.level, limit.Burst)
	}
}

// Decision is the result of Take with the values that led to it.
type Decision struct {
	Allowed bool
	// RetryAfter is the estimated time until a retry may be allowed; set if not
	// Allowed.
	RetryAfter time.Duration
	// Level is the units left before the request, Limit the quota that applies.
	Level float64
	Limit Limit
	// SilentPeers is the number of other hosts that are silent, Peers the number
	// that have sent reports.
	SilentPeers int
	Peers       int
}

// Take takes units from a workspace's quota, or none if they are not available. A
// workspace without a limit is always allowed.
func (ledger *Ledger) Take(workspace string, units float64) Decision {
	return ledger.take(workspace, units, (*bucket).minLevel)
}

// TakeForRest is Take for the rest of a stream that a caller takes up. It may overdraw the bucket, so
// that streams go on while new requests wait.
func (ledger *Ledger) TakeForRest(workspace string, units float64) Decision {
	return ledger.take(workspace, units, func(bucket *bucket, _ float64) float64 { return -restDebtFraction * bucket.limit.Burst })
}

func (ledger *Ledger) take(workspace string, units float64, minLevelOf func(bucket *bucket, units float64) float64) Decision {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	silent := ledger.refill(time.Now())
	bucket := ledger.buckets[workspace]
	if bucket == nil || bucket.limit.Rate <= 0 {
		return Decision{Allowed: true}
	}
	decision := Decision{Level: bucket.level, Limit: bucket.limit, SilentPeers: silent, Peers: len(ledger.peers)}
	minLevel := minLevelOf(bucket, units)
	switch {
	case bucket.level <= minLevel:
		decision.RetryAfter = time.Duration((minLevel - bucket.level) / bucket.limit.Rate * float64(time.Second))
	case !ledger.admitContended(bucket, bucket.level-minLevel):
		decision.RetryAfter = ledger.Interval()
	default:
		decision.Allowed = true
	}
	if !decision.Allowed {
		bucket.recentRefused += units
		return decision
	}
	bucket.level -= units
	bucket.total += units
	bucket.lastChanged = time.Now()
	return decision
}

// admitContended reports whether to admit a request while peers, whose reports
// are delayed, may be using the same remaining units. The peers are assumed to
// continue at their recent rate, and each to receive as much additional demand
// as this host recently refused. If that is more than what is left, a random
// fraction of the requests is admitted.
func (ledger *Ledger) admitContended(bucket *bucket, remaining float64) bool {
	peerCount := float64(ledger.unseenPeers + len(ledger.peers))
	if peerCount == 0 || ledger.ReportsDelayed == nil || !ledger.ReportsDelayed() {
		return true
	}
	demand := (bucket.recentPeerUse + peerCount*bucket.recentRefused) *
		ledger.Interval().Seconds() / rateDecayTime.Seconds()
	return demand <= remaining || ledger.random()*demand < remaining
}

func (ledger *Ledger) random() float64 {
	if ledger.Random != nil {
		return ledger.Random()
	}
	return rand.Float64()
}

// minLevel returns the level above which a request is admitted. A request may
// take more units than are left, and later ones wait until the debt is refilled:
// otherwise large requests would hardly ever be admitted while there are small
// ones. Tiny requests, such as payments beside prompts, don't wait until the debt
// of a large one is refilled.
func (bucket *bucket) minLevel(units float64) float64 {
	if units*tinyRequestDivisor > bucket.limit.Burst {
		return 0
	}
	return -tinyRequestDebtFraction * bucket.limit.Burst
}

// Return puts the units of a request that did not run back into the quota.
func (ledger *Ledger) Return(workspace string, units float64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if bucket := ledger.buckets[workspace]; bucket != nil && bucket.limit.Rate > 0 {
		bucket.level = min(bucket.limit.Burst, bucket.level+units)
		bucket.total -= units
		bucket.lastChanged = time.Now()
	}
}

// refill fills the buckets for the elapsed time, less the shares of silent
// hosts, and returns the number of silent hosts.
func (ledger *Ledger) refill(now time.Time) int {
	if now.Sub(ledger.lastRefill) < minRefillInterval {
		return ledger.silentPeers + ledger.unseenPeers
	}
	ledger.lastRefill = now
	silenceTimeout := maxMissedReports * ledger.Interval()
	previousFraction, previousPeers := ledger.activeFraction(), len(ledger.peers)
	if ledger.startedAt.IsZero() {
		ledger.startedAt = now
	}
	ledger.silentPeers, ledger.unseenPeers = 0, 0
	if (now.Sub(ledger.startedAt) < peerRemovalTimeout || !ledger.hasHeard) && ledger.ExpectedPeers != nil {
		ledger.unseenPeers = max(0, ledger.ExpectedPeers()-previousPeers)
	}
	for host, peer := range ledger.peers {
		age := now.Sub(peer.lastReceived)
		switch {
		case age > peerRemovalTimeout:
			delete(ledger.peers, host)
		case age > silenceTimeout:
			ledger.silentPeers++
		}
	}
	activeFraction := ledger.activeFraction()
	if ledger.unseenPeers > 0 && previousPeers == 0 && now.Sub(ledger.startedAt) < startupWait {
		activeFraction = 0
	}
	for _, bucket := range ledger.buckets {
		elapsed := now.Sub(bucket.lastRefilled).Seconds()
		bucket.lastRefilled = now
		decay := math.Exp(-elapsed / rateDecayTime.Seconds())
		bucket.recentPeerUse *= decay
		bucket.recentRefused *= decay
		// Hosts that have just become silent may also use their share of what is
		// left.
		if activeFraction < previousFraction && previousPeers == len(ledger.peers) && bucket.level > 0 {
			bucket.level *= activeFraction / previousFraction
		}
		// Silent hosts may keep their shares of a burst as well.
		capacity := max(bucket.level, bucket.limit.Burst*activeFraction)
		bucket.level = min(capacity, bucket.level+elapsed*bucket.limit.Rate*activeFraction)
	}
	return ledger.silentPeers + ledger.unseenPeers
}

// activeFraction returns the fraction of each quota that belongs to this host
// and the hosts that are not silent.
func (ledger *Ledger) activeFraction() float64 {
	silent := ledger.silentPeers + ledger.unseenPeers
	return 1 - float64(silent)/float64(1+ledger.unseenPeers+len(ledger.peers))
}

// ApplyReport charges the use that another host reported. A report of an
// earlier incarnation is dropped unless the later one is silent.
func (ledger *Ledger) ApplyReport(host string, incarnation uint64, spends []Spend) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := time.Now()
	ledger.refill(now)
	if ledger.peers == nil {
		ledger.peers = map[string]*peer{}
	}
	entry := ledger.peers[host]
	if entry == nil {
		entry = &peer{incarnation: incarnation, isNew: ledger.startedWith(incarnation), totals: map[string]float64{}}
		ledger.peers[host] = entry
	}
	if entry.incarnation > incarnation && now.Sub(entry.lastReceived) <= maxMissedReports*ledger.Interval() {
		return
	}
	if entry.incarnation != incarnation {
		entry = &peer{incarnation: incarnation, replacesEarlier: true, totals: map[string]float64{}}
		ledger.peers[host] = entry
	}
	entry.lastReceived, ledger.hasHeard = now, true
	for _, spend := range spends {
		ledger.charge(entry, spend)
	}
}

// startedWith reports whether a peer of an incarnation did not start before this host.
func (ledger *Ledger) startedWith(incarnation uint64) bool {
	return ledger.Incarnation > 0 && incarnation+uint64(sameStart.Microseconds()) >= ledger.Incarnation
}

// charge subtracts the units that a peer used since its last report from the
// bucket. The total in the first report of a peer that started earlier may have been used
// before this host started, so it is not charged; a bucket whose level is not yet known is
// set to the reported level instead.
func (ledger *Ledger) charge(peer *peer, spend Spend) {
	bucket := ledger.buckets[spend.Workspace]
	if bucket == nil {
		return
	}
	previous, hasPrevious := peer.totals[spend.Workspace]
	peer.totals[spend.Workspace] = spend.Total
	switch {
	case hasPrevious || peer.replacesEarlier:
		bucket.level -= spend.Total - previous
		bucket.recentPeerUse = max(0, bucket.recentPeerUse+spend.Total-previous)
	case peer.isNew:
		used := min(spend.Total, bucket.limit.Burst)
		bucket.level -= used
		bucket.recentPeerUse += used
	case !bucket.levelKnown:
		bucket.level = spend.Level
		bucket.levelKnown = true
	}
	bucket.level = min(bucket.level, bucket.limit.Burst)
}

// RemoveHost removes a host that has shut down and uses no more units.
func (ledger *Ledger) RemoveHost(host string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.refill(time.Now())
	delete(ledger.peers, host)
}

// Report returns the spends to send to the other hosts: those that changed
// recently, and all of them in one of fullReportInterval reports.
func (ledger *Ledger) Report() []Spend {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := time.Now()
	ledger.refill(now)
	ledger.reportCount++
	full := ledger.reportCount%fullReportInterval == 1
	recent := now.Add(-maxMissedReports * ledger.Interval())
	var spends []Spend
	for name, bucket := range ledger.buckets {
		if bucket.limit.Rate > 0 && (full || bucket.lastChanged.After(recent)) {
			spends = append(spends, Spend{Workspace: name, Total: bucket.total, Level: bucket.level})
		}
	}
	return spends
}
