// Package witness tells whether a target outlived an answer that ended with its connection.
// Nothing marks the end of such an answer, so that one which was cut as the target ended looks
// whole. It is whole only if the process that sent it is known to have been alive after its
// end: a request that was sent after the end is answered over a connection that this very
// process had accepted.
package witness

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

const (
	// maxQuestionTime limits the wait for the answer to a question.
	maxQuestionTime = 3 * time.Second
	// deliveryTime is how long a part of an answer may be on its way to this host.
	deliveryTime = 250 * time.Millisecond
	// restartTime is the time within which no target ends and starts again under its id.
	restartTime = 250 * time.Millisecond
	// secondTime limits the wait for an answer over a second connection.
	secondTime = time.Second
	// keepTime is how long a connection is kept for further answers. Targets close idle ones.
	keepTime = 8 * time.Second
	// maxTargets limits the targets to which connections are kept.
	maxTargets = 1024
)

var eventUnframedEnded = timeline.Define(timeline.Kind{
	Number: 1180, Name: "answer without a length ended", Level: timeline.Info,
	Meaning: "An answer with neither a length nor chunks has ended with its connection, as one does that is cut when its target ends. The detail is the evidence by which it is taken as whole or not, whole says which, and took is the time until it was found.",
})

// Evidence is what shows whether a target outlived its answer.
type Evidence string

// The kinds of evidence.
const (
	// OlderConnection: the target answers over a connection older than the request.
	OlderConnection Evidence = "the target answers over a connection that is older than the request"
	// OpenMeanwhile: it answers over one that was opened while parts of the answer came.
	OpenMeanwhile Evidence = "the target answers over a connection that was opened during the answer"
	// SameStart: it says that it was started at the time known of it.
	SameStart Evidence = "the target names the time of its start"
	// SameID: it names its id over a connection that was opened as the request was sent.
	SameID Evidence = "the target names its id over a connection that was opened as the request was sent"
	// StartedAgain: its entry names a later start than that of the target that got the request.
	StartedAgain Evidence = "the target has started again under its id"
	// Replaced: another target or another start of it answers at its address.
	Replaced Evidence = "another target answers at the address"
	// LateConnection: the connection was opened too late to tell.
	LateConnection Evidence = "an answer over a connection that was opened later tells nothing of the start of the target"
	// NoAnswer: no answer came.
	NoAnswer Evidence = "the target answers nothing"
	// NoTime: the request's time was up before.
	NoTime Evidence = "no answer came in time"
	// NoQuestion: there is nothing to ask targets of the pool.
	NoQuestion Evidence = "the pool has no health checks"
)

// Question returns a request with an id that a target answers with its identity.
type Question func(id string) *upstream.Request

// Identity is what a target says of itself. Its fields are zero for what it does not say.
type Identity struct {
	Target    string
	StartedAt time.Time
	// Misdirected reports whether the target says that it is not the one that was tracked.
	Misdirected bool
}

// Witnesses finds evidence on the targets of answers. Its fields are set before use.
type Witnesses struct {
	Connections *upstream.Connections
	// Question returns how a target is asked for its identity, which does not count as work of
	// callers, by the routes in force. It is nil if the target can't be asked.
	Question func(target *balance.Target) Question
	// Identify reads what a target says of itself.
	Identify func(status int, header http.Header, body []byte) Identity
	// WasPaused reports whether this host has not worked for a while, or only just does again.
	// It may be nil.
	WasPaused func() bool
	Events    *timeline.Recorder

	// starts are the times at which the present targets started, by id. It is replaced, never
	// changed.
	starts atomic.Pointer[map[string]time.Time]

	mutex   sync.Mutex
	targets map[balance.Incarnation]*trackedTarget
	number  atomic.Int64
	// verified is when each target was last asked for its start and named the one of its entry.
	verified map[balance.Incarnation]time.Time
}

// SetTargets sets the present targets.
func (witnesses *Witnesses) SetTargets(targets []balance.Target) {
	starts := make(map[string]time.Time, len(targets))
	for i := range targets {
		starts[targets[i].ID] = targets[i].StartedAt
	}
	witnesses.starts.Store(&starts)
	witnesses.mutex.Lock()
	defer witnesses.mutex.Unlock()
	maps.DeleteFunc(witnesses.verified, func(incarnation balance.Incarnation, _ time.Time) bool {
		startedAt, isPresent := starts[incarnation.Target]
		return !isPresent || startedAt.UnixMilli() != incarnation.StartedAt
	})
}

