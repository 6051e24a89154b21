package scheduler

import (
	"context"
	"time"

	"nutmegfield.example/pool"
	"nutmegfield.example/request"
)

// brokenTimeout bounds the question whether a target lives whose connection
// was lost.
const brokenTimeout = time.Second

// release gives a slot back. When the connection to a target was lost the
// target is asked first, for what ran on one that crashed is suspect, and on
// one that lives it is not. An engine that is back within the time of a
// message passes for one that lived.
func (scheduler *Scheduler) release(running *pool.Pool, release request.Release) {
	ctx := scheduler.context()
	if release.End != request.EndTargetLost || ctx == nil {
		running.Release(release)
		return
	}
	asked := &release
	scheduler.asking(asked, true)
	scheduler.group.Go(func() {
		defer scheduler.asking(asked, false)
		if scheduler.lives(ctx, release.Pool, release.Target) {
			release.End = request.EndConnectionLost
		}
		running.Release(release)
	})
}

// asking notes a release whose target is being asked, or that it was.
func (scheduler *Scheduler) asking(release *request.Release, begun bool) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.asked == nil {
		scheduler.asked = map[*request.Release]struct{}{}
	}
	if begun {
		scheduler.asked[release] = struct{}{}
		return
	}
	delete(scheduler.asked, release)
}

// withAsked adds the grants whose release is still to come to those that an
// entry host holds.
func (scheduler *Scheduler) withAsked(name string, numbers []uint64) []uint64 {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for release := range scheduler.asked {
		if release.Pool == name {
			numbers = append(numbers, release.Number)
		}
	}
	return numbers
}

// context returns that of Run; nil before it and after its end.
func (scheduler *Scheduler) context() context.Context {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if scheduler.ctx == nil || scheduler.ctx.Err() != nil {
		return nil
	}
	return scheduler.ctx
}

// lives reports whether a target answers. One whose protocol has no question
// for it counts as lost.
func (scheduler *Scheduler) lives(ctx context.Context, name, targetName string) bool {
	described, client := scheduler.lookup(name, targetName)
	if described == nil || client == nil || client.Load == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, brokenTimeout)
	defer cancel()
	_, err := client.Load(ctx, described.Address)
	return err == nil
}
