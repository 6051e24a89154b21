// Package timeline keeps the newest events of a host in a ring buffer in memory
// and writes them to the log. The ring buffers of all hosts can be merged into
// one timeline of the system.
package timeline

import (
	"fmt"
	"sort"
	"sync"
)

// Level is the severity of an event.
type Level uint8

// Levels by rising severity. Trace events are kept in the ring buffer only, not
// logged.
const (
	Trace Level = iota
	Info
	Warn
	Error
)

// String returns the level's name.
func (level Level) String() string {
	return [...]string{"trace", "info", "warn", "error"}[level]
}

// Kind describes a type of event. Number identifies it.
type Kind struct {
	Number int
	Name   string
	Level  Level
	// Frequent events occur on each request; under load, only some of them are
	// logged.
	Frequent bool
	// Meaning describes the event in docs/EVENTS.md.
	Meaning string
	// Action is what an operator should do; an empty Action becomes "none".
	Action string
}

var catalogue struct {
	sync.Mutex
	kinds []Kind
}

// Define adds a kind to the catalogue and returns it. Packages call it to
// initialize their variables; it panics if the number is already in use.
func Define(kind Kind) Kind {
	catalogue.Lock()
	defer catalogue.Unlock()
	for _, other := range catalogue.kinds {
		if other.Number == kind.Number {
			panic(fmt.Sprintf("event %d defined twice: %s, %s", kind.Number, other.Name, kind.Name))
		}
	}
	if kind.Action == "" {
		kind.Action = "none"
	}
	catalogue.kinds = append(catalogue.kinds, kind)
	return kind
}

// Catalogue returns all defined kinds, sorted by number.
func Catalogue() []Kind {
	catalogue.Lock()
	defer catalogue.Unlock()
	kinds := append([]Kind(nil), catalogue.kinds...)
	sort.Slice(kinds, func(i, j int) bool { return kinds[i].Number < kinds[j].Number })
	return kinds
}
