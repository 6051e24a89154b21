package timeline

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

// Event is one entry of the timeline. Sequence numbers the events of a host, from
// 1 at its start; Number is the number of the event's kind.
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
	// Facts are the inputs and results of the decision behind the event, with
	// the age or version of the data used.
	Facts []Fact `json:"facts,omitempty"`
}

// Fact is a key and a value that describe an event.
type Fact struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Duration returns a fact that is a duration in milliseconds, with "Ms" appended
// to the key.
func Duration(key string, duration time.Duration) Fact {
	return Fact{Key: key + "Ms", Value: strconv.FormatFloat(float64(duration)/float64(time.Millisecond), 'f', 1, 64)}
}

// Count returns a fact that is an integer.
func Count[T ~int | ~int64](key string, count T) Fact {
	return Fact{Key: key, Value: strconv.FormatInt(int64(count), 10)}
}

const (
	// ringSize is the number of events that a Recorder keeps at most, maxRingBytes what they
	// hold.
	ringSize     = 8192
	maxRingBytes = 10 << 20
)

// Recorder keeps the newest events of a host in a ring buffer and logs them. Its
// methods are safe for concurrent use; Record on a nil Recorder does nothing.
type Recorder struct {
	// Host is the id of the host.
	Host string
	// Logger receives events above Trace; nil for none.
	Logger *log.Logger
	// LineLimiter limits the rate of all log lines, FrequentLineLimiter that of
	// frequent kinds; nil means no limit. Omitted lines are counted, and the
	// count is logged before the next line.
	LineLimiter         *rate.Limiter
	FrequentLineLimiter *rate.Limiter

	omittedLines atomic.Int64
	sequence     atomic.Uint64
	ring         [ringSize]atomic.Pointer[Event]
	// keptBytes is what the events in the ring buffer hold, dropped the sequence number of
	// the newest event that was dropped for its sake.
	keptBytes atomic.Int64
	dropped   atomic.Uint64
}

// Record sets the event's time, host, sequence number and kind, shortens long texts, stores
// it in the ring buffer, and logs it unless it is a trace or exceeds a rate limit.
func (recorder *Recorder) Record(kind Kind, event Event) {
	if recorder == nil {
		return
	}
	event.At = time.Now()
	event.Host = recorder.Host
	event.Number = kind.Number
	event.Name = kind.Name
	event.Sequence = recorder.sequence.Add(1)
	event.shorten()
	recorder.keep(&event)
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

// keep stores an event in the ring buffer, and drops the oldest events while all hold more
// than maxRingBytes.
func (recorder *Recorder) keep(event *Event) {
	recorder.keptBytes.Add(event.bytes())
	if replaced := recorder.ring[event.Sequence%ringSize].Swap(event); replaced != nil {
		recorder.keptBytes.Add(-replaced.bytes())
	}
	for recorder.keptBytes.Load() > maxRingBytes {
		dropped := recorder.dropped.Load()
		oldest := dropped + 1
		if event.Sequence > ringSize {
			oldest = max(oldest, event.Sequence-ringSize+1)
		}
		if oldest >= event.Sequence {
			return
		}
		if !recorder.dropped.CompareAndSwap(dropped, oldest) {
			continue
		}
		slot := &recorder.ring[oldest%ringSize]
		if old := slot.Load(); old != nil && old.Sequence == oldest && slot.CompareAndSwap(old, nil) {
			recorder.keptBytes.Add(-old.bytes())
		}
	}
}

// KeptBytes returns what the events in the ring buffer hold.
func (recorder *Recorder) KeptBytes() int64 { return recorder.keptBytes.Load() }

var eventLinesOmitted = Define(Kind{
	Number: 104, Name: "log lines left out", Level: Info,
	Meaning: "Lines were omitted from the log since the last line, because of its rate limit; the fact lines is their number. The timeline has the newest of the events.",
})

// allowLine reports whether a line of a kind is within the rate limits. Frequent
// kinds have a lower limit of their own, so that they can't use up the limit of
// all lines.
func (recorder *Recorder) allowLine(kind Kind) bool {
	if kind.Frequent && recorder.FrequentLineLimiter != nil && !recorder.FrequentLineLimiter.Allow() {
		return false
	}
	return recorder.LineLimiter == nil || recorder.LineLimiter.Allow()
}

// Events returns the events in the ring buffer, oldest first.
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
