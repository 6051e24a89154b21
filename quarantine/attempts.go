package quarantine

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

const (
	// silenceTimeout is the time without an answer of a target after which a new
	// connection shows whether it is still reachable.
	silenceTimeout = time.Second
	// checkInterval is how often silent targets are looked for, and recheckInterval
	// the shortest time between two checks of the same silent target.
	checkInterval   = 250 * time.Millisecond
	recheckInterval = time.Second
	// unansweredLifetime is how long an attempt without an answer is kept, to see
	// whether its target ended: engines that crash silently are back by then.
	unansweredLifetime = 10 * time.Second
	// maxUnanswered limits the attempts kept per target; the oldest are dropped.
	maxUnanswered = 256
	// answerDelay is the time after which an answer that is read was certainly sent
	// after the attempt failed, as it may have been in a buffer before.
	answerDelay = 250 * time.Millisecond
)

// Evidence is how a host found that a target had ended.
type Evidence string

// The kinds of evidence.
const (
	// Refused: nothing listens at the target's address any more.
	Refused Evidence = "connection refused"
	// Replaced: another incarnation has the target's address.
	Replaced Evidence = "replaced"
	// Silent: neither answers nor new connections come from the target, while other
	// targets of its zone answer. It may only be cut off.
	Silent Evidence = "silent"
)

// Crash is the end of a target while it ran a request.
type Crash struct {
	Traits   Traits
	Target   Incarnation
	At       time.Time
	Evidence Evidence
	// Request, Pool and TargetID are for events.
	Request, Pool, TargetID string
	// Ran is the time from sending the request until it failed.
	Ran time.Duration
}

var (
	eventTargetChecked = timeline.Define(timeline.Kind{
		Number: 1111, Name: "target checked", Level: timeline.Info,
		Meaning: "Requests on the target failed or stayed without an answer, so a new connection was opened to see whether it still runs: reachable, connection refused or silent. The facts are the number of these requests and the time since its last answer.",
	})
	eventSuspected = timeline.Define(timeline.Kind{
		Number: 1112, Name: "request suspected", Level: timeline.Info,
		Meaning: "The target ended while it ran the request, which may have crashed it. The detail is the evidence that the target ended; content is the same for all requests of the same workspace, path and body, and each of shared for all that share a path or a part of their prompts.",
	})
)

// Attempts tracks the requests that this host has sent to targets, to find out which
// of them ran on a target when it ended. Its fields are set before use.
type Attempts struct {
	// Check opens a connection to a target within CheckTimeout, and closes it.
	Check        func(ctx context.Context, target *balance.Target) error
	CheckTimeout time.Duration
	Events       *timeline.Recorder
	// OnCrash is called for each request that a target ran when it ended, and again
	// when better evidence is found. OnAnswer is called when a target answers. Both
	// may be nil; they must not call Attempts.
	OnCrash  func(Crash)
	OnAnswer func(target Incarnation)

	mutex   sync.Mutex
	targets map[Incarnation]*trackedTarget
}

// trackedTarget is an incarnation of a target with the attempts that have no answer.
type trackedTarget struct {
	balance.Target
	incarnation Incarnation
	// running are the attempts that have not ended, unanswered those that failed.
	running    map[*Attempt]struct{}
	unanswered []*Attempt
	// lastAnswer is when the target last answered, nil for never. isInDoubt is set
	// while its next answer decides on attempts without an answer or on evidence.
	lastAnswer atomic.Pointer[time.Time]
	isInDoubt  atomic.Bool
	// removedAt is when the target's entry vanished, zero if it did not.
	removedAt time.Time
	// isLeaving is set once the target has announced that it shuts down.
	isLeaving bool
	// endedBy is the evidence that the target ended, empty while there is none;
	// endedAt is when it was found.
	endedBy Evidence
	endedAt time.Time
	// check is closed at the end of the check that is in progress, nil if there is
	// none; checkedAt is when the last one began.
	check     chan struct{}
	checkedAt time.Time
}

// Attempt is a request that was sent to a target. It must be ended by Answered,
// Failed, Abandoned or Misdirected.
type Attempt struct {
	attempts  *Attempts
	target    *trackedTarget
	request   string
	traits    func() Traits
	startedAt time.Time
	failedAt  time.Time
	// reported is the evidence with which OnCrash was called, empty if it was not.
	reported Evidence
	// outlived is set once the target has accepted a connection after the attempt
	// failed. Only its replacement is then evidence that it had ended.
	outlived bool
}

