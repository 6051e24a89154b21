package standin

import (
	"container/list"
	"sort"
)

// blockCache is an engine's KV memory, in blocks: those that running requests
// hold, and cached prompt blocks that stay until the room is needed, the
// least recently used first. A block outlives those that follow it in a
// prompt, so that what is cached of a prompt is always its head.
type blockCache struct {
	capacity int
	// reserved blocks belong to one running request each and have no hash.
	reserved int
	entries  map[uint64]*block
	// idle lists the blocks that no running request uses, newest first.
	idle *list.List
	// onChange is told of blocks that came and went.
	onChange func(stored, removed []uint64)
}

type block struct {
	hash    uint64
	parent  uint64
	users   int
	element *list.Element
}

func newBlockCache(capacity int, onChange func(stored, removed []uint64)) *blockCache {
	return &blockCache{capacity: capacity, entries: map[uint64]*block{}, idle: list.New(), onChange: onChange}
}

// cachedBlocks returns how many leading blocks of a chain are cached.
func (cache *blockCache) cachedBlocks(chain []uint64) int {
	return sort.Search(len(chain), func(i int) bool { return cache.entries[chain[i]] == nil })
}

// pin keeps cached blocks from being removed.
func (cache *blockCache) pin(chain []uint64) {
	for _, hash := range chain {
		found := cache.entries[hash]
		found.users++
		if found.element != nil {
			cache.idle.Remove(found.element)
			found.element = nil
		}
	}
}

// unpin gives blocks up; those of a prompt's tail become the oldest.
func (cache *blockCache) unpin(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		found := cache.entries[chain[i]]
		found.users--
		if found.users == 0 {
			found.element = cache.idle.PushFront(found)
		}
	}
}

// reserve takes blocks for a running request, and reports false when running
// requests leave too little room.
func (cache *blockCache) reserve(blocks int) bool {
	inUse := len(cache.entries) - cache.idle.Len() + cache.reserved
	if inUse+blocks > cache.capacity && inUse > 0 {
		return false
	}
	cache.evict(blocks)
	cache.reserved += blocks
	return true
}

// store turns reserved blocks into cached ones, pinned, and returns how many
// of them were needed: the rest had been stored by others.
func (cache *blockCache) store(chain []uint64, from int) {
	var stored []uint64
	for i := from; i < len(chain); i++ {
		cache.reserved--
		found := cache.entries[chain[i]]
		if found == nil {
			found = &block{hash: chain[i]}
			if i > 0 {
				found.parent = chain[i-1]
			}
			cache.entries[chain[i]] = found
			stored = append(stored, chain[i])
		}
		found.users++
		if found.element != nil {
			cache.idle.Remove(found.element)
			found.element = nil
		}
	}
	if len(stored) > 0 {
		cache.onChange(stored, nil)
	}
}

// evict removes idle blocks until so many more fit.
func (cache *blockCache) evict(blocks int) {
	var removed []uint64
	for len(cache.entries)+cache.reserved+blocks > cache.capacity && cache.idle.Len() > 0 {
		oldest := cache.idle.Remove(cache.idle.Back()).(*block)
		delete(cache.entries, oldest.hash)
		removed = append(removed, oldest.hash)
	}
	if len(removed) > 0 {
		cache.onChange(nil, removed)
	}
}

// chain returns the blocks from a prompt's head to the block given, nil if
// that one is not cached.
func (cache *blockCache) chain(hash uint64) []uint64 {
	var reversed []uint64
	for found := cache.entries[hash]; found != nil; found = cache.entries[found.parent] {
		reversed = append(reversed, found.hash)
	}
	for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
		reversed[i], reversed[j] = reversed[j], reversed[i]
	}
	return reversed
}

// add stores blocks that came from another engine, as far as there is room.
func (cache *blockCache) add(chain []uint64) {
	cached := cache.cachedBlocks(chain)
	cache.pin(chain[:cached])
	defer func() { cache.unpin(chain[:cached]) }()
	if !cache.reserve(len(chain) - cached) {
		return
	}
	cache.store(chain, cached)
	cached = len(chain)
}

// clear forgets everything.
func (cache *blockCache) clear() {
	cache.reserved = 0
	cache.entries = map[uint64]*block{}
	cache.idle.Init()
}
