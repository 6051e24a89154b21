package once_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"nutmegfield.example/once"
)

// objects is a store of versioned values with faults.
type objects struct {
	mutex   sync.Mutex
	values  map[string]once.Object
	version int64
	random  *rand.Rand
	// lose is the share of writes whose answer is lost, half of them after
	// taking effect; fail the share of calls that fail without effect.
	lose, fail float64
	// delay is the longest time of a call.
	delay time.Duration
	// late is the longest time after which a lost write still takes effect.
	late time.Duration
	// retention is of the stores over it.
	retention time.Duration

	reads, writes, bytes int
}

// chance draws against a share that heal may change.
func (objects *objects) chance(share *float64) bool {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	return objects.random.Float64() < *share
}

func (objects *objects) pause(most time.Duration) {
	if most <= 0 {
		return
	}
	objects.mutex.Lock()
	wait := time.Duration(objects.random.Int64N(int64(most)))
	objects.mutex.Unlock()
	time.Sleep(wait)
}

// heal ends all faults.
func (objects *objects) heal() {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.lose, objects.fail = 0, 0
}

func (objects *objects) read(_ context.Context, name string) (once.Object, error) {
	objects.pause(objects.delay)
	if objects.chance(&objects.fail) {
		return once.Object{}, once.Unavailable.New("down")
	}
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.reads++
	object, ok := objects.values[name]
	if !ok {
		return object, once.NotFound.New("no %s", name)
	}
	return object, nil
}

func (objects *objects) write(_ context.Context, object once.Object) (int64, error) {
	objects.pause(objects.delay)
	if objects.chance(&objects.fail) {
		return 0, once.Unavailable.New("down")
	}
	if objects.chance(&objects.lose) {
		half := 0.5
		if objects.chance(&half) {
			go func() {
				objects.pause(objects.late)
				_, _ = objects.put(object)
			}()
			objects.pause(objects.late)
		}
		return 0, once.Lost.New("no answer")
	}
	return objects.put(object)
}

func (objects *objects) put(object once.Object) (int64, error) {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.writes++
	objects.bytes += len(object.Value)
	if objects.values[object.Name].Version != object.Version {
		return 0, once.Conflict.New("version %d", objects.values[object.Name].Version)
	}
	objects.version++
	object.Version = objects.version
	object.Value = append([]byte(nil), object.Value...)
	objects.values[object.Name] = object
	return objects.version, nil
}

func (objects *objects) remove(_ context.Context, name string) error {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.writes++
	delete(objects.values, name)
	return nil
}

func (objects *objects) store(window time.Duration) *once.Store {
	store := &once.Store{}
	for index := range once.RangeCount {
		store.Ranges = append(store.Ranges, &once.KeyRange{
			Name: once.RangeName(index), Read: objects.read, Write: objects.write, Remove: objects.remove,
			Retention: func() time.Duration { return objects.retention }, WriteInterval: window,
		})
	}
	return store
}

func newObjects(seed uint64) *objects {
	return &objects{retention: 24 * time.Hour, values: map[string]once.Object{}, random: rand.New(rand.NewPCG(seed, seed))}
}
