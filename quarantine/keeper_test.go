package quarantine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/timeline"
)

// fakeRecords is a stand-in of the platform's records.
type fakeRecords struct {
	// isCutOff means that hosts don't hear each other.
	isCutOff atomic.Bool
	mutex    sync.Mutex
	values   map[string][]byte
	isAway   bool
	calls    int
	// stuck is the name of a record that can't be removed.
	stuck  string
	events *timeline.Recorder
}

var errAway = errors.New("away")

// do makes a call, which fails while the platform is away.
func (fakeRecords *fakeRecords) do(call func()) error {
	fakeRecords.mutex.Lock()
	defer fakeRecords.mutex.Unlock()
	fakeRecords.calls++
	if fakeRecords.isAway {
		return errAway
	}
	call()
	return nil
}

func (fakeRecords *fakeRecords) setAway(isAway bool) {
	fakeRecords.mutex.Lock()
	defer fakeRecords.mutex.Unlock()
	fakeRecords.isAway = isAway
}

func (fakeRecords *fakeRecords) names() []string {
	fakeRecords.mutex.Lock()
	defer fakeRecords.mutex.Unlock()
	return slices.Sorted(maps.Keys(fakeRecords.values))
}

// callCount returns the number of calls so far.
func (fakeRecords *fakeRecords) callCount() int {
	synctest.Wait()
	fakeRecords.mutex.Lock()
	defer fakeRecords.mutex.Unlock()
	return fakeRecords.calls
}

// start starts a host that keeps its quarantines there.
func (fakeRecords *fakeRecords) start(ctx context.Context, leads bool) *Suspects {
	suspects := &Suspects{LastAnswer: func(Incarnation) time.Time { return time.Time{} }}
	keeper := &Keeper{Suspects: suspects, Leads: func() bool { return leads }, IsCutOff: fakeRecords.isCutOff.Load, Events: fakeRecords.events, Records: Records{
		List: func(context.Context) (records []Record, err error) {
			err = fakeRecords.do(func() {
				for name, value := range fakeRecords.values {
					records = append(records, Record{Name: name, Value: value})
				}
			})
			return records, err
		},
		Save: func(_ context.Context, record Record) error {
			return fakeRecords.do(func() { fakeRecords.values[record.Name] = record.Value })
		},
		Remove: func(_ context.Context, name string) error {
			if name == fakeRecords.stuck {
				return errAway
			}
			return fakeRecords.do(func() { delete(fakeRecords.values, name) })
		},
	}}
	go func() { _ = keeper.Run(ctx) }()
	go func() { _ = suspects.Run(ctx) }()
	synctest.Wait()
	return suspects
}

func (suspects *Suspects) crash(trait Trait, targets ...Incarnation) {
	for _, target := range targets {
		suspects.RecordCrash(Crash{Traits: Traits{Content: trait}, Target: target, At: time.Now(), Evidence: Refused})
	}
}

// TestKeeper guards against quarantines that are forgotten when all hosts end at once:
// a host that starts reads what another has kept, also if the platform was away in
// between. Records of what was cleared or has expired are removed.
func TestKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		records := &fakeRecords{values: map[string][]byte{"noise": nil, "1e": []byte("{")}}
		first, end := context.WithCancel(t.Context())
		host := records.start(first, false)
		records.setAway(true)
		host.crash(1, 1, 2, 3)
		host.crash(2, 1, 2)
		host.crash(3, 1, 2, 3)
		time.Sleep(5 * time.Second)
		records.setAway(false)
		time.Sleep(2 * time.Second)
		c.Assert(records.names(), qt.DeepEquals, []string{"1", "1e", "3", "noise"})
		host.RecordServed(nil, func() Trait { return 3 })
		time.Sleep(2 * time.Second)
		c.Assert(records.names(), qt.DeepEquals, []string{"1", "1e", "noise"})
		calls := records.callCount()
		time.Sleep(time.Minute)
		c.Assert(records.callCount(), qt.Equals, calls, qt.Commentf("nothing changed"))
		end()
		synctest.Wait()

		records.setAway(true)
		second, end := context.WithCancel(t.Context())
		host = records.start(second, false)
		time.Sleep(5 * time.Second)
		records.setAway(false)
		time.Sleep(2 * time.Second)
		_, quarantined := host.Find(1)
		c.Assert(quarantined, qt.IsTrue)
		end()
		synctest.Wait()

		// The host that wrote the record is gone.
		third, end := context.WithCancel(t.Context())
		defer end()
		host = records.start(third, true)
		c.Assert(host.IsEmpty(), qt.IsFalse)
		time.Sleep(40 * time.Minute)
		c.Assert(host.IsEmpty(), qt.IsTrue)
		c.Assert(records.names(), qt.DeepEquals, []string{"1e", "noise"})
		end()
		synctest.Wait()
	})
}

