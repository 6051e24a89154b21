package load

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sampled is the interval of the requests that are compared.
const sampled = 50

// TestNamedScenarios checks that 1.0 is what it says: at the rate of the file
// the engines are just busy.
func TestNamedScenarios(t *testing.T) {
	for _, name := range []string{"bootPersonalisation", "tourSeason"} {
		scenario, err := Load(name)
		qt.Assert(t, err, qt.IsNil)
		requests := scenario.Schedule(1)
		utilisation := scenario.Utilisation(requests)
		t.Logf("%s: %d requests, utilisation %.3f", name, len(requests), utilisation)
		qt.Check(t, utilisation > 0.95 && utilisation < 1.05, qt.IsTrue, qt.Commentf("%s: %.3f", name, utilisation))
		again := scenario.Schedule(1)
		qt.Assert(t, again, qt.HasLen, len(requests))
		for i := 0; i < len(requests); i += sampled {
			qt.Assert(t, again[i].Chain(), qt.DeepEquals, requests[i].Chain())
		}
	}
}

// TestCrashingRequestsOfASchedule checks that a fault adds the same request again and
// again, and that it is not judged.
func TestCrashingRequestsOfASchedule(t *testing.T) {
	c := qt.New(t)
	scenario, err := Load("tourSeason")
	c.Assert(err, qt.IsNil)
	scenario.Duration = 20 * time.Second
	scenario.Faults = []Fault{{At: 5 * time.Second, For: 2 * time.Second, Crashing: scenario.Classes[0].Name, Every: 400 * time.Millisecond, Down: time.Second}}
	var crashing []*Request
	for _, request := range scenario.Schedule(1) {
		if request.Crashing != nil {
			crashing = append(crashing, request)
		}
	}
	c.Assert(crashing, qt.HasLen, 5)
	for _, request := range crashing {
		c.Assert(request.Text(), qt.Equals, crashing[0].Text())
		c.Assert(request.Workspace, qt.Equals, crashing[0].Workspace)
	}
	report := NewReport(scenario, []*Result{{Request: crashing[4]}})
	c.Assert(report.Tiers[crashing[0].Tier].Offered, qt.Equals, 0)
}