// hasStartedAgain reports whether the entry of a target names a later start.
func (witnesses *Witnesses) hasStartedAgain(target *balance.Target) bool {
	starts := witnesses.starts.Load()
	return starts != nil && (*starts)[target.ID].After(target.StartedAt)
}

// trackedTarget is a target that sends answers without a length.
type trackedTarget struct {
	balance.Target
	// question is how the target was asked by the newest routes that have its pool, nil for none.
	// The routes may drop the pool while answers of it run.
	question Question
	users    int
	waiting  []*Watch
	// isAsking is set while a question is on its way or being prepared.
	isAsking bool
	// connection is the one to the target, nil if there is none; connecting is closed once it
	// is open or has failed, nil if none is being opened.
	connection *upstream.Reserved
	connecting chan struct{}
	// refresh keeps the connection open while answers run, drop closes it some time after.
	refresh, drop *time.Timer
}

// Watch is an answer without a length.
type Watch struct {
	witnesses *Witnesses
	target    *trackedTarget
	request   string
	// sentAt is when the request was about to be sent, beganAt when the head of its answer was
	// read.
	sentAt, beganAt time.Time
	// isLate is set if the head may have come long before it was read.
	isLate bool
	// heardAt is the time before which the last part of the answer had not come to this host,
	// in nanoseconds after beganAt.
	heardAt atomic.Int64
	result  chan Evidence
}

// Begin watches an answer without a length that has begun to arrive. The watch must be
// ended.
func (witnesses *Witnesses) Begin(target *balance.Target, request string, sentAt time.Time) *Watch {
	witnesses.mutex.Lock()
	defer witnesses.mutex.Unlock()
	tracked := witnesses.track(target)
	tracked.users++
	if question := witnesses.Question(target); question != nil {
		tracked.question = question
	}
	if tracked.drop != nil {
		tracked.drop.Stop()
		tracked.drop = nil
	}
	watch := &Watch{
		witnesses: witnesses, target: tracked, request: request, sentAt: sentAt, beganAt: time.Now(), result: make(chan Evidence, 1),
		isLate: witnesses.WasPaused != nil && witnesses.WasPaused(),
	}
	witnesses.prepare(tracked, sentAt)
	if tracked.refresh == nil {
		witnesses.scheduleRefresh(tracked)
	}
	return watch
}

// scheduleRefresh asks the target again and again while answers of it run: it may close a
// connection that is idle for long. The caller holds the mutex.
func (witnesses *Witnesses) scheduleRefresh(tracked *trackedTarget) {
	interval := keepTime
	if tracked.connection != nil {
		interval = tracked.connection.IdleLimit()
	}
	tracked.refresh = time.AfterFunc(interval/2, func() {
		witnesses.mutex.Lock()
		defer witnesses.mutex.Unlock()
		tracked.refresh = nil
		if tracked.users == 0 {
			return
		}
		if !tracked.isAsking {
			witnesses.askLocked(&Watch{witnesses: witnesses, target: tracked, result: make(chan Evidence, 1)})
		}
		witnesses.scheduleRefresh(tracked)
	})
}

// track returns the state of a target. The caller holds the mutex.
func (witnesses *Witnesses) track(target *balance.Target) *trackedTarget {
	incarnation := target.Incarnation()
	if known := witnesses.targets[incarnation]; known != nil && known.Address == target.Address {
		return known
	}
	if witnesses.targets == nil {
		witnesses.targets = map[balance.Incarnation]*trackedTarget{}
	}
	added := &trackedTarget{Target: *target}
	if len(witnesses.targets) < maxTargets {
		witnesses.targets[incarnation] = added
	}
	return added
}

// prepare takes an idle connection to the target that is older than the request, or begins to
// open one. The caller holds the mutex.
func (witnesses *Witnesses) prepare(tracked *trackedTarget, sentAt time.Time) {
	if tracked.isAsking || tracked.connecting != nil || tracked.connection != nil && tracked.connection.IsUsable() {
		return
	}
	if tracked.connection != nil {
		tracked.connection.Close()
	}
	if tracked.connection = witnesses.Connections.Reserve(tracked.Address, sentAt); tracked.connection == nil {
		witnesses.connect(tracked)
	}
}

