package timeline

import (
	"sort"
	"time"
)

// Page is what one host has of the time line.
type Page struct {
	Host string `json:"host"`
	// Now is the host's clock when it answered, by which the merge tells how
	// far it is from the reader's.
	Now    time.Time `json:"now"`
	Events []Event   `json:"events"`
}

// Selection says which events are wanted; zero fields ask for all.
type Selection struct {
	Request string
	Since   time.Time
	Until   time.Time
}

// Matches reports whether the event is wanted.
func (selection *Selection) Matches(event *Event) bool {
	switch {
	case selection.Request != "" && event.Request != selection.Request:
		return false
	case !selection.Since.IsZero() && event.At.Before(selection.Since):
		return false
	case !selection.Until.IsZero() && event.At.After(selection.Until):
		return false
	default:
		return true
	}
}

// Select returns the wanted events in their order.
func (selection *Selection) Select(events []Event) []Event {
	selected := []Event{}
	for i := range events {
		if selection.Matches(&events[i]) {
			selected = append(selected, events[i])
		}
	}
	return selected
}

// Answer is a page with the times, by the reader's clock, between which the
// host made it.
type Answer struct {
	Page
	SentAt     time.Time
	ReceivedAt time.Time
}

// ClockOffset estimates how far the host's clock is ahead of the reader's: the
// host looked at its own half way between question and answer, to within half
// of that time.
func (answer *Answer) ClockOffset() time.Duration {
	middle := answer.SentAt.Add(answer.ReceivedAt.Sub(answer.SentAt) / 2)
	return answer.Now.Sub(middle)
}

// Merge puts the events of all hosts in one order by the reader's clock. The
// events of one host keep their own order, whatever its clock did.
func Merge(answers []Answer) []Event {
	var merged []Event
	for i := range answers {
		merged = append(merged, answers[i].correctedEvents()...)
	}
	sort.SliceStable(merged, func(i, j int) bool { return merged[i].At.Before(merged[j].At) })
	return merged
}

// correctedEvents returns the events with times by the reader's clock that never
// fall.
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
