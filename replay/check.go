package replay

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"nutmegfield.example/request"
	"nutmegfield.example/timeline"
)

// Numbers of the events that show in which order a pool's requests were served.
const (
	eventAccepted = 1001
	eventGranted  = 2002
	eventRefused  = 2003
)

// Check returns a message for each expectation of the trace that the answers
// don't meet: outcomes, reasons and contents in the order of the trace, then
// keys, then the order of tiers. Answers are indexed as Requests; events, the
// hosts' time line, may be empty unless TierOrder is set.
func (trace *Trace) Check(answers []Answer, events []timeline.Event) []string {
	var unmet []string
	for i := range trace.Requests {
		unmet = append(unmet, trace.Requests[i].checkAnswer(&answers[i])...)
	}
	unmet = append(unmet, trace.checkKeys(answers)...)
	if trace.TierOrder {
		unmet = append(unmet, trace.checkTierOrder(answers, events)...)
	}
	return unmet
}

func (planned *Request) checkAnswer(answer *Answer) []string {
	var unmet []string
	got := string(answer.Outcome)
	if answer.Reason != "" {
		got += " " + string(answer.Reason)
	}
	if answer.Err != nil {
		got += " (" + answer.Err.Error() + ")"
	}
	if !slices.Contains(planned.Outcomes, answer.Outcome) {
		unmet = append(unmet, fmt.Sprintf("%s: outcome is %s, stated: %s", planned.Name, got, join(planned.Outcomes)))
	} else if answer.Outcome != request.Done && len(planned.Reasons) > 0 && !slices.Contains(planned.Reasons, answer.Reason) {
		unmet = append(unmet, fmt.Sprintf("%s: outcome is %s, stated reasons: %s", planned.Name, got, join(planned.Reasons)))
	}
	if answer.Outcome == request.Done && !bytes.Contains(answer.Body, []byte(planned.Contains)) {
		unmet = append(unmet, fmt.Sprintf("%s: the answer does not contain %q", planned.Name, planned.Contains))
	}
	return unmet
}

// recordKey identifies a request with an idempotency key: a host stores one
// record for each.
type recordKey struct {
	workspace, token, pool, key string
}

// checkKeys checks that each idempotency key was run at most once: all answers
// of a key whose outcome is done must carry the id of the same request.
func (trace *Trace) checkKeys(answers []Answer) []string {
	var unmet []string
	done := map[recordKey]int{}
	for i := range answers {
		planned := &trace.Requests[i]
		// An answer with a reason reports how another request ended.
		if planned.Key == "" || answers[i].Outcome != request.Done || answers[i].Reason != "" {
			continue
		}
		key := recordKey{workspace: planned.Workspace, token: planned.Token, pool: planned.Pool, key: planned.Key}
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

// checkTierOrder checks that, after a request was shed, no request of a lower
// tier that was waiting at the same scheduler at that time was granted a slot.
func (trace *Trace) checkTierOrder(answers []Answer, events []timeline.Event) []string {
	order := &tierOrder{trace: trace, indexes: map[string]int{}}
	var unmet []string
	for i := range answers {
		id := answers[i].Request
		if id == "" {
			continue
		}
		order.indexes[id] = i
		if !slices.ContainsFunc(events, func(event timeline.Event) bool { return event.Request == id }) {
			unmet = append(unmet, fmt.Sprintf("%s: request %s is not in the time line, so the order of tiers can't be checked", trace.Requests[i].Name, id))
		}
	}
	for i := range events {
		shed := &events[i]
		if shed.Number == eventRefused && shed.Detail == string(request.ReasonShed) {
			unmet = append(unmet, order.violations(shed, events)...)
		}
	}
	return unmet
}

type tierOrder struct {
	trace *Trace
	// indexes maps the ids that the hosts assigned to indexes of trace.Requests.
	indexes map[string]int
}

// planned returns the request of the trace with this id and the rank of its
// tier, 0 being the most important, or nil if the trace has no such request.
func (order *tierOrder) planned(id string) (*Request, int) {
	i, ok := order.indexes[id]
	if !ok {
		return nil, 0
	}
	planned := &order.trace.Requests[i]
	return planned, slices.Index(order.trace.Tiers, planned.Tier)
}

// violations returns a message for each request of a lower tier that waited
// while the given request was shed and was granted a slot after that.
func (order *tierOrder) violations(shed *timeline.Event, events []timeline.Event) []string {
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
		if order.wasWaiting(granted.Request, shed, events) {
			unmet = append(unmet, strings.Join([]string{
				higher.Name, ": was shed in tier ", higher.Tier, " while ", lower.Name, " of tier ", lower.Tier, " waited, which ran after",
			}, ""))
		}
	}
	return unmet
}

// wasWaiting reports whether an entry host accepted the request at least
// trace.Waited before another was shed, long enough to have reached the
// scheduler.
func (order *tierOrder) wasWaiting(id string, shed *timeline.Event, events []timeline.Event) bool {
	return slices.ContainsFunc(events, func(event timeline.Event) bool {
		return event.Number == eventAccepted && event.Request == id && !event.At.Add(order.trace.Waited).After(shed.At)
	})
}
