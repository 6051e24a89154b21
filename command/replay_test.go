package command_test

import (
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"sync"

	"nutmegfield.example/entry"
	"nutmegfield.example/operator"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
	"nutmegfield.example/request"
	"nutmegfield.example/timeline"
)

// fakeHost answers each request as the directives in its body say, such as
// outcome=notRun. The directive name sets the request's id. Before it answers,
// it waits until the request named by when was received and the request named by
// after was answered.
type fakeHost struct {
	events *timeline.Recorder

	mutex    sync.Mutex
	received map[string]chan struct{}
	answered map[string]chan struct{}
}

func newFakeHost() *fakeHost {
	return &fakeHost{
		events:   &timeline.Recorder{Host: "a1"},
		received: map[string]chan struct{}{},
		answered: map[string]chan struct{}{},
	}
}

// operatorsHandler returns the handler of the fake host's operators' address.
func (fakeHost *fakeHost) operatorsHandler() http.Handler {
	return (&operator.Server{Store: &profile.Store{}, Members: &peer.Members{}, Events: fakeHost.events}).Handler()
}

// signalFor returns the channel of a request, creating it if needed; it is closed
// when the request was received or answered.
func (fakeHost *fakeHost) signalFor(signals map[string]chan struct{}, name string) chan struct{} {
	fakeHost.mutex.Lock()
	defer fakeHost.mutex.Unlock()
	if signals[name] == nil {
		signals[name] = make(chan struct{})
	}
	return signals[name]
}

var directivePattern = regexp.MustCompile(`(\w+)=(\w+)`)

func (fakeHost *fakeHost) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	body, _ := io.ReadAll(received.Body)
	directives := map[string]string{}
	for _, match := range directivePattern.FindAllStringSubmatch(string(body), -1) {
		directives[match[1]] = match[2]
	}
	name := directives["name"]
	fakeHost.record(1001, name, "")
	close(fakeHost.signalFor(fakeHost.received, name))
	if directives["when"] != "" {
		<-fakeHost.signalFor(fakeHost.received, directives["when"])
	}
	if directives["after"] != "" {
		<-fakeHost.signalFor(fakeHost.answered, directives["after"])
	}
	if directives["outcome"] == "notRun" {
		fakeHost.record(2003, name, directives["reason"])
	} else {
		fakeHost.record(2002, name, "")
	}
	close(fakeHost.signalFor(fakeHost.answered, name))
	if directives["outcome"] == "broken" {
		panic(http.ErrAbortHandler)
	}
	if id := directives["id"]; id != "" {
		name = id
	}
	writeAnswer(writer, name, directives)
}

func (fakeHost *fakeHost) record(number int, name, detail string) {
	fakeHost.events.Record(timeline.Kind{Number: number}, timeline.Event{Request: name, Pool: "orders", Detail: detail})
}

func writeAnswer(writer http.ResponseWriter, id string, directives map[string]string) {
	header := writer.Header()
	header.Set(entry.HeaderRequest, id)
	if directives["stream"] != "" {
		header.Set("Trailer", entry.HeaderOutcome)
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
	}
	header.Set(entry.HeaderOutcome, directives["outcome"])
	if directives["reason"] == "" {
		_, _ = io.WriteString(writer, "whole "+id)
		return
	}
	header.Set("Content-Type", "application/problem+json")
	writer.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(writer).Encode(entry.Problem{
		Outcome: request.Outcome(directives["outcome"]), Reason: request.Reason(directives["reason"]),
	})
}
