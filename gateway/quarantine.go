package gateway

import (
	"net/http"
	"time"

	"nutmegfield.example/quarantine"
)

// reasonCrashes is the reason of refusals of quarantined requests.
const reasonCrashes = "the request crashes targets"

// hashContent returns the request's content.
func (forwarding *forwarding) hashContent() quarantine.Trait {
	request := forwarding.request
	return quarantine.NewContent(
		[]byte(forwarding.workspaceName()), []byte(request.Method), []byte(request.Host),
		[]byte(forwarding.requestTarget()), forwarding.body,
	)
}

// admitContent refuses the request and returns false if its content is quarantined.
// Else release must be called when the request has ended.
func (forwarding *forwarding) admitContent() (release func(), admitted bool) {
	suspects := forwarding.gateway.Suspects
	if suspects.IsEmpty() {
		return func() {}, true
	}
	suspect, admitted, release := suspects.Admit(forwarding.content())
	if !admitted {
		forwarding.refuseSuspect(suspect)
	}
	return release, admitted
}

// quarantinedSuspect returns the suspect with the request's content if it is
// quarantined, as it may have been after the request was admitted; else nil.
func (forwarding *forwarding) quarantinedSuspect() *quarantine.Suspect {
	suspects := forwarding.gateway.Suspects
	if suspects.IsEmpty() {
		return nil
	}
	if suspect, quarantined := suspects.Find(forwarding.content()); quarantined {
		return suspect
	}
	return nil
}

// refuseSuspect ends a request that crashes targets. Its caller gets no retry time, as
// it would be refused again.
func (forwarding *forwarding) refuseSuspect(suspect *quarantine.Suspect) {
	facts := suspect.Facts(time.Now())
	switch {
	case forwarding.headerWritten:
		forwarding.abortAnswer(reasonCrashes)
	case forwarding.mayHaveRun:
		forwarding.refuse(http.StatusBadGateway, 0, reasonCrashes, facts...)
	default:
		forwarding.refuse(http.StatusServiceUnavailable, 0, reasonCrashes, facts...)
	}
}

// recordServed clears the request's content, which a target has served.
func (forwarding *forwarding) recordServed(status int) {
	suspects := forwarding.gateway.Suspects
	if status < http.StatusInternalServerError && !suspects.IsEmpty() {
		suspects.RecordServed(forwarding.content())
	}
}
