package quarantine

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"nutmegfield.example/balance"
)

// TestAttempts runs the scripts of testdata/attempts.txtar. A script tells what
// happens to targets and requests, and which crashes must be reported: those of
// targets that ended, and none for cuts, resets, drains, lost answers and freezes.
// Its commands are documented at script.run.
func TestAttempts(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "attempts.txtar"))
	qt.Assert(t, err, qt.IsNil)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				script := &script{
					C: qt.New(t), targets: map[string]*balance.Target{}, entries: map[string]*balance.Target{},
					attempts: map[string]*Attempt{}, dials: map[string]string{},
				}
				script.tracker = &Attempts{Check: script.check, CheckTimeout: 300 * time.Millisecond, OnCrash: script.recordCrash}
				go func() { _ = script.tracker.Run(ctx) }()
				for line := range strings.Lines(string(file.Data)) {
					script.run(strings.Fields(line))
				}
				cancel()
				// Checks in progress end.
				time.Sleep(script.tracker.CheckTimeout)
				synctest.Wait()
			})
		})
	}
}

// TestFailedAttemptsKeepShortIDs guards against ids of callers that left, of up to the whole
// limit for a head, which filled the memory of a host.
func TestFailedAttemptsKeepShortIDs(t *testing.T) {
	c := qt.New(t)
	attempts := &Attempts{Check: func(context.Context, *balance.Target) error { return nil }}
	target := &balance.Target{ID: "t1"}
	for range 2 * maxUnanswered {
		attempt := attempts.Begin(target, strings.Repeat("x", 16<<10), func() Traits { return Traits{} })
		attempt.Abandoned()
	}
	kept := 0
	for _, attempt := range attempts.targets[IncarnationOf(target)].unanswered {
		kept += len(attempt.request)
	}
	c.Assert(kept > 0 && kept <= maxUnanswered*128, qt.IsTrue, qt.Commentf("%d bytes", kept))
}

type script struct {
	*qt.C
	tracker *Attempts
	// targets are all targets by id, entries those that the platform lists.
	targets, entries map[string]*balance.Target
	attempts         map[string]*Attempt

	// mutex guards the fields that checks of targets use.
	mutex sync.Mutex
	// dials holds what happens to new connections, by address.
	dials   map[string]string
	crashes []string
}

// run executes a command:
//
//	target ID ZONE       a target starts, at an address of its own
//	replace ID NEW       the target NEW takes the address of ID
//	remove ID, drain ID  the entry of a target vanishes, or says that it leaves
//	back ID              the entry is back
//	dial ID RESULT       new connections to a target are refused, silent or ok
//	begin REQUEST ID     a request is sent
//	heard, answered, failed, abandoned, misdirected REQUEST
//	wait DURATION
//	want REQUEST:EVIDENCE ...  the crashes reported since the last want
func (script *script) run(words []string) {
	if len(words) == 0 || words[0] == "#" {
		return
	}
	switch words[0] {
	case "target":
		script.targets[words[1]] = &balance.Target{ID: words[1], Zone: words[2], Address: words[1] + ":1", StartedAt: time.Now()}
		script.entries[words[1]] = script.targets[words[1]]
		script.publish()
	case "replace":
		replacement := *script.targets[words[1]]
		replacement.ID, replacement.StartedAt = words[2], time.Now()
		script.targets[words[2]], script.entries[words[2]] = &replacement, &replacement
		delete(script.entries, words[1])
		script.publish()
	case "remove":
		delete(script.entries, words[1])
		script.publish()
	case "back":
		script.entries[words[1]] = script.targets[words[1]]
		script.publish()
	case "drain":
		script.targets[words[1]].Leaving = true
		script.publish()
	case "dial":
		script.mutex.Lock()
		script.dials[script.targets[words[1]].Address] = words[2]
		script.mutex.Unlock()
	case "begin":
		trait := NewContent([]byte(words[1]))
		script.attempts[words[1]] = script.tracker.Begin(script.targets[words[2]], words[1], func() Traits { return Traits{Content: trait} })
	case "heard":
		script.attempts[words[1]].Heard()
	case "answered":
		script.attempts[words[1]].Answered()
	case "failed":
		<-script.attempts[words[1]].Failed()
	case "abandoned":
		script.attempts[words[1]].Abandoned()
	case "misdirected":
		script.attempts[words[1]].Misdirected()
	case "wait":
		duration, err := time.ParseDuration(words[1])
		script.Assert(err, qt.IsNil)
		time.Sleep(duration)
	case "want":
		synctest.Wait()
		script.mutex.Lock()
		defer script.mutex.Unlock()
		slices.Sort(script.crashes)
		script.Assert(script.crashes, qt.DeepEquals, append([]string(nil), words[1:]...))
		script.crashes = nil
	default:
		script.Fatalf("unknown command %q", words[0])
	}
}

func (script *script) publish() {
	var targets []balance.Target
	for _, target := range script.entries {
		targets = append(targets, *target)
	}
	script.tracker.SetTargets(targets)
}

func (script *script) check(ctx context.Context, target *balance.Target) error {
	script.mutex.Lock()
	result := script.dials[target.Address]
	script.mutex.Unlock()
	switch result {
	case "refused":
		return &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case "silent":
		<-ctx.Done()
		return fmt.Errorf("dial: %w", ctx.Err())
	}
	return nil
}

func (script *script) recordCrash(crash Crash) {
	evidence, _, _ := strings.Cut(strings.TrimPrefix(string(crash.Evidence), "connection "), " ")
	script.mutex.Lock()
	defer script.mutex.Unlock()
	script.crashes = append(script.crashes, crash.Request+":"+evidence)
}

// BenchmarkAttempt measures the tracking of a request with 20 events.
func BenchmarkAttempt(b *testing.B) {
	attempts := &Attempts{OnAnswer: (&Suspects{}).RecordAnswer}
	target := &balance.Target{ID: "t", StartedAt: time.Now()}
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			attempt := attempts.Begin(target, "q", func() Traits { return Traits{Content: 1} })
			for range 20 {
				attempt.Heard()
			}
			attempt.Answered()
		}
	})
}

// BenchmarkNewContent measures the trait of a request with a body of 12 kB.
func BenchmarkNewContent(b *testing.B) {
	body := make([]byte, 12_000)
	for b.Loop() {
		NewContent([]byte("workspace"), []byte("POST"), []byte("host"), []byte("/path"), body)
	}
}
