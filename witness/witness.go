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
	// deliveryTime is the time after which a part of an answer that is read was certainly
	// sent after a connection had been opened, as it may have been in a buffer before.
	deliveryTime = 250 * time.Millisecond
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

// The kinds of evidence. Answers are whole by the first four.
const (
	// OlderConnection: the target answers over a connection older than the request.
	OlderConnection Evidence = "the target answers over a connection that is older than the request"
	// OpenMeanwhile: it answers over one that was opened while parts of the answer came.
	OpenMeanwhile Evidence = "the target answers over a connection that was opened during the answer"
	// SameStart: it says that it was started at the time known of it.
	SameStart Evidence = "the target names the time of its start"
	// SameID: it names its id over a connection that was opened as the answer began.
	SameID Evidence = "the target names its id over a connection that was opened as the answer began"
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

// Identity is what a target says of itself. Its fields are zero for what it does not say.
type Identity struct {
	Target    string
	StartedAt time.Time
	// Misdirected reports whether the target says that it is not the one that was asked.
	Misdirected bool
}

// Witnesses finds evidence on the targets of answers. Its fields are set before use.
type Witnesses struct {
	Connections *upstream.Connections
	// Question returns a request that a target answers with its identity, and does not count
	// as work of callers. The request has the id. It is nil if there is none.
	Question func(target *balance.Target, id string) *upstream.Request
	// Identify reads what a target says of itself.
	Identify func(status int, header http.Header, body []byte) Identity
	Events   *timeline.Recorder

	mutex   sync.Mutex
	targets map[balance.Incarnation]*asked
	number  atomic.Int64
}

// asked is a target that sends answers without a length.
type asked struct {
	balance.Target
	users   int
	waiting []*Watch
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
	asked     *asked
	request   string
	// sentAt is when the request was about to be sent, beganAt when its answer began.
	sentAt, beganAt time.Time
	// heardAt is when the last part of the answer was read, in nanoseconds after beganAt.
	heardAt atomic.Int64
	result  chan Evidence
}

// Begin watches an answer without a length that has begun to arrive. The watch must be
// ended.
func (witnesses *Witnesses) Begin(target *balance.Target, request string, sentAt time.Time) *Watch {
	witnesses.mutex.Lock()
	defer witnesses.mutex.Unlock()
	asked := witnesses.askedTarget(target)
	asked.users++
	if asked.drop != nil {
		asked.drop.Stop()
		asked.drop = nil
	}
	watch := &Watch{
		witnesses: witnesses, asked: asked, request: request, sentAt: sentAt, beganAt: time.Now(), result: make(chan Evidence, 1),
	}
	witnesses.prepare(asked, sentAt)
	if asked.refresh == nil {
		witnesses.scheduleRefresh(asked)
	}
	return watch
}

// scheduleRefresh asks the target again and again while answers of it run: it may close a
// connection that is idle for long. The caller holds the mutex.
func (witnesses *Witnesses) scheduleRefresh(asked *asked) {
	interval := keepTime
	if asked.connection != nil {
		interval = asked.connection.IdleLimit()
	}
	asked.refresh = time.AfterFunc(interval/2, func() {
		witnesses.mutex.Lock()
		defer witnesses.mutex.Unlock()
		asked.refresh = nil
		if asked.users == 0 {
			return
		}
		if !asked.isAsking {
			witnesses.askLocked(&Watch{witnesses: witnesses, asked: asked, result: make(chan Evidence, 1)})
		}
		witnesses.scheduleRefresh(asked)
	})
}

// askedTarget returns the state of a target. The caller holds the mutex.
func (witnesses *Witnesses) askedTarget(target *balance.Target) *asked {
	incarnation := target.Incarnation()
	if known := witnesses.targets[incarnation]; known != nil && known.Address == target.Address {
		return known
	}
	if witnesses.targets == nil {
		witnesses.targets = map[balance.Incarnation]*asked{}
	}
	added := &asked{Target: *target}
	if len(witnesses.targets) < maxTargets {
		witnesses.targets[incarnation] = added
	}
	return added
}

// prepare takes an idle connection to the target that is older than the request, or begins to
// open one. The caller holds the mutex.
func (witnesses *Witnesses) prepare(asked *asked, sentAt time.Time) {
	if asked.isAsking || asked.connecting != nil || asked.connection != nil && asked.connection.IsUsable() {
		return
	}
	if asked.connection != nil {
		asked.connection.Close()
	}
	if asked.connection = witnesses.Connections.Reserve(asked.Address, sentAt); asked.connection != nil {
		return
	}
	connecting := make(chan struct{})
	asked.connecting = connecting
	go func() {
		connection, err := witnesses.Connections.Open(context.Background(), asked.Address)
		witnesses.mutex.Lock()
		defer witnesses.mutex.Unlock()
		if err == nil {
			asked.connection = connection
		}
		asked.connecting = nil
		close(connecting)
		witnesses.release(asked)
	}()
}

// release closes the connection to a target some time after its last use. The caller holds
// the mutex.
func (witnesses *Witnesses) release(asked *asked) {
	if asked.users > 0 || asked.connecting != nil || asked.drop != nil {
		return
	}
	asked.drop = time.AfterFunc(keepTime, func() {
		witnesses.mutex.Lock()
		defer witnesses.mutex.Unlock()
		asked.drop = nil
		if asked.users > 0 {
			return
		}
		if incarnation := asked.Incarnation(); witnesses.targets[incarnation] == asked {
			delete(witnesses.targets, incarnation)
		}
		if asked.connection != nil {
			asked.connection.Close()
			asked.connection = nil
		}
	})
}

// Heard records that a part of the answer was read.
func (watch *Watch) Heard() { watch.heardAt.Store(int64(time.Since(watch.beganAt))) }

// Confirm is called after the end of the answer. It reports whether the answer is whole, as its
// target was alive after the end. Without evidence it is not.
func (watch *Watch) Confirm(ctx context.Context) bool {
	began := time.Now()
	watch.witnesses.ask(watch)
	var evidence Evidence
	select {
	case evidence = <-watch.result:
	case <-ctx.Done():
		evidence = NoTime
	}
	isWhole := evidence.isWhole()
	metrics.GetOrCreateCounter(`nutmegfield_unframed_answers_total{whole="` + strconv.FormatBool(isWhole) + `"}`).Inc()
	watch.witnesses.Events.Record(eventUnframedEnded, timeline.Event{
		Request: watch.request, Pool: watch.asked.Pool, Target: watch.asked.ID, Detail: string(evidence),
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
	watch.asked.users--
	watch.witnesses.release(watch.asked)
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
	asked := watch.asked
	asked.waiting = append(asked.waiting, watch)
	if !asked.isAsking {
		asked.isAsking = true
		go witnesses.askAll(asked)
	}
}

// askAll asks a target until no watch waits for it. A question counts only for answers that
// had ended before it.
func (witnesses *Witnesses) askAll(asked *asked) {
	for {
		witnesses.mutex.Lock()
		connecting := asked.connecting
		witnesses.mutex.Unlock()
		if connecting != nil {
			<-connecting
		}
		witnesses.mutex.Lock()
		watches := asked.waiting
		asked.waiting = nil
		connection := asked.connection
		asked.connection = nil
		asked.isAsking = len(watches) > 0
		if !asked.isAsking {
			asked.connection = connection
		}
		witnesses.mutex.Unlock()
		if len(watches) == 0 {
			return
		}
		connection = witnesses.askFor(asked, connection, watches)
		witnesses.mutex.Lock()
		asked.connection = connection
		witnesses.release(asked)
		witnesses.mutex.Unlock()
	}
}

// askFor asks a target over a connection, and over a new one if that brings nothing. It returns
// the connection that may be used again, nil for none.
func (witnesses *Witnesses) askFor(asked *asked, connection *upstream.Reserved, watches []*Watch) *upstream.Reserved {
	if witnesses.Question(&asked.Target, "") == nil {
		for _, watch := range watches {
			watch.result <- NoQuestion
		}
		return connection
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxQuestionTime)
	defer cancel()
	identity, err := witnesses.question(ctx, asked, connection)
	isNew := err != nil
	if isNew {
		// What accepts a new connection may be another process.
		if connection, err = witnesses.Connections.Open(ctx, asked.Address); err == nil {
			identity, err = witnesses.question(ctx, asked, connection)
		}
	}
	for _, watch := range watches {
		watch.result <- watch.judge(identity, connection, isNew, err)
	}
	if err != nil {
		return nil
	}
	return connection
}

var errNoConnection = errors.New("there is no connection to the target")

// question asks a target for its identity. It closes the connection, which may be nil, if that
// fails.
func (witnesses *Witnesses) question(ctx context.Context, asked *asked, connection *upstream.Reserved) (Identity, error) {
	if connection == nil {
		return Identity{}, errNoConnection
	}
	id := "witness-" + strconv.FormatInt(witnesses.number.Add(1), 36) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	answer, body, err := connection.Ask(ctx, witnesses.Question(&asked.Target, id))
	if err != nil {
		connection.Close()
		return Identity{}, fmt.Errorf("ask the target %s: %w", asked.ID, err)
	}
	return witnesses.Identify(answer.Status, answer.Header, body), nil
}

// judge returns the evidence for an answer in what its target said of itself after the end. If
// isNew is set the connection was opened after the end.
func (watch *Watch) judge(identity Identity, connection *upstream.Reserved, isNew bool, err error) Evidence {
	if err != nil {
		return NoAnswer
	}
	target, openedAt := &watch.asked.Target, connection.OpenedAt()
	knowsStart := identity.StartedAt.UnixMilli() > 0 && target.StartedAt.UnixMilli() > 0
	switch {
	case identity.Misdirected, identity.Target != "" && identity.Target != target.ID,
		knowsStart && identity.StartedAt.UnixMilli() != target.StartedAt.UnixMilli():
		return Replaced
	case openedAt.Before(watch.sentAt):
		return OlderConnection
	case !isNew && watch.beganAt.Add(time.Duration(watch.heardAt.Load())).Sub(openedAt) > deliveryTime:
		return OpenMeanwhile
	case knowsStart:
		return SameStart
	case !isNew && identity.Target == target.ID && openedAt.Sub(watch.beganAt) < deliveryTime:
		return SameID
	default:
		return LateConnection
	}
}
