package origin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

// Hosts write the versions of all pools that they have seen to the platform, for the case that all
// hosts end at once: those that start can't tell from the present targets which versions there
// were, and that no mark says so is no evidence. One host writes for all.

const (
	// historyName is the name of the history among the marks. Builds that don't know it take it for
	// the mark of a pool that never had several versions.
	historyName   = "pools.history"
	historyFormat = 1
	// historyInterval is how often the history is written again. One that is older than
	// maxHistoryAge may lack a version that has come and gone.
	historyInterval = 10 * time.Second
	maxHistoryAge   = 3 * historyInterval
	// historyDelay is the time from a host's start until it writes the history: it has to hear the
	// others before.
	historyDelay = time.Second
	// handoverDelay is the time that each next host waits longer for the hosts before it to write.
	handoverDelay = 200 * time.Millisecond
	// writeRetry is the shortest time between two attempts of a host to write.
	writeRetry = time.Second
	// startSpread is the time within which hosts start that start together.
	startSpread = 2 * time.Second
	// endedTime is the time after which a host that has ended is known to be silent.
	endedTime = 3 * time.Second
	// maxHistoryPools limits the pools in a history, as entries of other writers may name many.
	maxHistoryPools = 4096
)

var (
	eventHistoryFailed = timeline.Define(timeline.Kind{
		Number: 1161, Name: "history of versions not kept", Level: timeline.Info,
		Meaning: "The platform's history of the versions of all pools could not be read or written; the detail is the error. Another host may write it. If all hosts end at once, streams that are taken up don't go on without one of the last half minute.",
	})
	eventHistoryLearned = timeline.Define(timeline.Kind{
		Number: 1162, Name: "history of versions learned", Level: timeline.Info,
		Meaning: "This host, which has started, has read the platform's history of the versions of all pools, or was told of it. The detail says why it can't rely on it, if so. The facts are the age of the history's beginning, and hasEarlier is 1 if streams may be taken up that began before it.",
	})
)

// history is what hosts know of the versions of all pools. Times are in milliseconds since 1970.
type history struct {
	Format int `json:"format"`
	// Era is that of the platform when it was written. A later one may lack what was written since,
	// also marks.
	Era       int64 `json:"era"`
	WrittenAt int64 `json:"writtenAt"`
	// Since is the time since which hosts have seen all versions.
	Since int64 `json:"since"`
	// HasEarlier is set if streams may be taken up that began before.
	HasEarlier bool `json:"hasEarlier"`
	// Lives identify the hosts that the writer heard, each from a start to an end. HasEnded is set if one
	// has ended that an earlier writer heard.
	Lives    []uint32 `json:"lives"`
	HasEnded bool     `json:"hasEnded"`
	// Pools holds the time at which each version of a pool was last seen.
	Pools map[string]map[balance.VersionID]int64 `json:"pools"`
}

// decodeHistory returns nil for a history that can't be read.
func decodeHistory(value []byte, now time.Time) *history {
	decoded := &history{}
	latest := now.Add(maxMarkLead).UnixMilli()
	if json.Unmarshal(value, decoded) != nil || decoded.Format != historyFormat || decoded.WrittenAt > latest || decoded.Since > latest {
		return nil
	}
	return decoded
}

func (history *history) writtenAt() time.Time { return time.UnixMilli(history.WrittenAt) }

// savedHistory is a history that this host knows to be on the platform.
type savedHistory struct {
	era        int64
	at, since  time.Time
	hasEarlier bool
	versions   map[balance.VersionID]bool
}

