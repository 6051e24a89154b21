package gateway

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/detour"
	"nutmegfield.example/quarantine"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

const (
	// maxSends limits the targets that one request is sent to, including those
	// that did not run it.
	maxSends = 4
	// maxUnreachable limits the unreachable targets that one request tries.
	maxUnreachable = 6
	// maxCheckWait limits the wait for the check of a target before a request is
	// sent on. It is a few round trips between zones.
	maxCheckWait = 50 * time.Millisecond
	// maxSendDelay is the time from a grant until the request is written. After a longer
	// one, such as a pause of this host, the time left and the target's state are others.
	maxSendDelay = 450 * time.Millisecond
)

var (
	eventSent = timeline.Define(timeline.Kind{
		Number: 1103, Name: "request sent", Level: timeline.Info, Frequent: true,
		Meaning: "A request is about to be sent to a target; the facts are how long it waited here, how long the target was expected to take, the time between its events as far as it is known, how many requests this host and the others had in flight there, the version of the target's software, and, for a stream that goes on, the event after which it does and the caller's attempt that began it; chosen is why the request goes to that version, while the pool has a rollout.",
	})
	eventAnswered = timeline.Define(timeline.Kind{
		Number: 1108, Name: "request answered", Level: timeline.Info, Frequent: true,
		Meaning: "A target's answer was passed on completely; the facts are its status and the times from the request's arrival to its first event and to its end.",
	})
	eventAttemptFailed = timeline.Define(timeline.Kind{
		Number: 1104, Name: "attempt failed", Level: timeline.Info,
		Meaning: "An attempt at a target brought no usable answer; the detail holds the reason and whether the request is tried again or the retry budget is used up, with the retries that count and those allowed on this host; content is the same for all requests of the same workspace, path and body, and parts are the ids of the parts of the prompt.",
	})
)

// verdict is the result of an attempt.
type verdict int

const (
	// done: the answer was passed on to the caller.
	done verdict = iota
	// notRun: the target did not run the request.
	notRun
	// unreachable: the target read none of the request.
	unreachable
	// declined: this host reaches no target, and no other host sent the request for it.
	declined
	// failed: the target may have run the request but gave no complete answer.
	failed
	// failedWhole: the target may have run the request, and answered with a server error, a
	// status that would tell the caller that it did not run, or something else than the rest
	// of a stream that had begun.
	failedWhole
)

// String returns the label value for metrics.
func (verdict verdict) String() string {
	return [...]string{"done", "notRun", "unreachable", "declined", "failed", "failedWhole"}[verdict]
}

// attemptTargets sends the request to one target after another until one answers
// or no retry is allowed.
func (forwarding *forwarding) attemptTargets(ctx context.Context) {
	unreachableCount, runs := 0, 0
	for {
		if !forwarding.mayGoOn() {
			forwarding.answerUnserved(ctx, reasonNoVersion)
			return
		}
		grant, err := forwarding.acquireTarget(ctx)
		if err != nil && forwarding.hasGivenWay() {
			forwarding.refuseGaveWay()
			return
		}
		if err != nil {
			forwarding.answerUnserved(ctx, err.Error())
			return
		}
		if suspect := forwarding.quarantinedSuspect(); suspect != nil {
			grant.Cancel()
			forwarding.refuseSuspect(suspect)
			return
		}
		if !forwarding.endsInTime() {
			grant.Cancel()
			forwarding.refuseDraining(ctx)
			return
		}
		if !forwarding.beginRun() {
			grant.Cancel()
			if forwarding.hasGivenWay() {
				forwarding.refuseGaveWay()
			} else {
				// It may have run at an earlier target.
				forwarding.answerUnserved(ctx, reasonGaveWay)
			}
			return
		}
		forwarding.triedTargets = append(forwarding.triedTargets, grant.Target.ID)
		verdict, reason := forwarding.attempt(ctx, grant, runs)
		forwarding.endCounted(verdict)
		if verdict == done {
			return
		}
		switch verdict {
		case unreachable:
			unreachableCount++
		case failed, failedWhole:
			runs++
		}
		if !forwarding.canContinue() {
			reason += "; no target can go on after events without ids"
		}
		retrying := ctx.Err() == nil && unreachableCount < maxUnreachable && forwarding.sends < maxSends && forwarding.canContinue() && forwarding.mayRetry(verdict, runs)
		countFailedAttempt(grant.Target.Pool, grant.Target.ID, verdict)
		forwarding.recordFailed(grant, forwarding.failureReason(ctx, reason), retrying)
		if !retrying {
			forwarding.answerUnserved(ctx, reason)
			return
		}
	}
}