// TestOddRecords guards against records that keep a host from reading the others, and are
// reported again with each read.
func TestOddRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		records := &fakeRecords{stuck: "2", values: map[string][]byte{
			"2": []byte(`{"endings":[{"target":1,"at":"0001-01-01T00:00:00Z"}]}`), "3": []byte(strings.Repeat("[", 20_000)), "": nil,
			"4": []byte(`{"endings":[{"target":-1}]}`), "5": []byte(`{"depth":300}`),
		}, events: &timeline.Recorder{}}
		var good []Trait
		for trait := Trait(0x10); trait < 0x20; trait++ {
			name, value, err := EncodeRecord(&Suspect{Trait: trait, Endings: []Ending{{Target: 1, At: time.Now()}, {Target: 2, At: time.Now()}, {Target: 3, At: time.Now()}}})
			c.Assert(err, qt.IsNil)
			records.values[name] = value
			good = append(good, trait)
		}
		records.isCutOff.Store(true)
		ctx, end := context.WithCancel(t.Context())
		defer end()
		host := records.start(ctx, false)
		for _, trait := range good {
			_, quarantined := host.Find(trait)
			c.Check(quarantined, qt.IsTrue, qt.Commentf("%s", trait))
		}
		time.Sleep(time.Minute)
		unreadable := 0
		for _, event := range records.events.Events() {
			if event.Number == 1117 {
				unreadable++
			}
		}
		c.Check(unreadable, qt.Equals, 4)
	})
}

// tell lets each of the hosts learn what the others know.
func tell(hosts ...*Suspects) {
	for _, host := range hosts {
		for _, other := range hosts {
			for _, suspect := range other.load() {
				if other != host {
					host.Learn("peer", suspect)
				}
			}
		}
	}
}

// TestQuarantineOfSeveralObserversIsKept guards against quarantines that no host writes
// to the platform, as each crash was observed by another host and none of them knew of
// the others when it observed its own.
func TestQuarantineOfSeveralObserversIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		records := &fakeRecords{values: map[string][]byte{}}
		ctx, end := context.WithCancel(t.Context())
		defer end()
		hosts := []*Suspects{records.start(ctx, false), records.start(ctx, false), records.start(ctx, false)}
		for i, host := range hosts {
			host.crash(1, Incarnation(i))
		}
		synctest.Wait()
		c.Assert(records.names(), qt.HasLen, 0)
		tell(hosts...)
		synctest.Wait()
		c.Assert(records.names(), qt.DeepEquals, []string{"1"}, qt.Commentf("without waiting for the next look"))
		hosts[0].RecordServed(nil, func() Trait { return 1 })
		hosts[0].RecordServed(nil, func() Trait { return 1 })
		hosts[0].RecordServed(nil, func() Trait { return 1 })
		tell(hosts...)
		time.Sleep(2 * keepInterval)
		c.Assert(records.names(), qt.HasLen, 0)
		c.Assert(hosts[0].ownTraits(), qt.HasLen, 0)
	})
}

// TestQuarantineOfKilledObserversIsKept guards against quarantines that are forgotten
// as the hosts that observed the crashes ended before they wrote a record. The leader
// writes it; it doesn't write those that have one.
func TestQuarantineOfKilledObserversIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		records := &fakeRecords{values: map[string][]byte{}}
		ctx, end := context.WithCancel(t.Context())
		defer end()
		leader, other := records.start(ctx, true), records.start(ctx, false)
		killed := &Suspects{LastAnswer: func(Incarnation) time.Time { return time.Time{} }}
		killed.crash(1, 1, 2, 3)
		tell(leader, killed)
		time.Sleep(reconcileDelay - time.Second)
		c.Assert(records.names(), qt.HasLen, 0)
		time.Sleep(2*time.Second + keepInterval)
		c.Assert(records.names(), qt.DeepEquals, []string{"1"})
		other.crash(2, 1, 2, 3)
		tell(leader, other)
		calls := records.callCount()
		time.Sleep(time.Minute)
		c.Assert(records.callCount(), qt.Equals, calls+1, qt.Commentf("the leader looks once whether the other's record is there"))
	})
}

// TestCutOffHostReadsQuarantines guards against requests that crash targets being sent
// on by hosts that hear none of those that observed the crashes, but reach the platform.
func TestCutOffHostReadsQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		records := &fakeRecords{values: map[string][]byte{}}
		ctx, end := context.WithCancel(t.Context())
		defer end()
		observer, other := records.start(ctx, false), records.start(ctx, false)
		records.isCutOff.Store(true)
		observer.crash(1, 1, 2, 3)
		time.Sleep(2*keepInterval + time.Millisecond)
		_, quarantined := other.Find(1)
		c.Assert(quarantined, qt.IsTrue)
		records.isCutOff.Store(false)
		time.Sleep(keepInterval)
		calls := records.callCount()
		time.Sleep(time.Minute)
		c.Assert(records.callCount(), qt.Equals, calls)
	})
}
