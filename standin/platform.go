// Package standin holds small stand-ins of the engine, plain service and
// platform interfaces, with faults that can be switched on. They are for
// tests and for trying the system out.
package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"nutmegfield.example/objects"
)

// Platform is a stand-in of the platform's object API. Its methods are those
// of objects.Client, for use in the same process; Handler serves them over
// HTTP. The zero value is ready.
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

// PlatformFaults are what is wrong with the platform now.
type PlatformFaults struct {
	// Down fails every call without effect.
	Down bool `json:"down"`
	// LoseAnswers lets writes take effect but loses their answers.
	LoseAnswers bool `json:"loseWrites"`
	// LoseNextAnswers does so for this many writes.
	LoseNextAnswers int `json:"loseNext"`
	// DropNextWrites loses this many writes before they take effect; their callers
	// can't tell the difference.
	DropNextWrites int `json:"dropNext"`
	// Delay slows every call.
	Delay time.Duration `json:"delay"`
	// WatchGaps keeps changes from the watches.
	WatchGaps bool `json:"watchGaps"`
	// StaleReads answers reads and watches with the version before the present
	// one.
	StaleReads bool `json:"oldReads"`
	// HostsLag is how far the list of hosts is behind.
	HostsLag time.Duration `json:"hostsLag"`
	// Rate is the most calls a second, a waiting watch being one; 0 is no
	// limit.
	Rate float64 `json:"rate"`
}

type objectKey struct{ kind, name string }

// storedObject is an object and its version before; each may be missing.
type storedObject struct{ current, previous objects.Object }

type hostList struct {
	at    time.Time
	hosts []objects.ListedHost
}

// API returns the stand-in's calls.
func (standin *Platform) API() objects.API {
	return objects.API{
		Get:    standin.Get,
		Put:    standin.Put,
		Delete: standin.Delete,
		Watch:  standin.Watch,
		List:   standin.List,
		Hosts:  standin.Hosts,
	}
}

// CutOff returns calls that fail as from a place cut off from the platform
// while cut reports true.
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

// SetFaults changes what is wrong from now on.
func (standin *Platform) SetFaults(faults PlatformFaults) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	standin.faults = faults
	standin.limiter = nil
	if faults.Rate > 0 {
		standin.limiter = rate.NewLimiter(rate.Limit(faults.Rate), max(1, int(faults.Rate)))
	}
	standin.wakeWatches()
}

// SetHosts changes the list of hosts.
func (standin *Platform) SetHosts(hosts []objects.ListedHost) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	standin.hosts = append(standin.hosts, hostList{time.Now(), hosts})
}

// Calls returns the number of calls so far, by name.
func (standin *Platform) Calls() map[string]int {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	calls := map[string]int{}
	for name, count := range standin.calls {
		calls[name] = count
	}
	return calls
}

// beginCall counts a call, slows it and fails it as the faults say.
func (standin *Platform) beginCall(ctx context.Context, name string) error {
	standin.mutex.Lock()
	if standin.calls == nil {
		standin.calls = map[string]int{}
	}
	standin.calls[name]++
	faults := standin.faults
	limited := standin.limiter != nil && !standin.limiter.Allow()
	standin.mutex.Unlock()
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return objects.Unavailable.Wrap(ctx.Err(), "slow platform")
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

// overRate tells the HTTP side which status to answer.
var overRate = objects.Unavailable.NewSubtype("overRate")

// Get reads an object.
func (standin *Platform) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := standin.beginCall(ctx, "get"); err != nil {
		return objects.Object{}, err
	}
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	object := standin.visible(objectKey{kind, name})
	if object.Version == 0 {
		return objects.Object{}, objects.NotFound.New("no such object")
	}
	return object, nil
}

// visible returns what a read sees of an object.
func (standin *Platform) visible(key objectKey) objects.Object {
	found := standin.objects[key]
	if standin.faults.StaleReads && found.previous.Version != 0 {
		return found.previous
	}
	return found.current
}