// failureReason returns why an attempt failed. A caller that left and a request
// that timed out appear as errors of the target's connection.
func (forwarding *forwarding) failureReason(ctx context.Context, reason string) string {
	switch {
	case forwarding.request.Context().Err() != nil:
		return "the caller left"
	case ctx.Err() != nil:
		return "the request timed out: " + reason
	default:
		return reason
	}
}

func (forwarding *forwarding) recordFailed(grant *balance.Grant, reason string, retrying bool) {
	facts := []timeline.Fact{{Key: "content", Value: forwarding.content().String()}}
	if parts := forwarding.call.Prefix; len(parts) > 0 {
		facts = append(facts, timeline.Fact{Key: "parts", Value: joinParts(parts)})
	}
	switch {
	case retrying:
		reason += "; trying again"
	case forwarding.lacksRetry:
		reason += "; the retry budget is used up"
		used, allowed := forwarding.gateway.Budget.Use(grant.Target.Pool)
		facts = append(facts, timeline.Count("retries", used), timeline.Count("retriesAllowed", int(allowed)))
	}
	forwarding.gateway.Events.Record(eventAttemptFailed, timeline.Event{
		Request: forwarding.call.ID,
		Pool:    grant.Target.Pool,
		Target:  grant.Target.ID,
		Detail:  reason,
		Facts:   facts,
	})
}

// mayRetry reports whether the request may be sent to another target. Runs is the
// number of targets that may have run it. A retry is taken from the budget unless the
// target was unreachable.
func (forwarding *forwarding) mayRetry(verdict verdict, runs int) bool {
	switch verdict {
	case unreachable:
		return true
	case declined:
		return false
	case notRun:
	default:
		if !forwarding.route.Retryable() || runs >= forwarding.route.Attempts {
			return false
		}
	}
	forwarding.lacksRetry = !forwarding.reserveRetry()
	return !forwarding.lacksRetry
}

// reserveRetry takes a retry from the budget, unless the request has one that was not used
// yet, and reports whether it has one.
func (forwarding *forwarding) reserveRetry() bool {
	if forwarding.retry.Load() != nil {
		return true
	}
	retry := forwarding.gateway.Budget.Reserve(forwarding.pool.Name)
	if retry == nil {
		budgetRefusals.Inc()
		return false
	}
	if !forwarding.retry.CompareAndSwap(nil, retry) {
		// The silence timer has taken one meanwhile.
		retry.Return()
	}
	if forwarding.hasEnded.Load() {
		retry.Return()
	}
	return true
}

// returnRetry gives back the retry that the request did not use.
func (forwarding *forwarding) returnRetry() {
	forwarding.hasEnded.Store(true)
	forwarding.retry.Load().Return()
}

// maySend reports whether the request may be written to a granted target now. If so, the
// retry that the request needs, if it does, is used.
func (forwarding *forwarding) maySend(target *balance.Target) bool {
	if !forwarding.gateway.Balancer.MaySend(target) || !forwarding.maySendVersion(target) {
		return false
	}
	forwarding.retry.Swap(nil).Send()
	return true
}

// acquireTarget waits until the balancer grants a target that was not tried yet.
func (forwarding *forwarding) acquireTarget(ctx context.Context) (*balance.Grant, error) {
	ticket := &balance.Ticket{
		Pool:         forwarding.pool.Name,
		Tier:         forwarding.queueTier(),
		PromptTokens: forwarding.call.PromptTokens,
		Deadline:     forwarding.deadline,
		Version:      forwarding.version,
		Exclude:      forwarding.triedTargets,
		Due:          forwarding.due(),
	}
	if engine := forwarding.pool.Engine; engine != nil && engine.EventTokens > 0 {
		ticket.ExpectedEvents = forwarding.call.ExpectedTokens / engine.EventTokens
		ticket.EventGap = forwarding.route.EventGap
	}
	forwarding.chooseVersion(ticket)
	return forwarding.gateway.Balancer.Acquire(ctx, ticket)
}

