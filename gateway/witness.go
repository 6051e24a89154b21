package gateway

import (
	"context"
	"net/http"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/upstream"
	"nutmegfield.example/witness"
)

// reasonEnded is the reason of failures of answers that may have been cut.
const reasonEnded = "the answer has no length, and nothing shows that its target outlived it"

// NewWitnesses returns the witnesses of a gateway, whose other fields are set.
func (gateway *Gateway) NewWitnesses() *witness.Witnesses {
	return &witness.Witnesses{
		Connections: gateway.Connections, Question: gateway.question, Identify: gateway.Protocol.ReadIdentity, Events: gateway.Events,
	}
}

// question returns how a target is asked who it is, nil if the routes in force have no way.
func (gateway *Gateway) question(target *balance.Target) witness.Question {
	table := gateway.Table()
	if table == nil || gateway.Protocol.ReadIdentity == nil {
		return nil
	}
	pool := table.Pool(target.Pool)
	if pool == nil {
		return nil
	}
	path := pool.HealthPath
	if pool.Engine != nil && gateway.Protocol.ReportPath != "" {
		path = gateway.Protocol.ReportPath
	}
	if path == "" {
		return nil
	}
	targetID, address := target.ID, target.Address
	return func(id string) *upstream.Request {
		header := http.Header{}
		gateway.Protocol.WriteForward(header, Forward{ID: id, Target: targetID})
		return &upstream.Request{Method: http.MethodGet, Target: path, Host: address, Header: header, ID: id}
	}
}

// answerEnd tells whether an answer that has ended is whole.
type answerEnd struct {
	answer *upstream.Answer
	// watch is that of an answer without a length over an own connection, nil for others.
	watch *witness.Watch
	// waitsSince is when the wait for the next part of the answer began, zero if the part may
	// have come before.
	waitsSince time.Time
}

// watchEnd begins to watch for the end of an answer to a request that was sent at a moment.
func (gateway *Gateway) watchEnd(answer *upstream.Answer, reply Reply, target *balance.Target, request string, sentAt time.Time) *answerEnd {
	answerEnd := &answerEnd{answer: answer}
	if answer.Unframed && answer.Confirmed == nil && !reply.NotRun {
		answerEnd.watch = gateway.Witnesses.Begin(target, request, sentAt)
	}
	return answerEnd
}

// wait is called before the next part of the answer is read; isDry means that the caller has
// read all before it.
func (answerEnd *answerEnd) wait(isDry bool) {
	answerEnd.waitsSince = time.Time{}
	if answerEnd.watch != nil && isDry && answerEnd.answer.Body.IsDry() {
		answerEnd.waitsSince = time.Now()
	}
}

// heard records that the part was read.
func (answerEnd *answerEnd) heard() {
	if !answerEnd.waitsSince.IsZero() {
		answerEnd.watch.Heard(answerEnd.waitsSince)
	}
}

// isWhole reports whether the answer that has ended is whole: its end was marked, or its target
// is known to have outlived it.
func (answerEnd *answerEnd) isWhole(ctx context.Context) bool {
	switch {
	case !answerEnd.answer.Unframed:
		return true
	case answerEnd.watch != nil:
		return answerEnd.watch.Confirm(ctx)
	default:
		return answerEnd.answer.Confirmed()
	}
}

// end ends the watch.
func (answerEnd *answerEnd) end() {
	if answerEnd.watch != nil {
		answerEnd.watch.End()
	}
}