// historyState is what a host knows of the history.
type historyState struct {
	mutex sync.Mutex
	// since is the time since which this host, or those that wrote the history before it, have seen
	// all versions. hasEarlier is set if streams may be taken up that began before.
	since      time.Time
	hasEarlier bool
	// isLearned is set once the host has read the history, or was told of it.
	isLearned bool
	// read is the history as it was last read, in readEra, nil if there was none that can be read.
	read    *history
	readEra int64
	// saved is the last one known to be on the platform, nil for none. staleAt is when it was found
	// to be out of date, zero if it is not; triedAt is when this host last tried to replace it.
	saved            *savedHistory
	staleAt, triedAt time.Time
	// isUrgent is set if this host has to write it without a wait for others.
	isUrgent bool
	// unknownAt is when a stream was taken up that no host knows while none is known to have ended, zero
	// for never.
	unknownAt time.Time
}

// era returns the present era of the platform.
func (origins *Origins) era() int64 {
	if origins.Era == nil {
		return 0
	}
	return origins.Era()
}

// readHistory applies the platform's history, as it was read in an era. There may be marks without
// one, of an earlier build.
func (origins *Origins) readHistory(value []byte, isWritten, isMarked bool, era int64, now time.Time) {
	read := decodeHistory(value, now)
	if read != nil && origins.pools.learn(read.Pools, now) {
		origins.retell(now)
	}
	startedAt := origins.pools.start()
	if startedAt.IsZero() {
		startedAt = now
	}
	state := &origins.history
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.read, state.readEra = read, era
	doubt := ""
	switch {
	case read == nil && isWritten:
		doubt = "it can't be read"
	case read == nil && isMarked:
		doubt = "there is none, but marks of an earlier build"
	case read == nil:
		doubt = "there is none"
	case read.Era != era:
		doubt = "it is of an earlier era of the platform"
	case startedAt.Sub(read.writtenAt()) > maxHistoryAge:
		doubt = "it is older than half a minute"
	}
	isFirst := !state.isLearned
	if doubt == "" {
		since := time.UnixMilli(read.Since)
		state.saved = &savedHistory{
			era: era, at: earlier(read.writtenAt(), now), since: since, hasEarlier: read.HasEarlier, versions: read.versions(),
		}
		state.adopt(since, read.HasEarlier, startedAt)
	} else {
		state.saved = nil
		if isFirst {
			state.since, state.hasEarlier = startedAt, isWritten || isMarked
		}
		if isFirst && origins.FirstStart && !state.hasEarlier {
			// No stream can have begun before.
			state.since = startedAt.Add(-streamLifetime)
		}
	}
	state.isLearned = true
	if isFirst {
		origins.recordLearned(state, doubt, now)
	}
}

// recordLearned records what a host knows that has started. The caller holds the mutex.
func (origins *Origins) recordLearned(state *historyState, doubt string, now time.Time) {
	hasEarlier := 0
	if state.hasEarlier {
		hasEarlier = 1
	}
	origins.Events.Record(eventHistoryLearned, timeline.Event{
		Detail: doubt, Facts: []timeline.Fact{timeline.Duration("since", now.Sub(state.since)), timeline.Count("hasEarlier", hasEarlier)},
	})
}

// adopt takes over since when all versions are known from a history that goes on. The caller holds
// the mutex.
func (state *historyState) adopt(since time.Time, hasEarlier bool, startedAt time.Time) {
	if state.since.IsZero() {
		state.since = startedAt
	}
	if since.Before(state.since.Add(-startSpread)) {
		state.since, state.hasEarlier = since, hasEarlier
		return
	}
	// Hosts that started together began it.
	state.since, state.hasEarlier = earlier(since, state.since), state.hasEarlier || hasEarlier
}

func earlier(one, other time.Time) time.Time {
	if one.Before(other) {
		return one
	}
	return other
}

func (history *history) versions() map[balance.VersionID]bool {
	versions := map[balance.VersionID]bool{}
	for _, pool := range history.Pools {
		for version := range pool {
			versions[version] = true
		}
	}
	return versions
}

