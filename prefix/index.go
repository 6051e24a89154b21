package prefix

import (
	"math"
	"sync"
	"time"

	"nutmegfield.example/request"
)

const (
	// maxEntries bounds what an index remembers of all its targets.
	maxEntries = 1 << 17
	// firstCapacity is how many entries a target is trusted with before its
	// evictions have shown its size, minCapacity the least afterwards.
	firstCapacity = 1 << 14
	minCapacity   = 64
	// lifetime is how long an entry is believed without a new sign of it,
	// doubtLifetime after events were missed.
	lifetime      = 10 * time.Minute
	doubtLifetime = 1 * time.Minute
	// maxHolders bounds the holders that one look-up returns.
	maxHolders = 64
	// capacityGrowth is the share by which a target's capacity grows again
	// with an answer that found what was expected.
	capacityGrowth = 1.0 / 64
)

// Holder is a target that probably holds the given leading part of a prompt.
type Holder struct {
	Target string
	Tokens int
}

// Index remembers which prefixes each target of a pool probably holds, from
// its own grants, the answers' usage and the targets' late, gappy events. It
// goes from a hash to the targets, so that a look-up costs what is found.
type Index struct {
	mutex   sync.Mutex
	numbers map[string]uint16
	targets []*holdings
	free    []uint16
	// heads is the first entry of each hash, places the entry of each hash and
	// target, slots the entries.
	heads  map[uint64]int32
	places map[uint64]int32
	slots  []slot
	// spare heads the list of unused slots, by nextHolder.
	spare int32
	count int
	stamp uint32
	base  time.Time
}

// none ends a list of slots.
const none int32 = -1

// slot is one entry: that a target holds a hash. It is in the list of the
// hash's holders and in the list of the target's hashes by age.
type slot struct {
	hash                   uint64
	nextHolder, lastHolder int32
	newer, older           int32
	// seen is in seconds since the index's base.
	seen   uint32
	target uint16
}

type holdings struct {
	name           string
	oldest, newest int32
	count          int
	capacity       float64
	// doubt is when events were missed, in seconds since the base.
	doubt   uint32
	doubted bool
	stamp   uint32
}

// RecordGrant learns that a target is about to compute and so to hold a prompt.
func (index *Index) RecordGrant(target string, prefixes []request.Prefix) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number := index.number(target)
	for i := len(prefixes) - 1; i >= 0; i-- {
		index.note(number, prefixes[i].Hash)
	}
}

// RecordAnswer learns from an answer's usage that a target had some of the prompt,
// and that it holds the whole of it now. A guess that was wrong goes to Missed
// first.
func (index *Index) RecordAnswer(target string, prefixes []request.Prefix, cachedTokens int) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number, ok := index.numbers[target]
	if !ok {
		return
	}
	held := index.targets[number]
	if cachedTokens > 0 {
		held.capacity = min(firstCapacity, held.capacity*(1+capacityGrowth))
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		index.note(number, prefixes[i].Hash)
	}
}

// RecordShortfall learns that a target held less of a prompt than expected, in tokens:
// it keeps fewer entries than thought, and the oldest are gone.
func (index *Index) RecordShortfall(target string, expectedTokens, cachedTokens int) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number, ok := index.numbers[target]
	if !ok || cachedTokens+2*BlockTokens >= expectedTokens {
		return
	}
	held := index.targets[number]
	held.capacity = max(minCapacity, min(held.capacity, float64(held.count))*7/8)
	for float64(held.count) > held.capacity {
		index.drop(held.oldest)
	}
}

// ApplyEvent learns of blocks stored and removed.
func (index *Index) ApplyEvent(target string, stored, removed []uint64) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number := index.number(target)
	for _, hash := range stored {
		index.note(number, hash)
	}
	for _, hash := range removed {
		if found := index.find(number, hash); found != none {
			index.drop(found)
		}
	}
	if len(removed) > 0 {
		held := index.targets[number]
		held.capacity = min(held.capacity, float64(max(minCapacity, held.count+len(stored))))
	}
}

// RecordGap learns that events of a target were missed: what is not confirmed soon
// is not believed for long.
func (index *Index) RecordGap(target string) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	if number, ok := index.numbers[target]; ok {
		held := index.targets[number]
		held.doubt = index.now()
		held.doubted = true
	}
}

// RemoveTarget drops what is known of a target, as after its restart.
func (index *Index) RemoveTarget(target string) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number, ok := index.numbers[target]
	if !ok {
		return
	}
	for index.targets[number].count > 0 {
		index.drop(index.targets[number].oldest)
	}
	delete(index.numbers, target)
	index.targets[number] = nil
	index.free = append(index.free, number)
}

// CachedTokens returns how many tokens of a prompt the target probably holds.
func (index *Index) CachedTokens(target string, prefixes []request.Prefix) int {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	number, ok := index.numbers[target]
	if !ok {
		return 0
	}
	now := index.now()
	for i := len(prefixes) - 1; i >= 0; i-- {
		if found := index.find(number, prefixes[i].Hash); found != none && index.believed(found, now) {
			return prefixes[i].Tokens
		}
	}
	return 0
}

