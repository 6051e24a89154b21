package origin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

// TestOrigins runs the scripts of testdata/origins.txtar: at which version streams go on
// that callers take up at hosts which did not begin them, were cut off or killed, or have
// just started. Its commands are documented at script.run.
func TestOrigins(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "origins.txtar"))
	qt.Assert(t, err, qt.IsNil)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				script := &script{C: qt.New(t), hosts: map[string]*testHost{}, marks: map[string][]byte{}, records: map[string][]byte{}, random: rand.New(rand.NewPCG(1, 1))}
				for line := range strings.Lines(string(file.Data)) {
					t.Log(line)
					script.run(t.Context(), strings.Fields(line))
				}
				// Reads of the platform end.
				time.Sleep(platformInterval + platformTimeout)
			})
		})
	}
}

const (
	testPool = "p"
	// lostShare is the share of messages that are lost.
	lostShare = 0.33
)

type script struct {
	*qt.C
	mutex    sync.Mutex
	hosts    map[string]*testHost
	versions []string
	marks    map[string][]byte
	// copied and copiedRecords are the marks and records that the platform comes back with, era counts how
	// often it did.
	copied, copiedRecords map[string][]byte
	era                   int64
	// lives counts the hosts that were started.
	lives uint32
	// isAway means that the platform can't be reached, isLossy that messages
	// are lost.
	isAway, isLossy bool
	// records are those of streams; isLarge means that only one host of the zone reads them.
	records  map[string][]byte
	isLarge  bool
	random   *rand.Rand
	messages int
}

type testHost struct {
	origins *Origins
	end     context.CancelFunc
	// group is that of the hosts that it hears, since cutAt. isApart means that it can't reach the
	// platform.
	group            string
	startedAt, cutAt time.Time
	isApart          bool
	// life identifies the host from its start to its end.
	life uint32
}

