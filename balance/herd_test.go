package balance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestManyHostsAtOnce has one request come to each of 64 hosts before any of
// them hears of another's: the load is spread over the targets that are about
// as good, and the slow one gets none.
func TestManyHostsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const hosts, fast = 64, 8
		draws := rand.New(rand.NewPCG(1, 1))
		taken := map[string]int{}
		for range hosts {
			balancer := &Balancer{ReportsAreLate: func() bool { return true }, Draw: draws.IntN}
			var targets []Target
			for i := range fast {
				targets = append(targets, Target{ID: fmt.Sprint("fast", i), Pool: scriptPool, Slots: 8})
			}
			targets = append(targets, Target{ID: "slow", Pool: scriptPool, Slots: 8})
			balancer.SetTargets(targets, map[string]bool{scriptPool: true})
			for _, target := range targets {
				perToken := 10 * time.Microsecond
				if target.ID == "slow" {
					perToken *= 3
				}
				balancer.targets[target.ID].tell(perToken)
			}
			grant, err := balancer.Acquire(context.Background(), &Ticket{Pool: scriptPool, PromptTokens: 10000})
			c.Assert(err, qt.IsNil)
			taken[grant.Target.ID]++
		}
		c.Assert(taken["slow"], qt.Equals, 0)
		for target, count := range taken {
			c.Assert(count <= 2*hosts/fast, qt.IsTrue, qt.Commentf("%s: %d of %d", target, count, hosts))
		}
	})
}
