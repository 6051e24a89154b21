package budget

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHostsTogetherKeepTheBudget has every host repeat all it may, at steady
// load and through a silence: no window holds more repeats than the whole
// budget, and most of it can be used.
func TestHostsTogetherKeepTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const hosts, window = 7, 10
		budgets := make([]*Budget, hosts)
		for i := range budgets {
			budgets[i] = &Budget{Ratio: 0.2, Window: window * time.Second, Spare: 54, Hosts: func() int { return hosts }}
		}
		var requests, repeats []int
		for second := range 40 {
			asked, repeated := 0, 0
			for range 10 {
				for _, budget := range budgets {
					if second < 20 || second >= 30 {
						budget.RecordRequest("p")
						asked++
					}
					for range 3 {
						if budget.AllowRetry("p") {
							repeated++
						}
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			requests, repeats = append(requests, asked), append(repeats, repeated)
		}
		for first := range len(repeats) - window {
			asked, before, repeated := 0, 0, 0
			for second := first; second < first+window; second++ {
				asked += requests[second]
				repeated += repeats[second]
				if second >= window {
					before += requests[second-window]
				}
			}
			allowed := 0.2*float64(max(asked, before)) + 54
			c.Assert(float64(repeated) <= allowed, qt.IsTrue, qt.Commentf("window at %d: %d of %.0f", first, repeated, allowed))
		}
		total := 0
		for _, repeated := range repeats[10:20] {
			total += repeated
		}
		c.Assert(total > 100, qt.IsTrue, qt.Commentf("%d repeats in a window of 700 requests", total))
	})
}