// run executes a command:
//
//	versions VERSION ...         those of the pool's targets; hosts know at once
//	first HOST ...               starts them as the first hosts of all
//	start HOST ..., kill HOST ...
//	cut HOST ..., heal HOST ...  they hear no other hosts than each other
//	apart HOST ...               they can't reach the platform
//	rejoin HOST ...              they can
//	away, back                   the platform
//	later DURATION COMMAND       away or back, in a while
//	copy                         the platform is copied
//	restore                      it comes back from the copy, in a new era
//	forget                       it has only what earlier builds write
//	marks COUNT                  the number of marks on it
//	large                        only one host reads the records of streams
//	spoil                        adds records that can't be read
//	lossy                        every third message is lost, at random
//	begin HOST STREAM VERSION
//	wait DURATION
//	want HOST STREAM VERSION     a stream is taken up there; "unknown" if it may not go on
//	messages                     forgets those that were sent
//	sent COUNT                   the number of messages since then
func (script *script) run(ctx context.Context, words []string) {
	if len(words) == 0 || words[0] == "#" {
		return
	}
	set := func(change func()) {
		script.mutex.Lock()
		defer script.mutex.Unlock()
		change()
	}
	switch words[0] {
	case "versions":
		set(func() { script.versions = words[1:] })
		for _, name := range slices.Sorted(maps.Keys(script.hosts)) {
			if host := script.hosts[name]; !host.isApart {
				host.origins.SetTargets(script.targets())
			}
		}
	case "first", "start":
		for _, name := range words[1:] {
			script.start(ctx, name, words[0] == "first")
		}
	case "kill":
		for _, name := range words[1:] {
			script.hosts[name].end()
			set(func() { delete(script.hosts, name) })
		}
	case "cut", "heal":
		for _, name := range words[1:] {
			set(func() {
				host := script.hosts[name]
				if host.group = ""; words[0] == "cut" {
					host.group, host.cutAt = strings.Join(words[1:], " "), time.Now()
				}
			})
		}
	case "apart", "rejoin":
		for _, name := range words[1:] {
			host := script.hosts[name]
			set(func() { host.isApart = words[0] == "apart" })
			if !host.isApart {
				host.origins.SetTargets(script.targets())
			}
		}
	case "away":
		set(func() { script.isAway = true })
	case "back":
		set(func() { script.isAway = false })
	case "copy":
		set(func() { script.copied, script.copiedRecords = maps.Clone(script.marks), maps.Clone(script.records) })
	case "restore":
		set(func() {
			script.marks, script.records = maps.Clone(script.copied), maps.Clone(script.copiedRecords)
			script.era++
		})
	case "forget":
		set(func() { delete(script.marks, historyName) })
	case "marks":
		set(func() {
			count := len(script.marks)
			if script.marks[historyName] != nil {
				count--
			}
			script.Assert(fmt.Sprint(count), qt.Equals, words[1])
		})
	case "later":
		duration, err := time.ParseDuration(words[1])
		script.Assert(err, qt.IsNil)
		time.AfterFunc(duration, func() { script.run(ctx, words[2:]) })
	case "large":
		script.isLarge = true
	case "spoil":
		for name, value := range map[string]string{
			"text": "no record", "later": `{"format":9,"streams":"AAAAAAAAAAAAAAAA"}`, "cut": `{"format":1,"streams":"AAAA"}`,
			"large": `{"format":1,"streams":"` + strings.Repeat("AAAA", maxRecordBytes) + `"}`,
		} {
			set(func() { script.records[name] = []byte(value) })
		}
	case "lossy":
		set(func() { script.isLossy = true })
	case "begin":
		script.hosts[words[1]].origins.RecordBegin(NewStream(words[2]), testPool, balance.NewVersionID(testPool, words[3]))
		synctest.Wait()
	case "wait":
		duration, err := time.ParseDuration(words[1])
		script.Assert(err, qt.IsNil)
		time.Sleep(duration)
	case "want":
		found := script.hosts[words[1]].origins.Find(ctx, "r", words[2], testPool)
		want := balance.VersionID(0)
		if words[3] != "unknown" {
			want = balance.NewVersionID(testPool, words[3])
		}
		script.Assert(found, qt.Equals, want, qt.Commentf("%v", words))
	case "messages":
		set(func() { script.messages = 0 })
	case "sent":
		count := 0
		if len(words) > 1 {
			_, err := fmt.Sscan(words[1], &count)
			script.Assert(err, qt.IsNil)
		}
		set(func() { script.Assert(script.messages, qt.Equals, count) })
	default:
		script.Fatalf("unknown command %q", words[0])
	}
}

func (script *script) targets() []balance.Target {
	var targets []balance.Target
	for _, version := range script.versions {
		targets = append(targets, balance.Target{ID: "t" + version, Pool: testPool, Version: version})
	}
	return targets
}