// Holders appends to the buffer the targets that probably hold a part of the
// prompt, the longest part first, at most 64.
func (index *Index) Holders(prefixes []request.Prefix, buffer []Holder) []Holder {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	index.stamp++
	now := index.now()
	most := len(buffer) + maxHolders
	for i := len(prefixes) - 1; i >= 0; i-- {
		next, ok := index.heads[short(prefixes[i].Hash)]
		for ok && next != none && len(buffer) < most {
			slot := &index.slots[next]
			held := index.targets[slot.target]
			if held.stamp != index.stamp && index.believed(next, now) {
				held.stamp = index.stamp
				buffer = append(buffer, Holder{Target: held.name, Tokens: prefixes[i].Tokens})
			}
			next = slot.nextHolder
		}
	}
	return buffer
}

// Len returns how many entries the index keeps.
func (index *Index) Len() int {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	return index.count
}

func (index *Index) now() uint32 { return uint32(time.Since(index.base) / time.Second) }

// believed reports whether an entry is young enough.
func (index *Index) believed(at int32, now uint32) bool {
	slot := &index.slots[at]
	held := index.targets[slot.target]
	if held.doubted && slot.seen <= held.doubt && now-held.doubt > uint32(doubtLifetime/time.Second) {
		return false
	}
	return now-slot.seen <= uint32(lifetime/time.Second)
}

func (index *Index) number(name string) uint16 {
	if index.numbers == nil {
		index.numbers = map[string]uint16{}
		index.heads = map[uint64]int32{}
		index.places = map[uint64]int32{}
		index.spare = none
		index.base = time.Now()
	}
	if number, ok := index.numbers[name]; ok {
		return number
	}
	added := &holdings{name: name, oldest: none, newest: none, capacity: firstCapacity}
	var number uint16
	if last := len(index.free) - 1; last >= 0 {
		number = index.free[last]
		index.free = index.free[:last]
		index.targets[number] = added
	} else {
		number = uint16(len(index.targets))
		index.targets = append(index.targets, added)
	}
	index.numbers[name] = number
	return number
}

// short is the part of a hash that the index goes by: a ticket brings no more
// of it. Of 131,072 entries one in 32,768 look-ups of a hash that is not there
// finds another's; that is a wrong guess, corrected by the answer's usage.
func short(hash uint64) uint64 { return hash & math.MaxUint32 }

func (index *Index) find(number uint16, hash uint64) int32 {
	hash = short(hash)
	at, ok := index.places[place(number, hash)]
	if !ok || index.slots[at].target != number || index.slots[at].hash != hash {
		return none
	}
	return at
}

// place mixes a target's number into a hash. Two entries that meet in one
// place are told apart by find, and the older one is forgotten.
func place(number uint16, hash uint64) uint64 {
	const oddMixer = 0x9e3779b97f4a7c15
	return hash ^ (uint64(number)+1)*oddMixer
}

// note adds an entry, or makes it the newest.
func (index *Index) note(number uint16, hash uint64) {
	hash = short(hash)
	held := index.targets[number]
	at := index.find(number, hash)
	if at == none {
		share := max(minCapacity, maxEntries/max(1, len(index.numbers)))
		for held.count > 0 && (float64(held.count) >= held.capacity || held.count >= share) {
			index.drop(held.oldest)
		}
		if met, ok := index.places[place(number, hash)]; ok {
			index.drop(met)
		}
		at = index.take()
		index.places[place(number, hash)] = at
		head, ok := index.heads[hash]
		if !ok {
			head = none
		}
		index.slots[at] = slot{hash: hash, target: number, nextHolder: head, lastHolder: none}
		if head != none {
			index.slots[head].lastHolder = at
		}
		index.heads[hash] = at
		held.count++
		index.count++
	} else {
		index.unlink(held, at)
	}
	slot := &index.slots[at]
	slot.seen = index.now()
	slot.newer = none
	slot.older = held.newest
	if held.newest != none {
		index.slots[held.newest].newer = at
	} else {
		held.oldest = at
	}
	held.newest = at
}

func (index *Index) take() int32 {
	if index.spare != none {
		at := index.spare
		index.spare = index.slots[at].nextHolder
		return at
	}
	index.slots = append(index.slots, slot{})
	return int32(len(index.slots) - 1)
}

// unlink takes an entry out of its target's list by age.
func (index *Index) unlink(held *holdings, at int32) {
	slot := &index.slots[at]
	if slot.older != none {
		index.slots[slot.older].newer = slot.newer
	} else {
		held.oldest = slot.newer
	}
	if slot.newer != none {
		index.slots[slot.newer].older = slot.older
	} else {
		held.newest = slot.older
	}
}

func (index *Index) drop(at int32) {
	slot := &index.slots[at]
	held := index.targets[slot.target]
	index.unlink(held, at)
	delete(index.places, place(slot.target, slot.hash))
	if slot.nextHolder != none {
		index.slots[slot.nextHolder].lastHolder = slot.lastHolder
	}
	switch {
	case slot.lastHolder != none:
		index.slots[slot.lastHolder].nextHolder = slot.nextHolder
	case slot.nextHolder != none:
		index.heads[slot.hash] = slot.nextHolder
	default:
		delete(index.heads, slot.hash)
	}
	slot.nextHolder = index.spare
	index.spare = at
	held.count--
	index.count--
}
