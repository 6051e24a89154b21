package objects

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// rememberedVersions is the number of objects whose version is remembered.
const rememberedVersions = 16384

// versions remembers the highest version seen of the objects used last, so
// that an old read after a failover of the platform is known for one.
type versions struct {
	once  sync.Once
	mutex sync.Mutex
	seen  *lru.Cache[string, int64]
}

// see notes a version and reports whether it is below one seen before.
func (versions *versions) see(kind, name string, version int64) (old bool) {
	versions.once.Do(func() {
		// New only fails for a size below 1.
		versions.seen, _ = lru.New[string, int64](rememberedVersions)
	})
	versions.mutex.Lock()
	defer versions.mutex.Unlock()
	key := kind + "/" + name
	if highest, ok := versions.seen.Get(key); ok && version < highest {
		return true
	}
	versions.seen.Add(key, version)
	return false
}
