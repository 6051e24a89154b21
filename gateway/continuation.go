package gateway

import (
	"cmp"
	"fmt"
	"mime"
	"net/http"
	"strings"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

// maxNamed limits what an event of the log names of a target's answer.
const maxNamed = 64

var eventNotContinued = timeline.Define(timeline.Kind{
	Number: 1140, Name: "stream not continued", Level: timeline.Info,
	Meaning: "The caller has a part of a stream, and what the target answered that was asked for the rest does not continue it. That is not passed on, and the attempt has failed. The detail is what is wrong with the answer; the facts are its status and the event after which the stream goes on.",
})

// Reasons why an answer does not continue a stream, which are also label values of a metric.
const (
	faultStatus   = "status"
	faultSeal     = "signature"
	faultType     = "type"
	faultEncoding = "encoding"
	faultNoEvent  = "noEvent"
)

// continuationFault says what keeps an answer from continuing a stream. The zero value
// stands for nothing.
type continuationFault struct{ kind, text string }

// headFault returns why an answer can't be a part of the stream that the caller has the head
// of, by its status and header.
func (forwarding *forwarding) headFault(answer *upstream.Answer, reply Reply) continuationFault {
	if !forwarding.headerWritten {
		return continuationFault{}
	}
	contentType := answer.Header.Get("Content-Type")
	mediaType, headType := mediaType(contentType), mediaType(forwarding.headType)
	encoding := strings.Join(answer.Header.Values("Content-Encoding"), ", ")
	switch {
	case answer.Status != http.StatusOK:
		return continuationFault{faultStatus, fmt.Sprintf("status %d %s", answer.Status, http.StatusText(answer.Status))}
	case !reply.Sealed:
		return continuationFault{faultSeal, "no signature"}
	case mediaType != headType:
		return continuationFault{faultType, fmt.Sprintf("content type %.*q", maxNamed, contentType)}
	case encoding != "" && !strings.EqualFold(encoding, "identity"):
		return continuationFault{faultEncoding, fmt.Sprintf("content encoding %.*q", maxNamed, encoding)}
	default:
		return continuationFault{}
	}
}

// mediaType returns a content type without its parameters, in lower case.
func mediaType(contentType string) string {
	// A type without readable parameters is returned with an error, one that can't be read at
	// all is empty.
	mediaType, _, _ := mime.ParseMediaType(contentType)
	return cmp.Or(mediaType, contentType)
}

// refuseContinuation ends the attempt at a target whose answer does not continue the stream.
func (forwarding *forwarding) refuseContinuation(grant *balance.Grant, answer *upstream.Answer, fault continuationFault) string {
	outcome := balance.Failed
	if answer.Status >= http.StatusMultipleChoices && answer.Status < http.StatusInternalServerError {
		// The target works, but does not have this stream.
		outcome = balance.Served
	}
	grant.End(outcome)
	countRefusedContinuation(grant.Target.Pool, grant.Target.ID, fault.kind)
	forwarding.gateway.Events.Record(eventNotContinued, timeline.Event{
		Request: forwarding.call.ID,
		Pool:    grant.Target.Pool,
		Target:  grant.Target.ID,
		Detail:  fault.text,
		Facts: []timeline.Fact{
			timeline.Count("status", answer.Status),
			{Key: "after", Value: forwarding.resumedAfter()},
		},
	})
	return "the answer does not continue the stream: " + fault.text
}
