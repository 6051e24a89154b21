package listener

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/memory"
	"nutmegfield.example/timeline"
)

// reportInterval is the shortest time between two events of a kind of a listener. They count
// what happened since the last one.
const reportInterval = time.Second

var (
	eventDivided = timeline.Define(timeline.Kind{
		Number: 1170, Name: "memory divided", Level: timeline.Info,
		Meaning: "The memory of the machine was divided at the start. The facts are that memory, the limit of the runtime's heap and, for callers, the number of connections and the parts for bodies, requests, heads and answers, in MiB.",
	})
	eventGaveWay = timeline.Define(timeline.Kind{
		Number: 1171, Name: "callers gave way", Level: timeline.Info,
		Meaning: "The memory for what the detail names was short at a listener, so that some connections or requests gave way to others; the facts count them since the last such event, with those that made no progress among them, and give what was held of the kind, and its part, in KiB.",
		Action:  "if it continues, find out who sends without end or does not read; more memory for the host bears more of it",
	})
	eventRefusedEarly = timeline.Define(timeline.Kind{
		Number: 1172, Name: "connections refused", Level: timeline.Info,
		Meaning: "Connections, or heads of requests, were refused at a listener for the reason in the detail, before it was known whose they are. The fact counts them since the last such event.",
		Action:  "if there are too many connections, and callers are ordinary ones, give the host more memory or descriptors, or add hosts",
	})
	eventUnread = timeline.Define(timeline.Kind{
		Number: 1173, Name: "answer not read", Level: timeline.Info,
		Meaning: "A caller did not take 64 KiB of an answer within 10 s, and lost its connection. The fact is the listener.",
	})
)

var eventFull = timeline.Define(timeline.Kind{
	Number: 1174, Name: "listener full", Level: timeline.Warn,
	Meaning: "A listener has refused all connections for a second and has no room for another, so that the host does not say that it is ready; or it takes them again, by the detail. The facts are the listener, for how long it has refused them, and what connections hold, and may hold, in KiB.",
	Action:  "find out who holds the connections (1171, 1172); give the host more memory or descriptors, or add hosts",
})

// Report records what happens at a listener.
type Report struct {
	// Name is that of the listener.
	Name   string
	Events *timeline.Recorder

	mutex sync.Mutex
	// counts are what happened since the last event, by kind of memory or reason.
	counts map[string]*count
}

type count struct {
	recordedAt        time.Time
	happened, stalled int
}

// RecordDivision records how memory was divided.
func RecordDivision(events *timeline.Recorder, plan *memory.Plan) {
	parts := &plan.Callers.Parts
	events.Record(eventDivided, timeline.Event{Facts: []timeline.Fact{
		timeline.Count("machine", plan.Machine>>20), timeline.Count("heap", plan.Heap>>20),
		timeline.Count("connections", parts[memory.Connections]/memory.ConnectionCost),
		timeline.Count("bodies", parts[memory.Bodies]>>20), timeline.Count("requests", parts[memory.Requests]>>20),
		timeline.Count("heads", parts[memory.Heads]>>20), timeline.Count("answers", parts[memory.Answers]>>20),
	}})
}

// Observe reports what happens at a listener, and its budget as metrics.
func (report *Report) Observe(listener *Listener) {
	budget := listener.Budget
	budget.OnGaveWay = report.gaveWay
	listener.OnRefused = report.refused
	listener.OnUnread = report.unread
	listener.OnFull = func(isFull bool, lasted time.Duration) {
		detail := "takes connections"
		if isFull {
			detail = "takes no connections"
		}
		report.Events.Record(eventFull, timeline.Event{Detail: detail, Facts: []timeline.Fact{
			{Key: "listener", Value: report.Name}, timeline.Duration("lasted", lasted),
			timeline.Count("held", budget.Held(memory.Connections)>>10), timeline.Count("part", budget.Parts[memory.Connections]>>10),
		}})
	}
	for _, kind := range memory.Kinds() {
		if budget.Parts[kind] == 0 {
			continue
		}
		labels := fmt.Sprintf("{listener=%q,kind=%q}", report.Name, kind)
		for name, value := range map[string]func() int64{
			"nutmegfield_memory_held_bytes":     func() int64 { return budget.Held(kind) },
			"nutmegfield_memory_part_bytes":     func() int64 { return budget.Parts[kind] },
			"nutmegfield_memory_gave_way_total": func() int64 { return budget.GaveWay(kind) },
			"nutmegfield_memory_lacked_total":   func() int64 { return budget.Refused(kind) },
		} {
			metrics.GetOrCreateGauge(name+labels, func() float64 { return float64(value()) })
		}
	}
}

// add counts what happened, and returns the counts if another event is due.
func (report *Report) add(key string, happened, stalled int) (counted count, isDue bool) {
	report.mutex.Lock()
	defer report.mutex.Unlock()
	if report.counts == nil {
		report.counts = map[string]*count{}
	}
	if report.counts[key] == nil {
		report.counts[key] = &count{}
	}
	held := report.counts[key]
	held.happened += happened
	held.stalled += stalled
	now := time.Now()
	if now.Sub(held.recordedAt) < reportInterval {
		return count{}, false
	}
	counted = *held
	*held = count{recordedAt: now}
	return counted, true
}

func (report *Report) gaveWay(relief memory.Relief) {
	counted, isDue := report.add(relief.Kind.String(), relief.Chosen, relief.Stalled)
	if !isDue {
		return
	}
	report.Events.Record(eventGaveWay, timeline.Event{Detail: relief.Kind.String(), Facts: []timeline.Fact{
		{Key: "listener", Value: report.Name}, timeline.Count("gaveWay", counted.happened), timeline.Count("stalled", counted.stalled),
		timeline.Count("held", relief.Held>>10), timeline.Count("part", relief.Part>>10),
	}})
}

func (report *Report) refused(status int, reason string) {
	reason = strconv.Itoa(status) + " " + reason
	metrics.GetOrCreateCounter(fmt.Sprintf("nutmegfield_connections_refused_total{listener=%q,reason=%q}", report.Name, reason)).Inc()
	if counted, isDue := report.add(reason, 1, 0); isDue {
		report.Events.Record(eventRefusedEarly, timeline.Event{Detail: reason, Facts: []timeline.Fact{
			{Key: "listener", Value: report.Name}, timeline.Count("refused", counted.happened),
		}})
	}
}

func (report *Report) unread(request string) {
	report.Events.Record(eventUnread, timeline.Event{Request: request, Facts: []timeline.Fact{{Key: "listener", Value: report.Name}}})
}
