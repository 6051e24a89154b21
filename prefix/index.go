package prefix

import (
	"math"
	"sync"
	"time"

	"nutmegfield.example/request"
)

const (
	// maxEntries is the most entries of an index, over all its targets.
	maxEntries = 1 << 17
	// initialCapacity is the assumed capacity of a target's cache, in entries,
	// until evictions show that it is smaller, and the maximum afterwards;
	// minCapacity is the minimum.
	initialCapacity = 1 << 14
	minCapacity     = 64
	// entryLifetime is how long an entry is valid after it was last seen: in a
	// grant, an answer or an event. After a gap in the events, entries last
	// seen before the gap are valid for gapLifetime.
	entryLifetime = 10 * time.Minute
	gapLifetime   = 1 * time.Minute
	// maxHolders is the most holders that one look-up returns.
	maxHolders = 64
	// capacityGrowth is the fraction by which a target's estimated capacity
	// grows with each answer that had cached tokens.
	capacityGrowth = 1.0 / 64
)

// Holder is a target that probably has the first Tokens tokens of a prompt
// cached.
type Holder struct {
	Target string
	Tokens int
}

// Index estimates which prefixes the targets of a pool have cached, from the
// scheduler's grants, the usage in answers, and the targets' cache events,
// which come late and with gaps. It maps hashes to targets, so that the cost of
// a look-up grows with the holders found and not with the number of targets.
// The zero value is an empty index. Its methods may be called concurrently.
type Index struct {
	mutex sync.Mutex
	// targetNumbers maps a target's name to its number, which is its index in
	// targets; freeNumbers are the unused ones.
	targetNumbers map[string]uint16
	targets       []*targetEntries
	freeNumbers   []uint16
	// firstHolders has the index in entries of each hash's first holder,
	// entriesByKey that of each entry by entryKey; entries has all entries,
	// used and unused.
	firstHolders map[uint64]int32
	entriesByKey map[uint64]int32
	entries      []entry
	// firstFree is the first unused entry; unused entries are linked by
	// nextHolder.
	firstFree int32
	// count is the number of used entries.
	count int
	// lookupNumber counts the calls of Holders; it ensures that a call returns
	// each target only once.
	lookupNumber uint32
	start        time.Time
}

// noEntry is the index of no entry: it marks the end of a list or that none was
// found.
const noEntry int32 = -1

// entry records that a target has the prefix with a hash cached. It is in two
// linked lists: the holders of the hash, and the target's entries by age.
type entry struct {
	// hash is truncated by truncateHash.
	hash                       uint64
	nextHolder, previousHolder int32
	newer, older               int32
	// lastSeen is in seconds since the index's start.
	lastSeen     uint32
	targetNumber uint16
}

// targetEntries is a target's list of entries by age and its estimated capacity
// in entries.
type targetEntries struct {
	name string
	// oldest and newest are the ends of the list, noEntry if it is empty.
	oldest, newest int32
	count          int
	capacity       float64
	// lastGap is when events were last missed, in seconds since the index's
	// start; it is set if hasGap is true.
	lastGap uint32
	hasGap  bool
	// lastLookup is the value of Index.lookupNumber when Holders last returned
	// the target.
	lastLookup uint32
}

// RecordGrant records that a target is about to compute a prompt and will have
// it cached.
func (index *Index) RecordGrant(target string, prefixes []request.Prefix) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number := index.targetNumber(target)
	for i := len(prefixes) - 1; i >= 0; i-- {
		index.touch(number, prefixes[i].Hash)
	}
}

// RecordAnswer records that a target has answered a prompt and has the whole of
// it cached now; cachedTokens is from the answer's usage. If fewer tokens were
// cached than estimated, RecordShortfall must be called before.
func (index *Index) RecordAnswer(target string, prefixes []request.Prefix, cachedTokens int) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number, ok := index.targetNumbers[target]
	if !ok {
		return
	}
	targetEntries := index.targets[number]
	if cachedTokens > 0 {
		targetEntries.capacity = min(initialCapacity, targetEntries.capacity*(1+capacityGrowth))
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		index.touch(number, prefixes[i].Hash)
	}
}