// attempt sends the request to one target and passes on its answer. Runs is the
// number of targets that may already have run the request.
func (forwarding *forwarding) attempt(ctx context.Context, grant *balance.Grant, runs int) (verdict, string) {
	defer grant.Cancel()
	attemptContext, silenceTimer := forwarding.startSilenceTimer(ctx, grant, runs)
	defer silenceTimer.cancel(nil)
	defer silenceTimer.stop()
	gateway := forwarding.gateway
	header := endToEndHeader(forwarding.request.Header)
	gateway.Protocol.WriteForward(header, Forward{
		ID:          forwarding.call.ID,
		Target:      grant.Target.ID,
		Workspace:   forwarding.workspaceName(),
		Timeout:     time.Until(forwarding.deadline),
		LastEventID: forwarding.resumedAfter(),
	})
	forwarding.recordSent(grant)
	sentAt := time.Now()
	attempt := gateway.Attempts.Begin(&grant.Target, forwarding.call.ID, forwarding.traits)
	answer, err := forwarding.exchange(attemptContext, grant, silenceTimer, &upstream.Request{
		Method:  forwarding.request.Method,
		Target:  forwarding.requestTarget(),
		Host:    forwarding.request.Host,
		Header:  header,
		Body:    forwarding.body,
		ID:      forwarding.call.ID,
		Once:    !forwarding.route.Retryable(),
		Verify:  forwarding.verifyStart(&grant.Target),
		MaySend: func() bool { return time.Since(sentAt) <= maxSendDelay && forwarding.maySend(&grant.Target) },

		OnSkipped: func(skipped upstream.Skipped) { forwarding.recordSkipped(&grant.Target, skipped) },
	})
	defer silenceTimer.endPath()
	if upstream.Is(err, detour.Declined) {
		attempt.Answered()
		return declined, err.Error()
	}
	if upstream.Is(err, upstream.Withdrawn) {
		attempt.Answered()
		return unreachable, err.Error()
	}
	if upstream.Is(err, upstream.NotSent) {
		attempt.Answered()
		forwarding.endGrant(ctx, grant, balance.Unreachable)
		return unreachable, err.Error()
	}
	forwarding.sends++
	if err != nil {
		forwarding.mayHaveRun = true
		forwarding.endGrant(ctx, grant, balance.Failed)
		forwarding.endAttempt(ctx, attempt, failed)
		return failed, silenceTimer.failureReason(err)
	}
	defer func() { _ = answer.Body.Close() }()
	silenceTimer.heard()
	reply := gateway.Protocol.ReadReply(answer.Status, answer.Header)
	gateway.observeLimit(&grant.Target, reply, sentAt)
	gateway.observeAnnouncement(&grant.Target, reply)
	if !reply.Misdirected {
		grant.RecordDuration(reply.Load.Duration)
	}
	// The verdict stays done if relay panics because the caller has left.
	verdict := done
	defer func() { forwarding.endAttempt(ctx, attempt, verdict) }()
	answerEnd := gateway.watchEnd(answer, reply, &grant.Target, forwarding.call.ID, sentAt)
	defer answerEnd.end()
	var reason string
	verdict, reason = forwarding.relay(ctx, grant, answer, reply, attempt, answerEnd, silenceTimer)
	return verdict, reason
}

// endAttempt ends the tracking of an attempt by its verdict. After a failure it waits
// for the check of the target, but at most maxCheckWait.
func (forwarding *forwarding) endAttempt(ctx context.Context, attempt *quarantine.Attempt, verdict verdict) {
	switch {
	case verdict != failed:
		attempt.Answered()
	case ctx.Err() != nil || forwarding.request.Context().Err() != nil:
		attempt.Abandoned()
	default:
		timer := time.NewTimer(maxCheckWait)
		defer timer.Stop()
		select {
		case <-attempt.Failed():
		case <-timer.C:
		}
	}
}

// resumedAfter returns the id of the event after which a stream goes on, empty for a new
// stream.
func (forwarding *forwarding) resumedAfter() string {
	return cmp.Or(forwarding.lastEventID, forwarding.call.LastEventID)
}

func (forwarding *forwarding) recordSent(grant *balance.Grant) {
	waited := time.Since(forwarding.arrivedAt)
	countAttempt(grant.Target.Pool, forwarding.sends > 0, waited)
	forwarding.gateway.Events.Record(eventSent, timeline.Event{
		Request: forwarding.call.ID,
		Pool:    grant.Target.Pool,
		Target:  grant.Target.ID,
		Facts: append([]timeline.Fact{
			timeline.Count("rank", forwarding.rank),
			{Key: "returned", Value: strconv.FormatBool(forwarding.isRetry)},
			{Key: "workspace", Value: forwarding.workspaceName()},
			timeline.Count("units", int64(forwarding.quotaUnits)),
			timeline.Count("attempt", forwarding.sends+1),
			{Key: "version", Value: grant.Target.Version},
			{Key: "resumes", Value: forwarding.call.Resumes},
			{Key: "after", Value: forwarding.resumedAfter()},
			timeline.Count("promptTokens", forwarding.call.PromptTokens),
			timeline.Duration("waited", waited),
			timeline.Duration("expected", grant.Estimate),
			timeline.Duration("interval", grant.EventInterval),
			timeline.Count("work", grant.PrefillTokens),
			timeline.Count("open", grant.InFlight),
			timeline.Count("othersOpen", grant.OthersInFlight),
			timeline.Duration("reportAge", grant.ReportAge),
			timeline.Count("routes", forwarding.routesVersion),
		}, append(limitFacts(grant), forwarding.choiceFacts()...)...),
	})
}

