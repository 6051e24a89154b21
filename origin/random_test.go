package origin

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
)

var (
	randomSeeds = flag.Int("origin.seeds", 60, "the number of seeds of TestRandomOrigins")
	randomFirst = flag.Uint64("origin.first", 1, "the first of them")
)

const (
	// randomLength is the length of a random run, resumedWithin the age of streams that are taken up.
	randomLength  = 90 * time.Second
	resumedWithin = 15 * time.Second
	// allowedCrossings is the number of streams of a run that may go on at another version.
	allowedCrossings = 2
)

// TestRandomOrigins guards against streams that go on at another version in runs of random troubles that
// overlap: versions that come and leave, hosts that end, one, some or all, a platform that is away, that
// turns hosts away, or that comes back from a copy.
func TestRandomOrigins(t *testing.T) {
	wentOn, takenUp := 0, 0
	for seed := *randomFirst; seed < *randomFirst+uint64(*randomSeeds); seed++ {
		synctest.Test(t, func(t *testing.T) {
			run := &randomRun{random: rand.New(rand.NewPCG(seed, 3)), streams: map[string]randomStream{}}
			run.script = &script{C: qt.New(t), hosts: map[string]*testHost{}, marks: map[string][]byte{}, records: map[string][]byte{}, random: run.random}
			run.play(t)
			if run.crossed > allowedCrossings {
				t.Errorf("seed %d: %d streams crossed\n%s", seed, run.crossed, strings.Join(run.log, "\n"))
			}
			wentOn, takenUp = wentOn+run.wentOn, takenUp+run.takenUp
		})
	}
	t.Logf("%d of %d streams that were taken up went on", wentOn, takenUp)
}

type randomStream struct {
	version string
	begunAt time.Time
}

type randomRun struct {
	script  *script
	random  *rand.Rand
	streams map[string]randomStream
	log     []string
	// releases counts the versions.
	releases                 int
	crossed, wentOn, takenUp int
	startedAt, copiedAt      time.Time
	awayUntil, apartUntil    time.Time
	stopped                  map[string]time.Time
	isRestoring              bool
}

var randomHosts = []string{"a", "b", "c", "d", "e", "f"}

func (run *randomRun) do(t *testing.T, format string, arguments ...any) {
	command := fmt.Sprintf(format, arguments...)
	run.log = append(run.log, fmt.Sprintf("%8.3f %s", time.Since(run.startedAt).Seconds(), command))
	run.script.run(t.Context(), strings.Fields(command))
}

func (run *randomRun) alive() []string { return slices.Sorted(maps.Keys(run.script.hosts)) }

func (run *randomRun) play(t *testing.T) {
	run.startedAt, run.stopped = time.Now(), map[string]time.Time{}
	run.do(t, "versions v0")
	run.do(t, "first %s", strings.Join(randomHosts, " "))
	run.do(t, "wait 3s")
	run.do(t, "copy")
	run.copiedAt = time.Now()
	for time.Since(run.startedAt) < randomLength {
		time.Sleep(time.Duration(run.random.IntN(250)) * time.Millisecond)
		run.recover(t)
		run.begin(t)
		run.takeUp(t)
		if run.random.IntN(12) == 0 {
			run.trouble(t)
		}
	}
	for _, name := range run.alive() {
		run.do(t, "kill %s", name)
	}
	time.Sleep(time.Minute)
}

// recover ends troubles whose time is over.
func (run *randomRun) recover(t *testing.T) {
	now := time.Now()
	if !run.awayUntil.IsZero() && now.After(run.awayUntil) {
		if run.isRestoring {
			run.do(t, "restore")
		}
		run.do(t, "back")
		run.awayUntil, run.isRestoring = time.Time{}, false
	}
	if !run.apartUntil.IsZero() && now.After(run.apartUntil) {
		for _, name := range run.alive() {
			if run.script.hosts[name].isApart {
				run.do(t, "rejoin %s", name)
			}
		}
		run.apartUntil = time.Time{}
	}
	for _, name := range randomHosts {
		if at, isStopped := run.stopped[name]; isStopped && now.After(at) && run.awayUntil.IsZero() {
			delete(run.stopped, name)
			run.do(t, "start %s", name)
		}
	}
	if run.awayUntil.IsZero() && now.Sub(run.copiedAt) > 3*time.Second {
		run.do(t, "copy")
		run.copiedAt = now
	}
}