// doubtHistory returns why the history, as it was last read, does not show that a pool has had one
// version only for as long as streams last, empty if it does.
func (origins *Origins) doubtHistory(pool string, only balance.VersionID, now time.Time) string {
	lives, startedAt := origins.lives(), origins.pools.start()
	state := &origins.history
	state.mutex.Lock()
	defer state.mutex.Unlock()
	read, doubt := state.read, ""
	switch {
	case read == nil && origins.FirstStart && now.Sub(startedAt) < historyDelay+startSpread:
		// The first one is being written.
	case read == nil:
		doubt = "the platform has no history of versions"
	case read.Era != state.readEra:
		doubt = "the platform's history of versions is of an earlier era"
	case now.Sub(read.writtenAt()) > maxHistoryAge:
		doubt = "the platform's history of versions is old"
	case read.Pools[pool][only] == 0:
		doubt = "the platform's history of versions lacks the pool's"
	}
	if now.Sub(state.since) >= streamLifetime {
		return doubt
	}
	// Streams that began since then at hosts that still run are known to these.
	hasEnded := read.hasEnded(lives)
	if !hasEnded && !state.hasEarlier && state.unknownAt.IsZero() {
		state.unknownAt = now
	}
	if doubt == "" && (state.hasEarlier || !hasEnded) {
		doubt = "the stream may have begun before the platform's history of versions"
	}
	return doubt
}

func (origins *Origins) lives() []uint32 {
	if origins.Lives == nil {
		return nil
	}
	return origins.Lives()
}

// hasEnded reports whether a host has ended since the history began, of those that its writers heard.
func (history *history) hasEnded(lives []uint32) bool {
	return history != nil && (history.HasEnded || slices.ContainsFunc(history.Lives, func(life uint32) bool { return !slices.Contains(lives, life) }))
}

// RunHistory writes the history if that is this host's turn, until the context ends. It returns nil.
func (origins *Origins) RunHistory(ctx context.Context) error {
	for pause.For(ctx, handoverDelay) {
		now := time.Now()
		origins.checkUnknown(now)
		if !origins.mustWriteHistory(now) {
			continue
		}
		if err := origins.writeHistory(ctx); err != nil {
			origins.Events.Record(eventHistoryFailed, timeline.Event{Detail: err.Error()})
		}
	}
	return nil
}

// mustWriteHistory reports whether the history is out of date, and the hosts before this one have
// not written it in their time.
func (origins *Origins) mustWriteHistory(now time.Time) bool {
	startedAt, current := origins.pools.start(), origins.pools.current()
	state := &origins.history
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if startedAt.IsZero() || now.Sub(startedAt) < historyDelay {
		return false
	}
	if state.isUpToDate(current, origins.era(), now) {
		state.staleAt, state.isUrgent = time.Time{}, false
		return false
	}
	if state.staleAt.IsZero() {
		state.staleAt = now
	}
	isOwnTurn := state.isUrgent || now.Sub(state.staleAt) >= origins.handoverTime()
	return isOwnTurn && now.Sub(state.triedAt) >= origins.retryTime()
}

// checkUnknown finds out whether a stream that no host knew has begun at one that has ended since, or
// before the history.
func (origins *Origins) checkUnknown(now time.Time) {
	state := &origins.history
	state.mutex.Lock()
	isDue := !state.unknownAt.IsZero() && now.Sub(state.unknownAt) >= endedTime
	state.mutex.Unlock()
	if !isDue {
		return
	}
	lives := origins.lives()
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.unknownAt = time.Time{}
	if !state.hasEarlier && !state.read.hasEnded(lives) {
		state.hasEarlier, state.isUrgent = true, true
	}
}

// handoverTime returns how long this host waits for the hosts before it to write for all. These may
// have found out handoverDelay later that something has to be written.
func (origins *Origins) handoverTime() time.Duration {
	if origins.Turn == nil || origins.Turn() == 0 {
		return 0
	}
	return time.Duration(origins.Turn()+1) * handoverDelay
}