// Begin starts tracking a request that is about to be sent to a target. Traits is
// called only if the attempt fails; it must be safe for concurrent use.
func (attempts *Attempts) Begin(target *balance.Target, request string, traits func() Traits) *Attempt {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	incarnation := IncarnationOf(target)
	tracked := attempts.targets[incarnation]
	if tracked == nil {
		tracked = &trackedTarget{Target: *target, incarnation: incarnation, running: map[*Attempt]struct{}{}}
		if attempts.targets == nil {
			attempts.targets = map[Incarnation]*trackedTarget{}
		}
		attempts.targets[incarnation] = tracked
	}
	attempt := &Attempt{attempts: attempts, target: tracked, request: request, traits: traits, startedAt: time.Now()}
	tracked.running[attempt] = struct{}{}
	return attempt
}

// Heard records that the target sent a part of an answer.
func (attempt *Attempt) Heard() {
	attempts, target := attempt.attempts, attempt.target
	now := time.Now()
	target.lastAnswer.Store(&now)
	if target.isInDoubt.Load() {
		attempts.mutex.Lock()
		target.resolveDoubt(now)
		attempts.mutex.Unlock()
	}
	if attempts.OnAnswer != nil {
		attempts.OnAnswer(target.incarnation)
	}
}

// resolveDoubt drops the attempts that failed before an answer of the target: it did
// not end with them.
func (target *trackedTarget) resolveDoubt(now time.Time) {
	target.unanswered = slices.DeleteFunc(target.unanswered, func(attempt *Attempt) bool {
		return attempt.reported != Refused && now.Sub(attempt.failedAt) > answerDelay
	})
	if target.endedBy == Silent || target.endedBy == Refused && now.Sub(target.endedAt) > answerDelay {
		// The target runs, or runs again under its id: the next failure is checked anew.
		target.endedBy = ""
	}
	target.isInDoubt.Store(len(target.unanswered) > 0 || target.endedBy == Refused)
}

// Answered ends an attempt that got a complete answer, or that the target did not
// run.
func (attempt *Attempt) Answered() {
	attempt.attempts.mutex.Lock()
	defer attempt.attempts.mutex.Unlock()
	delete(attempt.target.running, attempt)
}

// Failed ends an attempt that got no complete answer, and checks whether the target
// has ended. The returned channel is closed when the check is done.
func (attempt *Attempt) Failed() <-chan struct{} {
	attempts, target := attempt.attempts, attempt.target
	attempts.mutex.Lock()
	attempt.end()
	if target.endedBy == "" {
		defer attempts.mutex.Unlock()
		return attempts.startCheck(target)
	}
	crashes := target.crashes(target.endedBy, time.Now())
	attempts.mutex.Unlock()
	attempts.report(crashes)
	done := make(chan struct{})
	close(done)
	return done
}

// Abandoned ends an attempt whose caller left or that timed out. Its target is
// checked only if it stays silent.
func (attempt *Attempt) Abandoned() {
	attempts, target := attempt.attempts, attempt.target
	attempts.mutex.Lock()
	var crashes []Crash
	switch {
	case target.answeredAfter(attempt.startedAt):
		delete(target.running, attempt)
	case target.endedBy != "":
		attempt.end()
		crashes = target.crashes(target.endedBy, time.Now())
	default:
		attempt.end()
	}
	attempts.mutex.Unlock()
	attempts.report(crashes)
}

// Misdirected ends an attempt that another incarnation at the target's address has
// refused.
func (attempt *Attempt) Misdirected() {
	attempts, target := attempt.attempts, attempt.target
	attempts.mutex.Lock()
	delete(target.running, attempt)
	var crashes []Crash
	if !target.isLeaving && !target.servedAfterRemoval() {
		target.endedBy = Replaced
		crashes = target.crashes(Replaced, time.Now())
	}
	attempts.mutex.Unlock()
	attempts.report(crashes)
}

// end moves an attempt from the running ones to those without an answer.
func (attempt *Attempt) end() {
	target := attempt.target
	if _, ok := target.running[attempt]; !ok {
		return
	}
	delete(target.running, attempt)
	attempt.failedAt = time.Now()
	// The function would keep the request's body in memory, and the id may be long.
	traits := attempt.traits()
	attempt.traits = func() Traits { return traits }
	attempt.request = timeline.ShortID(attempt.request)
	target.unanswered = append(target.unanswered, attempt)
	target.isInDoubt.Store(true)
	if excess := len(target.unanswered) - maxUnanswered; excess > 0 {
		target.unanswered = slices.Delete(target.unanswered, 0, excess)
	}
}

