package timeline

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

// Event is one entry of the time line.
type Event struct {
	At       time.Time `json:"at"`
	Host     string    `json:"host"`
	Sequence uint64    `json:"sequence"`
	Number   int       `json:"number"`
	Name     string    `json:"name"`
	Request  string    `json:"request,omitempty"`
	Pool     string    `json:"pool,omitempty"`
	Target   string    `json:"target,omitempty"`
	Peer     string    `json:"peer,omitempty"`
	Detail   string    `json:"detail,omitempty"`
	// Facts are what decided it, and how old or of which version it was.
	Facts []Fact `json:"facts,omitempty"`
}

// Fact is one input or result of a decision.
type Fact struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Duration is a fact that is a duration, in milliseconds.
func Duration(key string, duration time.Duration) Fact {
	return Fact{Key: key + "Ms", Value: strconv.FormatFloat(float64(duration)/float64(time.Millisecond), 'f', 1, 64)}
}

// Count is a fact that is a number.
func Count[T ~int | ~int64](key string, count T) Fact {
	return Fact{Key: key, Value: strconv.FormatInt(int64(count), 10)}
}

// ringSize is the number of events a host keeps.
const ringSize = 8192

// Recorder keeps the last events of a host. A nil Recorder discards.
type Recorder struct {
	// Host is the id of the host.
	Host string
	// Logger receives events above Trace; nil for none.
	Logger *log.Logger
	// LineLimiter bounds all log lines, FrequentLines those of frequent kinds; nil
	// for no bound. What is left out is counted and told.
	LineLimiter         *rate.Limiter
	FrequentLineLimiter *rate.Limiter

	omittedLines atomic.Int64
	sequence     atomic.Uint64
	ring         [ringSize]atomic.Pointer[Event]
}

// Record stores an event of the kind and logs it unless it is a trace.
func (recorder *Recorder) Record(kind Kind, event Event) {
	if recorder == nil {
		return
	}
	event.At = time.Now()
	event.Host = recorder.Host
	event.Number = kind.Number
	event.Name = kind.Name
	event.Sequence = recorder.sequence.Add(1)
	recorder.ring[event.Sequence%ringSize].Store(&event)
	if kind.Level == Trace || recorder.Logger == nil {
		return
	}
	if !recorder.allowLine(kind) {
		recorder.omittedLines.Add(1)
		return
	}
	if omitted := recorder.omittedLines.Swap(0); omitted > 0 {
		recorder.writeLog(eventLinesOmitted.Level, &Event{
			Host: recorder.Host, Number: eventLinesOmitted.Number, Name: eventLinesOmitted.Name,
			Facts: []Fact{Count("lines", omitted)},
		})
	}
	recorder.writeLog(kind.Level, &event)
}

var eventLinesOmitted = Define(Kind{
	Number: 104, Name: "log lines left out", Level: Info,
	Meaning: "So many lines were not logged since the last one, to bound the log; the time line has the newest of them.",
})

// allowLine reports whether a line of a kind is within the bounds. The frequent
// ones leave room for the others.
func (recorder *Recorder) allowLine(kind Kind) bool {
	if kind.Frequent && recorder.FrequentLineLimiter != nil && !recorder.FrequentLineLimiter.Allow() {
		return false
	}
	return recorder.LineLimiter == nil || recorder.LineLimiter.Allow()
}

// Events returns the kept events, oldest first.
func (recorder *Recorder) Events() []Event {
	last := recorder.sequence.Load()
	first := uint64(1)
	if last > ringSize {
		first = last - ringSize + 1
	}
	events := make([]Event, 0, last-first+1)
	for sequence := first; sequence <= last; sequence++ {
		event := recorder.ring[sequence%ringSize].Load()
		if event != nil && event.Sequence == sequence {
			events = append(events, *event)
		}
	}
	return events
}

func (recorder *Recorder) writeLog(level Level, event *Event) {
	entry := recorder.entry(level)
	entry = entry.Int("event", event.Number)
	entry = entry.Str("host", event.Host)
	for _, field := range []struct{ key, value string }{
		{"request", event.Request},
		{"pool", event.Pool},
		{"target", event.Target},
		{"peer", event.Peer},
		{"detail", event.Detail},
	} {
		if field.value != "" {
			entry = entry.Str(field.key, field.value)
		}
	}
	for _, fact := range event.Facts {
		entry = entry.Str(fact.Key, fact.Value)
	}
	entry.Msg(event.Name)
}

func (recorder *Recorder) entry(level Level) *log.Entry {
	switch level {
	case Error:
		return recorder.Logger.Error()
	case Warn:
		return recorder.Logger.Warn()
	default:
		return recorder.Logger.Info()
	}
}
