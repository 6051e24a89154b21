package once_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"nutmegfield.example/once"
	"nutmegfield.example/request"
)

// call is one operation on a key, for the checker.
type call struct {
	action once.Action
	id     request.ID
}

// verdict is what the caller heard of it.
type verdict struct {
	mine bool
}

// holder is the state of a key: whose it is.
type holder struct {
	id    request.ID
	state once.State
}

// model says that a claim is mine only when no other request holds the key.
func model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return holder{} },
		Step: func(state, input, output any) (bool, any) {
			return step(state.(holder), input.(call), output.(verdict))
		},
		Equal: func(one, other any) bool { return fmt.Sprint(one) == fmt.Sprint(other) },
	}
}

func step(held holder, asked call, heard verdict) (bool, any) {
	free := held.state == 0 || held.state == once.Returned && held.id != asked.id
	own := held.id == asked.id && held.state == once.Running
	switch asked.action {
	case once.ActionClaim:
		if !heard.mine {
			// Whether it took effect and was taken back or never did, it does
			// not hold the key for good.
			return true, held
		}
		return free || own, holder{id: asked.id, state: once.Running}
	case once.ActionEnd:
		if own {
			held.state = once.Ended
		}
		return true, held
	default:
		if own {
			held.state = once.Returned
		}
		return true, held
	}
}

// trial is one random run of callers against hosts that race for few keys.
type trial struct {
	objects *objects
	hosts   []*once.Store
	random  *rand.Rand

	mutex      sync.Mutex
	operations map[once.Key][]porcupine.Operation
	ran        map[once.Key][]request.ID
}

func (trial *trial) intn(n int) int {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	return trial.random.IntN(n)
}

func (trial *trial) do(client int, store *once.Store, action once.Action, key once.Key, record once.Record) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+trial.intn(3000))*time.Millisecond)
	defer cancel()
	begun := time.Now().UnixNano()
	var mine bool
	var err error
	switch action {
	case once.ActionClaim:
		var claim once.Claim
		claim, err = store.Claim(ctx, key, record)
		mine = err == nil && claim.Granted
	case once.ActionEnd:
		err = store.End(ctx, key, record)
	default:
		err = store.Release(ctx, key, record)
	}
	ended := time.Now().UnixNano()
	if err != nil {
		// It may take effect at any time from now on.
		ended = int64(1) << 62
	}
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.operations[key] = append(trial.operations[key], porcupine.Operation{
		ClientId: client, Input: call{action, record.Request}, Call: begun,
		Output: verdict{mine: mine}, Return: ended,
	})
	return mine
}

// client sends requests with one of few keys to one of the hosts, and does
// what an entry host does.
func (trial *trial) client(number, requests int) {
	for range requests {
		key := once.NewKey("clubs", "orders", fmt.Sprint(trial.intn(3)))
		store := trial.hosts[trial.intn(len(trial.hosts))]
		record := once.Record{Request: trial.newID(), BodyHash: sha256.Sum256([]byte("pay")), CreatedAt: time.Now()}
		if !trial.do(number, store, once.ActionClaim, key, record) {
			continue
		}
		time.Sleep(time.Duration(trial.intn(200)) * time.Millisecond)
		switch trial.intn(3) {
		case 0:
			trial.do(number, store, once.ActionReturn, key, record)
		case 1:
			trial.run(key, record)
			trial.do(number, store, once.ActionEnd, key, record)
		default:
			// The host dies after the dispatch.
			trial.run(key, record)
		}
	}
}

func (trial *trial) run(key once.Key, record once.Record) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.ran[key] = append(trial.ran[key], record.Request)
}

func (trial *trial) newID() request.ID {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	var id request.ID
	for i := range id {
		id[i] = byte(trial.random.Uint32())
	}
	return id
}

// remote passes an action to another host, whose answer is often lost.
func (trial *trial) remote(self int) func(context.Context, int, once.Action, once.Key, once.Record) (once.Claim, once.RemoteResult) {
	return func(_ context.Context, index int, action once.Action, key once.Key, record once.Record) (once.Claim, once.RemoteResult) {
		keeper := index % len(trial.hosts)
		if keeper == self || trial.intn(4) == 0 {
			return once.Claim{}, once.NotAsked
		}
		if trial.intn(4) == 0 {
			go func() {
				time.Sleep(time.Duration(trial.intn(5000)) * time.Millisecond)
				_, _ = trial.hosts[keeper].Serve(context.Background(), action, key, record)
			}()
			return once.Claim{}, once.NoAnswer
		}
		claim, err := trial.hosts[keeper].Serve(context.Background(), action, key, record)
		if err != nil || trial.intn(4) == 0 {
			return once.Claim{}, once.NoAnswer
		}
		return claim, once.Answered
	}
}