// startCheck checks in the background whether a target still runs, unless that is
// already in progress. The returned channel is closed at the end.
func (attempts *Attempts) startCheck(target *trackedTarget) <-chan struct{} {
	if target.check == nil {
		target.check = make(chan struct{})
		target.checkedAt = time.Now()
		go attempts.checkTarget(target)
	}
	return target.check
}

func (attempts *Attempts) checkTarget(target *trackedTarget) {
	ctx, cancel := context.WithTimeout(context.Background(), attempts.CheckTimeout)
	defer cancel()
	checked := target.Target
	err := attempts.Check(ctx, &checked)
	attempts.mutex.Lock()
	now := time.Now()
	result, evidence := attempts.judge(target, err)
	attempts.Events.Record(eventTargetChecked, timeline.Event{
		Pool: target.Pool, Target: target.ID, Detail: result,
		Facts: []timeline.Fact{
			timeline.Count("running", len(target.running)),
			timeline.Count("unanswered", len(target.unanswered)),
			timeline.Duration("lastAnswer", target.timeSinceAnswer(now)),
		},
	})
	var crashes []Crash
	if evidence != "" {
		target.endedBy, target.endedAt = evidence, now
		target.isInDoubt.Store(true)
		crashes = target.crashes(evidence, now)
	}
	if err == nil {
		target.recordReachable()
	}
	done := target.check
	target.check = nil
	attempts.mutex.Unlock()
	attempts.report(crashes)
	close(done)
}

// recordReachable marks the attempts that failed before the check of a reachable
// target.
func (target *trackedTarget) recordReachable() {
	for _, attempt := range target.unanswered {
		attempt.outlived = attempt.outlived || attempt.failedAt.Before(target.checkedAt)
	}
}

// judge returns the result of a check by the error of its connection, and the
// evidence that the target has ended, empty if there is none.
func (attempts *Attempts) judge(target *trackedTarget, err error) (string, Evidence) {
	var netError net.Error
	switch {
	case err == nil:
		return "reachable", ""
	case target.isLeaving || target.servedAfterRemoval():
		return "leaving: " + err.Error(), ""
	case errors.Is(err, syscall.ECONNREFUSED):
		return string(Refused), Refused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netError) && netError.Timeout():
		if attempts.isZoneReachable(target) {
			return string(Silent), Silent
		}
		return "silent, as is its zone", ""
	default:
		return err.Error(), ""
	}
}

// servedAfterRemoval reports whether the target still answered after its entry was
// removed, as targets do that shut down without announcing it.
func (target *trackedTarget) servedAfterRemoval() bool {
	return !target.removedAt.IsZero() && target.answeredAfter(target.removedAt)
}

// isZoneReachable reports whether another target of the same zone has answered within
// silenceTimeout and after the last answer of this one.
func (attempts *Attempts) isZoneReachable(target *trackedTarget) bool {
	earliest := time.Now().Add(-silenceTimeout)
	for _, other := range attempts.targets {
		if other != target && other.Zone == target.Zone && other.answeredAfter(earliest) &&
			other.answeredAfter(target.lastAnswerAt()) {
			return true
		}
	}
	return false
}

// crashes returns the crashes to report for the attempts without an answer. If the
// evidence is that the target is silent, these include running attempts.
func (target *trackedTarget) crashes(evidence Evidence, now time.Time) []Crash {
	var crashes []Crash
	report := func(attempt *Attempt, at time.Time) {
		if attempt.reported == evidence || evidence == Silent && attempt.reported != "" || evidence != Replaced && attempt.outlived {
			return
		}
		attempt.reported = evidence
		crashes = append(crashes, Crash{
			Traits: attempt.traits(), Target: target.incarnation, At: at, Evidence: evidence,
			Request: attempt.request, Pool: target.Pool, TargetID: target.ID, Ran: at.Sub(attempt.startedAt),
		})
	}
	for _, attempt := range target.unanswered {
		report(attempt, attempt.failedAt)
	}
	if evidence == Refused {
		// Running attempts are reported when they fail: a target that shuts down may
		// refuse connections and still answer them.
		return crashes
	}
	for attempt := range target.running {
		if now.Sub(attempt.startedAt) >= silenceTimeout {
			report(attempt, now)
		}
	}
	return crashes
}

