// Package trial_test runs whole hosts, with the real kernel and parts, on a
// network in memory and a paused clock, brings failures about, and holds what
// the targets received against what the callers were told.
package trial_test

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	klog "github.com/go-kratos/kratos/v2/log"

	"nutmegfield.example/invariant"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "run only this seed")
	seedsFlag = flag.Uint64("seeds", 2, "number of seeds")
)

// callers send requests of every kind to random hosts until the time, with a
// pause between.
func (world *world) callers(ledger *ledger, count int, until time.Time) *sync.WaitGroup {
	var group sync.WaitGroup
	for number := range count {
		group.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				world.askSomething(ledger, fmt.Sprintf("m%dx%d", number, i))
				time.Sleep(time.Duration(50+world.intn(400)) * time.Millisecond)
			}
		})
	}
	return &group
}

func (world *world) anyHost() string {
	ids := world.hostIDs()
	return ids[world.intn(len(ids))]
}

func (world *world) askSomething(ledger *ledger, mark string) {
	switch world.intn(6) {
	case 0:
		ledger.add(world.chat(world.anyHost(), "designDraft", mark, false, 20))
	case 1:
		ledger.add(world.chat(world.anyHost(), "sizing", mark, true, 60))
	case 2:
		ledger.add(world.chat(world.anyHost(), "tagging", mark, true, 10))
	case 3:
		ledger.add(world.status(world.anyHost(), mark))
	default:
		world.payUntilSure(ledger, mark)
	}
}

// payUntilSure resends a payment under its key, at another host each time, as
// long as it is told that it was not run or that this is not known.
func (world *world) payUntilSure(ledger *ledger, key string) {
	for try := range 4 {
		asked := world.pay(world.anyHost(), key, fmt.Sprintf("%s-%d", key, try))
		ledger.add(asked)
		if asked.outcome == "done" {
			return
		}
		time.Sleep(time.Duration(world.intn(3000)) * time.Millisecond)
	}
}

// breaches collects the broken invariants of all runs; those that run at the
// same time share them.
type breaches struct {
	mutex    sync.Mutex
	messages []string
}

func (breaches *breaches) add(message string) {
	breaches.mutex.Lock()
	defer breaches.mutex.Unlock()
	breaches.messages = append(breaches.messages, message)
}

func (breaches *breaches) since(count int) []string {
	breaches.mutex.Lock()
	defer breaches.mutex.Unlock()
	return breaches.messages[count:]
}

var broken breaches

func TestMain(m *testing.M) {
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	invariant.OnBreach(broken.add)
	os.Exit(m.Run())
}

// runSeeds runs a trial for each seed, several at a time.
func runSeeds(t *testing.T, run func(world *world)) {
	first, last := uint64(1), *seedsFlag
	if *seedFlag > 0 {
		first, last = *seedFlag, *seedFlag
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			before := len(broken.since(0))
			synctest.Test(t, func(t *testing.T) { runSeed(t, seed, run) })
			for _, message := range broken.since(before) {
				t.Errorf("broken while it ran: %s", message)
			}
		})
	}
}

func runSeed(t *testing.T, seed uint64, run func(world *world)) {
	world := newWorld(qt.New(t), seed)
	defer world.close()
	run(world)
	if t.Failed() {
		t.Log(strings.Join(world.notes, "\n"))
		t.Logf("replay: go test ./trial -run '%s' -seed %d", t.Name(), seed)
	}
}

func TestQuietSystemAnswersEverything(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.addTarget("e1", "engine", 0, 0)
		world.addTarget("e2", "engine", 0, 1)
		world.addTarget("s1", "service", 0, 2)
		world.apply(world.configuration())
		world.addHosts(1, 3)
		world.awaitReady()
		time.Sleep(5 * time.Second)
		ledger := &ledger{}
		world.callers(ledger, 8, time.Now().Add(20*time.Second)).Wait()
		world.check(ledger)
		counts := ledger.tally()
		world.c.Check(counts["done"], qt.Equals, len(ledger.asks), qt.Commentf("%v", counts))
	})
}

// twoZones is two zones with engines of unlike speed and a service in each.
func (world *world) twoZones() {
	world.addTarget("e1", "engine", 0, 0)
	world.addTarget("e2", "engine", 0, 1)
	world.addTarget("e3", "engine", 1, 0)
	world.addTarget("s1", "service", 0, 2)
	world.addTarget("s2", "service", 1, 2)
	world.apply(world.configuration())
	world.addHosts(2, 3)
	world.awaitReady()
	time.Sleep(5 * time.Second)
}

// TestFaults brings the faults about, one kind a run, while callers ask.
func TestFaults(t *testing.T) {
	for _, fault := range faults {
		t.Run(strings.ReplaceAll(fault.name, " ", "-"), func(t *testing.T) {
			runSeeds(t, func(world *world) { world.underFaults(1, fault) })
		})
	}
}

// TestTwoFaultsAtOnce draws from all of them, two at a time.
func TestTwoFaultsAtOnce(t *testing.T) {
	runSeeds(t, func(world *world) { world.underFaults(2, faults...) })
}

const (
	faultSpan = 30 * time.Second
	// healSpan is how long after the last fault the system must be as new.
	healSpan = 15 * time.Second
)

func (world *world) underFaults(atOnce int, chosen ...fault) {
	world.twoZones()
	ledger := &ledger{}
	world.ledger = ledger
	until := time.Now().Add(faultSpan)
	asking := world.callers(ledger, 8, until)
	var plagues sync.WaitGroup
	for range atOnce {
		plagues.Go(func() { world.plague(until, chosen) })
	}
	plagues.Wait()
	asking.Wait()
	world.check(ledger)
	time.Sleep(healSpan)
	world.awaitReady()
	world.checkHealed()
	counts := ledger.tally()
	world.c.Check(counts["done"] > len(ledger.asks)/3, qt.IsTrue, qt.Commentf("%v", counts))
}

// checkHealed sees that every kind of request is served again at every host.
func (world *world) checkHealed() {
	after := &ledger{}
	for i, id := range world.hostIDs() {
		mark := fmt.Sprint("healed", i)
		after.add(world.chat(id, "designDraft", mark+"c", false, 10))
		after.add(world.chat(id, "sizing", mark+"s", true, 10))
		after.add(world.status(id, mark+"o"))
		after.add(world.pay(id, mark+"p", mark+"p"))
	}
	world.check(after)
	for _, asked := range after.asks {
		world.c.Check(string(asked.outcome), qt.Equals, "done", qt.Commentf("%+v", *asked))
	}
}
