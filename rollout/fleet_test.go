package rollout

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

var fleetHosts = flag.Int("rollout.hosts", 24, "the largest number of hosts of TestFleets, up to 330")

// maxHostBytes is the number of bytes that a host may send a second for rollouts. The deciding
// one of a large fleet, and each of a small one, may send no more.
const maxHostBytes = 2000

// TestFleets plays a bad and a good version with 3 to 330 hosts, of which each has a request or
// two a second, and holds what hosts send against the bound. It guards against shares, sums and
// messages that depend on the number of hosts.
func TestFleets(t *testing.T) {
	for _, hosts := range []int{3, 8, 16, 24, 66, 150, 330} {
		if hosts > *fleetHosts {
			continue
		}
		for _, isBad := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/bad=%t", hosts, isBad), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runFleet(t, hosts, isBad) })
			})
		}
	}
}

func runFleet(t *testing.T, hosts int, isBad bool) {
	targets := max(3, 2*hosts/3)
	scenario := &scenario{
		hosts: hosts, rate: 1.5*float64(hosts) + 20, duration: 40 * time.Second, oldTargets: targets, newTargets: targets, slots: 8,
		patience: 10 * time.Second, want: "completed",
		routes: []simulatedRoute{
			{name: "plain", part: 0.5, first: 80 * time.Millisecond, events: 1, spread: 0.4},
			{name: "chat", part: 0.5, first: 250 * time.Millisecond, gap: 40 * time.Millisecond, events: 20, spread: 0.3},
		},
		faults: []simulatedFault{{part: 0.01}},
	}
	if isBad {
		scenario.faults = append(scenario.faults, simulatedFault{version: newVersion, part: 0.3})
		scenario.want = "rolledBack"
	}
	simulation := newSimulation(t, scenario, 1)
	simulation.run(t.Context())
	simulation.check()
	perHost := simulation.bytes / hosts / int(scenario.duration.Seconds())
	qt.Assert(t, perHost <= maxHostBytes, qt.IsTrue, qt.Commentf("%d bytes a second", perHost))
}

// BenchmarkChoose measures what a rollout costs a request, and a pool without one.
func BenchmarkChoose(b *testing.B) {
	target := &balance.Target{ID: "t", Pool: simulatedPool, Version: oldVersion}
	for _, name := range []string{"none", "rollout"} {
		rollouts := &Rollouts{
			Hosts: func() []string { return nil }, Revision: func() int64 { return 1 }, Events: &timeline.Recorder{},
			Serves: func(string, *balance.Restriction) (exists, hasRoom bool) { return true, true },
		}
		if name == "rollout" {
			rollouts.SetOrders([]Order{{Name: simulatedPool, Pool: simulatedPool, Version: newVersion, Duration: time.Minute, Revision: 1}}, nil, 1)
		}
		rollouts.SetTargets([]balance.Target{*target, {ID: "n", Pool: simulatedPool, Version: newVersion}}, 1)
		rollouts.Tick(b.Context(), time.Now())
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				choice := rollouts.Choose(simulatedPool, "chat", time.Second, false)
				attempt := rollouts.Begin(target, "chat", true, false)
				rollouts.MaySend(target, choice, "chat", time.Second)
				attempt.First()
				attempt.End(0, false)
			}
		})
	}
}
