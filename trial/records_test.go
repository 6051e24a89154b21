package trial_test

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/request"
	"nutmegfield.example/standin"
)

// slowService is two zones whose one service takes longer for a payment than
// the resends come apart.
func (world *world) slowService(delay time.Duration) {
	world.serviceDelay = delay
	world.addTarget("s1", "service", 0, 0)
	world.apply(world.configuration())
	world.addHosts(2, 2)
	world.awaitReady()
	time.Sleep(5 * time.Second)
}

// paySpread sends a payment and, while it runs, resends of its key at every
// host.
func (world *world) paySpread(ledger *ledger, key string) *sync.WaitGroup {
	var paying sync.WaitGroup
	for i, id := range world.hostIDs() {
		paying.Go(func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			ledger.add(world.pay(id, key, key+id))
		})
	}
	return &paying
}

// TestResendsShareOneAnswer: resends of a running payment at all hosts get its
// one answer.
func TestResendsShareOneAnswer(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.slowService(6 * time.Second)
		ledger := &ledger{}
		world.paySpread(ledger, "order1").Wait()
		world.check(ledger)
		for _, asked := range ledger.asks {
			world.c.Check(asked.outcome, qt.Equals, request.Done, qt.Commentf("%+v", *asked))
			world.c.Check(asked.id, qt.Equals, ledger.asks[0].id)
		}
	})
}

// deadWithin bounds how long a resend may wait for the word that the host of
// its key is dead; its own deadline is 15 s.
const deadWithin = 12 * time.Second

// TestResendOfADeadHost: the host that holds the key is killed while the
// payment runs. The others hear unknown, and hear it again after the host came
// back under its id.
func TestResendOfADeadHost(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.slowService(8 * time.Second)
		ledger := &ledger{}
		paying := world.paySpread(ledger, "order1")
		time.Sleep(3 * time.Second)
		world.kill("a1")
		killed := time.Now()
		paying.Wait()
		world.start("a1")
		world.awaitReady()
		again := time.Now()
		ledger.add(world.pay("a1", "order1", "again"))
		world.check(ledger)
		for _, asked := range ledger.asks {
			comment := qt.Commentf("%+v", *asked)
			if asked.host == "a1" && asked.begun.Before(killed) {
				world.c.Check(asked.err, qt.IsNotNil, comment)
				continue
			}
			world.c.Check(asked.outcome, qt.Equals, request.Unknown, comment)
			world.c.Check(asked.retry, qt.Equals, "", comment)
			world.c.Check(asked.ended.Sub(killed) < deadWithin || asked.ended.Sub(again) < time.Second, qt.IsTrue, comment)
		}
	})
}

// TestAnswerOutlivesThePlatform: the platform is down when a payment's answer
// comes. A resend at another host gets it once the platform is back.
func TestAnswerOutlivesThePlatform(t *testing.T) {
	runSeeds(t, func(world *world) {
		world.slowService(2 * time.Second)
		ledger := &ledger{}
		var paying sync.WaitGroup
		paying.Go(func() { ledger.add(world.pay("a1", "order1", "first")) })
		time.Sleep(time.Second)
		world.fault(standin.PlatformFaults{Down: true})
		paying.Wait()
		time.Sleep(40 * time.Second)
		world.fault(standin.PlatformFaults{})
		time.Sleep(time.Minute)
		ledger.add(world.pay("b1", "order1", "resent"))
		world.check(ledger)
		for _, asked := range ledger.asks {
			world.c.Check(asked.outcome, qt.Equals, request.Done, qt.Commentf("%+v", *asked))
		}
	})
}
