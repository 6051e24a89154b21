package replay

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"nutmegfield.example/request"
	"nutmegfield.example/timeline"
)

// Names of the events that tell the order in which a pool was served.
const (
	eventAccepted = 1001
	eventGranted  = 2002
	eventRefused  = 2003
)

// Check names each stated outcome that was not met, in the order of the
// trace; the events of the hosts' time line are needed for the order of tiers
// only.
func (trace *Trace) Check(answers []Answer, events []timeline.Event) []string {
	var unmet []string
	for i := range trace.Requests {
		unmet = append(unmet, trace.Requests[i].judge(&answers[i])...)
	}
	unmet = append(unmet, trace.judgeKeys(answers)...)
	if trace.TierOrder {
		unmet = append(unmet, trace.judgeTiers(answers, events)...)
	}
	return unmet
}

func (planned *Request) judge(answer *Answer) []string {
	var unmet []string
	told := string(answer.Outcome)
	if answer.Reason != "" {
		told += " " + string(answer.Reason)
	}
	if answer.Err != nil {
		told += " (" + answer.Err.Error() + ")"
	}
	if !slices.Contains(planned.Outcomes, answer.Outcome) {
		unmet = append(unmet, fmt.Sprintf("%s: outcome is %s, stated: %s", planned.Name, told, join(planned.Outcomes)))
	} else if answer.Outcome != request.Done && len(planned.Reasons) > 0 && !slices.Contains(planned.Reasons, answer.Reason) {
		unmet = append(unmet, fmt.Sprintf("%s: outcome is %s, stated reasons: %s", planned.Name, told, join(planned.Reasons)))
	}
	if answer.Outcome == request.Done && !bytes.Contains(answer.Body, []byte(planned.Contains)) {
		unmet = append(unmet, fmt.Sprintf("%s: the answer does not contain %q", planned.Name, planned.Contains))
	}
	return unmet
}

// identity is what a host keeps one record for.
type identity struct {
	workspace, token, pool, key string
}

// judgeKeys states of every key that it was done at most once: all of its
// callers that were told done were told so of the same request.
func (trace *Trace) judgeKeys(answers []Answer) []string {
	var unmet []string
	done := map[identity]int{}
	for i := range answers {
		planned := &trace.Requests[i]
		// With a reason it is another request's end that the caller was told.
		if planned.Key == "" || answers[i].Outcome != request.Done || answers[i].Reason != "" {
			continue
		}
		key := identity{workspace: planned.Workspace, token: planned.Token, pool: planned.Pool, key: planned.Key}
		first, ok := done[key]
		if !ok {
			done[key] = i
			continue
		}
		if answers[first].Request != answers[i].Request {
			unmet = append(unmet, fmt.Sprintf("%s: key %s was done twice, for %s as request %s and here as request %s",
				planned.Name, planned.Key, trace.Requests[first].Name, answers[first].Request, answers[i].Request))
		}
	}
	return unmet
}

// judgeTiers states of every request that was shed that none of a lower tier,
// which waited at the same scheduler then, was granted a slot later.
func (trace *Trace) judgeTiers(answers []Answer, events []timeline.Event) []string {
	order := &tierOrder{trace: trace, places: map[string]int{}}
	var unmet []string
	for i := range answers {
		id := answers[i].Request
		if id == "" {
			continue
		}
		order.places[id] = i
		if !slices.ContainsFunc(events, func(event timeline.Event) bool { return event.Request == id }) {
			unmet = append(unmet, fmt.Sprintf("%s: request %s is not in the time line, so that the order of tiers can't be told", trace.Requests[i].Name, id))
		}
	}
	for i := range events {
		shed := &events[i]
		if shed.Number == eventRefused && shed.Detail == string(request.ReasonShed) {
			unmet = append(unmet, order.after(shed, events)...)
		}
	}
	return unmet
}

type tierOrder struct {
	trace *Trace
	// places are the requests of the trace by the ids that the hosts gave.
	places map[string]int
}

// planned returns a request of the trace and the rank of its tier, nil for one
// that is not of the trace.
func (order *tierOrder) planned(id string) (*Request, int) {
	i, ok := order.places[id]
	if !ok {
		return nil, 0
	}
	planned := &order.trace.Requests[i]
	return planned, slices.Index(order.trace.Tiers, planned.Tier)
}

func (order *tierOrder) after(shed *timeline.Event, events []timeline.Event) []string {
	higher, rank := order.planned(shed.Request)
	if higher == nil {
		return nil
	}
	var unmet []string
	for i := range events {
		granted := &events[i]
		sameQueue := granted.Host == shed.Host && granted.Pool == shed.Pool && granted.Sequence > shed.Sequence
		lower, lowerRank := order.planned(granted.Request)
		if granted.Number != eventGranted || !sameQueue || lower == nil || lowerRank <= rank {
			continue
		}
		if order.waited(granted.Request, shed, events) {
			unmet = append(unmet, strings.Join([]string{
				higher.Name, ": was shed in tier ", higher.Tier, " while ", lower.Name, " of tier ", lower.Tier, " waited, which ran after",
			}, ""))
		}
	}
	return unmet
}

// waited reports whether a request was with its entry host long enough before
// another was shed to have waited at the scheduler.
func (order *tierOrder) waited(id string, shed *timeline.Event, events []timeline.Event) bool {
	return slices.ContainsFunc(events, func(event timeline.Event) bool {
		return event.Number == eventAccepted && event.Request == id && !event.At.Add(order.trace.Waited).After(shed.At)
	})
}
