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

// limits keeps what each workspace uses of its limits on this host.
type limits struct {
	// workspaces holds a *workspaceUse for each name.
	workspaces sync.Map
}

type workspaceUse struct {
	waiting atomic.Int64
	rate    *rate.Limiter
}

// admit counts a request in among the waiting ones of its workspace. The
// problem is that of a limit; without one, the use's waiting count must be
// taken back when the wait ends.
func (limits *limits) admit(workspace *profile.Workspace) (*workspaceUse, *Problem) {
	use := limits.use(workspace)
	if !use.allow(workspace.Rate) {
		return nil, notRun(request.ReasonLimited, spread(max(retryLimited, perSecond(workspace.Rate))))
	}
	waiting := use.waiting.Add(1)
	if workspace.Waiting > 0 && waiting > int64(workspace.Waiting) {
		use.waiting.Add(-1)
		return nil, notRun(request.ReasonLimited, spread(retryLimited))
	}
	return use, nil
}

func (limits *limits) use(workspace *profile.Workspace) *workspaceUse {
	if found, ok := limits.workspaces.Load(workspace.Name); ok {
		return found.(*workspaceUse)
	}
	made := &workspaceUse{rate: rate.NewLimiter(rate.Limit(workspace.Rate), burst(workspace.Rate))}
	found, _ := limits.workspaces.LoadOrStore(workspace.Name, made)
	return found.(*workspaceUse)
}

// allow takes one request of the rate, which a new configuration may have
// changed. Up to a second's worth may come at once.
func (use *workspaceUse) allow(perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	if use.rate.Limit() != rate.Limit(perSecond) {
		use.rate.SetBurst(burst(perSecond))
		use.rate.SetLimit(rate.Limit(perSecond))
	}
	return use.rate.Allow()
}

// burst is a second's worth of a rate.
func burst(perSecond float64) int { return max(1, int(math.Ceil(perSecond))) }

func perSecond(rate float64) time.Duration {
	return time.Duration(float64(time.Second) / rate)
}

// spread lengthens a wait at random, up to twice, so that callers who were
// refused together do not come back together.
func spread(wait time.Duration) time.Duration {
	return wait + rand.N(wait+1)
}