// begin begins a stream at a host, at a version that it knows.
func (run *randomRun) begin(t *testing.T) {
	alive := run.alive()
	if len(alive) == 0 {
		return
	}
	name := alive[run.random.IntN(len(alive))]
	host := run.script.hosts[name]
	host.origins.pools.mutex.Lock()
	var versions []string
	if pool := host.origins.pools.byName[testPool]; pool != nil {
		versions = slices.Sorted(maps.Values(pool.current))
	}
	host.origins.pools.mutex.Unlock()
	versions = slices.DeleteFunc(versions, func(version string) bool { return !slices.Contains(run.script.versions, version) })
	if len(versions) == 0 {
		return
	}
	stream := randomStream{version: versions[run.random.IntN(len(versions))], begunAt: time.Now()}
	id := fmt.Sprintf("s%d", len(run.streams))
	run.streams[id] = stream
	run.do(t, "begin %s %s %s", name, id, stream.version)
}

// takeUp takes a stream up at a host.
func (run *randomRun) takeUp(t *testing.T) {
	alive := run.alive()
	if len(alive) == 0 || len(run.streams) == 0 {
		return
	}
	id := fmt.Sprintf("s%d", len(run.streams)-1-run.random.IntN(min(len(run.streams), 60)))
	stream := run.streams[id]
	if time.Since(stream.begunAt) > resumedWithin {
		return
	}
	name := alive[run.random.IntN(len(alive))]
	found := run.script.hosts[name].origins.Find(t.Context(), "r", id, testPool)
	run.takenUp++
	if found == 0 {
		return
	}
	run.wentOn++
	if found != balance.NewVersionID(testPool, stream.version) {
		run.crossed++
		run.log = append(run.log, fmt.Sprintf("%8.3f %s of %s CROSSED at %s", time.Since(run.startedAt).Seconds(), id, stream.version, name))
	}
}

// trouble begins a trouble.
func (run *randomRun) trouble(t *testing.T) {
	alive, now := run.alive(), time.Now()
	milliseconds := func(most int) time.Time { return now.Add(time.Duration(run.random.IntN(most)) * time.Millisecond) }
	switch run.random.IntN(7) {
	case 0, 1:
		if !run.awayUntil.IsZero() {
			return
		}
		// A release: the new version joins, the old one leaves, or both at once.
		versions := run.script.versions
		if len(versions) > 1 {
			run.do(t, "versions %s", versions[1])
			return
		}
		run.releases++
		next := fmt.Sprintf("v%d", run.releases)
		if run.random.IntN(3) == 0 {
			run.do(t, "versions %s", next)
		} else {
			run.do(t, "versions %s %s", versions[0], next)
		}
	case 2:
		if len(alive) > 0 {
			name := alive[run.random.IntN(len(alive))]
			run.do(t, "kill %s", name)
			run.stopped[name] = milliseconds(2000)
		}
	case 3:
		if len(alive) == 0 {
			return
		}
		run.do(t, "kill %s", strings.Join(alive, " "))
		for _, name := range alive {
			run.stopped[name] = milliseconds(1500)
		}
	case 4:
		if run.awayUntil.IsZero() {
			run.do(t, "away")
			run.awayUntil = milliseconds(4500)
		}
	case 5:
		if run.awayUntil.IsZero() {
			run.do(t, "away")
			run.awayUntil, run.isRestoring = milliseconds(1000), true
		}
	case 6:
		if run.apartUntil.IsZero() && len(alive) > 2 {
			run.do(t, "apart %s", strings.Join(alive[:2], " "))
			run.apartUntil = milliseconds(9000)
		}
	}
}
