package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

const (
	// mostSends bounds the targets that one request is sent to, also those
	// that refused it.
	mostSends = 4
	// mostDials bounds the targets that are tried and can't be reached.
	mostDials = 6
	// wholeBytes is the longest answer that is read to its end before any of
	// it is passed on.
	wholeBytes = 1 << 20
)

var (
	eventSent = timeline.Define(timeline.Kind{
		Number: 1103, Name: "request sent", Level: timeline.Info, Frequent: true,
		Meaning: "A request is about to be sent to a target; the facts are how long it waited here, what the target was expected to take, and how many requests this host and the others had there.",
	})
	eventAnswered = timeline.Define(timeline.Kind{
		Number: 1108, Name: "request answered", Level: timeline.Info, Frequent: true,
		Meaning: "A target's answer was passed on whole; the facts are its status, the time to its first event and to its end, both from the arrival.",
	})
	eventAttemptFailed = timeline.Define(timeline.Kind{
		Number: 1104, Name: "attempt failed", Level: timeline.Info,
		Meaning: "A target did not answer a request as it should; the detail says how, and whether it is tried elsewhere.",
	})
)

// verdict is what an attempt came to.
type verdict int

const (
	// done: the caller has its answer.
	done verdict = iota
	// notRun: the target did not run the request.
	notRun
	// unreachable: the target read nothing.
	unreachable
	// failed: the target may have run the request and gave no whole answer.
	failed
	// failedWhole: the target ran it and answered with a failure.
	failedWhole
)

// String returns the name in metrics.
func (verdict verdict) String() string {
	return [...]string{"done", "notRun", "unreachable", "failed", "failedWhole"}[verdict]
}

// attempts sends the request to targets until one answers, none is left, or
// no repeat is allowed.
func (forwarding *forwarding) attempts(ctx context.Context) {
	dials, runs := 0, 0
	for {
		grant, err := forwarding.take(ctx)
		if err != nil {
			forwarding.giveUp(ctx, err.Error())
			return
		}
		forwarding.tried = append(forwarding.tried, grant.Target.ID)
		verdict, reason := forwarding.attempt(ctx, grant, runs)
		if verdict == done {
			return
		}
		switch verdict {
		case unreachable:
			dials++
		case failed, failedWhole:
			runs++
		}
		again := ctx.Err() == nil && dials < mostDials && forwarding.sent < mostSends && forwarding.repeatable(verdict, runs)
		countFailure(grant.Target.Pool, grant.Target.ID, verdict)
		forwarding.tellFailed(grant, forwarding.ended(ctx, reason), again)
		if !again {
			forwarding.giveUp(ctx, reason)
			return
		}
	}
}

// ended is why an attempt ended: the caller's leaving and the end of the
// request's time show as errors of the target's connection.
func (forwarding *forwarding) ended(ctx context.Context, reason string) string {
	switch {
	case forwarding.received.Context().Err() != nil:
		return "the caller left"
	case ctx.Err() != nil:
		return "the time of the request is over: " + reason
	default:
		return reason
	}
}

func (forwarding *forwarding) tellFailed(grant *balance.Grant, reason string, again bool) {
	if again {
		reason += "; trying again"
	}
	forwarding.gateway.Events.Record(eventAttemptFailed, timeline.Event{
		Request: forwarding.call.ID,
		Pool:    grant.Target.Pool,
		Target:  grant.Target.ID,
		Detail:  reason,
	})
}

// repeatable reports whether the request may be sent to another target.
func (forwarding *forwarding) repeatable(verdict verdict, runs int) bool {
	switch verdict {
	case unreachable:
		return true
	case notRun:
		return forwarding.gateway.Budget.AllowRetry(forwarding.pool.Name)
	default:
		return forwarding.route.Retryable() && runs < forwarding.route.Attempts &&
			(forwarding.reserved.Swap(false) || forwarding.gateway.Budget.AllowRetry(forwarding.pool.Name))
	}
}