func (forwarding *forwarding) recordAnswered(grant *balance.Grant, status int) {
	forwarding.recordServed(status)
	forwarding.conn.Holder().Serve()
	took := time.Since(forwarding.arrivedAt)
	countAnswer(grant.Target.Pool, grant.Target.ID, status, forwarding.timeToFirstEvent, took)
	forwarding.gateway.Events.Record(eventAnswered, timeline.Event{
		Request: forwarding.call.ID,
		Pool:    grant.Target.Pool,
		Target:  grant.Target.ID,
		Facts: []timeline.Fact{
			timeline.Count("status", status),
			timeline.Duration("first", forwarding.timeToFirstEvent),
			timeline.Duration("took", took),
			timeline.Count("events", forwarding.eventCount),
			timeline.Count("expectedTokens", forwarding.call.ExpectedTokens),
		},
	})
}

// workspaceName returns the name of the workspace, empty for none.
func (forwarding *forwarding) workspaceName() string {
	if forwarding.workspace == nil {
		return ""
	}
	return forwarding.workspace.Name
}

// endGrant ends a grant with an outcome. If the request timed out or the caller
// left, the target is not at fault and the outcome is Cancelled.
func (forwarding *forwarding) endGrant(ctx context.Context, grant *balance.Grant, outcome balance.Outcome) {
	if ctx.Err() != nil {
		outcome = balance.Cancelled
	}
	grant.End(outcome)
}

// relay passes a target's answer on to the caller, unless the answer says that the
// target did not run the request.
func (forwarding *forwarding) relay(ctx context.Context, grant *balance.Grant, answer *upstream.Answer, reply Reply, attempt *quarantine.Attempt, answerEnd *answerEnd, silenceTimer *silenceTimer) (verdict, string) {
	if !reply.Misdirected {
		attempt.Heard()
	}
	if reply.NotRun {
		answer.Body.Discard()
		outcome := balance.Full
		if reply.Misdirected {
			outcome = balance.Replaced
			attempt.Misdirected()
			forwarding.gateway.Connections.CloseIdle(grant.Target.Address)
		}
		grant.End(outcome)
		return notRun, "the target did not run the request: " + http.StatusText(answer.Status)
	}
	forwarding.mayHaveRun = true
	if !forwarding.holdHead(answer.Header) {
		forwarding.endGrant(ctx, grant, balance.Failed)
		return failed, errHeadsFull.Error()
	}
	if fault := forwarding.headFault(answer, reply); fault != (continuationFault{}) {
		answer.Body.Discard()
		return failedWhole, forwarding.refuseContinuation(grant, answer, fault)
	}
	if upstream.SaysNotRun(answer.Status) {
		return forwarding.dropUnmarked(grant, answer)
	}
	if forwarding.route.Streaming && answer.Status == http.StatusOK {
		return forwarding.relayStream(ctx, grant, answer, reply, attempt, answerEnd, silenceTimer)
	}
	silenceTimer.reset()
	return forwarding.relayBuffered(ctx, grant, answer, reply, answerEnd, silenceTimer)
}

// relayBuffered reads an answer to its end before it passes it on.
func (forwarding *forwarding) relayBuffered(ctx context.Context, grant *balance.Grant, answer *upstream.Answer, reply Reply, answerEnd *answerEnd, silenceTimer *silenceTimer) (verdict, string) {
	if answer.Status < http.StatusMultipleChoices && !reply.Sealed {
		grant.End(balance.Failed)
		return failed, "the answer has no signature"
	}
	bufferedAnswer := &bufferedAnswer{
		status: answer.Status, header: endToEndHeader(answer.Header), body: buffer{room: &forwarding.gateway.bufferRoom},
	}
	if err := bufferedAnswer.body.readAll(answer.Body); err != nil {
		bufferedAnswer.body.release()
		forwarding.endGrant(ctx, grant, balance.Failed)
		return failed, "the answer broke off: " + silenceTimer.failureReason(err)
	}
	silenceTimer.stop()
	if !answerEnd.isWhole(ctx) {
		bufferedAnswer.body.release()
		forwarding.endGrant(ctx, grant, balance.Failed)
		return failed, reasonEnded
	}
	grant.RecordFirstEvent()
	if answer.Status >= http.StatusInternalServerError {
		grant.End(balance.Failed)
		forwarding.releaseFallback()
		forwarding.fallback = bufferedAnswer
		return failedWhole, "the target answered " + http.StatusText(answer.Status)
	}
	defer bufferedAnswer.body.release()
	grant.End(balance.Served)
	forwarding.countWhole(answer.Status)
	forwarding.writeBuffered(bufferedAnswer)
	forwarding.timeToFirstEvent = time.Since(forwarding.arrivedAt)
	forwarding.recordAnswered(grant, answer.Status)
	return done, ""
}

