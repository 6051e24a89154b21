// Package standin simulates model engines, plain services and the platform, with
// faults that can be switched on, for tests and trials.
package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"nutmegfield.example/objects"
)

// Platform simulates the platform's object API in memory. Its methods are those
// of objects.Client, for use in the same process; Handler serves them over
// HTTP. The zero value is ready to use.
type Platform struct {
	mutex   sync.Mutex
	objects map[objectKey]storedObject
	version int64
	changed chan struct{}
	hosts   []hostList
	faults  PlatformFaults
	limiter *rate.Limiter
	calls   map[string]int
}

// PlatformFaults selects the faults that a platform simulates.
type PlatformFaults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// LoseAnswers makes writes take effect but loses their answers.
	LoseAnswers bool `json:"loseWrites"`
	// LoseNextAnswers is the number of further writes whose answers are lost.
	LoseNextAnswers int `json:"loseNext"`
	// DropNextWrites is the number of further writes that are lost before they
	// take effect. Callers get the same error as for a lost answer.
	DropNextWrites int `json:"dropNext"`
	// Delay is added to the duration of every call.
	Delay time.Duration `json:"delay"`
	// WatchGaps hides changes from watches.
	WatchGaps bool `json:"watchGaps"`
	// StaleReads makes reads and watches return the version before the current
	// one, if there is one.
	StaleReads bool `json:"oldReads"`
	// HostsLag is the age of the list of hosts that is returned.
	HostsLag time.Duration `json:"hostsLag"`
	// Rate limits the calls a second; a watch counts once, however long it
	// waits. 0 is no limit.
	Rate float64 `json:"rate"`
}

type objectKey struct{ kind, name string }

// storedObject holds the current and the previous version of an object; either
// may be the zero Object if there is none.
type storedObject struct{ current, previous objects.Object }

type hostList struct {
	at    time.Time
	hosts []objects.ListedHost
}

// API returns the platform's methods as an objects.API.
func (platform *Platform) API() objects.API {
	return objects.API{
		Get:    platform.Get,
		Put:    platform.Put,
		Delete: platform.Delete,
		Watch:  platform.Watch,
		List:   platform.List,
		Hosts:  platform.Hosts,
	}
}

// CutOff returns an API whose calls fail with Unavailable while isCutOff returns
// true, as on a host that can't reach the platform. A watch that waits meanwhile
// fails when it returns.
func CutOff(api objects.API, isCutOff func() bool) objects.API {
	check := func() error {
		if isCutOff() {
			return objects.Unavailable.New("cut off")
		}
		return nil
	}
	return objects.API{
		Get: func(ctx context.Context, kind, name string) (objects.Object, error) {
			if err := check(); err != nil {
				return objects.Object{}, err
			}
			return api.Get(ctx, kind, name)
		},
		Put: func(ctx context.Context, object objects.Object) (int64, error) {
			if err := check(); err != nil {
				return 0, err
			}
			return api.Put(ctx, object)
		},
		Delete: func(ctx context.Context, kind, name string, version int64) error {
			if err := check(); err != nil {
				return err
			}
			return api.Delete(ctx, kind, name, version)
		},
		Watch: func(ctx context.Context, kind, name string, after int64, wait time.Duration) (objects.Object, bool, error) {
			if err := check(); err != nil {
				return objects.Object{}, false, err
			}
			object, changed, err := api.Watch(ctx, kind, name, after, wait)
			if lost := check(); lost != nil {
				return objects.Object{}, false, lost
			}
			return object, changed, err
		},
		List: func(ctx context.Context, kind string) ([]objects.Object, error) {
			if err := check(); err != nil {
				return nil, err
			}
			return api.List(ctx, kind)
		},
		Hosts: func(ctx context.Context) ([]objects.ListedHost, error) {
			if err := check(); err != nil {
				return nil, err
			}
			return api.Hosts(ctx)
		},
	}
}

// SetFaults replaces the faults, resets the rate limit and wakes all watches.
func (platform *Platform) SetFaults(faults PlatformFaults) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.faults = faults
	platform.limiter = nil
	if faults.Rate > 0 {
		platform.limiter = rate.NewLimiter(rate.Limit(faults.Rate), max(1, int(faults.Rate)))
	}
	platform.wakeWatches()
}

// SetHosts replaces the list of hosts, which Hosts returns after HostsLag.
func (platform *Platform) SetHosts(hosts []objects.ListedHost) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.hosts = append(platform.hosts, hostList{time.Now(), hosts})
}

// Calls returns the number of calls so far by name, such as "get" or "watch".
func (platform *Platform) Calls() map[string]int {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	calls := map[string]int{}
	for name, count := range platform.calls {
		calls[name] = count
	}
	return calls
}

// beginCall counts a call, waits for Delay and returns an error if the context
// has ended, the rate limit is reached or the platform is down.
func (platform *Platform) beginCall(ctx context.Context, name string) error {
	platform.mutex.Lock()
	if platform.calls == nil {
		platform.calls = map[string]int{}
	}
	platform.calls[name]++
	faults := platform.faults
	limited := platform.limiter != nil && !platform.limiter.Allow()
	platform.mutex.Unlock()
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return objects.Unavailable.Wrap(ctx.Err(), "delayed call")
		}
	}
	switch {
	case ctx.Err() != nil:
		return objects.Unavailable.Wrap(ctx.Err(), "call ended")
	case limited:
		return overRate.New("too many calls")
	case faults.Down:
		return objects.Unavailable.New("platform down")
	}
	return nil
}

// overRate is a subtype of Unavailable that writeError answers with status 429.
var overRate = objects.Unavailable.NewSubtype("overRate")

