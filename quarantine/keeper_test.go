package quarantine

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakeRecords is a stand-in of the platform's records.
type fakeRecords struct {
	mutex  sync.Mutex
	values map[string][]byte
	isAway bool
	calls  int
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

// start starts a host that keeps its quarantines there.
func (fakeRecords *fakeRecords) start(ctx context.Context, sweeps bool) *Suspects {
	suspects := &Suspects{LastAnswer: func(Incarnation) time.Time { return time.Time{} }}
	keeper := &Keeper{Suspects: suspects, Sweeps: func() bool { return sweeps }, Records: Records{
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
			return fakeRecords.do(func() { delete(fakeRecords.values, name) })
		},
	}}
	go func() { _ = keeper.Run(ctx) }()
	go func() { _ = suspects.Run(ctx) }()
	synctest.Wait()
	return suspects
}

func (suspects *Suspects) crash(content Content, targets ...Incarnation) {
	for _, target := range targets {
		suspects.RecordCrash(Crash{Content: content, Target: target, At: time.Now(), Evidence: Refused})
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
		host.RecordServed(3)
		time.Sleep(2 * time.Second)
		c.Assert(records.names(), qt.DeepEquals, []string{"1", "1e", "noise"})
		calls := records.calls
		time.Sleep(time.Minute)
		c.Assert(records.calls, qt.Equals, calls, qt.Commentf("nothing changed"))
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
