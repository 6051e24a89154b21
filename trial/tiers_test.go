package trial_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/kernel"
	"nutmegfield.example/peer"
)

// schedulerOf names the host that schedules a pool in a zone, by the view of a
// host.
func (world *world) schedulerOf(by, zone, pool string) string {
	links, err := kernel.Require[peer.Links](world.hosts[by].kernel)
	world.c.Assert(err, qt.IsNil)
	responsible, _ := links.Members.View().Responsible(zone, pool)
	return responsible.ID
}

// TestTierOrderAtTakeover floods a small pool from the hosts of a zone while
// the host of its scheduler goes and comes back.
func TestTierOrderAtTakeover(t *testing.T) {
	for _, way := range []struct {
		name string
		end  func(world *world, id string)
	}{
		{"drained", func(world *world, id string) { _ = world.drain(id) }},
		{"killed", (*world).kill},
	} {
		t.Run(way.name, func(t *testing.T) {
			runSeeds(t, func(world *world) { world.floodThroughTakeover(way.end) })
		})
	}
}

func (world *world) floodThroughTakeover(end func(world *world, id string)) {
	world.addTarget("e1", "engine", 0, 0)
	configuration := world.configuration()
	configuration.Pools[0].MaxWaiting = 20
	world.apply(configuration)
	world.addHosts(1, 4)
	world.awaitReady()
	time.Sleep(2 * time.Second)
	scheduler := world.schedulerOf("a1", "a", "design")
	var others []string
	for _, id := range world.hostIDs() {
		if id != scheduler {
			others = append(others, id)
		}
	}
	ledger := &ledger{}
	var asking sync.WaitGroup
	for i := range 400 {
		asking.Go(func() {
			time.Sleep(time.Duration(world.intn(16000)) * time.Millisecond)
			profile := []string{"designDraft", "sizing", "tagging"}[world.intn(3)]
			ledger.add(world.chat(others[world.intn(len(others))], profile, fmt.Sprint("flood", i), false, 100))
		})
	}
	time.Sleep(4 * time.Second)
	end(world, scheduler)
	time.Sleep(4 * time.Second)
	world.start(scheduler)
	asking.Wait()
	world.check(ledger)
	world.checkTierOrder(ledger)
}