// checkFree sees that a key under which nothing ran can be claimed again once
// the faults are over.
func (trial *trial) checkFree(c *qt.C) {
	for key := range trial.operations {
		if len(trial.ran[key]) > 0 {
			continue
		}
		record := once.Record{Request: trial.newID(), CreatedAt: time.Now()}
		claim, err := trial.hosts[0].Serve(context.Background(), once.ActionClaim, key, record)
		c.Check(err, qt.IsNil)
		c.Check(claim.Granted, qt.IsTrue, qt.Commentf("key %s is held by %+v", key, claim.Record))
	}
}

func newTrial(seed uint64) *trial {
	trial := &trial{
		objects:    newObjects(seed),
		random:     rand.New(rand.NewPCG(seed, 1)),
		operations: map[once.Key][]porcupine.Operation{},
		ran:        map[once.Key][]request.ID{},
	}
	trial.objects.lose, trial.objects.fail = 0.15, 0.1
	trial.objects.delay, trial.objects.late = 20*time.Millisecond, 3*time.Second
	for range 3 {
		trial.hosts = append(trial.hosts, trial.objects.store(10*time.Millisecond))
	}
	for i, host := range trial.hosts {
		host.Forward = trial.remote(i)
	}
	return trial
}

func TestRacingHostsRunAKeyAtMostOnce(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				trial := newTrial(seed)
				var group sync.WaitGroup
				for number := range 4 {
					group.Go(func() { trial.client(number, 6) })
				}
				group.Wait()
				trial.objects.heal()
				// Let what is late and what is tried again come to its end.
				time.Sleep(2 * time.Hour)
				trial.checkFree(c)
				for key, ran := range trial.ran {
					c.Check(len(ran) <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", key, len(ran)))
				}
				for key, operations := range trial.operations {
					result := porcupine.CheckOperationsTimeout(model(), operations, time.Minute)
					c.Check(result, qt.Equals, porcupine.Ok, qt.Commentf("key %s: %v", key, operations))
				}
			})
		})
	}
}

// TestClaimThatEndsWithItsContext lets the answer and the end of the context
// come at one moment: whoever is told of no right must not leave the key held.
func TestClaimThatEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		objects := newObjects(1)
		store := objects.store(0)
		store.Ranges[0].Write = func(ctx context.Context, object once.Object) (int64, error) {
			time.Sleep(20 * time.Millisecond)
			return objects.write(ctx, object)
		}
		store.Ranges = store.Ranges[:1]
		for i := range 200 {
			key := once.NewKey("clubs", "orders", fmt.Sprint(i))
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			first, err := store.Claim(ctx, key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
			cancel()
			time.Sleep(time.Minute)
			second, secondErr := store.Claim(context.Background(), key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
			c.Assert(secondErr, qt.IsNil)
			c.Assert(second.Granted, qt.Equals, err != nil || !first.Granted, qt.Commentf("claim %d: %v", i, err))
		}
	})
}

// TestKeeperThatFailsDoesNotReturnAnothersClaim lets the keeper of a range fail
// while the entry host writes the claim by itself and runs.
func TestKeeperThatFailsDoesNotReturnAnothersClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		objects := newObjects(1)
		keeper := objects.store(0)
		for _, kept := range keeper.Ranges {
			read := kept.Read
			kept.Read = func(ctx context.Context, name string) (once.Object, error) {
				if time.Now().Before(time.Date(2000, 1, 1, 0, 0, 5, 0, time.UTC)) {
					return once.Object{}, once.Unavailable.New("cut off")
				}
				return read(ctx, name)
			}
		}
		entry := objects.store(0)
		entry.Forward = func(ctx context.Context, _ int, action once.Action, key once.Key, record once.Record) (once.Claim, once.RemoteResult) {
			_, err := keeper.Serve(ctx, action, key, record)
			c.Assert(err, qt.IsNotNil)
			return once.Claim{}, once.NoAnswer
		}
		key := once.NewKey("clubs", "orders", "1")
		claim, err := entry.Claim(context.Background(), key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
		c.Assert(err, qt.IsNil)
		c.Assert(claim.Granted, qt.IsTrue)
		time.Sleep(time.Hour)
		claim, err = keeper.Claim(context.Background(), key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
		c.Assert(err, qt.IsNil)
		c.Assert(claim.Granted, qt.IsFalse)
	})
}

