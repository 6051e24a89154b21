package discovery

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"unicode"
	"unicode/utf8"

	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/timeline"
)

const (
	// MaxNameBytes limits the names of objects and what else of them appears in reports to
	// other hosts, whose datagrams are limited.
	MaxNameBytes = 256
	// MaxRevisionLead is how far the revision of an object may be ahead of that of the answer
	// with it. The store may write the former while it makes the latter, but not a million
	// objects.
	MaxRevisionLead = 1 << 20
	// maxObjects limits the objects of a kind that are kept, maxUnreadable those of them that
	// can't be read, and maxKeptBytes the sum of their values. Deployments have some hundred
	// targets with entries of about 300 bytes; the smallest machine has 134 MB.
	maxObjects    = 16384
	maxUnreadable = 4096
	maxKeptBytes  = 8 << 20
	// trimFraction is the part of maxKeptBytes that is kept when there is more.
	trimFraction = 0.875
	// maxReasonBytes limits the reason in an event.
	maxReasonBytes = 240
)

// BadName means that a name is not fit for use as a key.
var BadName = Errors.NewType("badName")

// tooMuch is the reason of objects whose values are left out because of maxKeptBytes.
var tooMuch = fmt.Sprintf("the values of all objects together have more than %d bytes, and this is one of the largest", maxKeptBytes)

var (
	eventLeftOut = timeline.Define(timeline.Kind{
		Number: 8111, Name: "objects left out", Level: timeline.Warn,
		Meaning: "The platform has more objects of the kind in the detail than this host keeps; the fact leftOut is the number of those left out. Objects that can't be read are left out first, then the newest. The event comes again only after a time without.",
		Action:  "remove what other writers have left among the platform's objects",
	})
)

// CheckName returns an error for a name that is not fit for use as a key: one that is empty
// or too long, or contains bytes or characters that can't be in a header or a report.
func CheckName(name string) error {
	switch {
	case name == "":
		return BadName.New("the name is empty")
	case len(name) > MaxNameBytes:
		return BadName.New("the name has %d bytes", len(name))
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return BadName.New("the name %q has unprintable characters", name)
	}
	return nil
}

// Reporter records an event for each object that can't be read, once for each revision. Its
// fields are set before use.
type Reporter struct {
	// Kind names the kind of the objects, Event is recorded for them.
	Kind   string
	Event  timeline.Kind
	Events *timeline.Recorder

	mutex    sync.Mutex
	reported map[report]struct{}
}

// report identifies an event that was recorded.
type report struct {
	name, reason string
	revision     int64
}

// newReport returns the report of an object: of its revision, or of its reason if it has no
// revision of its own.
func newReport(object *Object) report {
	if object.IsUndated {
		return report{name: object.Name, reason: truncate(object.Unreadable)}
	}
	return report{name: object.Name, revision: object.Revision}
}

// Report records events for those of the given objects that were not reported before, and
// forgets the others. It ignores objects beyond maxUnreadable.
func (reporter *Reporter) Report(unreadable []Object) {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	before := reporter.reported
	reporter.reported = map[report]struct{}{}
	for i := range unreadable[:min(len(unreadable), maxUnreadable)] {
		found := newReport(&unreadable[i])
		_, isOld := before[found]
		if _, ok := reporter.reported[found]; !ok && !isOld {
			reporter.record(&unreadable[i])
		}
		reporter.reported[found] = struct{}{}
	}
}

// Add records an event for an object that was not reported before.
func (reporter *Reporter) Add(object Object) {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	added := newReport(&object)
	if _, ok := reporter.reported[added]; ok || len(reporter.reported) >= maxUnreadable {
		return
	}
	if reporter.reported == nil {
		reporter.reported = map[report]struct{}{}
	}
	reporter.reported[added] = struct{}{}
	reporter.record(&object)
}