// Get returns an object, or NotFound. Every call of Platform returns Unavailable
// when the platform is down, over its rate or when the context ends.
func (platform *Platform) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := platform.beginCall(ctx, "get"); err != nil {
		return objects.Object{}, err
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	object := platform.visible(objectKey{kind, name})
	if object.Version == 0 {
		return objects.Object{}, objects.NotFound.New("no such object")
	}
	return object, nil
}

// visible returns the version of an object that reads return, the zero Object if
// there is none.
func (platform *Platform) visible(key objectKey) objects.Object {
	found := platform.objects[key]
	if platform.faults.StaleReads && found.previous.Version != 0 {
		return found.previous
	}
	return found.current
}

// Put writes an object if its current version is object.Version, 0 for none, and
// returns the new version. It returns Conflict with the current version if that
// differs, Refused for an object that is too large, and AnswerLost as the faults
// demand.
func (platform *Platform) Put(ctx context.Context, object objects.Object) (int64, error) {
	if err := platform.beginCall(ctx, "put"); err != nil {
		return 0, err
	}
	if len(object.Value) > objects.MaxObjectBytes {
		return 0, objects.Refused.New("%d bytes, at most %d", len(object.Value), objects.MaxObjectBytes)
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.shouldDropWrite() {
		return 0, objects.AnswerLost.New("no answer")
	}
	key := objectKey{object.Kind, object.Name}
	previous := platform.objects[key].current
	if previous.Version != object.Version {
		return previous.Version, objects.Conflict.New("version is %d", previous.Version)
	}
	platform.version++
	object.Version = platform.version
	object.Value = append([]byte(nil), object.Value...)
	object.Written = time.Now()
	if platform.objects == nil {
		platform.objects = map[objectKey]storedObject{}
	}
	platform.objects[key] = storedObject{current: object, previous: previous}
	platform.wakeWatches()
	if platform.shouldLoseAnswer() {
		return 0, objects.AnswerLost.New("no answer")
	}
	return object.Version, nil
}

// Delete removes an object if its current version is the given one. It returns
// NotFound, Conflict if the version differs, and AnswerLost as the faults demand.
func (platform *Platform) Delete(ctx context.Context, kind, name string, version int64) error {
	if err := platform.beginCall(ctx, "delete"); err != nil {
		return err
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.shouldDropWrite() {
		return objects.AnswerLost.New("no answer")
	}
	key := objectKey{kind, name}
	current := platform.objects[key].current
	switch current.Version {
	case 0:
		return objects.NotFound.New("no such object")
	case version:
	default:
		return objects.Conflict.New("version is %d", current.Version)
	}
	delete(platform.objects, key)
	platform.wakeWatches()
	if platform.shouldLoseAnswer() {
		return objects.AnswerLost.New("no answer")
	}
	return nil
}

// shouldDropWrite reports whether to drop a write, and counts it.
func (platform *Platform) shouldDropWrite() bool {
	if platform.faults.DropNextWrites == 0 {
		return false
	}
	platform.faults.DropNextWrites--
	return true
}

// shouldLoseAnswer reports whether to lose the answer of a write, and counts it.
func (platform *Platform) shouldLoseAnswer() bool {
	if platform.faults.LoseAnswers {
		return true
	}
	if platform.faults.LoseNextAnswers == 0 {
		return false
	}
	platform.faults.LoseNextAnswers--
	return true
}

// Watch waits until an object has a version above after, and returns it and
// true, or false if there is none within wait.
func (platform *Platform) Watch(ctx context.Context, kind, name string, after int64, wait time.Duration) (objects.Object, bool, error) {
	if err := platform.beginCall(ctx, "watch"); err != nil {
		return objects.Object{}, false, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		object, changed, err := platform.readNewer(objectKey{kind, name}, after)
		if err != nil || object.Version != 0 {
			return object, err == nil, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return objects.Object{}, false, nil
		case <-ctx.Done():
			return objects.Object{}, false, objects.Unavailable.Wrap(ctx.Err(), "watch ended")
		}
	}
}

// readNewer returns the object if it has a version above after, otherwise the
// zero Object and a channel that is closed at the next change.
func (platform *Platform) readNewer(key objectKey, after int64) (objects.Object, <-chan struct{}, error) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.changed == nil {
		platform.changed = make(chan struct{})
	}
	object := platform.visible(key)
	switch {
	case platform.faults.Down:
		return objects.Object{}, nil, objects.Unavailable.New("platform down")
	case platform.faults.WatchGaps, object.Version <= after:
		return objects.Object{}, platform.changed, nil
	default:
		return object, platform.changed, nil
	}
}

// wakeWatches makes all waiting watches read again.
func (platform *Platform) wakeWatches() {
	if platform.changed != nil {
		close(platform.changed)
	}
	platform.changed = make(chan struct{})
}

// List returns all objects of a kind, sorted by name.
func (platform *Platform) List(ctx context.Context, kind string) ([]objects.Object, error) {
	if err := platform.beginCall(ctx, "list"); err != nil {
		return nil, err
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	objects := []objects.Object{}
	for key := range platform.objects {
		if key.kind == kind {
			objects = append(objects, platform.visible(key))
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects, nil
}

// Hosts returns the list of hosts as it was HostsLag ago.
func (platform *Platform) Hosts(ctx context.Context) ([]objects.ListedHost, error) {
	if err := platform.beginCall(ctx, "hosts"); err != nil {
		return nil, err
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	listed := []objects.ListedHost{}
	visibleUntil := time.Now().Add(-platform.faults.HostsLag)
	for _, list := range platform.hosts {
		if !list.at.After(visibleUntil) {
			listed = list.hosts
		}
	}
	return listed, nil
}