// take waits for a target.
func (forwarding *forwarding) take(ctx context.Context) (*balance.Grant, error) {
	ticket := &balance.Ticket{
		Pool:         forwarding.pool.Name,
		Tier:         forwarding.tier(),
		PromptTokens: forwarding.call.PromptTokens,
		Deadline:     forwarding.deadline,
		Exclude:      forwarding.tried,
	}
	if forwarding.route.Objective > 0 && !forwarding.begun {
		ticket.Due = forwarding.arrived.Add(forwarding.route.Objective)
	}
	if engine := forwarding.pool.Engine; engine != nil && engine.EventTokens > 0 {
		ticket.ExpectedEvents = forwarding.call.ExpectedTokens / engine.EventTokens
	}
	return forwarding.gateway.Balancer.Acquire(ctx, ticket)
}

// attempt sends the request to one target and passes on its answer. Runs is
// how many targets may have run it before.
func (forwarding *forwarding) attempt(ctx context.Context, grant *balance.Grant, runs int) (verdict, string) {
	defer grant.Cancel()
	sending, silence := forwarding.watchSilence(ctx, grant, runs)
	defer silence.cancel(nil)
	defer silence.end()
	gateway := forwarding.gateway
	header := passedOn(forwarding.received.Header)
	last := forwarding.call.LastEvent
	if forwarding.lastEvent != "" {
		last = forwarding.lastEvent
	}
	gateway.Protocol.Forward(header, Forward{
		Target:    grant.Target.ID,
		Workspace: forwarding.forwardedFor(),
		Wait:      time.Until(forwarding.deadline),
		LastEvent: last,
	})
	forwarding.tellSent(grant)
	answer, err := gateway.Connections.Exchange(sending, grant.Target.Address, &upstream.Request{
		Method: forwarding.received.Method,
		Target: forwarding.path(),
		Host:   forwarding.received.Host,
		Header: header,
		Body:   forwarding.body,
		ID:     forwarding.call.ID,
		Fresh:  !forwarding.route.Retryable(),
	})
	if upstream.Is(err, upstream.NotSent) {
		forwarding.endFailed(ctx, grant, balance.Unreachable)
		return unreachable, err.Error()
	}
	forwarding.sent++
	if err != nil {
		forwarding.mayHaveRun = true
		forwarding.endFailed(ctx, grant, balance.Failed)
		return failed, silence.explain(err)
	}
	defer func() { _ = answer.Body.Close() }()
	return forwarding.pass(ctx, grant, answer, silence)
}

func (forwarding *forwarding) tellSent(grant *balance.Grant) {
	waited := time.Since(forwarding.arrived)
	countAttempt(grant.Target.Pool, forwarding.sent > 0, waited)
	forwarding.gateway.Events.Record(eventSent, timeline.Event{
		Request: forwarding.call.ID,
		Pool:    grant.Target.Pool,
		Target:  grant.Target.ID,
		Facts: []timeline.Fact{
			timeline.Count("rank", forwarding.rank),
			{Key: "returned", Value: strconv.FormatBool(forwarding.returned)},
			{Key: "workspace", Value: forwarding.forwardedFor()},
			timeline.Count("units", int64(forwarding.units)),
			timeline.Count("attempt", forwarding.sent+1),
			timeline.Count("promptTokens", forwarding.call.PromptTokens),
			timeline.Took("waited", waited),
			timeline.Took("expected", grant.Estimate),
			timeline.Count("work", grant.PrefillTokens),
			timeline.Count("open", grant.InFlight),
			timeline.Count("othersOpen", grant.OthersInFlight),
			timeline.Took("reportAge", grant.ReportAge),
			timeline.Count("routes", forwarding.version),
		},
	})
}

func (forwarding *forwarding) tellAnswered(grant *balance.Grant, status int) {
	took := time.Since(forwarding.arrived)
	countAnswer(grant.Target.Pool, grant.Target.ID, status, forwarding.first, took)
	forwarding.gateway.Events.Record(eventAnswered, timeline.Event{
		Request: forwarding.call.ID,
		Pool:    grant.Target.Pool,
		Target:  grant.Target.ID,
		Facts: []timeline.Fact{
			timeline.Count("status", status),
			timeline.Took("first", forwarding.first),
			timeline.Took("took", took),
			timeline.Count("events", forwarding.events),
			timeline.Count("expectedTokens", forwarding.call.ExpectedTokens),
		},
	})
}

// forwardedFor is the name of the workspace, empty for none.
func (forwarding *forwarding) forwardedFor() string {
	if forwarding.workspace == nil {
		return ""
	}
	return forwarding.workspace.Name
}