// relayStream passes on each complete event of a stream as it arrives.
func (forwarding *forwarding) relayStream(ctx context.Context, grant *balance.Grant, answer *upstream.Answer, reply Reply, attempt *quarantine.Attempt, answerEnd *answerEnd, silenceTimer *silenceTimer) (verdict, string) {
	if !reply.Sealed {
		grant.End(balance.Failed)
		return failed, "the answer has no signature"
	}
	eventReader := eventReader{
		reader: bufio.NewReader(answer.Body), buffer: buffer{room: &forwarding.gateway.bufferRoom},
		weightsField: forwarding.gateway.Protocol.WeightsField,
	}
	defer eventReader.buffer.release()
	count, continues := 0, forwarding.continues()
	for {
		answerEnd.wait(eventReader.reader.Buffered() == 0)
		event, err := eventReader.next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			silenceTimer.stop()
			if !answerEnd.isWhole(ctx) {
				forwarding.endGrant(ctx, grant, balance.Failed)
				return failed, reasonEnded
			}
			if count == 0 && forwarding.hasPassedEvent {
				return failedWhole, forwarding.refuseContinuation(grant, answer, continuationFault{faultNoEvent, "no event"})
			}
			grant.RecordFirstEvent()
			grant.RecordStreamEnd(count)
			grant.End(balance.Served)
			forwarding.counted.First()
			forwarding.counted.End(count, false)
			forwarding.writeStreamHeader(answer)
			forwarding.eventCount = count
			forwarding.recordAnswered(grant, answer.Status)
			return done, ""
		}
		if err != nil {
			forwarding.endGrant(ctx, grant, balance.Failed)
			return failed, "the stream broke off: " + silenceTimer.failureReason(err)
		}
		if !event.isBlank {
			silenceTimer.reset()
			attempt.Heard()
			answerEnd.heard()
			count++
		}
		if continues {
			if count == 0 {
				// A comment, which does not show that the answer continues the stream.
				continue
			}
			if fault := forwarding.eventFault(event, count == 1 && !event.isBlank); fault != (continuationFault{}) {
				return failed, forwarding.refuseContinuation(grant, answer, fault)
			}
		}
		if !event.isBlank {
			forwarding.counted.First()
			forwarding.counted.Events(count)
		}
		if count == 1 && !event.isBlank {
			grant.RecordFirstEvent()
			if !forwarding.headerWritten {
				forwarding.timeToFirstEvent = time.Since(forwarding.arrivedAt)
			}
		}
		if !isAfter(event.id, forwarding.lastEventID) {
			grant.End(balance.Failed)
			return failed, "the stream repeats an event"
		}
		forwarding.recordVersion(&grant.Target)
		forwarding.writeStreamHeader(answer)
		forwarding.weights = max(forwarding.weights, reply.Weights)
		if forwarding.recordPassed(event); !forwarding.canContinue() {
			silenceTimer.stop()
		}
		if _, err := forwarding.writer.Write(event.bytes); err != nil {
			grant.Cancel()
			panic(http.ErrAbortHandler)
		}
		if err := http.NewResponseController(forwarding.writer).Flush(); err != nil {
			grant.Cancel()
			panic(http.ErrAbortHandler)
		}
	}
}

// writeStreamHeader writes the response header of a stream, once, from the first
// target that delivers an event or the end of a stream.
func (forwarding *forwarding) writeStreamHeader(answer *upstream.Answer) {
	if forwarding.headerWritten {
		return
	}
	forwarding.headerWritten = true
	forwarding.headType = answer.Header.Get("Content-Type")
	header := forwarding.writer.Header()
	maps.Copy(header, endToEndHeader(answer.Header))
	if strings.EqualFold(forwarding.request.Method, http.MethodHead) {
		header.Del("Content-Type")
	}
	forwarding.endConnection()
	forwarding.writer.WriteHeader(answer.Status)
}
