package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPoolsWithoutTargetsAreForgotten guards against a host that grows with each name of a pool
// in the entries of other writers, and against forgetting what is known of a pool as its targets
// are replaced.
func TestPoolsWithoutTargetsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		balancer := &Balancer{}
		for i := range 100 {
			targets := []Target{{ID: "odd", Pool: fmt.Sprint("odd", i), Slots: 1}}
			if i%2 == 0 {
				targets = append(targets, Target{ID: "t", Pool: "p", Slots: 1})
			}
			balancer.SetTargets(targets, nil)
			if i == 0 {
				balancer.pools["p"].baseLatency = 1
			}
			time.Sleep(time.Minute)
		}
		c.Check(len(balancer.pools) <= 12, qt.IsTrue, qt.Commentf("%d pools", len(balancer.pools)))
		c.Check(balancer.pools["p"].baseLatency, qt.Equals, 1.0)
	})
}
