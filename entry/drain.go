package entry

import (
	"strconv"

	"github.com/joomcode/errorx"

	"nutmegfield.example/timeline"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("entry")
	// Cut is returned by a drain that ended before every running answer did.
	Cut = Errors.NewType("cut")
)

func (entry *Entry) cut() error {
	left := entry.inFlight.Load()
	entry.Events.Record(eventCut, timeline.Event{Detail: strconv.FormatInt(left, 10)})
	return Cut.New("%d running answers were cut", left)
}
