package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// timeFormat is RFC 3339 with microseconds.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// WriteText writes each event as a line of text, without its sequence number and
// facts.
func WriteText(writer io.Writer, events []Event) error {
	for i := range events {
		if _, err := fmt.Fprintln(writer, events[i].text()); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

// WriteJSON writes each event, with all its fields, as a line of JSON.
func WriteJSON(writer io.Writer, events []Event) error {
	encoder := json.NewEncoder(writer)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

func (event *Event) text() string {
	parts := []string{
		event.At.UTC().Format(timeFormat),
		event.Host,
		strconv.Itoa(event.Number),
		event.Name,
	}
	for _, field := range []struct{ key, value string }{
		{"request", event.Request},
		{"pool", event.Pool},
		{"target", event.Target},
		{"peer", event.Peer},
		{"detail", event.Detail},
	} {
		if field.value != "" {
			parts = append(parts, field.key+"="+strconv.Quote(field.value))
		}
	}
	return strings.Join(parts, " ")
}
