package gateway

import (
	"net/http"
	"slices"
	"time"

	"nutmegfield.example/quarantine"
	"nutmegfield.example/timeline"
)

// reasonCrashes is the reason of refusals of quarantined requests.
const reasonCrashes = "the request crashes targets"

// maxSharedTraits limits the path and parts of a prompt by which a request is known.
const maxSharedTraits = 32

// hashContent returns the request's content.
func (forwarding *forwarding) hashContent() quarantine.Trait {
	request := forwarding.request
	return quarantine.NewContent(
		[]byte(forwarding.workspaceName()), []byte(request.Method), []byte(request.Host),
		[]byte(forwarding.requestTarget()), forwarding.body,
	)
}

// sharedTraits returns what requests with other contents may share with this one: the path,
// and the parts of the prompt in order.
func (forwarding *forwarding) sharedTraits() []quarantine.Trait {
	request := forwarding.request
	parts := forwarding.call.Prefix
	parts = parts[:min(len(parts), maxSharedTraits-1)]
	shared := make([]quarantine.Trait, 0, 1+len(parts))
	shared = append(shared, quarantine.NewShared("path", request.Method+" "+request.Host+forwarding.requestTarget()))
	for _, part := range parts {
		shared = append(shared, quarantine.NewShared("part", part.ID))
	}
	return shared
}

// traits returns the request's traits.
func (forwarding *forwarding) traits() quarantine.Traits {
	return quarantine.Traits{Content: forwarding.content(), Shared: forwarding.shared}
}

// admitTraits refuses the request and returns false if one of its traits is quarantined.
// Else release must be called when the request has ended.
func (forwarding *forwarding) admitTraits() (release func(), admitted bool) {
	suspects := forwarding.gateway.Suspects
	if suspects.IsEmpty() {
		return func() {}, true
	}
	suspect, admitted, release := suspects.Admit(forwarding.traits())
	if !admitted {
		forwarding.refuseSuspect(suspect)
	}
	return release, admitted
}

// quarantinedSuspect returns the suspect with one of the request's traits if it is
// quarantined, as it may have been after the request was admitted; else nil.
func (forwarding *forwarding) quarantinedSuspect() *quarantine.Suspect {
	suspects := forwarding.gateway.Suspects
	if suspects.IsEmpty() {
		return nil
	}
	return suspects.FindQuarantined(forwarding.traits())
}

// refuseSuspect ends a request that crashes targets. Its caller gets no retry time, as
// it would be refused again.
func (forwarding *forwarding) refuseSuspect(suspect *quarantine.Suspect) {
	facts := append(suspect.Facts(time.Now()), timeline.Fact{Key: "shares", Value: forwarding.describeTrait(suspect.Trait)})
	switch {
	case forwarding.headerWritten:
		forwarding.abortAnswer(reasonCrashes)
	case forwarding.mayHaveRun:
		forwarding.refuse(http.StatusBadGateway, 0, reasonCrashes, facts...)
	default:
		forwarding.refuse(http.StatusServiceUnavailable, 0, reasonCrashes, facts...)
	}
}

// describeTrait returns what of this request has the trait, for events.
func (forwarding *forwarding) describeTrait(trait quarantine.Trait) string {
	switch index := slices.Index(forwarding.shared, trait); {
	case index < 0:
		return "content"
	case index == 0:
		return "path"
	default:
		return "part " + forwarding.call.Prefix[index-1].ID
	}
}

// recordServed clears the request's traits, as a target has served it. Only a success shows
// that the target has worked on what the request shares with others.
func (forwarding *forwarding) recordServed(status int) {
	switch {
	case status < http.StatusMultipleChoices:
		forwarding.gateway.Suspects.RecordServed(forwarding.shared, forwarding.content)
	case status < http.StatusInternalServerError:
		forwarding.gateway.Suspects.RecordServed(nil, forwarding.content)
	}
}