func (script *script) start(ctx context.Context, name string, isFirst bool) {
	ctx, end := context.WithCancel(ctx)
	script.lives++
	host := &testHost{end: end, startedAt: time.Now(), life: script.lives}
	host.origins = &Origins{
		Events: &timeline.Recorder{},
		Members: func() []string {
			script.mutex.Lock()
			defer script.mutex.Unlock()
			var members []string
			for other, state := range script.hosts {
				if other != name && state.group == host.group {
					members = append(members, other)
				}
			}
			return members
		},
		Send: func(address string, message *Message) { script.send(name, address, message) },
		Known: func() int {
			script.mutex.Lock()
			defer script.mutex.Unlock()
			count := 0
			for other, state := range script.hosts {
				wasHeard := host.cutAt.After(host.startedAt) && time.Since(host.cutAt) < time.Minute
				if other != name && (state.group == host.group || wasHeard) {
					count++
				}
			}
			return count
		},
		ReadTargets: func(context.Context, time.Time) error {
			script.mutex.Lock()
			defer script.mutex.Unlock()
			if script.isAway || host.isApart {
				return errors.New("away")
			}
			host.origins.SetTargets(script.targets())
			return nil
		},
		Zone:    "z",
		Longest: func() time.Duration { return 15 * time.Second },
		Recorder: func() string {
			script.mutex.Lock()
			defer script.mutex.Unlock()
			if first := slices.Min(append(slices.Collect(maps.Keys(script.hosts)), name)); first != name {
				return first
			}
			return ""
		},
		ReadsRecords: func() bool { return !script.isLarge },
		Records: Records{
			List: func(context.Context) (map[string][]byte, error) {
				script.mutex.Lock()
				defer script.mutex.Unlock()
				if script.isAway || host.isApart {
					return nil, errors.New("away")
				}
				return maps.Clone(script.records), nil
			},
			Save: func(_ context.Context, name string, value []byte) error {
				script.mutex.Lock()
				defer script.mutex.Unlock()
				if script.isAway || host.isApart {
					return errors.New("away")
				}
				script.records[name] = value
				return nil
			},
		},
		KeepsMarks: func() bool { return script.turn(name) == 0 },
		Turn:       func() int { return script.turn(name) },
		FirstStart: isFirst,
		Lives: func() []uint32 {
			script.mutex.Lock()
			defer script.mutex.Unlock()
			var lives []uint32
			for _, state := range script.hosts {
				if state.group == host.group {
					lives = append(lives, state.life)
				}
			}
			return lives
		},
		Era: func() int64 {
			script.mutex.Lock()
			defer script.mutex.Unlock()
			return script.era
		},
		Marks: Marks{
			List: func(context.Context) (map[string][]byte, error) {
				script.mutex.Lock()
				defer script.mutex.Unlock()
				if script.isAway || host.isApart {
					return nil, errors.New("away")
				}
				return maps.Clone(script.marks), nil
			},
			Save: func(_ context.Context, pool string, value []byte) error {
				script.mutex.Lock()
				defer script.mutex.Unlock()
				if script.isAway || host.isApart {
					return errors.New("away")
				}
				script.marks[pool] = value
				return nil
			},
		},
	}
	script.mutex.Lock()
	script.hosts[name] = host
	script.mutex.Unlock()
	host.origins.SetTargets(script.targets())
	go func() { _ = host.origins.Run(ctx) }()
	go func() { _ = host.origins.RunRecords(ctx) }()
	go func() { _ = host.origins.RunHistory(ctx) }()
}

// turn returns the number of hosts before one among those that it hears.
func (script *script) turn(name string) int {
	script.mutex.Lock()
	defer script.mutex.Unlock()
	count := 0
	for other, state := range script.hosts {
		if own := script.hosts[name]; own != nil && state.group == own.group && other < name {
			count++
		}
	}
	return count
}

// send delivers a message after a millisecond.
func (script *script) send(from, to string, message *Message) {
	script.mutex.Lock()
	defer script.mutex.Unlock()
	script.messages++
	sender, receiver := script.hosts[from], script.hosts[to]
	if sender == nil || receiver == nil || sender.group != receiver.group || script.isLossy && script.random.Float64() < lostShare {
		return
	}
	time.AfterFunc(time.Millisecond, func() { receiver.origins.Receive(from, message) })
}

// TestRecordsAreReadOnceAtATime guards against a host that reads the records for many others
// and gathers a read for each of their questions while the platform does not answer.
func TestRecordsAreReadOnceAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var reads atomic.Int64
		origins := &Origins{
			Events: &timeline.Recorder{}, Send: func(string, *Message) {}, Recorder: func() string { return "" },
			Members: func() []string { return nil }, Known: func() int { return 0 },
			Records: Records{List: func(ctx context.Context) (map[string][]byte, error) {
				reads.Add(1)
				<-ctx.Done()
				return nil, ctx.Err()
			}},
		}
		for i := range 1000 {
			origins.Receive("host", &Message{Questions: []Question{{Stream: Stream(i), Pool: testPool}}})
		}
		time.Sleep(5 * time.Second)
		c.Assert(reads.Load(), qt.Equals, int64(1))
	})
}

