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

// actor is a fake host that answers as the body of each request says, in words
// such as outcome=notRun. name gives the request's id; with when it waits until
// the request of that id has come, with after until it was answered.
type actor struct {
	events *timeline.Recorder

	mutex    sync.Mutex
	come     map[string]chan struct{}
	answered map[string]chan struct{}
}

func newActor() *actor {
	return &actor{
		events:   &timeline.Recorder{Host: "a1"},
		come:     map[string]chan struct{}{},
		answered: map[string]chan struct{}{},
	}
}

// operators is the fake host's operators' side.
func (actor *actor) operators() http.Handler {
	return (&operator.Operator{Store: &profile.Store{}, Members: &peer.Members{}, Events: actor.events}).Handler()
}

func (actor *actor) gate(gates map[string]chan struct{}, name string) chan struct{} {
	actor.mutex.Lock()
	defer actor.mutex.Unlock()
	if gates[name] == nil {
		gates[name] = make(chan struct{})
	}
	return gates[name]
}

var words = regexp.MustCompile(`(\w+)=(\w+)`)

func (actor *actor) ServeHTTP(writer http.ResponseWriter, asked *http.Request) {
	body, _ := io.ReadAll(asked.Body)
	said := map[string]string{}
	for _, word := range words.FindAllStringSubmatch(string(body), -1) {
		said[word[1]] = word[2]
	}
	name := said["name"]
	actor.record(1001, name, "")
	close(actor.gate(actor.come, name))
	if said["when"] != "" {
		<-actor.gate(actor.come, said["when"])
	}
	if said["after"] != "" {
		<-actor.gate(actor.answered, said["after"])
	}
	if said["outcome"] == "notRun" {
		actor.record(2003, name, said["reason"])
	} else {
		actor.record(2002, name, "")
	}
	close(actor.gate(actor.answered, name))
	if said["outcome"] == "broken" {
		panic(http.ErrAbortHandler)
	}
	if id := said["id"]; id != "" {
		name = id
	}
	answer(writer, name, said)
}

func (actor *actor) record(number int, name, detail string) {
	actor.events.Record(timeline.Kind{Number: number}, timeline.Event{Request: name, Pool: "orders", Detail: detail})
}

func answer(writer http.ResponseWriter, id string, said map[string]string) {
	header := writer.Header()
	header.Set(entry.HeaderRequest, id)
	if said["stream"] != "" {
		header.Set("Trailer", entry.HeaderOutcome)
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
	}
	header.Set(entry.HeaderOutcome, said["outcome"])
	if said["reason"] == "" {
		_, _ = io.WriteString(writer, "whole "+id)
		return
	}
	header.Set("Content-Type", "application/problem+json")
	writer.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(writer).Encode(entry.Problem{
		Outcome: request.Outcome(said["outcome"]), Reason: request.Reason(said["reason"]),
	})
}
