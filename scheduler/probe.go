package scheduler

import (
	"context"
	"time"

	"nutmegfield.example/pool"
	"nutmegfield.example/request"
)

// probeTimeout limits the probe of a target after a connection to it was lost.
const probeTimeout = time.Second

// releaseGrant frees the slot of a grant. If the connection to the target was
// lost, the target is probed first: a request that ran on a target that crashed
// is suspect, one on a target that still runs is not. A target that has
// restarted before the probe arrives counts as one that did not crash.
func (scheduler *Scheduler) releaseGrant(running *pool.Pool, release request.Release) {
	ctx := scheduler.runContext()
	if release.End != request.EndTargetLost || ctx == nil {
		running.Release(release)
		return
	}
	probed := &release
	scheduler.trackProbe(probed, true)
	scheduler.group.Go(func() {
		defer scheduler.trackProbe(probed, false)
		if scheduler.targetAnswers(ctx, release.Pool, release.Target) {
			release.End = request.EndConnectionLost
		}
		running.Release(release)
	})
}

// trackProbe adds a release to those whose target is being probed, or removes
// it.
func (scheduler *Scheduler) trackProbe(release *request.Release, begun bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.probedReleases == nil {
		scheduler.probedReleases = map[*request.Release]struct{}{}
	}
	if begun {
		scheduler.probedReleases[release] = struct{}{}
		return
	}
	delete(scheduler.probedReleases, release)
}

// withProbedGrants adds the numbers of the grants whose targets are being
// probed to those that an entry host holds, so that their slots stay taken
// until the probe ends.
func (scheduler *Scheduler) withProbedGrants(name string, numbers []uint64) []uint64 {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for release := range scheduler.probedReleases {
		if release.Pool == name {
			numbers = append(numbers, release.Number)
		}
	}
	return numbers
}

// runContext returns Run's context, or nil before Run and after its end.
func (scheduler *Scheduler) runContext() context.Context {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.ctx == nil || scheduler.ctx.Err() != nil {
		return nil
	}
	return scheduler.ctx
}

// targetAnswers reports whether a target answers a request for its load; false
// if its protocol has no such request.
func (scheduler *Scheduler) targetAnswers(ctx context.Context, name, targetName string) bool {
	target, client := scheduler.findTarget(name, targetName)
	if target == nil || client == nil || client.Load == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := client.Load(ctx, target.Address)
	return err == nil
}
