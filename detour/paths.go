// Package detour sends requests over other hosts while this host reaches no target of a
// pool, and sends the requests of hosts that don't.
package detour

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/balance"
	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

const (
	// watchInterval is how often silent pools are looked for.
	watchInterval = 50 * time.Millisecond
	// silence is the time for which no target of a pool sends anything, while requests run
	// there, after which new connections show whether the pool is in reach.
	silence = 400 * time.Millisecond
	// silenceRecheck is the shortest time between two checks of a silent pool that was in
	// reach; unreachedRecheck is the time between two checks of one that was not.
	silenceRecheck   = time.Second
	unreachedRecheck = 400 * time.Millisecond
	// failureRecheck is the shortest time between two checks after failed connections.
	failureRecheck = 250 * time.Millisecond
	// maxCheckedTargets is the number of targets that a check connects to.
	maxCheckedTargets = 3
)

var (
	eventUnreached = timeline.Define(timeline.Kind{
		Number: 1131, Name: "pool out of reach", Level: timeline.Warn,
		Meaning: "This host could connect to none of several targets of the pool. Its requests go over hosts that reach the targets, as far as there are any; the facts are their number, that of the targets that were tried, and the last error.",
		Action:  "if other hosts reach the targets, look at this host's network; its callers are served over others meanwhile",
	})
	eventReached = timeline.Define(timeline.Kind{
		Number: 1132, Name: "pool in reach again", Level: timeline.Info,
		Meaning: "This host could connect to a target of a pool that it could not reach, and sends its requests itself again. The fact is how long that lasted.",
	})
)

// Paths tells which pools this host reaches by its own connections. Its fields are set
// before Run.
type Paths struct {
	// Connect opens a connection to a target's address within a time.
	Connect func(ctx context.Context, address string) error
	// ConnectTimeout limits each call of Connect.
	ConnectTimeout time.Duration
	// Hosts returns the number of other hosts that reach a pool. It may be nil.
	Hosts func(pool string) int
	// OnUnreached is called when a pool is out of reach, with the addresses of its
	// targets. It may be nil.
	OnUnreached func(pool string, addresses []string)
	Events      *timeline.Recorder

	// pools is replaced, never changed.
	pools atomic.Pointer[map[string]*pool]
	mutex sync.Mutex
}

// pool is what is known of the paths to a pool.
type pool struct {
	name      string
	addresses atomic.Pointer[[]string]
	// lastHeard is when a target last sent something to this host itself, in nanoseconds
	// since 1970.
	lastHeard atomic.Int64
	unreached atomic.Bool

	mutex    sync.Mutex
	attempts map[*Attempt]bool
	// check is closed at the end of the check in progress, nil if there is none.
	check       chan struct{}
	checkedAt   time.Time
	unreachedAt time.Time
}

// Attempt is a request that this host has sent to a target of a pool itself. It must be
// ended by End.
type Attempt struct {
	pool      *pool
	lastHeard atomic.Int64
	// onUnreached is called while the pool is out of reach and its targets are silent.
	onUnreached func()
}

// SetTargets sets the targets that can be reached.
func (paths *Paths) SetTargets(targets []balance.Target) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	addresses := map[string][]string{}
	for i := range targets {
		addresses[targets[i].Pool] = append(addresses[targets[i].Pool], targets[i].Address)
	}
	previous := paths.load()
	next := map[string]*pool{}
	for name, list := range addresses {
		entry := previous[name]
		if entry == nil {
			entry = &pool{name: name, attempts: map[*Attempt]bool{}}
		}
		entry.addresses.Store(&list)
		next[name] = entry
	}
	paths.pools.Store(&next)
}

func (paths *Paths) load() map[string]*pool {
	if pools := paths.pools.Load(); pools != nil {
		return *pools
	}
	return nil
}

// Reaches reports whether this host reaches a pool, as far as it knows.
func (paths *Paths) Reaches(name string) bool {
	entry := paths.load()[name]
	return entry == nil || !entry.unreached.Load()
}

