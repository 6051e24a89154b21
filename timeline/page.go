package timeline

import (
	"sort"
	"time"
)

// Page is the JSON body of GET /timeline: events of one host.
type Page struct {
	Host string `json:"host"`
	// Now is the time by the host's clock when it answered; see ClockOffset.
	Now    time.Time `json:"now"`
	Events []Event   `json:"events"`
}

// Selection is a filter of events by request id and time; Since and Until are
// inclusive, and a zero field matches all events.
type Selection struct {
	Request string
	Since   time.Time
	Until   time.Time
}

// Matches reports whether the event passes the filter.
func (selection *Selection) Matches(event *Event) bool {
	switch {
	case selection.Request != "" && !IsOf(event.Request, selection.Request):
		return false
	case !selection.Since.IsZero() && event.At.Before(selection.Since):
		return false
	case !selection.Until.IsZero() && event.At.After(selection.Until):
		return false
	default:
		return true
	}
}

// Select returns the events that match, in their original order.
func (selection *Selection) Select(events []Event) []Event {
	selected := []Event{}
	for i := range events {
		if selection.Matches(&events[i]) {
			selected = append(selected, events[i])
		}
	}
	return selected
}

// Answer is a page, with the times by the reader's clock when the page was
// requested and received.
type Answer struct {
	Page
	SentAt     time.Time
	ReceivedAt time.Time
}

// ClockOffset estimates how far the host's clock is ahead of the reader's. It
// assumes that the host read its clock half way between SentAt and ReceivedAt,
// so the error is at most half of the time between them.
func (answer *Answer) ClockOffset() time.Duration {
	middle := answer.SentAt.Add(answer.ReceivedAt.Sub(answer.SentAt) / 2)
	return answer.Now.Sub(middle)
}

// Merge returns the events of all hosts, sorted by time on the reader's clock.
// The events of one host stay in sequence order, even if its clock was set back.
func Merge(answers []Answer) []Event {
	var merged []Event
	for i := range answers {
		merged = append(merged, answers[i].correctedEvents()...)
	}
	sort.SliceStable(merged, func(i, j int) bool { return merged[i].At.Before(merged[j].At) })
	return merged
}

// correctedEvents returns the events in sequence order, with their times
// converted to the reader's clock. An event with an earlier time than the event
// before it gets the time of that event.
func (answer *Answer) correctedEvents() []Event {
	clockOffset := answer.ClockOffset()
	events := append([]Event(nil), answer.Events...)
	sort.SliceStable(events, func(i, j int) bool { return events[i].Sequence < events[j].Sequence })
	for i := range events {
		events[i].At = events[i].At.Add(-clockOffset)
		if i > 0 && events[i].At.Before(events[i-1].At) {
			events[i].At = events[i-1].At
		}
	}
	return events
}
