package gateway

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

var eventSkipped = timeline.Define(timeline.Kind{
	Number: 1145, Name: "answer not taken as the request's own", Level: timeline.Info,
	Meaning: "A target's answer was skipped and nothing in it was used, for the reason in the detail: it names no request, or another one, or it may be a copy of an earlier refusal. The facts are its status, whether it says that the request did not run, and the number of requests that the connection had carried before. The request's own answer may still follow.",
	Action:  "if many come from one target, have its software mended: each answer has to name the request that it belongs to",
})

// identify returns a function that reads which request an answer belongs to, by the id that
// targets repeat.
func identify(protocol Protocol) func(status int, header http.Header) upstream.Identity {
	return func(status int, header http.Header) upstream.Identity {
		reply := protocol.ReadReply(status, header)
		return upstream.Identity{ID: reply.ID, NotRun: reply.NotRun}
	}
}

// recordSkipped records an answer of a target that was not taken as the own one of the request
// with an id.
func (gateway *Gateway) recordSkipped(id string, target *balance.Target, skipped upstream.Skipped) {
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_skipped_answers_total{reason=%q}", skipped.Doubt)).Inc()
	gateway.Events.Record(eventSkipped, timeline.Event{
		Request: id, Pool: target.Pool, Target: target.ID, Detail: string(skipped.Doubt),
		Facts: []timeline.Fact{
			timeline.Count("status", skipped.Status),
			{Key: "notRun", Value: strconv.FormatBool(skipped.NotRun)},
			timeline.Count("carried", skipped.Carried),
		},
	})
}

// recordSkipped records an answer that was not taken as the own one of this request.
func (forwarding *forwarding) recordSkipped(target *balance.Target, skipped upstream.Skipped) {
	forwarding.hasSkipped = forwarding.hasSkipped || skipped.Doubt != upstream.NamesAnother
	forwarding.gateway.recordSkipped(forwarding.call.ID, target, skipped)
}

// dropUnmarked ends an attempt at a target whose answer has a status that would tell the caller
// that the request did not run, without the mark that it did not.
func (forwarding *forwarding) dropUnmarked(grant *balance.Grant, answer *upstream.Answer) (verdict, string) {
	answer.Body.Discard()
	outcome := balance.Served
	if answer.Status >= http.StatusInternalServerError {
		outcome = balance.Failed
	}
	grant.End(outcome)
	return failedWhole, fmt.Sprintf("the target answered %s without saying that the request did not run", http.StatusText(answer.Status))
}
