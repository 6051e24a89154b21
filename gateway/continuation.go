package gateway

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

const (
	// streamType is the media type of event streams.
	streamType = "text/event-stream"
	// maxNamed limits what an event of the log names of a target's answer.
	maxNamed = 64
)

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
	faultNoID     = "noID"
	faultOrder    = "order"
	faultWeights  = "weights"
)

// continuationFault says what keeps an answer from continuing a stream. The zero value
// stands for nothing.
type continuationFault struct{ kind, text string }

// continues reports whether the caller has events of the stream already, from this host or
// from an earlier answer.
func (forwarding *forwarding) continues() bool {
	return forwarding.hasPassedEvent || forwarding.call.LastEventID != ""
}

// canContinue reports whether another target can be asked for the rest of the stream, if it
// has begun. Without the id of an event the rest has no beginning.
func (forwarding *forwarding) canContinue() bool {
	return !forwarding.hasPassedEvent || forwarding.resumedAfter() != ""
}

// headFault returns why an answer can't be a part of the stream that the caller has the head
// of, or takes up, by its status and header. While no head is written, an answer of another
// status than 200 is passed on as the target's own, and a stream may lack a type as any that
// begins.
func (forwarding *forwarding) headFault(answer *upstream.Answer, reply Reply) continuationFault {
	if !forwarding.headerWritten && (!forwarding.route.Streaming || !forwarding.continues() || answer.Status != http.StatusOK) {
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
	case forwarding.headerWritten && mediaType != headType,
		!forwarding.headerWritten && mediaType != "" && mediaType != streamType:
		return continuationFault{faultType, fmt.Sprintf("content type %.*q", maxNamed, contentType)}
	case encoding != "" && !strings.EqualFold(encoding, "identity"):
		return continuationFault{faultEncoding, fmt.Sprintf("content encoding %.*q", maxNamed, encoding)}
	case forwarding.isOlder(reply.Weights):
		return forwarding.weightsFault(reply.Weights)
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

// eventFault returns why an event can't be passed on as a part of an answer that continues
// the stream. An event without an id may have been passed on before, or be no event of this
// stream. Comments have none.
func (forwarding *forwarding) eventFault(event event, isFirst bool) continuationFault {
	last := forwarding.resumedAfter()
	mustBeNext := forwarding.lastEventID != "" && !forwarding.hasGaps
	switch {
	case hasBareReturn(event.bytes):
		return continuationFault{faultOrder, "an event with line breaks that may hide others"}
	case event.isBlank:
		return continuationFault{}
	case event.id == "":
		return continuationFault{faultNoID, fmt.Sprintf("an event without an id after event %.*s", maxNamed, last)}
	case isFirst && !isContinuedBy(event.id, last, mustBeNext), !isAfter(event.id, last):
		return continuationFault{faultOrder, fmt.Sprintf("event %.*s after event %.*s", maxNamed, event.id, maxNamed, last)}
	case forwarding.isOlder(event.weights):
		return forwarding.weightsFault(event.weights)
	default:
		return continuationFault{}
	}
}

// isOlder reports whether a version of weights, 0 for an unknown one, is older than that of an
// event that the caller has.
func (forwarding *forwarding) isOlder(weights int64) bool {
	return weights != 0 && weights < forwarding.weights
}

func (forwarding *forwarding) weightsFault(weights int64) continuationFault {
	return continuationFault{faultWeights, fmt.Sprintf("weights of version %d after %d", weights, forwarding.weights)}
}

// hasBareReturn reports whether a text has carriage returns without line feeds. These also end
// lines of events, but not for eventReader.
func hasBareReturn(text []byte) bool {
	return bytes.Count(text, []byte("\r")) > bytes.Count(text, []byte("\r\n"))
}

// isContinuedBy reports whether an id may be the first one after the last one. Where it must
// be the next one, both are integers that follow each other. Ids of which neither is an
// integer can't be compared; they only have to differ.
func isContinuedBy(id, last string, mustBeNext bool) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	before, beforeErr := strconv.ParseInt(last, 10, 64)
	switch {
	case err != nil || beforeErr != nil:
		return err != nil && beforeErr != nil && id != last
	case mustBeNext:
		return before < math.MaxInt64 && number == before+1
	default:
		return number > before
	}
}

// recordPassed records that an event is passed on to the caller.
func (forwarding *forwarding) recordPassed(event event) {
	forwarding.hasPassedEvent = forwarding.hasPassedEvent || !event.isBlank
	forwarding.weights = max(forwarding.weights, event.weights)
	if event.id == "" {
		return
	}
	if last := forwarding.lastEventID; last != "" && !isContinuedBy(event.id, last, true) {
		forwarding.hasGaps = true
	}
	forwarding.lastEventID = event.id
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
