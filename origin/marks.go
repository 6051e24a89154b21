package origin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegfield.example/timeline"
)

const (
	// markInterval is how often the mark of a pool with several versions is written again.
	markInterval = 10 * time.Second
	// markLifetime is how long a mark counts. It may be as old as markInterval while the pool has
	// several versions.
	markLifetime = streamLifetime + 2*markInterval
	// markTimeout limits a call to the platform.
	markTimeout = time.Second
	// maxMarkLead is how far the time of a mark may be ahead of this host's clock.
	maxMarkLead = time.Minute
)

var (
	eventMarkFailed = timeline.Define(timeline.Kind{
		Number: 1129, Name: "mark not kept", Level: timeline.Info,
		Meaning: "The platform's mark that a pool has several versions could not be written; the detail is the error. Hosts that start when all others have ended may let streams go on at another version.",
	})
	eventMarked = timeline.Define(timeline.Kind{
		Number: 1130, Name: "mark written", Level: timeline.Info,
		Meaning: "This host has written to the platform that the pool has or recently had several versions, for the case that all hosts end at once.",
	})
)

// Marks are the platform's calls for marks: one value for each pool that has had several
// versions.
type Marks struct {
	List func(ctx context.Context) (map[string][]byte, error)
	Save func(ctx context.Context, pool string, value []byte) error
}

// mark is the encoding of a mark.
type mark struct {
	// MixedAt is when the pool last had several versions, or had had them within
	// streamLifetime.
	MixedAt time.Time `json:"mixedAt"`
}

// unreadableMark is a mark that can't be read.
type unreadableMark struct {
	hash    uint64
	firstAt time.Time
}

// keepMarks writes the marks of pools with several versions, if this host does so for all.
func (origins *Origins) keepMarks(ctx context.Context, marked map[string]time.Time) {
	now := time.Now()
	for _, pool := range origins.pools.mixed(now) {
		if now.Sub(marked[pool]) < markInterval || !origins.KeepsMarks() {
			continue
		}
		if err := origins.saveMark(ctx, pool, now); err != nil {
			origins.Events.Record(eventMarkFailed, timeline.Event{Pool: pool, Detail: err.Error()})
			continue
		}
		if marked[pool].IsZero() {
			origins.Events.Record(eventMarked, timeline.Event{Pool: pool})
		}
		marked[pool] = now
	}
}

func (origins *Origins) saveMark(ctx context.Context, pool string, now time.Time) error {
	value, err := json.Marshal(mark{MixedAt: now})
	if err != nil {
		return fmt.Errorf("encode the mark of %s: %w", pool, err)
	}
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	if err := origins.Marks.Save(ctx, pool, value); err != nil {
		return fmt.Errorf("save the mark of %s: %w", pool, err)
	}
	return nil
}

// isUnmarked reports whether the platform's marks, as they were last read, say that a pool has
// had one version only for as long as streams last.
func (origins *Origins) isUnmarked(pool string) bool {
	origins.marksMutex.Lock()
	defer origins.marksMutex.Unlock()
	mixedAt, isMarked := origins.marks[pool]
	return !isMarked || time.Since(mixedAt) > markLifetime
}

// readMarks reads the marks of all pools and the history of their versions.
func (origins *Origins) readMarks(ctx context.Context) error {
	era := origins.era()
	values, err := origins.Marks.List(ctx)
	if err != nil {
		return fmt.Errorf("read marks: %w", err)
	}
	if origins.era() != era {
		return fmt.Errorf("read marks: era %d of the platform is over", era)
	}
	now := time.Now()
	values = maps.Clone(values)
	value, isWritten := values[historyName]
	delete(values, historyName)
	isMarked := origins.setMarks(values, now)
	origins.readHistory(value, isWritten, isMarked, era, now)
	return nil
}

// setMarks sets the marks of pools, and reports whether one is of the time of streams that last.
func (origins *Origins) setMarks(values map[string][]byte, now time.Time) (isMarked bool) {
	origins.marksMutex.Lock()
	defer origins.marksMutex.Unlock()
	before := origins.unreadableMarks
	origins.marks, origins.unreadableMarks = map[string]time.Time{}, map[string]unreadableMark{}
	for pool, value := range values {
		var mark mark
		if err := json.Unmarshal(value, &mark); err != nil || mark.MixedAt.After(now.Add(maxMarkLead)) {
			// It may be one of the time when it was first read, but of no later one.
			unreadable, ok := before[pool]
			if hash := xxhash.Sum64(value); !ok || unreadable.hash != hash {
				unreadable = unreadableMark{hash: hash, firstAt: now}
			}
			origins.unreadableMarks[pool], mark.MixedAt = unreadable, unreadable.firstAt
		}
		origins.marks[pool] = mark.MixedAt
		isMarked = isMarked || now.Sub(mark.MixedAt) <= markLifetime
	}
	return isMarked
}
