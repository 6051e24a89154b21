package trial_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/request"
	"nutmegfield.example/standin"
)

// restartAfter is how long a crashed engine is down.
const restartAfter = 2 * time.Second

// nurse starts crashed engines again until the context ends, and counts their
// crashes.
func (world *world) nurse(ctx context.Context, names ...string) (wait func() map[string]int) {
	var group sync.WaitGroup
	var mutex sync.Mutex
	crashes := map[string]int{}
	for _, name := range names {
		group.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(100 * time.Millisecond)
				if world.answers(name) {
					continue
				}
				mutex.Lock()
				crashes[name]++
				mutex.Unlock()
				world.note(name + " crashed")
				time.Sleep(restartAfter)
				world.engineFault(name, standin.EngineFaults{Poison: true})
			}
		})
	}
	return func() map[string]int {
		group.Wait()
		return crashes
	}
}

func (world *world) answers(name string) bool {
	response, err := world.client.Get("http://" + world.targets[name].place + ":8000/engine/load")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// bystanders ask the same over and over, each its own, until the context ends.
func (world *world) bystanders(ctx context.Context, ledger *ledger, ids []string) *sync.WaitGroup {
	var group sync.WaitGroup
	for _, id := range ids {
		group.Go(func() {
			for ctx.Err() == nil {
				ledger.add(world.chat(id, "sizing", "bystander "+id, true, 50))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return &group
}

// fill asks so much at once, each ask unlike the others, that every engine is
// needed.
func (world *world) fill(ledger *ledger, count int) {
	var asking sync.WaitGroup
	for i := range 4 * count {
		asking.Go(func() { ledger.add(world.chat(world.anyHost(), "sizing", fmt.Sprint("filling ", i), true, 100)) })
	}
	asking.Wait()
}

// TestPoison: a prompt crashes the engine that it runs on. Its sender is
// refused after the second crash; the others are served on and every engine
// takes work again.
func TestPoison(t *testing.T) {
	runSeeds(t, func(world *world) {
		engines := []string{"e1", "e2", "e3"}
		for i, name := range engines {
			world.addTarget(name, "engine", 0, i)
			world.engineFault(name, standin.EngineFaults{Poison: true})
		}
		world.apply(world.configuration())
		world.addHosts(1, 3)
		world.awaitReady()
		time.Sleep(5 * time.Second)
		ctx, stop := context.WithCancel(context.Background())
		nursed := world.nurse(ctx, engines...)
		served, poison := &ledger{}, &ledger{}
		asking := world.bystanders(ctx, served, append(world.hostIDs(), world.hostIDs()...))
		for range 6 {
			time.Sleep(time.Second)
			poison.add(world.chat(world.anyHost(), "designDraft", standin.Poison, false, 10))
		}
		time.Sleep(10 * time.Second)
		calm := time.Now()
		time.Sleep(5 * time.Second)
		stop()
		asking.Wait()
		world.fill(served, 3)
		crashes := 0
		for _, count := range nursed() {
			crashes += count
		}
		world.check(served)
		world.check(poison)
		world.c.Check(crashes, qt.Equals, 2)
		refused := 0
		for _, asked := range poison.asks {
			if asked.reason == request.ReasonQuarantined {
				refused++
			}
		}
		world.c.Check(refused, qt.Equals, len(poison.asks)-2)
		for _, asked := range served.asks {
			world.c.Check(asked.reason, qt.Not(qt.Equals), request.ReasonQuarantined, qt.Commentf("%+v", *asked))
		}
		world.checkServed(served, calm)
		for _, name := range engines {
			list := world.targets[name].received()
			last := list[len(list)-1].At
			world.c.Check(last.After(calm), qt.IsTrue, qt.Commentf("%s got nothing after it came back", name))
		}
	})
}

// TestCutConnectionIsNoCrash: the connections to an engine break again and
// again while it lives. Nobody is held to have crashed it.
func TestCutConnectionIsNoCrash(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.addTarget("e1", "engine", 0, 0)
		world.apply(world.configuration())
		world.addHosts(1, 3)
		world.awaitReady()
		time.Sleep(5 * time.Second)
		ctx, stop := context.WithCancel(context.Background())
		ledger := &ledger{}
		var asking sync.WaitGroup
		for i, id := range world.hostIDs() {
			asking.Go(func() {
				for ctx.Err() == nil {
					ledger.add(world.chat(id, "designDraft", fmt.Sprint("same", i), false, 200))
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		for range 8 {
			time.Sleep(1500 * time.Millisecond)
			world.network.resetAll(world.targets["e1"].place)
		}
		stop()
		asking.Wait()
		world.check(ledger)
		counts := ledger.tally()
		world.c.Check(counts[request.Unknown] > 0, qt.IsTrue)
		for _, asked := range ledger.asks {
			world.c.Check(asked.reason, qt.Not(qt.Equals), request.ReasonQuarantined, qt.Commentf("%+v", *asked))
		}
	})
}