func TestFullHeadsAreSealedAndKeepTheirRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		objects := newObjects(1)
		store := objects.store(time.Millisecond)
		const count = 6000
		answer := make([]byte, 512)
		var group sync.WaitGroup
		for i := range count {
			group.Go(func() {
				key := once.NewKey("clubs", "orders", fmt.Sprint(i))
				record := once.Record{Request: request.NewID(), CreatedAt: time.Now(), Answer: answer}
				claim, err := store.Claim(context.Background(), key, record)
				c.Check(err, qt.IsNil)
				c.Check(claim.Granted, qt.IsTrue)
				c.Check(store.End(context.Background(), key, record), qt.IsNil)
			})
		}
		group.Wait()
		other := objects.store(time.Millisecond)
		for i := range count {
			key := once.NewKey("clubs", "orders", fmt.Sprint(i))
			claim, err := other.Claim(context.Background(), key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
			c.Assert(err, qt.IsNil)
			c.Assert(claim.Granted, qt.IsFalse)
			c.Assert(claim.Record.State, qt.Equals, once.Ended)
		}
		for name, object := range objects.values {
			c.Check(len(object.Value) < 1<<20, qt.IsTrue, qt.Commentf("%s: %d bytes", name, len(object.Value)))
		}
	})
}

func TestRecordsAreDroppedAfterTheirRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		objects := newObjects(1)
		objects.retention = time.Hour
		store := objects.store(0)
		key := once.NewKey("clubs", "orders", "1")
		claim, err := store.Claim(context.Background(), key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
		c.Assert(err, qt.IsNil)
		c.Assert(claim.Granted, qt.IsTrue)
		time.Sleep(2 * time.Hour)
		claim, err = store.Claim(context.Background(), key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
		c.Assert(err, qt.IsNil)
		c.Assert(claim.Granted, qt.IsTrue)
	})
}

// mostCalls is the platform's share for records, in calls a second, at 200
// records a second: it takes several hundred writes in all.
const mostCalls = 300

// TestCallsPerRecord logs what a record costs the platform, for its claim and
// its end, at steady rates; run it with -v for the table.
func TestCallsPerRecord(t *testing.T) {
	for _, rate := range []int{1, 20, 200} {
		for _, window := range []time.Duration{0, once.GroupWindow} {
			synctest.Test(t, func(t *testing.T) {
				calls, bytes, wait := measureCalls(rate, window)
				t.Logf("%d records/s, window %s: %.2f calls and %.0f bytes a record, %s a claim",
					rate, window, calls, bytes, wait)
				if window == once.GroupWindow {
					qt.Check(t, calls*float64(rate) <= mostCalls, qt.IsTrue)
				}
			})
		}
	}
}

func measureCalls(rate int, window time.Duration) (calls, bytes float64, wait time.Duration) {
	const seconds = 10
	objects := newObjects(1)
	objects.delay = 10 * time.Millisecond
	store := objects.store(window)
	waits := make([]time.Duration, rate*seconds)
	var group sync.WaitGroup
	for i := range waits {
		group.Go(func() {
			key := once.NewKey("clubs", "orders", fmt.Sprint(i))
			record := once.Record{Request: request.NewID(), CreatedAt: time.Now(), Answer: make([]byte, 200)}
			begun := time.Now()
			_, _ = store.Claim(context.Background(), key, record)
			waits[i] = time.Since(begun)
			time.Sleep(100 * time.Millisecond)
			_ = store.End(context.Background(), key, record)
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	group.Wait()
	for _, one := range waits {
		wait += one / time.Duration(len(waits))
	}
	records := float64(len(waits))
	return float64(objects.reads+objects.writes) / records, float64(objects.bytes) / records, wait
}
