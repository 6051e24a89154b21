package objects

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// maxCachedVersions limits the number of objects whose versions are cached.
const maxCachedVersions = 16384

// versions caches the highest version seen of each recently used object, to
// detect outdated reads after a failover of the platform.
type versions struct {
	once    sync.Once
	mutex   sync.Mutex
	highest *lru.Cache[string, int64]
}

// record caches a version and reports whether it is lower than one seen before.
func (versions *versions) record(kind, name string, version int64) (outdated bool) {
	versions.once.Do(func() {
		// New fails only if the size is not positive.
		versions.highest, _ = lru.New[string, int64](maxCachedVersions)
	})
	versions.mutex.Lock()
	defer versions.mutex.Unlock()
	key := kind + "/" + name
	if highest, ok := versions.highest.Get(key); ok && version < highest {
		return true
	}
	versions.highest.Add(key, version)
	return false
}
