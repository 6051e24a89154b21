package objects

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// maxCachedVersions is the number of objects whose version is remembered.
const maxCachedVersions = 16384

// versions remembers the highest version seen of the objects used last, so
// that an old read after a failover of the platform is known for one.
type versions struct {
	once    sync.Once
	mutex   sync.Mutex
	highest *lru.Cache[string, int64]
}

// record notes a version and reports whether it is below one seen before.
func (versions *versions) record(kind, name string, version int64) (outdated bool) {
	versions.once.Do(func() {
		// New only fails for a size below 1.
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
