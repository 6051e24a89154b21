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

// call is the input of an operation for the linearizability checker.
type call struct {
	action once.Action
	id     request.ID
}

// response is the output of an operation for the linearizability checker.
type response struct {
	granted bool
}

// keyState is the state of a key: its last claim and the claim's state.
type keyState struct {
	id    request.ID
	state once.State
}

// model is the sequential specification of a key: a claim is granted only if
// no other request holds the key.
func model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return keyState{} },
		Step: func(state, input, output any) (bool, any) {
			return step(state.(keyState), input.(call), output.(response))
		},
		Equal: func(one, other any) bool { return fmt.Sprint(one) == fmt.Sprint(other) },
	}
}

func step(held keyState, call call, response response) (bool, any) {
	free := held.state == 0 || held.state == once.Released && held.id != call.id
	own := held.id == call.id && held.state == once.Running
	switch call.action {
	case once.ActionClaim:
		if !response.granted {
			// A refused claim has no lasting effect: it was never recorded, or
			// is released.
			return true, held
		}
		return free || own, keyState{id: call.id, state: once.Running}
	case once.ActionEnd:
		if own {
			held.state = once.Ended
		}
		return true, held
	default:
		if own {
			held.state = once.Released
		}
		return true, held
	}
}

// trial is one random run of concurrent callers on several hosts with few
// keys.
type trial struct {
	objects *objects
	hosts   []*once.Store
	random  *rand.Rand

	mutex      sync.Mutex
	operations map[once.Key][]porcupine.Operation
	executed   map[once.Key][]request.ID
}

func (trial *trial) intn(n int) int {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	return trial.random.IntN(n)
}

func (trial *trial) do(client int, store *once.Store, action once.Action, key once.Key, record once.Record) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+trial.intn(3000))*time.Millisecond)
	defer cancel()
	calledAt := time.Now().UnixNano()
	var granted bool
	var err error
	switch action {
	case once.ActionClaim:
		var result once.Result
		result, err = store.Claim(ctx, key, record)
		granted = err == nil && result.Granted
	case once.ActionEnd:
		err = store.End(ctx, key, record)
	default:
		err = store.Release(ctx, key, record)
	}
	returnedAt := time.Now().UnixNano()
	if err != nil {
		// After an error the action may still take effect at any later time.
		returnedAt = int64(1) << 62
	}
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.operations[key] = append(trial.operations[key], porcupine.Operation{
		ClientId: client, Input: call{action, record.Request}, Call: calledAt,
		Output: response{granted: granted}, Return: returnedAt,
	})
	return granted
}

// client acts as an entry host: it claims random keys at random hosts, and
// releases or executes the requests.
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
			trial.do(number, store, once.ActionRelease, key, record)
		case 1:
			trial.recordExecution(key, record)
			trial.do(number, store, once.ActionEnd, key, record)
		default:
			// The host crashes after the dispatch.
			trial.recordExecution(key, record)
		}
	}
}

func (trial *trial) recordExecution(key once.Key, record once.Record) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	trial.executed[key] = append(trial.executed[key], record.Request)
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

// forward returns the Store.Forward of a host. It often does not forward an
// action, or loses the answer, or delays the action as well.
func (trial *trial) forward(self int) func(context.Context, int, once.Action, once.Key, once.Record) (once.Result, once.RemoteStatus) {
	return func(_ context.Context, index int, action once.Action, key once.Key, record once.Record) (once.Result, once.RemoteStatus) {
		owner := index % len(trial.hosts)
		if owner == self || trial.intn(4) == 0 {
			return once.Result{}, once.NotForwarded
		}
		if trial.intn(4) == 0 {
			go func() {
				time.Sleep(time.Duration(trial.intn(5000)) * time.Millisecond)
				_, _ = trial.hosts[owner].Serve(context.Background(), action, key, record)
			}()
			return once.Result{}, once.NoAnswer
		}
		result, err := trial.hosts[owner].Serve(context.Background(), action, key, record)
		if err != nil || trial.intn(4) == 0 {
			return once.Result{}, once.NoAnswer
		}
		return result, once.Answered
	}
}

// checkClaimable checks that a key under which no request was executed can be
// claimed once the faults have ended.
func (trial *trial) checkClaimable(c *qt.C) {
	for key := range trial.operations {
		if len(trial.executed[key]) > 0 {
			continue
		}
		record := once.Record{Request: trial.newID(), CreatedAt: time.Now()}
		result, err := trial.hosts[0].Serve(context.Background(), once.ActionClaim, key, record)
		c.Check(err, qt.IsNil)
		c.Check(result.Granted, qt.IsTrue, qt.Commentf("key %s is held by %+v", key, result.Record))
	}
}

