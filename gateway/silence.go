package gateway

import (
	"context"
	"errors"
	"time"

	"nutmegfield.example/balance"
)

const (
	// silentObjectives, silentGaps and silentExpected are how many times its
	// objective, the longest pause between its events and its expected time a
	// request waits for a silent target before it goes to another one: the
	// answer is late by then, and callers leave after about twice as long.
	silentObjectives = 2
	silentGaps       = 4
	silentExpected   = 4
)

var errSilent = errors.New("the target is silent")

// silence ends an attempt whose target is silent for too long, if the request
// may go to another one.
type silence struct {
	patience time.Duration
	timer    *time.Timer
	cancel   context.CancelCauseFunc
	ctx      context.Context
}

// watchSilence returns the context of an attempt. Runs is how many targets may
// have run the request before.
func (forwarding *forwarding) watchSilence(ctx context.Context, grant *balance.Grant, runs int) (context.Context, *silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	silence := &silence{ctx: ctx, cancel: cancel}
	route := forwarding.route
	if !route.Retryable() || runs+1 >= route.Attempts || route.Objective <= 0 {
		return ctx, silence
	}
	silence.patience = max(silentObjectives*route.Objective, silentGaps*route.EventGap, silentExpected*grant.Estimate)
	silence.timer = time.AfterFunc(silence.patience, func() {
		// Without a repeat to spare, the target may still answer.
		if forwarding.gateway.Budget.AllowRetry(forwarding.pool.Name) {
			forwarding.reserved.Store(true)
			cancel(errSilent)
		}
	})
	return ctx, silence
}

// heard tells that the target said something.
func (silence *silence) heard() {
	if silence.timer != nil && silence.timer.Stop() {
		silence.timer.Reset(silence.patience)
	}
}

// end ends the watch, but not the attempt.
func (silence *silence) end() {
	if silence.timer != nil {
		silence.timer.Stop()
	}
}

// explain is why an attempt failed.
func (silence *silence) explain(err error) string {
	if cause := context.Cause(silence.ctx); errors.Is(cause, errSilent) {
		return cause.Error()
	}
	return err.Error()
}