func (reporter *Reporter) record(object *Object) {
	metrics.GetOrCreateCounter(`nutmegfield_objects_unreadable_total{kind="` + reporter.Kind + `"}`).Inc()
	reporter.Events.Record(reporter.Event, timeline.Event{Target: object.Name, Detail: Describe(reporter.Kind, object)})
}

// Describe returns the key and the revision of an object with the reason for which it can't be
// read.
func Describe(kind string, object *Object) string {
	_, own := SplitRevision(object.Revision)
	revision := "revision " + strconv.FormatInt(own, 10)
	if object.IsUndated {
		revision = "without a revision"
	}
	return kind + "/" + object.Name + ", " + revision + ": " + truncate(object.Unreadable)
}

// truncate returns a reason, shortened to maxReasonBytes, without control characters.
func truncate(reason string) string {
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes] + "..."
	}
	return strings.Map(func(char rune) rune {
		if unicode.IsControl(char) {
			return ' '
		}
		return char
	}, strings.ToValidUTF8(reason, "?"))
}

// Collector gathers objects up to the limits of what is kept of a kind.
type Collector struct {
	// LeftOut is the number of objects that were left out.
	LeftOut int

	objects    []Object
	bytes      int
	unreadable int
}

// Add adds an object, unless there are too many.
func (collector *Collector) Add(object Object) {
	if object.Unreadable != "" {
		object.Value = nil
	}
	isFull := len(collector.objects) >= maxObjects
	if object.Unreadable != "" && (isFull || collector.unreadable >= maxUnreadable) || isFull && !collector.dropUnreadable() {
		collector.LeftOut++
		return
	}
	if object.Unreadable != "" {
		collector.unreadable++
	}
	collector.objects = append(collector.objects, object)
	collector.bytes += len(object.Value)
	if collector.bytes > maxKeptBytes {
		collector.trim()
	}
}

// dropUnreadable drops an object that can't be read, and reports whether there was one.
func (collector *Collector) dropUnreadable() bool {
	if collector.unreadable == 0 {
		return false
	}
	i := slices.IndexFunc(collector.objects, func(object Object) bool { return object.Unreadable != "" })
	collector.objects = slices.Delete(collector.objects, i, i+1)
	collector.unreadable--
	collector.LeftOut++
	return true
}

// trim makes the objects with the largest values unreadable: entries of targets are small.
func (collector *Collector) trim() {
	bySize := make([]int, len(collector.objects))
	for i := range bySize {
		bySize[i] = i
	}
	slices.SortFunc(bySize, func(one, other int) int {
		return cmp.Compare(len(collector.objects[other].Value), len(collector.objects[one].Value))
	})
	for _, i := range bySize {
		if float64(collector.bytes) <= trimFraction*maxKeptBytes {
			return
		}
		object := &collector.objects[i]
		collector.bytes -= len(object.Value)
		object.Value, object.Unreadable = nil, tooMuch
		collector.unreadable++
	}
}

// Objects returns the objects that are kept.
func (collector *Collector) Objects() []Object { return collector.objects }

// trim returns the objects of a state within the limits, and the number of those left out.
// The oldest are kept: they have been of use.
func trim(objects map[string]Object) (kept map[string]Object, leftOut int) {
	bytes, unreadable := 0, 0
	for _, object := range objects {
		bytes += len(object.Value)
		if object.Unreadable != "" {
			unreadable++
		}
	}
	if len(objects) <= maxObjects && unreadable <= maxUnreadable && bytes <= maxKeptBytes {
		return objects, 0
	}
	collector := &Collector{}
	byAge := slices.SortedFunc(maps.Values(objects), func(one, other Object) int {
		return cmp.Or(cmp.Compare(one.Revision, other.Revision), cmp.Compare(one.Name, other.Name))
	})
	for _, object := range byAge {
		collector.Add(object)
	}
	kept = make(map[string]Object, len(collector.objects))
	for _, object := range collector.objects {
		kept[object.Name] = object
	}
	return kept, collector.LeftOut
}