// replace opens another connection to the target if it closes the present one. The caller holds
// the mutex.
func (witnesses *Witnesses) replace(tracked *trackedTarget) {
	if tracked.connecting != nil || tracked.connection != nil && tracked.connection.IsUsable() {
		return
	}
	if tracked.connection != nil {
		tracked.connection.Close()
		tracked.connection = nil
	}
	witnesses.connect(tracked)
}

// connect opens a connection to the target. The caller holds the mutex.
func (witnesses *Witnesses) connect(tracked *trackedTarget) {
	connecting := make(chan struct{})
	tracked.connecting = connecting
	go func() {
		connection, err := witnesses.Connections.Open(context.Background(), tracked.Address)
		witnesses.mutex.Lock()
		defer witnesses.mutex.Unlock()
		if err == nil {
			tracked.connection = connection
		}
		tracked.connecting = nil
		close(connecting)
		witnesses.release(tracked)
	}()
}

// release closes the connection to a target some time after its last use. The caller holds
// the mutex.
func (witnesses *Witnesses) release(tracked *trackedTarget) {
	if tracked.users > 0 || tracked.connecting != nil || tracked.drop != nil {
		return
	}
	tracked.drop = time.AfterFunc(keepTime, func() {
		witnesses.mutex.Lock()
		defer witnesses.mutex.Unlock()
		tracked.drop = nil
		if tracked.users > 0 {
			return
		}
		if incarnation := tracked.Incarnation(); witnesses.targets[incarnation] == tracked {
			delete(witnesses.targets, incarnation)
		}
		if tracked.connection != nil {
			tracked.connection.Close()
			tracked.connection = nil
		}
	})
}

// Heard records that a part of the answer was read that had not come before a time.
func (watch *Watch) Heard(after time.Time) { watch.heardAt.Store(int64(after.Sub(watch.beganAt))) }

// Confirm is called after the end of the answer. It reports whether the answer is whole, as its
// target was alive after the end. Without evidence it is not.
func (watch *Watch) Confirm(ctx context.Context) bool {
	began := time.Now()
	watch.witnesses.ask(watch)
	var evidence Evidence
	select {
	case evidence = <-watch.result:
	case <-ctx.Done():
		select {
		case evidence = <-watch.result:
		default:
			evidence = NoTime
		}
	}
	isWhole := evidence.isWhole()
	metrics.GetOrCreateCounter(`nutmegfield_unframed_answers_total{whole="` + strconv.FormatBool(isWhole) + `"}`).Inc()
	watch.witnesses.Events.Record(eventUnframedEnded, timeline.Event{
		Request: watch.request, Pool: watch.target.Pool, Target: watch.target.ID, Detail: string(evidence),
		Facts: []timeline.Fact{
			{Key: "whole", Value: strconv.FormatBool(isWhole)}, timeline.Duration("took", time.Since(began)),
		},
	})
	return isWhole
}

// End ends the watch.
func (watch *Watch) End() {
	watch.witnesses.mutex.Lock()
	defer watch.witnesses.mutex.Unlock()
	watch.target.users--
	watch.witnesses.release(watch.target)
}

func (evidence Evidence) isWhole() bool {
	switch evidence {
	case OlderConnection, OpenMeanwhile, SameStart, SameID:
		return true
	default:
		return false
	}
}

// ask lets the next question to the target also count for a watch.
func (witnesses *Witnesses) ask(watch *Watch) {
	witnesses.mutex.Lock()
	defer witnesses.mutex.Unlock()
	witnesses.askLocked(watch)
}

// askLocked is ask for callers that hold the mutex.
func (witnesses *Witnesses) askLocked(watch *Watch) {
	tracked := watch.target
	tracked.waiting = append(tracked.waiting, watch)
	if !tracked.isAsking {
		tracked.isAsking = true
		go witnesses.askAll(tracked)
	}
}

