package limit

import (
	"strconv"
	"sync"
	"time"

	"nutmegfield.example/timeline"
)

// goneLifetime is how long the limit of a target is remembered whose entry has
// vanished: entries may come back.
const goneLifetime = 10 * time.Second

// Limiter knows the limits of targets. Its exported fields are set before use.
type Limiter struct {
	Events *timeline.Recorder

	limits limits

	mutex sync.Mutex
	// names are the ids of the current targets, goneAt the times at which entries of
	// others with a limit vanished.
	names  map[Target]string
	goneAt map[Target]time.Time
}

// IsEmpty reports whether no limit is known.
func (limiter *Limiter) IsEmpty() bool { return len(limiter.limits.load()) == 0 }

// Observe records the limit in an answer of a target, 0 if it names none, to a request
// that was sent at a time.
func (limiter *Limiter) Observe(target Target, rate float64, sentAt time.Time) {
	if rate <= 0 {
		if limiter.IsEmpty() {
			return
		}
		limiter.learn(target, Named{At: sentAt, IsOwn: true}, "answer")
		return
	}
	limiter.learn(target, Named{Rate: max(rate, minRate), At: time.Now(), IsOwn: true}, "answer")
}

// learn records a limit and reports whether it superseded what was known.
func (limiter *Limiter) learn(target Target, named Named, source string) bool {
	superseded, changed := limiter.limits.set(target, named)
	if changed {
		countLimits(limiter.limits.load())
		limiter.recordChange(target, named, source)
	}
	return superseded
}

func (limiter *Limiter) recordChange(target Target, named Named, source string) {
	limiter.mutex.Lock()
	event := timeline.Event{Target: limiter.names[target], Facts: []timeline.Fact{
		{Key: "incarnation", Value: target.String()}, {Key: "source", Value: source},
	}}
	limiter.mutex.Unlock()
	if named.Rate == 0 {
		limiter.Events.Record(eventLifted, event)
		return
	}
	event.Facts = append(event.Facts, timeline.Fact{Key: "rate", Value: formatRate(named.Rate)})
	limiter.Events.Record(eventNamed, event)
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'g', 4, 64) }

// SetTargets sets the ids of the current targets.
func (limiter *Limiter) SetTargets(names map[Target]string) {
	limiter.mutex.Lock()
	limiter.names = names
	limiter.mutex.Unlock()
	limiter.sweep(time.Now())
}

// sweep forgets limits that ended, and those of targets that are gone.
func (limiter *Limiter) sweep(now time.Time) {
	if limiter.IsEmpty() {
		return
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	goneAt := map[Target]time.Time{}
	for target := range limiter.limits.load() {
		if _, ok := limiter.names[target]; ok {
			continue
		}
		goneAt[target] = now
		if before, ok := limiter.goneAt[target]; ok {
			goneAt[target] = before
		}
	}
	limiter.goneAt = goneAt
	limiter.limits.remove(func(target Target, named Named) bool {
		vanishedAt, isGone := goneAt[target]
		return isGone && now.Sub(vanishedAt) > goneLifetime || named.Rate == 0 && now.Sub(named.At) > liftedLifetime
	})
	countLimits(limiter.limits.load())
}
