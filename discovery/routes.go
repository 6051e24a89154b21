package discovery

import (
	"strconv"
	"sync/atomic"

	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
)

var (
	eventConfiguration = timeline.Define(timeline.Kind{
		Number: 8105, Name: "routes in force", Level: timeline.Info,
		Meaning: "A new version of the routes came in force on this host; the detail is the version.",
	})
	eventBadConfiguration = timeline.Define(timeline.Kind{
		Number: 8106, Name: "routes unreadable", Level: timeline.Error,
		Meaning: "The platform's object of the routes can't be read; the version in force stays.",
		Action:  "write a configuration that this program reads",
	})
)

// Routes keeps the routes at their newest version. Fields are set before
// Apply.
type Routes struct {
	// Name is the object's name.
	Name string
	// Decode reads the object.
	Decode func(value []byte) (*route.Configuration, error)
	Events *timeline.Recorder
	// OnChange gets each new table.
	OnChange func(*route.Table)

	table atomic.Pointer[route.Table]
	// refused is the revision that could not be read last.
	refused int64
}

// Table returns the routes in force, nil for none.
func (routes *Routes) Table() *route.Table { return routes.table.Load() }

// Version is that in force, 0 for none.
func (routes *Routes) Version() int64 {
	if table := routes.Table(); table != nil {
		return table.Configuration.Version
	}
	return 0
}

// Apply takes a new state of the object. An older version is passed over.
func (routes *Routes) Apply(state State) {
	object, ok := state.Objects[routes.Name]
	if !ok {
		return
	}
	configuration, err := routes.Decode(object.Value)
	if err != nil {
		if routes.refused != object.Revision {
			routes.refused = object.Revision
			routes.Events.Record(eventBadConfiguration, timeline.Event{Detail: err.Error()})
		}
		return
	}
	if configuration.Version <= routes.Version() {
		return
	}
	table := route.NewTable(configuration)
	routes.table.Store(table)
	routes.Events.Record(eventConfiguration, timeline.Event{Detail: strconv.FormatInt(configuration.Version, 10)})
	routes.OnChange(table)
}
