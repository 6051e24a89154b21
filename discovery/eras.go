package discovery

import (
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/timeline"
)

// revisionBits is the number of low bits of a revision that hold the platform's own; the
// others hold the era.
const revisionBits = 40

var (
	eventEraBegan = timeline.Define(timeline.Kind{
		Number: 8107, Name: "platform came back from an older copy", Level: timeline.Warn,
		Meaning: "What the platform acknowledged in its last seconds is gone; the detail is the new era. The routes in force stay, and targets whose entries are missing are used for 2.2 s more.",
		Action:  "none; check that the last configuration is written again",
	})
	eventEraFell = timeline.Define(timeline.Kind{
		Number: 8108, Name: "platform's era fell", Level: timeline.Error,
		Meaning: "The platform named a lower era than before, which can't be; the detail has both. It is taken as a new era, and nothing is forgotten.",
		Action:  "find out which store answers at the platform's address",
	})
)

var (
	erasBegun   = metrics.GetOrCreateCounter("nutmegfield_platform_eras_total")
	erasMissing = metrics.GetOrCreateCounter("nutmegfield_platform_eras_missing_total")
)

// NewRevision returns the number by which this program orders a revision of the platform
// in an era: those of a later era are higher than all of earlier ones. It fails with
// Unavailable if one of them is out of range.
func NewRevision(era, revision int64) (int64, error) {
	if revision < 0 || revision >= 1<<revisionBits || era < 0 || era >= 1<<(63-revisionBits) {
		return 0, Unavailable.New("era %d or revision %d is out of range", era, revision)
	}
	return era<<revisionBits | revision, nil
}

// SplitRevision returns the era and the platform's own revision of a result of NewRevision.
func SplitRevision(revision int64) (era, own int64) {
	return revision >> revisionBits, revision & (1<<revisionBits - 1)
}

// Eras orders the eras of the platform. One ends when the platform comes back from an
// older copy of its objects. The zero value is ready for use; exported fields are set
// before.
type Eras struct {
	Events *timeline.Recorder
	// OnChange is called when a new era has begun, also if another host told so. It may
	// be nil.
	OnChange func()

	mutex sync.Mutex
	// current is the present era, if isKnown is set. named is what the platform calls it,
	// if isNamed is set: the same, unless it fell once.
	current, named   int64
	isKnown, isNamed bool
	changedAt        time.Time
}

// Current returns the present era.
func (eras *Eras) Current() int64 {
	eras.mutex.Lock()
	defer eras.mutex.Unlock()
	return eras.current
}

// RecordMissing records an answer that names no era, though others did, and returns the
// present one.
func (eras *Eras) RecordMissing() int64 {
	eras.mutex.Lock()
	defer eras.mutex.Unlock()
	if eras.isKnown {
		erasMissing.Inc()
	}
	return eras.current
}

// Observe records the era that an answer names, and returns the one that the answer is
// ordered by. It fails with Unavailable if the call was made in an earlier era.
func (eras *Eras) Observe(named int64, calledAt time.Time) (int64, error) {
	eras.mutex.Lock()
	current, event := eras.current, timeline.Event{}
	switch {
	case eras.isNamed && named == eras.named:
	case named < current && calledAt.Before(eras.changedAt):
		eras.mutex.Unlock()
		return 0, Unavailable.New("answer of era %d, which is over", named)
	case !eras.isNamed:
		current = max(current, named)
	case named > eras.named:
		current += named - eras.named
	default:
		current++
		event.Detail = "from " + strconv.FormatInt(eras.named, 10) + " to " + strconv.FormatInt(named, 10)
	}
	eras.named, eras.isNamed = named, true
	begins := eras.advance(current)
	eras.mutex.Unlock()
	if event.Detail != "" {
		eras.Events.Record(eventEraFell, event)
	}
	eras.announce(begins, current)
	return current, nil
}

// Learn records the era of a revision that another host knows.
func (eras *Eras) Learn(revision int64) {
	era, _ := SplitRevision(revision)
	eras.mutex.Lock()
	if eras.isKnown && era <= eras.current {
		eras.mutex.Unlock()
		return
	}
	eras.isNamed = false
	begins := eras.advance(era)
	eras.mutex.Unlock()
	eras.announce(begins, era)
}

// advance sets the present era, and reports whether a new one begins with it. The caller
// holds the mutex.
func (eras *Eras) advance(era int64) bool {
	if eras.isKnown && era == eras.current {
		return false
	}
	isFirst := !eras.isKnown
	eras.current, eras.isKnown, eras.changedAt = era, true, time.Now()
	return !isFirst
}

// announce tells of an era that began.
func (eras *Eras) announce(begins bool, era int64) {
	if !begins {
		return
	}
	erasBegun.Inc()
	eras.Events.Record(eventEraBegan, timeline.Event{Detail: strconv.FormatInt(era, 10)})
	if eras.OnChange != nil {
		eras.OnChange()
	}
}
