package gateway

import (
	"sync"
	"time"
)

const (
	// maxLearningFraction is the largest refused fraction at which waits are
	// learned: hardly any caller has then been refused before.
	maxLearningFraction = 0.01
	// shortestWaitRiseFraction is the fraction of the difference by which a longer
	// wait raises the shortest one, so that the waits of a few unusual callers are
	// forgotten after hundreds of requests.
	shortestWaitRiseFraction = 0.01
	// maxTrackedRoutes limits the routes whose shortest waits are kept.
	maxTrackedRoutes = 4096
)

// waitTracker learns the shortest timeout with which callers of each route send new
// requests. A caller that was refused retries with the rest of its timeout, so a
// shorter one indicates a retry, whose answer is already late or nearly so. The zero
// value is ready for use.
type waitTracker struct {
	mutex sync.Mutex
	// shortest holds the shortest wait of each route.
	shortest map[string]time.Duration
}

// isRetry reports whether a request with this wait, the time for which its caller
// still waits, was probably refused before. While refusedFraction is at most
// maxLearningFraction, it learns from the wait and returns false.
func (waitTracker *waitTracker) isRetry(route string, wait time.Duration, refusedFraction float64) bool {
	if wait <= 0 {
		return false
	}
	waitTracker.mutex.Lock()
	defer waitTracker.mutex.Unlock()
	shortest, known := waitTracker.shortest[route]
	if refusedFraction > maxLearningFraction {
		return known && wait < shortest
	}
	switch {
	case !known && len(waitTracker.shortest) >= maxTrackedRoutes:
		return false
	case !known || wait < shortest:
		shortest = wait
	default:
		shortest += time.Duration(shortestWaitRiseFraction * float64(wait-shortest))
	}
	if waitTracker.shortest == nil {
		waitTracker.shortest = map[string]time.Duration{}
	}
	waitTracker.shortest[route] = shortest
	return false
}
