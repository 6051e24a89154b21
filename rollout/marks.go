package rollout

import (
	"context"
	"encoding/json"
	"time"

	"nutmegfield.example/timeline"
)

const (
	// marksFraction is the part of an order's duration after which its mark is written again.
	marksFraction = 8
	// markPatience is the time for which a host waits for the mark of a rollout that it does
	// not know.
	markPatience = 3 * time.Second
)

// mark is the encoding of what the platform keeps of a rollout for the case that all hosts end
// at once.
type mark struct {
	Rollout uint32 `json:"rollout"`
	Version string `json:"version"`
	// StartedAt is when the order was first read.
	StartedAt time.Time `json:"startedAt"`
	Stage     Stage     `json:"stage"`
	Requests  uint64    `json:"requests"`
	Sent      uint64    `json:"sent"`
	Answers   uint64    `json:"answers"`
}

// knowsStart reports whether it is known when a rollout began. If the platform shows that it did
// and no host knows it, the mark is read.
func (rollouts *Rollouts) knowsStart(ctx context.Context, move *move, now time.Time) bool {
	if !move.start.IsZero() || move.order.shown() != Running || rollouts.Store.LoadMarks == nil || move.isMarkRead {
		return true
	}
	if !move.isLoadingMark {
		move.isLoadingMark = true
		go rollouts.loadMark(ctx, move)
	}
	// A host that has just read the order may be told of its start at any moment: the others
	// could not tell it before.
	since := rollouts.decidesSince
	if move.seenAt.After(since) {
		since = move.seenAt
	}
	return now.Sub(since) > takeOverTime+markPatience
}

// loadMark reads the mark of a rollout.
func (rollouts *Rollouts) loadMark(ctx context.Context, move *move) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	marks, err := rollouts.Store.LoadMarks(ctx)
	rollouts.mutex.Lock()
	defer rollouts.mutex.Unlock()
	defer rollouts.wake()
	move.isLoadingMark = false
	if err != nil {
		rollouts.Events.Record(eventNotWritten, timeline.Event{Pool: move.order.Pool, Detail: "the mark was not read: " + err.Error()})
		return
	}
	move.isMarkRead = true
	var found mark
	if json.Unmarshal(marks[move.order.Pool], &found) != nil || found.Version != move.order.Version || found.Rollout == 0 ||
		found.Stage < Sharing || found.Stage > RollingBack || !move.start.IsZero() {
		return
	}
	age := min(max(0, time.Since(found.StartedAt)), move.order.Duration)
	rollouts.recall(move, &Instruction{
		Rollout: found.Rollout, Pool: move.order.Pool, Version: found.Version, Sequence: 1, Stage: found.Stage,
		Age: age, Duration: move.order.Duration, Requests: found.Requests, Sent: found.Sent, Answers: found.Answers,
	}, time.Now())
}

// keepMark writes the mark of a rollout that this host decides on, if it is due.
func (rollouts *Rollouts) keepMark(ctx context.Context, move *move, now time.Time) {
	decision := move.decision
	isDue := move.markedAt.IsZero() || move.markedStage != decision.stage || now.Sub(move.markedAt) >= decision.duration/marksFraction
	if rollouts.Store.SaveMark == nil || !isDue {
		return
	}
	move.markedAt, move.markedStage = now, decision.stage
	value, err := json.Marshal(mark{
		Rollout: move.id, Version: move.order.Version, StartedAt: move.start.UTC(), Stage: decision.stage,
		Requests: decision.requests, Sent: decision.sent, Answers: decision.answers(),
	})
	if err != nil {
		// All of its fields can be encoded.
		return
	}
	pool := move.order.Pool
	go func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		err := rollouts.Store.SaveMark(ctx, pool, value)
		if err != nil {
			// It is written again soon; only hosts that all end at once need it.
			statusWritesFailed.Inc()
			return
		}
		rollouts.mutex.Lock()
		defer rollouts.mutex.Unlock()
		move.wroteIn = max(move.wroteIn, time.Since(now))
	}()
}
