package gateway

import (
	"context"
	"errors"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/detour"
)

const (
	// The silence timeout is the longest of these multiples of the route's
	// objective, of the longest gap between events and of the estimated time to the
	// first event. The answer is late by then, and callers leave after about twice
	// that time.
	silentObjectiveFactor = 2
	silentGapFactor       = 4
	silentExpectedFactor  = 4
)

var errSilent = errors.New("the target is silent")

// silenceTimer cancels an attempt whose target sends nothing for the timeout. Its
// timer is nil if the request may not be sent to another target.
type silenceTimer struct {
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelCauseFunc
	ctx     context.Context
	// expire ends the attempt if the request may be sent to another target; nil if it may
	// not.
	expire func(cause error)
	// path watches the connection to the target; nil if the request goes over another host.
	path *detour.Attempt
}

// startSilenceTimer returns the context of an attempt and its timer. Runs is the
// number of targets that may already have run the request.
func (forwarding *forwarding) startSilenceTimer(ctx context.Context, grant *balance.Grant, runs int) (context.Context, *silenceTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	silenceTimer := &silenceTimer{ctx: ctx, cancel: cancel}
	route := forwarding.route
	if !route.Retryable() || runs+1 >= route.Attempts || route.Objective <= 0 {
		return ctx, silenceTimer
	}
	silenceTimer.timeout = max(silentObjectiveFactor*route.Objective, silentGapFactor*route.EventGap, silentExpectedFactor*grant.Estimate)
	silenceTimer.expire = func(cause error) {
		// Without retry budget the attempt goes on, as the target may still answer.
		if ctx.Err() == nil && forwarding.reserveRetry() {
			cancel(cause)
		}
	}
	silenceTimer.timer = time.AfterFunc(silenceTimer.timeout, func() { silenceTimer.expire(errSilent) })
	return ctx, silenceTimer
}

// expireEarly ends an attempt whose target is silent as this host does not reach it.
func (silenceTimer *silenceTimer) expireEarly() {
	if silenceTimer.expire != nil {
		silenceTimer.expire(errNotReached)
	}
}

// heard records that the target has sent something.
func (silenceTimer *silenceTimer) heard() {
	if silenceTimer.path != nil {
		silenceTimer.path.Heard()
	}
}

// endPath ends the watch of the connection.
func (silenceTimer *silenceTimer) endPath() {
	if silenceTimer.path != nil {
		silenceTimer.path.End()
	}
}

// reset restarts the timer after the target has sent something.
func (silenceTimer *silenceTimer) reset() {
	silenceTimer.heard()
	if silenceTimer.timer != nil && silenceTimer.timer.Stop() {
		silenceTimer.timer.Reset(silenceTimer.timeout)
	}
}

// stop stops the timer without ending the attempt.
func (silenceTimer *silenceTimer) stop() {
	if silenceTimer.timer != nil {
		silenceTimer.timer.Stop()
	}
}

// failureReason returns the text for a failed attempt's event: the target's
// silence if that ended it, else the error.
func (silenceTimer *silenceTimer) failureReason(err error) string {
	if cause := context.Cause(silenceTimer.ctx); errors.Is(cause, errSilent) || errors.Is(cause, errNotReached) {
		return cause.Error()
	}
	return err.Error()
}