// RecordShortfall records that a target had fewer tokens of a prompt cached
// than estimated. It lowers the target's estimated capacity to 7/8 of its
// entries and drops the oldest ones beyond it. A shortfall of up to two blocks
// is ignored.
func (index *Index) RecordShortfall(target string, expectedTokens, cachedTokens int) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number, ok := index.targetNumbers[target]
	if !ok || cachedTokens+2*BlockTokens >= expectedTokens {
		return
	}
	targetEntries := index.targets[number]
	targetEntries.capacity = max(minCapacity, min(targetEntries.capacity, float64(targetEntries.count))*7/8)
	for float64(targetEntries.count) > targetEntries.capacity {
		index.drop(targetEntries.oldest)
	}
}

// ApplyEvent applies a target's cache event with the hashes of the blocks that
// it stored and removed. Removals limit the target's estimated capacity.
func (index *Index) ApplyEvent(target string, stored, removed []uint64) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number := index.targetNumber(target)
	for _, hash := range stored {
		index.touch(number, hash)
	}
	for _, hash := range removed {
		if found := index.findEntry(number, hash); found != noEntry {
			index.drop(found)
		}
	}
	if len(removed) > 0 {
		targetEntries := index.targets[number]
		targetEntries.capacity = min(targetEntries.capacity, float64(max(minCapacity, targetEntries.count+len(stored))))
	}
}

// RecordGap records that cache events of a target were missed: its entries
// expire after gapLifetime unless they are seen again.
func (index *Index) RecordGap(target string) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	if number, ok := index.targetNumbers[target]; ok {
		targetEntries := index.targets[number]
		targetEntries.lastGap = index.now()
		targetEntries.hasGap = true
	}
}

// RemoveTarget drops a target with all its entries, for example after its
// restart.
func (index *Index) RemoveTarget(target string) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number, ok := index.targetNumbers[target]
	if !ok {
		return
	}
	for index.targets[number].count > 0 {
		index.drop(index.targets[number].oldest)
	}
	delete(index.targetNumbers, target)
	index.targets[number] = nil
	index.freeNumbers = append(index.freeNumbers, number)
}

// CachedTokens estimates how many tokens of a prompt a target has cached. It
// returns 0 for an unknown target.
func (index *Index) CachedTokens(target string, prefixes []request.Prefix) int {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number, ok := index.targetNumbers[target]
	if !ok {
		return 0
	}
	now := index.now()
	for i := len(prefixes) - 1; i >= 0; i-- {
		if found := index.findEntry(number, prefixes[i].Hash); found != noEntry && index.isValid(found, now) {
			return prefixes[i].Tokens
		}
	}
	return 0
}

// Holders appends to the buffer the targets that probably have a part of the
// prompt cached, at most 64, those with the longest part first, and returns the
// buffer.
func (index *Index) Holders(prefixes []request.Prefix, buffer []Holder) []Holder {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	index.lookupNumber++
	now := index.now()
	limit := len(buffer) + maxHolders
	for i := len(prefixes) - 1; i >= 0; i-- {
		next, ok := index.firstHolders[truncateHash(prefixes[i].Hash)]
		for ok && next != noEntry && len(buffer) < limit {
			entry := &index.entries[next]
			targetEntries := index.targets[entry.targetNumber]
			if targetEntries.lastLookup != index.lookupNumber && index.isValid(next, now) {
				targetEntries.lastLookup = index.lookupNumber
				buffer = append(buffer, Holder{Target: targetEntries.name, Tokens: prefixes[i].Tokens})
			}
			next = entry.nextHolder
		}
	}
	return buffer
}

// Len returns the number of entries.
func (index *Index) Len() int {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	return index.count
}

// now returns the seconds since the index's start.
func (index *Index) now() uint32 { return uint32(time.Since(index.start) / time.Second) }

// isValid reports whether an entry was seen recently enough.
func (index *Index) isValid(position int32, now uint32) bool {
	entry := &index.entries[position]
	targetEntries := index.targets[entry.targetNumber]
	if targetEntries.hasGap && entry.lastSeen <= targetEntries.lastGap && now-targetEntries.lastGap > uint32(gapLifetime/time.Second) {
		return false
	}
	return now-entry.lastSeen <= uint32(entryLifetime/time.Second)
}

// targetNumber returns the number of a target and adds the target if it is new.
func (index *Index) targetNumber(name string) uint16 {
	if index.targetNumbers == nil {
		index.targetNumbers = map[string]uint16{}
		index.firstHolders = map[uint64]int32{}
		index.entriesByKey = map[uint64]int32{}
		index.firstFree = noEntry
		index.start = time.Now()
	}
	if number, ok := index.targetNumbers[name]; ok {
		return number
	}
	targetEntries := &targetEntries{name: name, oldest: noEntry, newest: noEntry, capacity: initialCapacity}
	var number uint16
	if last := len(index.freeNumbers) - 1; last >= 0 {
		number = index.freeNumbers[last]
		index.freeNumbers = index.freeNumbers[:last]
		index.targets[number] = targetEntries
	} else {
		number = uint16(len(index.targets))
		index.targets = append(index.targets, targetEntries)
	}
	index.targetNumbers[name] = number
	return number
}