// askAll asks a target until no watch waits for it. A question counts only for answers that
// had ended before it.
func (witnesses *Witnesses) askAll(tracked *trackedTarget) {
	for {
		witnesses.mutex.Lock()
		connecting := tracked.connecting
		witnesses.mutex.Unlock()
		if connecting != nil {
			<-connecting
		}
		witnesses.mutex.Lock()
		watches := tracked.waiting
		tracked.waiting = nil
		connection, question := tracked.connection, tracked.question
		tracked.connection = nil
		tracked.isAsking = len(watches) > 0
		if !tracked.isAsking {
			tracked.connection = connection
		}
		witnesses.mutex.Unlock()
		if len(watches) == 0 {
			return
		}
		if question == nil {
			for _, watch := range watches {
				watch.tell(NoQuestion)
			}
		} else {
			connection = witnesses.askFor(tracked, question, connection, watches)
		}
		witnesses.mutex.Lock()
		tracked.connection = connection
		if tracked.users > 0 {
			// Answers that still run need one that is open before they end.
			witnesses.replace(tracked)
		}
		witnesses.release(tracked)
		witnesses.mutex.Unlock()
	}
}

// askFor asks a target over a connection, and over a new one if that brings nothing. It returns
// the connection that may be used again, nil for none.
func (witnesses *Witnesses) askFor(
	tracked *trackedTarget, question Question, connection *upstream.Reserved, watches []*Watch,
) *upstream.Reserved {
	ctx, cancel := context.WithTimeout(context.Background(), maxQuestionTime)
	defer cancel()
	identity, err := witnesses.askOver(ctx, tracked, question, connection)
	isNew := err != nil
	if isNew {
		// What accepts a new connection may be another process.
		ctx, cancel := context.WithTimeout(context.Background(), secondTime)
		defer cancel()
		if connection, err = witnesses.Connections.Open(ctx, tracked.Address); err == nil {
			identity, err = witnesses.askOver(ctx, tracked, question, connection)
		}
	}
	for _, watch := range watches {
		watch.tell(watch.judge(identity, connection, isNew, err))
	}
	if err != nil {
		return nil
	}
	return connection
}

// tell gives a watch its evidence. Only the first counts.
func (watch *Watch) tell(evidence Evidence) {
	select {
	case watch.result <- evidence:
	default:
	}
}

var errNoConnection = errors.New("there is no connection to the target")

// askOver asks a target for its identity. It closes the connection, which may be nil, if that
// fails.
func (witnesses *Witnesses) askOver(
	ctx context.Context, tracked *trackedTarget, question Question, connection *upstream.Reserved,
) (Identity, error) {
	if connection == nil {
		return Identity{}, errNoConnection
	}
	id := "witness-" + strconv.FormatInt(witnesses.number.Add(1), 36) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	answer, body, err := connection.Ask(ctx, question(id))
	if err != nil {
		connection.Close()
		return Identity{}, fmt.Errorf("ask the target %s: %w", tracked.ID, err)
	}
	return witnesses.Identify(answer.Status, answer.Header, body), nil
}

// judge returns the evidence for an answer in what its target said of itself after the end. If
// isNew is set the connection was opened after the end.
func (watch *Watch) judge(identity Identity, connection *upstream.Reserved, isNew bool, err error) Evidence {
	if err != nil {
		return NoAnswer
	}
	target, openedAt := &watch.target.Target, connection.OpenedAt()
	knowsStart := identity.StartedAt.UnixMilli() > 0 && target.StartedAt.UnixMilli() > 0
	switch {
	case identity.Misdirected, identity.Target != "" && identity.Target != target.ID:
		return Replaced
	case openedAt.Before(watch.sentAt):
		return OlderConnection
	case watch.witnesses.hasStartedAgain(target):
		return StartedAgain
	case !isNew && watch.beganAt.Add(time.Duration(watch.heardAt.Load())).Sub(openedAt) > deliveryTime:
		return OpenMeanwhile
	case knowsStart && !identity.StartedAt.Equal(target.StartedAt):
		return Replaced
	case knowsStart:
		return SameStart
	// What a network held up comes long after it was sent: only the time since the request is known.
	case !isNew && !watch.isLate && identity.Target == target.ID && openedAt.Sub(watch.sentAt) < restartTime:
		return SameID
	default:
		return LateConnection
	}
}