// endFailed ends a grant, without blame if the time was over or the caller
// left.
func (forwarding *forwarding) endFailed(ctx context.Context, grant *balance.Grant, outcome balance.Outcome) {
	if ctx.Err() != nil {
		outcome = balance.Cancelled
	}
	grant.End(outcome)
}

// pass passes a target's answer on.
func (forwarding *forwarding) pass(ctx context.Context, grant *balance.Grant, answer *upstream.Answer, silence *silence) (verdict, string) {
	reply := forwarding.gateway.Protocol.Reply(answer.Status, answer.Header)
	if reply.NotRun {
		// The connection serves on if this is read to its end.
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, wholeBytes))
		outcome := balance.Full
		if reply.Misdirected {
			outcome = balance.Replaced
			forwarding.gateway.Connections.Forget(grant.Target.Address)
		}
		grant.End(outcome)
		return notRun, "the target did not run it: " + http.StatusText(answer.Status)
	}
	forwarding.mayHaveRun = true
	if forwarding.route.Streaming && answer.Status == http.StatusOK {
		return forwarding.passStream(ctx, grant, answer, reply, silence)
	}
	silence.end()
	return forwarding.passWhole(ctx, grant, answer, reply)
}

// passWhole reads an answer to its end and passes it on.
func (forwarding *forwarding) passWhole(ctx context.Context, grant *balance.Grant, answer *upstream.Answer, reply Reply) (verdict, string) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeBytes+1))
	switch {
	case err != nil:
		forwarding.endFailed(ctx, grant, balance.Failed)
		return failed, "the answer broke off: " + err.Error()
	case len(body) > wholeBytes:
		grant.End(balance.Failed)
		return failed, "the answer is too long"
	case answer.Status < http.StatusMultipleChoices && !reply.Sealed:
		grant.End(balance.Failed)
		return failed, "the answer bears no signature"
	}
	grant.RecordFirstEvent()
	read := &whole{status: answer.Status, header: passedOn(answer.Header), body: body}
	if answer.Status >= http.StatusInternalServerError {
		grant.End(balance.Failed)
		forwarding.fallback = read
		return failedWhole, "the target answered " + http.StatusText(answer.Status)
	}
	grant.End(balance.Served)
	forwarding.writeWhole(read)
	forwarding.first = time.Since(forwarding.arrived)
	forwarding.tellAnswered(grant, answer.Status)
	return done, ""
}

// passStream passes the events of a stream on as they come, whole ones only.
func (forwarding *forwarding) passStream(ctx context.Context, grant *balance.Grant, answer *upstream.Answer, reply Reply, silence *silence) (verdict, string) {
	if !reply.Sealed {
		grant.End(balance.Failed)
		return failed, "the answer bears no signature"
	}
	events := eventReader{reader: bufio.NewReader(answer.Body)}
	count := 0
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			grant.RecordFirstEvent()
			grant.RecordStreamEnd(count)
			grant.End(balance.Served)
			forwarding.begin(answer)
			forwarding.events = count
			forwarding.tellAnswered(grant, answer.Status)
			return done, ""
		}
		if err != nil {
			forwarding.endFailed(ctx, grant, balance.Failed)
			return failed, "the stream broke off: " + silence.explain(err)
		}
		silence.heard()
		count++
		if count == 1 {
			grant.RecordFirstEvent()
			if !forwarding.begun {
				forwarding.first = time.Since(forwarding.arrived)
			}
		}
		if !follows(id, forwarding.lastEvent) {
			grant.End(balance.Failed)
			return failed, "the stream repeats an event"
		}
		forwarding.begin(answer)
		if id != "" {
			forwarding.lastEvent = id
		}
		if _, err := forwarding.writer.Write(event); err != nil {
			grant.Cancel()
			panic(http.ErrAbortHandler)
		}
		if err := http.NewResponseController(forwarding.writer).Flush(); err != nil {
			grant.Cancel()
			panic(http.ErrAbortHandler)
		}
	}
}

// begin writes the header of a stream's answer, that of its first target.
func (forwarding *forwarding) begin(answer *upstream.Answer) {
	if forwarding.begun {
		return
	}
	forwarding.begun = true
	header := forwarding.writer.Header()
	maps.Copy(header, passedOn(answer.Header))
	if strings.EqualFold(forwarding.received.Method, http.MethodHead) {
		header.Del("Content-Type")
	}
	forwarding.writer.WriteHeader(answer.Status)
}