// truncateHash returns the low 32 bits of a hash, which are all that a ticket
// carries. With 131,072 entries, one in 32,768 look-ups of an absent hash finds
// the entry of another hash; the answer's usage corrects such a wrong estimate.
func truncateHash(hash uint64) uint64 { return hash & math.MaxUint32 }

// findEntry returns the index of a target's entry for a hash, or noEntry.
func (index *Index) findEntry(number uint16, hash uint64) int32 {
	hash = truncateHash(hash)
	position, ok := index.entriesByKey[entryKey(number, hash)]
	if !ok || index.entries[position].targetNumber != number || index.entries[position].hash != hash {
		return noEntry
	}
	return position
}

// entryKey returns the key of a target's entry for a hash. Two entries may have
// the same key: findEntry checks for it, and touch drops the older one.
func entryKey(number uint16, hash uint64) uint64 {
	const hashMultiplier = 0x9e3779b97f4a7c15
	return hash ^ (uint64(number)+1)*hashMultiplier
}

// touch makes the entry of a target for a hash the newest of the target, and
// adds it if there is none.
func (index *Index) touch(number uint16, hash uint64) {
	hash = truncateHash(hash)
	targetEntries := index.targets[number]
	position := index.findEntry(number, hash)
	if position == noEntry {
		maxTargetEntries := max(minCapacity, maxEntries/max(1, len(index.targetNumbers)))
		for targetEntries.count > 0 && (float64(targetEntries.count) >= targetEntries.capacity || targetEntries.count >= maxTargetEntries) {
			index.drop(targetEntries.oldest)
		}
		if colliding, ok := index.entriesByKey[entryKey(number, hash)]; ok {
			index.drop(colliding)
		}
		position = index.allocate()
		index.entriesByKey[entryKey(number, hash)] = position
		head, ok := index.firstHolders[hash]
		if !ok {
			head = noEntry
		}
		index.entries[position] = entry{hash: hash, targetNumber: number, nextHolder: head, previousHolder: noEntry}
		if head != noEntry {
			index.entries[head].previousHolder = position
		}
		index.firstHolders[hash] = position
		targetEntries.count++
		index.count++
	} else {
		index.unlink(targetEntries, position)
	}
	entry := &index.entries[position]
	entry.lastSeen = index.now()
	entry.newer = noEntry
	entry.older = targetEntries.newest
	if targetEntries.newest != noEntry {
		index.entries[targetEntries.newest].newer = position
	} else {
		targetEntries.oldest = position
	}
	targetEntries.newest = position
}

// allocate returns an unused entry.
func (index *Index) allocate() int32 {
	if index.firstFree != noEntry {
		position := index.firstFree
		index.firstFree = index.entries[position].nextHolder
		return position
	}
	index.entries = append(index.entries, entry{})
	return int32(len(index.entries) - 1)
}

// unlink removes an entry from its target's list by age.
func (index *Index) unlink(targetEntries *targetEntries, position int32) {
	entry := &index.entries[position]
	if entry.older != noEntry {
		index.entries[entry.older].newer = entry.newer
	} else {
		targetEntries.oldest = entry.newer
	}
	if entry.newer != noEntry {
		index.entries[entry.newer].older = entry.older
	} else {
		targetEntries.newest = entry.older
	}
}

// drop removes an entry from all lists and maps and frees it.
func (index *Index) drop(position int32) {
	entry := &index.entries[position]
	targetEntries := index.targets[entry.targetNumber]
	index.unlink(targetEntries, position)
	delete(index.entriesByKey, entryKey(entry.targetNumber, entry.hash))
	if entry.nextHolder != noEntry {
		index.entries[entry.nextHolder].previousHolder = entry.previousHolder
	}
	switch {
	case entry.previousHolder != noEntry:
		index.entries[entry.previousHolder].nextHolder = entry.nextHolder
	case entry.nextHolder != noEntry:
		index.firstHolders[entry.hash] = entry.nextHolder
	default:
		delete(index.firstHolders, entry.hash)
	}
	entry.nextHolder = index.firstFree
	index.firstFree = position
	targetEntries.count--
	index.count--
}
