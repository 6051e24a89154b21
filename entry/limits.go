package entry

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"nutmegfield.example/profile"
	"nutmegfield.example/request"
)

// limits tracks the rate and the waiting requests of each workspace on this host.
type limits struct {
	// workspaces maps names to *workspaceUsage.
	workspaces sync.Map
}

// workspaceUsage is what a workspace uses of its limits on this host.
type workspaceUsage struct {
	// waiting is the number of requests that wait for a grant.
	waiting atomic.Int64
	rate    *rate.Limiter
}

// admit counts a request as waiting in its workspace, or returns the problem of
// the limit that it exceeds. The caller must decrement the waiting count of the
// result when the wait ends.
func (limits *limits) admit(workspace *profile.Workspace) (*workspaceUsage, *Problem) {
	workspaceUsage := limits.usageOf(workspace)
	if !workspaceUsage.allowRate(workspace.MaxRate) {
		return nil, notRun(request.ReasonLimited, jitter(max(retryAfterLimited, rateInterval(workspace.MaxRate))))
	}
	waiting := workspaceUsage.waiting.Add(1)
	if workspace.MaxWaiting > 0 && waiting > int64(workspace.MaxWaiting) {
		workspaceUsage.waiting.Add(-1)
		return nil, notRun(request.ReasonLimited, jitter(retryAfterLimited))
	}
	return workspaceUsage, nil
}

// usageOf returns the usage of a workspace, which it creates on the first call.
func (limits *limits) usageOf(workspace *profile.Workspace) *workspaceUsage {
	if found, ok := limits.workspaces.Load(workspace.Name); ok {
		return found.(*workspaceUsage)
	}
	created := &workspaceUsage{rate: rate.NewLimiter(rate.Limit(workspace.MaxRate), burst(workspace.MaxRate))}
	found, _ := limits.workspaces.LoadOrStore(workspace.Name, created)
	return found.(*workspaceUsage)
}

// allowRate takes one request from the rate limit, in requests per second; 0 is no
// limit. It applies a rate that a new configuration changed.
func (workspaceUsage *workspaceUsage) allowRate(perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	if workspaceUsage.rate.Limit() != rate.Limit(perSecond) {
		workspaceUsage.rate.SetBurst(burst(perSecond))
		workspaceUsage.rate.SetLimit(rate.Limit(perSecond))
	}
	return workspaceUsage.rate.Allow()
}

// burst returns the number of requests that may arrive at once: those of one second,
// and at least one.
func burst(perSecond float64) int { return max(1, int(math.Ceil(perSecond))) }

// rateInterval returns the mean time between two requests at a rate.
func rateInterval(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / rate)
}

// jitter adds a random time of up to the wait itself, so that callers that were
// refused together do not come back together.
func jitter(wait time.Duration) time.Duration {
	return wait + rand.N(wait+1)
}