// Unreached returns the names of the pools out of reach, sorted.
func (paths *Paths) Unreached() []string {
	var names []string
	for name, entry := range paths.load() {
		if entry.unreached.Load() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Begin starts watching a request that this host sends to a target of a pool itself.
// OnUnreached is called, perhaps several times, while the pool is out of reach and nothing
// comes.
func (paths *Paths) Begin(name string, onUnreached func()) *Attempt {
	attempt := &Attempt{pool: paths.load()[name], onUnreached: onUnreached}
	if attempt.pool == nil {
		return attempt
	}
	attempt.lastHeard.Store(time.Now().UnixNano())
	attempt.pool.mutex.Lock()
	defer attempt.pool.mutex.Unlock()
	attempt.pool.attempts[attempt] = true
	return attempt
}

// Heard records that the target has sent something.
func (attempt *Attempt) Heard() {
	if attempt.pool == nil {
		return
	}
	now := time.Now().UnixNano()
	attempt.lastHeard.Store(now)
	attempt.pool.lastHeard.Store(now)
}

// End ends the watch.
func (attempt *Attempt) End() {
	if attempt.pool == nil {
		return
	}
	attempt.pool.mutex.Lock()
	defer attempt.pool.mutex.Unlock()
	delete(attempt.pool.attempts, attempt)
}

// Failed records that a connection to a target of a pool could not be opened.
func (paths *Paths) Failed(name string) {
	if entry := paths.load()[name]; entry != nil {
		paths.startCheck(entry, failureRecheck)
	}
}

// Confirm checks whether this host reaches a pool and returns the result. It waits for a
// check in progress, or the context's end.
func (paths *Paths) Confirm(ctx context.Context, name string) bool {
	entry := paths.load()[name]
	if entry == nil {
		return true
	}
	if check := paths.startCheck(entry, failureRecheck); check != nil {
		select {
		case <-check:
		case <-ctx.Done():
		}
	}
	return !entry.unreached.Load()
}

// startCheck checks a pool in the background, unless that began less than interval ago. The
// returned channel is closed at the end, nil if no check is in progress.
func (paths *Paths) startCheck(entry *pool, interval time.Duration) <-chan struct{} {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if entry.check != nil {
		return entry.check
	}
	if time.Since(entry.checkedAt) < interval {
		return nil
	}
	entry.checkedAt = time.Now()
	entry.check = make(chan struct{})
	go paths.checkPool(entry, entry.check)
	return entry.check
}

// checkPool connects to some targets of a pool. It is in reach if one of them accepts.
func (paths *Paths) checkPool(entry *pool, done chan struct{}) {
	addresses := slices.Clone(*entry.addresses.Load())
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxCheckedTargets)]
	ctx, cancel := context.WithTimeout(context.Background(), paths.ConnectTimeout)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- paths.Connect(ctx, address) }()
	}
	var failure error
	for range addresses {
		if failure = <-results; failure == nil {
			break
		}
	}
	metrics.GetOrCreateCounter("nutmegfield_path_checks_total").Inc()
	paths.setReached(entry, len(addresses), failure)
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.check = nil
	close(done)
}

// setReached records the result of a check: the pool is out of reach if it ended with a
// failure.
func (paths *Paths) setReached(entry *pool, tried int, failure error) {
	isReached := failure == nil
	if entry.unreached.Swap(!isReached) == !isReached {
		return
	}
	entry.mutex.Lock()
	unreachedAt := entry.unreachedAt
	entry.unreachedAt = time.Now()
	entry.mutex.Unlock()
	if isReached {
		paths.Events.Record(eventReached, timeline.Event{
			Pool: entry.name, Facts: []timeline.Fact{timeline.Duration("lasted", time.Since(unreachedAt))},
		})
		return
	}
	hosts := 0
	if paths.Hosts != nil {
		hosts = paths.Hosts(entry.name)
	}
	paths.Events.Record(eventUnreached, timeline.Event{Pool: entry.name, Facts: []timeline.Fact{
		timeline.Count("hosts", hosts), timeline.Count("tried", tried), {Key: "error", Value: failure.Error()},
	}})
	if paths.OnUnreached != nil {
		paths.OnUnreached(entry.name, *entry.addresses.Load())
	}
}

// Run looks for silent pools, and for those in reach again, until the context ends. It
// returns nil.
func (paths *Paths) Run(ctx context.Context) error {
	for pause.For(ctx, watchInterval) {
		for _, entry := range paths.load() {
			paths.watch(entry)
		}
	}
	return nil
}

func (paths *Paths) watch(entry *pool) {
	if entry.unreached.Load() {
		for _, attempt := range entry.silentAttempts() {
			attempt.onUnreached()
		}
		paths.startCheck(entry, pause.Jitter(unreachedRecheck))
		return
	}
	if entry.isSilent() {
		paths.startCheck(entry, silenceRecheck)
	}
}

// isSilent reports whether requests run at the pool's targets, and none of these has sent
// anything for a time.
func (entry *pool) isSilent() bool {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if len(entry.attempts) == 0 {
		return false
	}
	earliest := time.Now().Add(-silence).UnixNano()
	if entry.lastHeard.Load() > earliest {
		return false
	}
	for attempt := range entry.attempts {
		if attempt.lastHeard.Load() <= earliest {
			return true
		}
	}
	return false
}

// silentAttempts returns the attempts whose targets have sent nothing for a time.
func (entry *pool) silentAttempts() []*Attempt {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	earliest := time.Now().Add(-silence).UnixNano()
	var silent []*Attempt
	for attempt := range entry.attempts {
		if attempt.lastHeard.Load() <= earliest {
			silent = append(silent, attempt)
		}
	}
	return silent
}
