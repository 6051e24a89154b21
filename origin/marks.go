package origin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
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
		Meaning: "The platform's mark that a pool has several versions could not be written; the detail is the error. The next host in the order writes it, unless it is told that another one did.",
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

// markDuty is what a host knows of the writing of a pool's mark.
type markDuty struct {
	// era is that of the platform in which the mark was written, or has to be. A later one may lack it.
	era int64
	// dueAt is when the mark has to be written next, triedAt when this host last tried.
	dueAt, triedAt time.Time
	// isOwn is set once this host has written it.
	isOwn bool
}

// keepMarks writes the marks of pools with several versions: the first hosts of zones at once, the
// others each in its turn if they are not told that it is done.
func (origins *Origins) keepMarks(ctx context.Context) {
	era := origins.era()
	var written []string
	for _, pool := range origins.dueMarks(era, time.Now()) {
		now := time.Now()
		err := origins.saveMark(ctx, pool, now)
		if err == nil && origins.era() != era {
			err = fmt.Errorf("save the mark of %s: era %d of the platform is over", pool, era)
		}
		if err != nil {
			origins.Events.Record(eventMarkFailed, timeline.Event{Pool: pool, Detail: err.Error()})
			continue
		}
		if origins.recordMark(pool, era, now) {
			origins.Events.Record(eventMarked, timeline.Event{Pool: pool})
		}
		written = append(written, pool)
	}
	if len(written) > 0 {
		origins.tellSaved(&Saved{Era: era, Marks: written})
	}
}

// dueMarks returns the pools whose marks this host has to write now, in an era of the platform.
func (origins *Origins) dueMarks(era int64, now time.Time) []string {
	mixed := origins.pools.mixed(now)
	wait := origins.handoverTime()
	if origins.KeepsMarks() {
		wait = 0
	}
	retry := origins.retryTime()
	origins.marksMutex.Lock()
	defer origins.marksMutex.Unlock()
	maps.DeleteFunc(origins.markDuties, func(pool string, duty *markDuty) bool {
		return duty.dueAt.Before(now) && !slices.Contains(mixed, pool)
	})
	var due []string
	for _, pool := range mixed {
		duty := origins.markDuty(pool, era, now)
		if now.Sub(duty.dueAt) >= wait && now.Sub(duty.triedAt) >= retry {
			duty.triedAt = now
			due = append(due, pool)
		}
	}
	return due
}

// markDuty returns the duty of a pool's mark in an era, a new one that is due now if there is none. The
// caller holds marksMutex.
func (origins *Origins) markDuty(pool string, era int64, now time.Time) *markDuty {
	duty := origins.markDuties[pool]
	if duty == nil || duty.era != era {
		if origins.markDuties == nil {
			origins.markDuties = map[string]*markDuty{}
		}
		duty = &markDuty{era: era, dueAt: now}
		origins.markDuties[pool] = duty
	}
	return duty
}

// recordMark records that this host wrote a mark, and reports whether it is the first time in the era.
func (origins *Origins) recordMark(pool string, era int64, now time.Time) (isFirst bool) {
	origins.marksMutex.Lock()
	defer origins.marksMutex.Unlock()
	duty := origins.markDuty(pool, era, now)
	isFirst = !duty.isOwn
	duty.dueAt, duty.isOwn = now.Add(markInterval), true
	return isFirst
}

// learnMarks records that a host wrote the marks of pools.
func (origins *Origins) learnMarks(written []string, era int64, now time.Time) {
	origins.marksMutex.Lock()
	defer origins.marksMutex.Unlock()
	for _, pool := range written {
		if origins.markDuties[pool] != nil || len(origins.markDuties) < maxHistoryPools {
			origins.markDuty(pool, era, now).dueAt = now.Add(markInterval)
		}
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