// report records and passes on crashes. The caller must not hold the mutex.
func (attempts *Attempts) report(crashes []Crash) {
	for _, crash := range crashes {
		attempts.Events.Record(eventSuspected, timeline.Event{
			Request: crash.Request, Pool: crash.Pool, Target: crash.TargetID, Detail: string(crash.Evidence),
			Facts: []timeline.Fact{
				{Key: "content", Value: crash.Traits.Content.String()},
				{Key: "shared", Value: joinTraits(crash.Traits.Shared)},
				timeline.Duration("ran", crash.Ran),
			},
		})
		if attempts.OnCrash != nil {
			attempts.OnCrash(crash)
		}
	}
}

// SetTargets compares the tracked targets with the current ones: targets may have
// announced that they leave, been removed or been replaced.
func (attempts *Attempts) SetTargets(targets []balance.Target) {
	current := map[Incarnation]*balance.Target{}
	byAddress := map[string]*balance.Target{}
	for i := range targets {
		current[IncarnationOf(&targets[i])] = &targets[i]
		byAddress[targets[i].Address] = &targets[i]
	}
	now := time.Now()
	var crashes []Crash
	attempts.mutex.Lock()
	for incarnation, tracked := range attempts.targets {
		if target := current[incarnation]; target != nil {
			tracked.isLeaving = tracked.isLeaving || target.Leaving
			tracked.removedAt = time.Time{}
			continue
		}
		if tracked.removedAt.IsZero() {
			tracked.removedAt = now
		}
		if byAddress[tracked.Address] != nil && !tracked.isLeaving && !tracked.servedAfterRemoval() {
			tracked.endedBy = Replaced
			crashes = append(crashes, tracked.crashes(Replaced, now)...)
		}
	}
	attempts.mutex.Unlock()
	attempts.report(crashes)
}

// Run checks silent targets until the context ends. It returns nil.
func (attempts *Attempts) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			attempts.checkSilent(time.Now())
		}
	}
}

// checkSilent starts checks of the targets that are silent, and forgets attempts and
// targets that are no longer needed.
func (attempts *Attempts) checkSilent(now time.Time) {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	for incarnation, target := range attempts.targets {
		target.unanswered = slices.DeleteFunc(target.unanswered, func(attempt *Attempt) bool {
			return now.Sub(attempt.failedAt) > unansweredLifetime
		})
		if len(target.unanswered) == 0 && len(target.running) == 0 && target.timeSinceAnswer(now) > unansweredLifetime {
			delete(attempts.targets, incarnation)
			continue
		}
		if target.isSilent(now) && now.Sub(target.checkedAt) >= recheckInterval {
			attempts.startCheck(target)
		}
	}
}

// isSilent reports whether the target has not answered for silenceTimeout although an
// attempt has waited for that long, or was given up.
func (target *trackedTarget) isSilent(now time.Time) bool {
	if target.endedBy != "" || target.timeSinceAnswer(now) < silenceTimeout {
		return false
	}
	for _, attempt := range target.unanswered {
		if attempt.reported == "" && !attempt.outlived {
			return true
		}
	}
	for attempt := range target.running {
		if now.Sub(attempt.startedAt) >= silenceTimeout {
			return true
		}
	}
	return false
}

// lastAnswerAt returns when the target last answered, zero for never.
func (target *trackedTarget) lastAnswerAt() time.Time {
	if lastAnswer := target.lastAnswer.Load(); lastAnswer != nil {
		return *lastAnswer
	}
	return time.Time{}
}

func (target *trackedTarget) answeredAfter(at time.Time) bool { return target.lastAnswerAt().After(at) }

// timeSinceAnswer returns the time since the target's last answer, or a very long
// time if there was none.
func (target *trackedTarget) timeSinceAnswer(now time.Time) time.Duration {
	return now.Sub(target.lastAnswerAt())
}

// LastAnswer returns when a target last answered this host, zero for never.
func (attempts *Attempts) LastAnswer(target Incarnation) time.Time {
	attempts.mutex.Lock()
	defer attempts.mutex.Unlock()
	if tracked := attempts.targets[target]; tracked != nil {
		return tracked.lastAnswerAt()
	}
	return time.Time{}
}
