package standin

import (
	"container/list"
	"sort"
)

// blockCache is an engine's KV memory in blocks: those of running requests, and
// cached prompt blocks, which are evicted in least recently used order when
// memory is needed. A block is evicted after those that follow it in a prompt,
// so the cached blocks of a prompt are always its leading ones.
type blockCache struct {
	capacity int
	// reserved is the number of blocks that belong to one running request each
	// and have no hash.
	reserved int
	entries  map[uint64]*block
	// idle lists the blocks that no running request uses, most recently used
	// first.
	idle *list.List
	// onChange is called with the hashes of blocks that were stored or removed.
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

// cachedBlocks returns the number of leading blocks of a chain that are cached.
func (cache *blockCache) cachedBlocks(chain []uint64) int {
	return sort.Search(len(chain), func(i int) bool { return cache.entries[chain[i]] == nil })
}

// pin protects cached blocks from eviction until unpin.
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

// unpin releases pinned blocks. It makes the last blocks of a prompt the least
// recently used of the chain.
func (cache *blockCache) unpin(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		found := cache.entries[chain[i]]
		found.users--
		if found.users == 0 {
			found.element = cache.idle.PushFront(found)
		}
	}
}

// reserve reserves blocks for a running request and evicts idle blocks as
// needed. It returns false if the blocks in use leave too few. A request larger
// than the memory is accepted while no block is in use.
func (cache *blockCache) reserve(blocks int) bool {
	inUse := len(cache.entries) - cache.idle.Len() + cache.reserved
	if inUse+blocks > cache.capacity && inUse > 0 {
		return false
	}
	cache.evict(blocks)
	cache.reserved += blocks
	return true
}

// store turns the reserved blocks of a chain from an index on into cached,
// pinned ones. A block that another request stored before is used instead.
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

// evict removes idle blocks until the given number of blocks fits.
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

// chain returns the hashes from a prompt's first block to the given one, nil if
// that isn't cached.
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

// add stores the blocks of another engine, or none if too few are free.
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

// clear removes all blocks and reservations without a call of onChange.
func (cache *blockCache) clear() {
	cache.reserved = 0
	cache.entries = map[uint64]*block{}
	cache.idle.Init()
}
