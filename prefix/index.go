package prefix

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"nutmegfield.example/request"
)

// hashesPerTarget bounds what is remembered of each target.
const hashesPerTarget = 16384

// Index remembers which prefixes each target of a pool probably holds, from
// its own grants, the answers' usage and the targets' late, gappy events.
type Index struct {
	mutex   sync.Mutex
	targets map[string]*lru.Cache[uint64, struct{}]
}

// Granted learns that a target is about to compute and so to hold a prompt.
func (index *Index) Granted(target string, prefixes []request.Prefix) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	known := index.target(target)
	for _, prefix := range prefixes {
		known.Add(prefix.Hash, struct{}{})
	}
}

// Answered learns from an answer's usage how much the target really held
// before it ran.
func (index *Index) Answered(string, []request.Prefix, int) {}

// Event learns of blocks stored and removed.
func (index *Index) Event(target string, stored, removed []uint64) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	known := index.target(target)
	for _, hash := range stored {
		known.Add(hash, struct{}{})
	}
	for _, hash := range removed {
		known.Remove(hash)
	}
}

// Gap learns that events of a target were missed.
func (index *Index) Gap(string) {}

// Forget drops what is known of a target, as after its restart.
func (index *Index) Forget(target string) {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	delete(index.targets, target)
}

// Cached returns how many tokens of a prompt the target probably holds.
func (index *Index) Cached(target string, prefixes []request.Prefix) int {
	index.mutex.Lock()
	defer index.mutex.Unlock()
	known := index.targets[target]
	if known == nil {
		return 0
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		if _, ok := known.Get(prefixes[i].Hash); ok {
			return prefixes[i].Tokens
		}
	}
	return 0
}

func (index *Index) target(name string) *lru.Cache[uint64, struct{}] {
	if known := index.targets[name]; known != nil {
		return known
	}
	if index.targets == nil {
		index.targets = map[string]*lru.Cache[uint64, struct{}]{}
	}
	// New fails only for a size below 1.
	known, _ := lru.New[uint64, struct{}](hashesPerTarget)
	index.targets[name] = known
	return known
}
