// Package timeline keeps the numbered events of a host in a ring in memory
// and writes them to the log. The rings of all hosts merge into one time
// line of the system.
package timeline

import (
	"fmt"
	"sort"
	"sync"
)

// Level is how much an event matters to an operator.
type Level uint8

// The levels. Trace events go to the ring only.
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

// Kind is a numbered sort of event.
type Kind struct {
	Number int
	Name   string
	Level  Level
	// Frequent kinds come with each request; under load only some of their
	// lines are logged.
	Frequent bool
	// Meaning is one sentence for docs/EVENTS.md.
	Meaning string
	// Action is what an operator should do, mostly nothing.
	Action string
}

var catalogue struct {
	sync.Mutex
	kinds []Kind
}

// Define adds a kind to the catalogue. Packages call it for their variables;
// a number used twice panics at start.
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

// Catalogue returns every defined kind by number.
func Catalogue() []Kind {
	catalogue.Lock()
	defer catalogue.Unlock()
	kinds := append([]Kind(nil), catalogue.kinds...)
	sort.Slice(kinds, func(i, j int) bool { return kinds[i].Number < kinds[j].Number })
	return kinds
}