func newTrial(seed uint64) *trial {
	trial := &trial{
		objects:    newObjects(seed),
		random:     rand.New(rand.NewPCG(seed, 1)),
		operations: map[once.Key][]porcupine.Operation{},
		executed:   map[once.Key][]request.ID{},
	}
	trial.objects.lossRate, trial.objects.failureRate = 0.15, 0.1
	trial.objects.maxDelay, trial.objects.maxLateness = 20*time.Millisecond, 3*time.Second
	for range 3 {
		trial.hosts = append(trial.hosts, trial.objects.store(10*time.Millisecond))
	}
	for i, host := range trial.hosts {
		host.Forward = trial.forward(i)
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
				trial.objects.clearFaults()
				// Wait until late writes have taken effect and releases have
				// been retried.
				time.Sleep(2 * time.Hour)
				trial.checkClaimable(c)
				for key, executed := range trial.executed {
					c.Check(len(executed) <= 1, qt.IsTrue, qt.Commentf("key %s was executed %d times", key, len(executed)))
				}
				for key, operations := range trial.operations {
					result := porcupine.CheckOperationsTimeout(model(), operations, time.Minute)
					c.Check(result, qt.Equals, porcupine.Ok, qt.Commentf("key %s: %v", key, operations))
				}
			})
		})
	}
}

// The write of a claim and the claim's context end at the same time. A caller
// that gets an error must not leave the key claimed.
func TestClaimWhoseContextEndsWithTheWrite(t *testing.T) {
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

// The owner of a range can't reach the platform to write a forwarded claim;
// the entry host then writes the claim itself and runs the request. The owner
// must not release that claim later.
func TestFailingOwnerDoesNotReleaseAnotherHostsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		objects := newObjects(1)
		owner := objects.store(0)
		for _, keyRange := range owner.Ranges {
			read := keyRange.Read
			keyRange.Read = func(ctx context.Context, name string) (once.Object, error) {
				if time.Now().Before(time.Date(2000, 1, 1, 0, 0, 5, 0, time.UTC)) {
					return once.Object{}, once.Unavailable.New("cut off")
				}
				return read(ctx, name)
			}
		}
		entry := objects.store(0)
		entry.Forward = func(ctx context.Context, _ int, action once.Action, key once.Key, record once.Record) (once.Result, once.RemoteStatus) {
			_, err := owner.Serve(ctx, action, key, record)
			c.Assert(err, qt.IsNotNil)
			return once.Result{}, once.NoAnswer
		}
		key := once.NewKey("clubs", "orders", "1")
		result, err := entry.Claim(context.Background(), key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
		c.Assert(err, qt.IsNil)
		c.Assert(result.Granted, qt.IsTrue)
		time.Sleep(time.Hour)
		result, err = owner.Claim(context.Background(), key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
		c.Assert(err, qt.IsNil)
		c.Assert(result.Granted, qt.IsFalse)
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
				result, err := store.Claim(context.Background(), key, record)
				c.Check(err, qt.IsNil)
				c.Check(result.Granted, qt.IsTrue)
				c.Check(store.End(context.Background(), key, record), qt.IsNil)
			})
		}
		group.Wait()
		other := objects.store(time.Millisecond)
		for i := range count {
			key := once.NewKey("clubs", "orders", fmt.Sprint(i))
			result, err := other.Claim(context.Background(), key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
			c.Assert(err, qt.IsNil)
			c.Assert(result.Granted, qt.IsFalse)
			c.Assert(result.Record.State, qt.Equals, once.Ended)
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
		result, err := store.Claim(context.Background(), key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
		c.Assert(err, qt.IsNil)
		c.Assert(result.Granted, qt.IsTrue)
		time.Sleep(2 * time.Hour)
		result, err = store.Claim(context.Background(), key, once.Record{Request: request.NewID(), CreatedAt: time.Now()})
		c.Assert(err, qt.IsNil)
		c.Assert(result.Granted, qt.IsTrue)
	})
}

// maxCallRate limits the platform calls per second for records, at 200 records
// per second. The platform accepts several hundred writes per second in all.
const maxCallRate = 300

// TestCallsPerRecord checks that records at constant rates cause at most
// maxCallRate platform calls. With -v it logs the calls per record, for claim
// and end together.
func TestCallsPerRecord(t *testing.T) {
	for _, rate := range []int{1, 20, 200} {
		for _, writeInterval := range []time.Duration{0, once.WriteInterval} {
			synctest.Test(t, func(t *testing.T) {
				calls, bytes, wait := measureCalls(rate, writeInterval)
				t.Logf("%d records/s, write interval %s: %.2f calls and %.0f bytes per record, %s per claim",
					rate, writeInterval, calls, bytes, wait)
				if writeInterval == once.WriteInterval {
					qt.Check(t, calls*float64(rate) <= maxCallRate, qt.IsTrue)
				}
			})
		}
	}
}

func measureCalls(rate int, writeInterval time.Duration) (calls, bytes float64, wait time.Duration) {
	const seconds = 10
	objects := newObjects(1)
	objects.maxDelay = 10 * time.Millisecond
	store := objects.store(writeInterval)
	waits := make([]time.Duration, rate*seconds)
	var group sync.WaitGroup
	for i := range waits {
		group.Go(func() {
			key := once.NewKey("clubs", "orders", fmt.Sprint(i))
			record := once.Record{Request: request.NewID(), CreatedAt: time.Now(), Answer: make([]byte, 200)}
			startedAt := time.Now()
			_, _ = store.Claim(context.Background(), key, record)
			waits[i] = time.Since(startedAt)
			time.Sleep(100 * time.Millisecond)
			_ = store.End(context.Background(), key, record)
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	group.Wait()
	for _, waited := range waits {
		wait += waited / time.Duration(len(waits))
	}
	records := float64(len(waits))
	return float64(objects.reads+objects.writes) / records, float64(objects.bytes) / records, wait
}