// Put writes an object on condition of its version.
func (standin *Platform) Put(ctx context.Context, object objects.Object) (int64, error) {
	if err := standin.beginCall(ctx, "put"); err != nil {
		return 0, err
	}
	if len(object.Value) > objects.MaxObjectBytes {
		return 0, objects.Refused.New("%d bytes, at most %d", len(object.Value), objects.MaxObjectBytes)
	}
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	if standin.shouldDropWrite() {
		return 0, objects.AnswerLost.New("no answer")
	}
	key := objectKey{object.Kind, object.Name}
	previous := standin.objects[key].current
	if previous.Version != object.Version {
		return previous.Version, objects.Conflict.New("version is %d", previous.Version)
	}
	standin.version++
	object.Version = standin.version
	object.Value = append([]byte(nil), object.Value...)
	object.Written = time.Now()
	if standin.objects == nil {
		standin.objects = map[objectKey]storedObject{}
	}
	standin.objects[key] = storedObject{current: object, previous: previous}
	standin.wakeWatches()
	if standin.shouldLoseAnswer() {
		return 0, objects.AnswerLost.New("no answer")
	}
	return object.Version, nil
}

// Delete removes an object on condition of its version.
func (standin *Platform) Delete(ctx context.Context, kind, name string, version int64) error {
	if err := standin.beginCall(ctx, "delete"); err != nil {
		return err
	}
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	if standin.shouldDropWrite() {
		return objects.AnswerLost.New("no answer")
	}
	key := objectKey{kind, name}
	current := standin.objects[key].current
	switch current.Version {
	case 0:
		return objects.NotFound.New("no such object")
	case version:
	default:
		return objects.Conflict.New("version is %d", current.Version)
	}
	delete(standin.objects, key)
	standin.wakeWatches()
	if standin.shouldLoseAnswer() {
		return objects.AnswerLost.New("no answer")
	}
	return nil
}

func (standin *Platform) shouldDropWrite() bool {
	if standin.faults.DropNextWrites == 0 {
		return false
	}
	standin.faults.DropNextWrites--
	return true
}

func (standin *Platform) shouldLoseAnswer() bool {
	if standin.faults.LoseAnswers {
		return true
	}
	if standin.faults.LoseNextAnswers == 0 {
		return false
	}
	standin.faults.LoseNextAnswers--
	return true
}

// Watch waits for a version above after.
func (standin *Platform) Watch(ctx context.Context, kind, name string, after int64, wait time.Duration) (objects.Object, bool, error) {
	if err := standin.beginCall(ctx, "watch"); err != nil {
		return objects.Object{}, false, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		object, changed, err := standin.readNewer(objectKey{kind, name}, after)
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

func (standin *Platform) readNewer(key objectKey, after int64) (objects.Object, <-chan struct{}, error) {
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	if standin.changed == nil {
		standin.changed = make(chan struct{})
	}
	object := standin.visible(key)
	switch {
	case standin.faults.Down:
		return objects.Object{}, nil, objects.Unavailable.New("platform down")
	case standin.faults.WatchGaps, object.Version <= after:
		return objects.Object{}, standin.changed, nil
	default:
		return object, standin.changed, nil
	}
}

func (standin *Platform) wakeWatches() {
	if standin.changed != nil {
		close(standin.changed)
	}
	standin.changed = make(chan struct{})
}

// List reads all objects of a kind, by name.
func (standin *Platform) List(ctx context.Context, kind string) ([]objects.Object, error) {
	if err := standin.beginCall(ctx, "list"); err != nil {
		return nil, err
	}
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	objects := []objects.Object{}
	for key := range standin.objects {
		if key.kind == kind {
			objects = append(objects, standin.visible(key))
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects, nil
}

// Hosts reads the list of hosts as it was some time ago.
func (standin *Platform) Hosts(ctx context.Context) ([]objects.ListedHost, error) {
	if err := standin.beginCall(ctx, "hosts"); err != nil {
		return nil, err
	}
	standin.mutex.Lock()
	defer standin.mutex.Unlock()
	listed := []objects.ListedHost{}
	visibleUntil := time.Now().Add(-standin.faults.HostsLag)
	for _, list := range standin.hosts {
		if !list.at.After(visibleUntil) {
			listed = list.hosts
		}
	}
	return listed, nil
}
