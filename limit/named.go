// Package limit keeps the requests that all hosts together send to a target within the
// rate that the target names. One host, the grantor, grants permits for a target to the
// others. The package does no network I/O.
package limit

import (
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/timeline"
)

// Target identifies one incarnation of a target. It is the same on all hosts.
type Target uint32

// String returns the target as it appears in events.
func (target Target) String() string { return strconv.FormatUint(uint64(target), 16) }

const (
	// minRate is the lowest rate that is kept to. A target that names less still gets
	// a request now and then, as only its answers show that it takes more again.
	minRate = 0.1
	// MaxRate is the highest rate that is a limit; a higher one is none.
	MaxRate = 1e6
	// liftMargin is the time by which a request must have been sent after a target
	// named its limit, for its answer without one to end the limit. It is more than
	// the difference between the times at which two hosts receive answers.
	liftMargin = 50 * time.Millisecond
	// renewalInterval is the time within which a limit that is named again is not
	// recorded. It is less than liftMargin.
	renewalInterval = 20 * time.Millisecond
	// liftedLifetime is how long a limit that ended is remembered, so that late
	// messages don't bring it back.
	liftedLifetime = 10 * time.Second
	// maxNamed limits the targets whose limits are known.
	maxNamed = 4096
)

var (
	eventNamed = timeline.Define(timeline.Kind{
		Number: 1121, Name: "target limited", Level: timeline.Info,
		Meaning: "The target takes only the requests a second in the facts from all hosts together; source tells whether its own answer to this host said so or another host did.",
		Action:  "find out why the target is in need; requests beyond the limit go to other targets or are refused",
	})
	eventLifted = timeline.Define(timeline.Kind{
		Number: 1122, Name: "target no longer limited", Level: timeline.Info,
		Meaning: "The target answered a request without naming a limit, or is gone.",
	})
)

// Named is what a host knows of a target's limit.
type Named struct {
	// Rate is in requests per second, 0 for a limit that ended.
	Rate float64
	// At is when the target named it, by this host's clock. For a limit that ended
	// it is when the request was sent whose answer showed it.
	At time.Time
	// IsOwn is set if this host observed it itself.
	IsOwn bool
}

// supersedes reports whether a limit replaces what is known.
func (named Named) supersedes(known Named) bool {
	if named.Rate == 0 {
		return known.Rate > 0 && named.At.Sub(known.At) > liftMargin
	}
	return named.At.After(known.At)
}

// limits holds the limits that are known of targets. The map is replaced, never changed.
type limits struct {
	mutex sync.Mutex
	named atomic.Pointer[map[Target]Named]
}

func (limits *limits) load() map[Target]Named {
	if named := limits.named.Load(); named != nil {
		return *named
	}
	return nil
}

// find returns what is known of a target's limit.
func (limits *limits) find(target Target) Named { return limits.load()[target] }

// set records a limit unless what is known is newer. It reports whether that changed
// the rate.
func (limits *limits) set(target Target, named Named) bool {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	known, ok := limits.load()[target]
	if named.Rate == known.Rate && named.IsOwn == known.IsOwn && named.At.Sub(known.At) < renewalInterval {
		return false
	}
	if !named.supersedes(known) || !ok && len(limits.load()) >= maxNamed {
		return false
	}
	replaced := maps.Clone(limits.load())
	if replaced == nil {
		replaced = map[Target]Named{}
	}
	replaced[target] = named
	limits.named.Store(&replaced)
	return known.Rate != named.Rate
}

// remove forgets targets.
func (limits *limits) remove(isGone func(target Target, named Named) bool) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	known := limits.load()
	kept := maps.Clone(known)
	maps.DeleteFunc(kept, isGone)
	if len(kept) < len(known) {
		limits.named.Store(&kept)
	}
}
