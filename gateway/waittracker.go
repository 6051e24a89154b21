package gateway

import (
	"sync"
	"time"
)

const (
	// maxCalmPressure is the fraction of refused requests up to which hardly any
	// caller is one that was refused before.
	maxCalmPressure = 0.01
	// shortestWaitRise is the fraction of the difference by which a longer wait
	// raises the shortest one, so that a few unusual callers stop counting after
	// hundreds of requests.
	shortestWaitRise = 0.01
	// maxTrackedRoutes limits the routes whose shortest waits are kept.
	maxTrackedRoutes = 4096
)

// waitTracker learns the shortest time that callers of each route wait. A caller
// that was refused returns with the rest of its time, and its answer is late
// already, or nearly so. The zero value is ready for use.
type waitTracker struct {
	mutex    sync.Mutex
	shortest map[string]time.Duration
}

// isRetry reports whether a caller of a route with this wait was probably refused
// before. It learns from the wait while the pressure, the fraction of refused
// requests, is at most maxCalmPressure.
func (waitTracker *waitTracker) isRetry(route string, wait time.Duration, pressure float64) bool {
	if wait <= 0 {
		return false
	}
	waitTracker.mutex.Lock()
	defer waitTracker.mutex.Unlock()
	shortest, known := waitTracker.shortest[route]
	if pressure > maxCalmPressure {
		return known && wait < shortest
	}
	switch {
	case !known && len(waitTracker.shortest) >= maxTrackedRoutes:
		return false
	case !known || wait < shortest:
		shortest = wait
	default:
		shortest += time.Duration(shortestWaitRise * float64(wait-shortest))
	}
	if waitTracker.shortest == nil {
		waitTracker.shortest = map[string]time.Duration{}
	}
	waitTracker.shortest[route] = shortest
	return false
}
