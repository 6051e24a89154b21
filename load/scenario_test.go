package load

import (
	"testing"

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
