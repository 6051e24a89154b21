package trial_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/request"
)

// turnWithin is how long the callers of a zone may feel that its targets are
// gone, or that the zone was cut off.
const turnWithin = 5 * time.Second

// chats asks at the hosts, one request after the other at each, until the
// time.
func (world *world) chats(ledger *ledger, ids []string, until time.Time) (wait func()) {
	ended := make(chan struct{}, len(ids))
	for _, id := range ids {
		go func() {
			for i := 0; time.Now().Before(until); i++ {
				ledger.add(world.chat(id, "sizing", fmt.Sprint(id, "x", i), false, 20))
				time.Sleep(100 * time.Millisecond)
			}
			ended <- struct{}{}
		}()
	}
	return func() {
		for range ids {
			<-ended
		}
	}
}

func (world *world) zoneHosts(zone string) []string {
	var ids []string
	for _, id := range world.hostIDs() {
		if world.hosts[id].zone == zone {
			ids = append(ids, id)
		}
	}
	return ids
}

// checkServed sees that all that was asked from a time on was served.
func (world *world) checkServed(ledger *ledger, from time.Time) {
	served := 0
	for _, asked := range ledger.asks {
		if asked.begun.Before(from) {
			continue
		}
		served++
		world.c.Check(asked.outcome, qt.Equals, request.Done, qt.Commentf("%+v", *asked))
	}
	world.c.Check(served > 0, qt.IsTrue)
}

// TestZoneWithoutTargets: all engines of a zone are gone. Its callers are
// served by the other zone's, and by their own again when those are back.
func TestZoneWithoutTargets(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.twoZones()
		ledger := &ledger{}
		gone := time.Now().Add(2 * time.Second)
		wait := world.chats(ledger, world.zoneHosts("a"), gone.Add(20*time.Second))
		time.Sleep(time.Until(gone))
		for _, name := range []string{"e1", "e2"} {
			world.network.bury(world.targets[name].place)
		}
		wait()
		world.check(ledger)
		world.checkServed(ledger, gone.Add(turnWithin))
		for _, name := range []string{"e1", "e2"} {
			target := world.targets[name]
			world.network.revive(target.place)
			target.server = world.serve(target.place+":8000", target.server.Handler)
		}
		back := time.Now()
		world.chats(ledger, world.zoneHosts("a"), back.Add(60*time.Second))()
		world.check(ledger)
		world.checkServed(ledger, back)
		own := 0
		for _, name := range []string{"e1", "e2"} {
			for _, received := range world.targets[name].received() {
				if received.At.After(back) {
					own++
				}
			}
		}
		world.c.Check(own > 0, qt.IsTrue)
	})
}

// TestCutZoneServesAlone: a zone cut off from the other and from the platform
// serves its callers from its own engines.
func TestCutZoneServesAlone(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.twoZones()
		ledger := &ledger{}
		cut := time.Now().Add(2 * time.Second)
		wait := world.chats(ledger, world.hostIDs(), cut.Add(20*time.Second))
		time.Sleep(time.Until(cut))
		for _, pair := range world.pairsOfZone("b", true) {
			world.network.setCut(pair[0], pair[1], true)
		}
		wait()
		world.check(ledger)
		world.checkServed(ledger, cut.Add(turnWithin))
	})
}
