package pool

import "time"

// Suspect is a request body that was in flight on a target that crashed.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
	// Until is when the suspicion, or the quarantine, ends.
	Until       time.Time
	Quarantined bool
}

// Suspect learns a suspicion from another scheduler.
func (pool *Pool) Suspect(suspect Suspect) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.suspects == nil {
		pool.suspects = map[uint64]Suspect{}
	}
	pool.suspects[suspect.Fingerprint] = suspect
}