// retryTime returns the time between two attempts of this host. All hosts together make no more
// than one attempt each handoverDelay while the platform is away.
func (origins *Origins) retryTime() time.Duration {
	return max(writeRetry, time.Duration(len(origins.Members())+1)*handoverDelay)
}

// isUpToDate reports whether the platform has the current versions, written not long ago, by a host
// that knew no less of what was before. The caller holds the mutex.
func (state *historyState) isUpToDate(current []balance.VersionID, era int64, now time.Time) bool {
	saved := state.saved
	switch {
	case saved == nil, saved.era != era, now.Sub(saved.at) >= historyInterval:
		return false
	case state.hasEarlier && !saved.hasEarlier, saved.since.After(state.since.Add(startSpread)):
		return false
	}
	return !slices.ContainsFunc(current, func(version balance.VersionID) bool { return !saved.versions[version] })
}

// writeHistory reads the platform's history and writes what is known now, with what it holds.
func (origins *Origins) writeHistory(ctx context.Context) error {
	state := &origins.history
	state.mutex.Lock()
	state.triedAt = time.Now()
	state.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*markTimeout)
	defer cancel()
	if err := origins.readMarks(ctx); err != nil {
		return err
	}
	now, era, lives := time.Now(), origins.era(), origins.lives()
	state.mutex.Lock()
	written := &history{
		Format: historyFormat, Era: era, WrittenAt: now.UnixMilli(), Since: state.since.UnixMilli(), HasEarlier: state.hasEarlier,
		Lives: lives, HasEnded: state.read.hasEnded(lives), Pools: origins.pools.seen(now),
	}
	isUpToDate := state.isUpToDate(origins.pools.current(), era, now)
	state.mutex.Unlock()
	if isUpToDate {
		// Another host wrote it.
		return nil
	}
	value, err := json.Marshal(written)
	if err != nil {
		return fmt.Errorf("encode the history of versions: %w", err)
	}
	if err := origins.Marks.Save(ctx, historyName, value); err != nil {
		return fmt.Errorf("save the history of versions: %w", err)
	}
	if origins.era() != era {
		return fmt.Errorf("save the history of versions: era %d of the platform is over", era)
	}
	saved := &Saved{Era: era, Since: written.Since, HasEarlier: written.HasEarlier, Versions: slices.Collect(maps.Keys(written.versions()))}
	origins.learnSaved(saved, now)
	origins.tellSaved(saved)
	return nil
}

// Saved tells other hosts what the sender has written to the platform for all.
type Saved struct {
	// Era is that of the platform in which it was written.
	Era int64
	// Since, HasEarlier and Versions are those of the history. Since is 0 if it wrote none.
	Since      int64
	HasEarlier bool
	Versions   []balance.VersionID
	// Marks are the pools whose marks it wrote.
	Marks []string
}

// tellSaved tells all other hosts.
func (origins *Origins) tellSaved(saved *Saved) {
	for _, address := range origins.Members() {
		origins.Send(address, &Message{Saved: saved})
	}
}

// learnSaved records what this host or another one has written.
func (origins *Origins) learnSaved(saved *Saved, now time.Time) {
	if saved.Era != origins.era() {
		return
	}
	origins.learnMarks(saved.Marks, saved.Era, now)
	startedAt := origins.pools.start()
	if saved.Since == 0 || startedAt.IsZero() {
		return
	}
	state := &origins.history
	state.mutex.Lock()
	defer state.mutex.Unlock()
	versions := map[balance.VersionID]bool{}
	for _, version := range saved.Versions {
		versions[version] = true
	}
	since := time.UnixMilli(saved.Since)
	state.saved = &savedHistory{era: saved.Era, at: now, since: since, hasEarlier: saved.HasEarlier, versions: versions}
	state.adopt(since, saved.HasEarlier, startedAt)
	if !state.isLearned {
		state.isLearned = true
		origins.recordLearned(state, "", now)
	}
}