// TestUnreadableMarks guards against marks that keep the streams of a pool from going on for
// ever, or those of another pool. One that can't be read may be of the time when it was found.
func TestUnreadableMarks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		marks := map[string][]byte{
			"deep": []byte(strings.Repeat("[", 20_000)), "null": nil, "text": []byte(`{"mixedAt":5}`), "far": []byte(`{"mixedAt":"9999-12-31T23:59:59Z"}`),
			"old": []byte(`{"mixedAt":"1998-12-31T23:59:59Z"}`),
		}
		origins := &Origins{Events: &timeline.Recorder{}, Marks: Marks{List: func(context.Context) (map[string][]byte, error) { return marks, nil }}}
		expect := func(want map[string]bool) {
			c.Assert(origins.readMarks(t.Context()), qt.IsNil)
			for pool, isUnmarked := range want {
				c.Check(origins.isUnmarked(pool), qt.Equals, isUnmarked, qt.Commentf("%s after %s", pool, time.Now()))
			}
		}
		for range 40 {
			expect(map[string]bool{"deep": false, "null": false, "text": false, "far": false, "old": true, "none": true})
			time.Sleep(2 * time.Second)
		}
		time.Sleep(2 * time.Second)
		expect(map[string]bool{"deep": true, "null": true, "text": true, "far": true})
		marks["deep"] = []byte("[[")
		time.Sleep(2 * time.Second)
		expect(map[string]bool{"deep": false, "null": true})
	})
}

// TestPoolsWithoutVersionsAreForgotten guards against a host that grows with each name of a pool
// in the entries of other writers, and against forgetting that a pool has had several versions.
func TestPoolsWithoutVersionsAreForgotten(t *testing.T) {
	c := qt.New(t)
	var pools pools
	now := time.Now()
	for i := range 100 {
		pools.set([]balance.Target{{ID: "odd", Pool: fmt.Sprint("odd", i), Version: "1"}}, now)
		now = now.Add(streamLifetime / 10)
	}
	c.Check(len(pools.byName) <= 12, qt.IsTrue, qt.Commentf("%d pools", len(pools.byName)))
	pools.set([]balance.Target{{ID: "a", Pool: "p", Version: "1"}}, now)
	pools.set(nil, now)
	pools.set([]balance.Target{{ID: "b", Pool: "p", Version: "2"}}, now)
	c.Check(pools.isMixed("p", now), qt.IsTrue)
}

// TestPlatformIsReadForAllTakers guards against a host that reads the platform for each stream
// that is taken up, or believes a read that began before.
func TestPlatformIsReadForAllTakers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var reads atomic.Int64
		written, err := json.Marshal(history{
			Format: historyFormat, WrittenAt: time.Now().UnixMilli(), Since: time.Now().Add(-time.Minute).UnixMilli(),
			Pools: map[string]map[balance.VersionID]int64{testPool: {balance.NewVersionID(testPool, "v1"): time.Now().UnixMilli()}},
		})
		c.Assert(err, qt.IsNil)
		origins := &Origins{
			Events: &timeline.Recorder{}, Members: func() []string { return nil }, Known: func() int { return 0 },
			Marks: Marks{List: func(context.Context) (map[string][]byte, error) { return map[string][]byte{historyName: written}, nil }},
		}
		var version atomic.Value
		version.Store("v1")
		origins.ReadTargets = func(context.Context, time.Time) error {
			reads.Add(1)
			target := balance.Target{ID: "t", Pool: testPool, Version: version.Load().(string)}
			time.Sleep(100 * time.Millisecond)
			origins.SetTargets([]balance.Target{target})
			return nil
		}
		origins.SetTargets([]balance.Target{{ID: "t", Pool: testPool, Version: "v1"}})
		time.Sleep(2 * time.Second)
		var group sync.WaitGroup
		for i := range 1000 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				c.Check(origins.Find(t.Context(), "r", fmt.Sprint(i), testPool), qt.Equals, balance.NewVersionID(testPool, "v1"))
			})
		}
		group.Wait()
		c.Check(reads.Load() <= 4, qt.IsTrue, qt.Commentf("%d reads", reads.Load()))
		// A read with the old version is in progress when the new one comes.
		time.Sleep(platformInterval)
		group.Go(func() { origins.Find(t.Context(), "r", "early", testPool) })
		time.Sleep(50 * time.Millisecond)
		version.Store("v2")
		c.Check(origins.Find(t.Context(), "r", "late", testPool), qt.Equals, balance.VersionID(0))
		group.Wait()
	})
}

