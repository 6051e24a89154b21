package once_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"nutmegfield.example/once"
)

// objects is a store of versioned values with simulated faults.
type objects struct {
	mutex   sync.Mutex
	values  map[string]once.Object
	version int64
	random  *rand.Rand
	// lossRate is the fraction of writes whose answer is lost; half of them
	// take effect. failureRate is the fraction of calls that fail without
	// effect.
	lossRate, failureRate float64
	// maxDelay is the longest duration of a call.
	maxDelay time.Duration
	// maxLateness is the longest time after which a write whose answer was
	// lost takes effect.
	maxLateness time.Duration
	// retention is how long the stores on these objects keep records.
	retention time.Duration

	reads, writes, bytes int
}

// occurs randomly reports whether a fault with the given rate occurs. The rate
// is a pointer so that it is read under the mutex: clearFaults may change it.
func (objects *objects) occurs(rate *float64) bool {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	return objects.random.Float64() < *rate
}

func (objects *objects) sleepUpTo(limit time.Duration) {
	if limit <= 0 {
		return
	}
	objects.mutex.Lock()
	wait := time.Duration(objects.random.Int64N(int64(limit)))
	objects.mutex.Unlock()
	time.Sleep(wait)
}

// clearFaults ends the simulated losses and failures.
func (objects *objects) clearFaults() {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.lossRate, objects.failureRate = 0, 0
}

func (objects *objects) read(_ context.Context, name string) (once.Object, error) {
	objects.sleepUpTo(objects.maxDelay)
	if objects.occurs(&objects.failureRate) {
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
	objects.sleepUpTo(objects.maxDelay)
	if objects.occurs(&objects.failureRate) {
		return 0, once.Unavailable.New("down")
	}
	if objects.occurs(&objects.lossRate) {
		half := 0.5
		if objects.occurs(&half) {
			go func() {
				objects.sleepUpTo(objects.maxLateness)
				_, _ = objects.put(object)
			}()
			objects.sleepUpTo(objects.maxLateness)
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

func (objects *objects) store(writeInterval time.Duration) *once.Store {
	store := &once.Store{}
	for index := range once.RangeCount {
		store.Ranges = append(store.Ranges, &once.KeyRange{
			Name: once.RangeName(index), Read: objects.read, Write: objects.write, Remove: objects.remove,
			Retention: func() time.Duration { return objects.retention }, WriteInterval: writeInterval,
		})
	}
	return store
}

func newObjects(seed uint64) *objects {
	return &objects{retention: 24 * time.Hour, values: map[string]once.Object{}, random: rand.New(rand.NewPCG(seed, seed))}
}
