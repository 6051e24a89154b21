package discovery

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
)

var (
	eventRoutesInForce = timeline.Define(timeline.Kind{
		Number: 8105, Name: "routes in force", Level: timeline.Info,
		Meaning: "A new version of the routes took effect on this host; the detail is the version.",
	})
	eventRoutesUnreadable = timeline.Define(timeline.Kind{
		Number: 8106, Name: "routes unreadable", Level: timeline.Error,
		Meaning: "The platform's object with the routes can't be decoded; the detail has its key, its revision and the reason. The version in force stays.",
		Action:  "write a configuration that this program can read",
	})
	eventFiguresIgnored = timeline.Define(timeline.Kind{
		Number: 8112, Name: "figures of the routes ignored", Level: timeline.Error,
		Meaning: "The version of the routes in the fact took effect without the figures in the detail, which are out of their range and count as not given.",
		Action:  "write a configuration with other figures, as docs/operators/platform.md lists them",
	})
)

// Routes decodes the platform's object that holds the routes, and keeps the newest
// version in force. Its fields must be set before Apply.
type Routes struct {
	// Name is the name of the object that holds the routes.
	Name string
	// Decode decodes the object's value.
	Decode func(value []byte) (*route.Configuration, error)
	Events *timeline.Recorder
	// OnChange is called with each new table.
	OnChange func(*route.Table)

	inForce atomic.Pointer[routesInForce]

	mutex    sync.Mutex
	reporter Reporter
}

// routesInForce are the routes in force with the value that they were decoded from.
type routesInForce struct {
	table *route.Table
	value []byte
}

// Table returns the routes in force, nil if there are none yet.
func (routes *Routes) Table() *route.Table {
	if inForce := routes.inForce.Load(); inForce != nil {
		return inForce.table
	}
	return nil
}

// Value returns the value that the routes in force were decoded from. The platform's
// object may be older.
func (routes *Routes) Value() []byte {
	if inForce := routes.inForce.Load(); inForce != nil {
		return inForce.value
	}
	return nil
}

// Version returns the version of the routes in force, 0 if there are none.
func (routes *Routes) Version() int64 {
	if table := routes.Table(); table != nil {
		return table.Configuration.Version
	}
	return 0
}

// Apply decodes the routes of a new state and puts them in force. It ignores a
// state without routes, a version that is not newer, and an object that can't be
// decoded.
func (routes *Routes) Apply(state State) {
	object, ok := state.Objects[routes.Name]
	if !ok {
		return
	}
	routes.apply(object)
}

// Learn puts routes in force that another host has, if they are newer.
func (routes *Routes) Learn(revision int64, value []byte) {
	routes.apply(Object{Name: routes.Name, Revision: revision, Value: value})
}

func (routes *Routes) apply(object Object) {
	routes.mutex.Lock()
	defer routes.mutex.Unlock()
	var configuration *route.Configuration
	if object.Unreadable == "" {
		var err error
		if configuration, err = routes.Decode(object.Value); err != nil {
			object.Unreadable = err.Error()
		}
	}
	if object.Unreadable != "" {
		routes.reporter.Kind, routes.reporter.Event, routes.reporter.Events = "routes", eventRoutesUnreadable, routes.Events
		routes.reporter.Report([]Object{object})
		return
	}
	if configuration.Version <= routes.Version() {
		return
	}
	table := route.NewTable(configuration)
	routes.inForce.Store(&routesInForce{table: table, value: object.Value})
	version := strconv.FormatInt(configuration.Version, 10)
	routes.Events.Record(eventRoutesInForce, timeline.Event{Detail: version})
	if len(configuration.Ignored) > 0 {
		metrics.GetOrCreateCounter("nutmegfield_routes_figures_ignored_total").Add(len(configuration.Ignored))
		routes.Events.Record(eventFiguresIgnored, timeline.Event{
			Detail: truncate(strings.Join(configuration.Ignored, ", ")), Facts: []timeline.Fact{{Key: "version", Value: version}},
		})
	}
	routes.OnChange(table)
}
