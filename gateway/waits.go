package gateway

import (
	"sync"
	"time"
)

const (
	// calmPressure is the share of refused requests up to which hardly any
	// caller is one that was refused before.
	calmPressure = 0.01
	// waitsRise is the part of the way that the least wait rises to that of
	// each request, so that a few odd callers are forgotten after hundreds.
	waitsRise = 0.01
	// mostRoutes bounds the routes whose waits are kept.
	mostRoutes = 4096
)

// waits learns how long the callers of each route wait at least. A caller that
// was refused comes back with the rest of its time, and its answer is late
// already, or nearly so. Its zero value is ready for use.
type waits struct {
	mutex sync.Mutex
	least map[string]time.Duration
}

// returned reports whether a caller of a route that waits so long was probably
// refused before. Where requests are hardly refused, the wait is learned.
func (waits *waits) returned(route string, wait time.Duration, pressure float64) bool {
	if wait <= 0 {
		return false
	}
	waits.mutex.Lock()
	defer waits.mutex.Unlock()
	least, known := waits.least[route]
	if pressure > calmPressure {
		return known && wait < least
	}
	switch {
	case !known && len(waits.least) >= mostRoutes:
		return false
	case !known || wait < least:
		least = wait
	default:
		least += time.Duration(waitsRise * float64(wait-least))
	}
	if waits.least == nil {
		waits.least = map[string]time.Duration{}
	}
	waits.least[route] = least
	return false
}