// TestOddHistories guards against a history of another writer or an earlier era that lets streams go on,
// and against one that names versions for ever.
func TestOddHistories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		version := balance.NewVersionID(testPool, "v1")
		good := func() history {
			return history{
				Format: historyFormat, Era: 3, WrittenAt: time.Now().UnixMilli(), Since: time.Now().Add(-time.Hour).UnixMilli(),
				Pools: map[string]map[balance.VersionID]int64{testPool: {version: time.Now().UnixMilli()}},
			}
		}
		for name, test := range map[string]struct {
			change func(written *history)
			text   string
			want   balance.VersionID
		}{
			"good":            {change: func(*history) {}, want: version},
			"other format":    {change: func(written *history) { written.Format++ }},
			"earlier era":     {change: func(written *history) { written.Era-- }},
			"later era":       {change: func(written *history) { written.Era++ }},
			"old":             {change: func(written *history) { written.WrittenAt -= maxHistoryAge.Milliseconds() + 1 }},
			"of the future":   {change: func(written *history) { written.WrittenAt += time.Hour.Milliseconds() }},
			"before all time": {change: func(written *history) { written.WrittenAt = -1 << 62 }},
			"young":           {change: func(written *history) { written.Since, written.HasEarlier = time.Now().UnixMilli(), true }},
			"no pools":        {change: func(written *history) { written.Pools = nil }},
			"another version": {change: func(written *history) { written.Pools[testPool][7] = time.Now().UnixMilli() }},
			"a gone version":  {change: func(written *history) { written.Pools[testPool][7] = time.Now().Add(-streamLifetime).UnixMilli() }, want: version},
			"text":            {text: "no history"}, "null": {text: "null"}, "list": {text: "[]"}, "deep": {text: strings.Repeat("[", 20_000)},
			"names": {text: `{"format":1,"pools":{"p":{"-1":5}}}`}, "cut": {text: `{"format":1`}, "empty": {},
		} {
			value := []byte(test.text)
			if test.change != nil {
				written := good()
				test.change(&written)
				encoded, err := json.Marshal(written)
				c.Assert(err, qt.IsNil)
				value = encoded
			}
			origins := &Origins{
				Events: &timeline.Recorder{}, Members: func() []string { return nil }, Known: func() int { return 0 },
				Era:   func() int64 { return 3 },
				Marks: Marks{List: func(context.Context) (map[string][]byte, error) { return map[string][]byte{historyName: value}, nil }},
			}
			origins.ReadTargets = func(context.Context, time.Time) error { return nil }
			origins.SetTargets([]balance.Target{{ID: "t", Pool: testPool, Version: "v1"}})
			c.Check(origins.Find(t.Context(), "r", "s", testPool), qt.Equals, test.want, qt.Commentf(name))
			time.Sleep(platformInterval + platformTimeout)
		}
	})
}

// TestPlatformThatIsAwayIsNotCrowded guards against calls that grow with the number of hosts while the
// platform is away.
func TestPlatformThatIsAwayIsNotCrowded(t *testing.T) {
	for _, hosts := range []int{8, 60, 300} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			var calls atomic.Int64
			for i := range hosts {
				origins := &Origins{
					Events: &timeline.Recorder{}, Members: func() []string { return make([]string, hosts-1) }, Turn: func() int { return i },
					Marks: Marks{List: func(context.Context) (map[string][]byte, error) {
						calls.Add(1)
						return nil, errors.New("away")
					}},
				}
				origins.SetTargets([]balance.Target{{ID: "t", Pool: testPool, Version: "v1"}})
				go func() { _ = origins.RunHistory(ctx) }()
			}
			time.Sleep(2 * time.Minute)
			t.Logf("%d calls of %d hosts", calls.Load(), hosts)
			c.Check(calls.Load() <= int64(2*time.Minute/handoverDelay), qt.IsTrue)
			cancel()
		})
	}
}
