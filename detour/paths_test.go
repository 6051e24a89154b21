package detour

import (
	"context"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

const testPool = "p"

// TestPaths guards against hosts that don't notice that they reach no target of a pool, and
// against those that take a busy or partly ended pool for one out of reach.
func TestPaths(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "paths.txtar"))
	qt.Assert(t, err, qt.IsNil)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				script := &pathScript{
					C: qt.New(t), results: map[string]*atomic.Value{}, attempts: map[string]*Attempt{}, expired: map[string]*atomic.Bool{},
				}
				script.paths = &Paths{Connect: script.connect, ConnectTimeout: 300 * time.Millisecond, Events: &timeline.Recorder{}}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = script.paths.Run(ctx) }()
				for line := range strings.Lines(string(file.Data)) {
					script.run(strings.Fields(line))
				}
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

type pathScript struct {
	*qt.C
	paths    *Paths
	results  map[string]*atomic.Value
	checks   atomic.Int64
	attempts map[string]*Attempt
	expired  map[string]*atomic.Bool
}

// run executes a command:
//
//	targets ADDRESS...          the targets of the pool, which accept connections
//	connect ADDRESS... RESULT   new connections are ok, refused or hang
//	begin, heard, end REQUEST   a request of this host
//	failed                      a connection of a request failed
//	wait DURATION
//	want reached, unreached, expired REQUEST, running REQUEST, checks COUNT
func (script *pathScript) run(words []string) {
	switch words[0] {
	case "targets":
		targets := []balance.Target{{Pool: "other", Address: "o"}}
		for _, address := range words[1:] {
			script.setResult(address, "ok")
			targets = append(targets, balance.Target{Pool: testPool, Address: address})
		}
		script.paths.SetTargets(targets)
	case "connect":
		for _, address := range words[1 : len(words)-1] {
			script.setResult(address, words[len(words)-1])
		}
	case "begin":
		expired := &atomic.Bool{}
		script.expired[words[1]] = expired
		script.attempts[words[1]] = script.paths.Begin(testPool, func() { expired.Store(true) })
	case "heard":
		script.attempts[words[1]].Heard()
	case "end":
		script.attempts[words[1]].End()
	case "failed":
		script.paths.Failed(testPool)
	case "wait":
		duration, err := time.ParseDuration(words[1])
		script.Assert(err, qt.IsNil)
		time.Sleep(duration)
		synctest.Wait()
	case "want":
		script.check(words[1:])
	default:
		script.Fatalf("unknown command %q", words)
	}
}

func (script *pathScript) check(words []string) {
	comment := qt.Commentf("want %q", words)
	switch words[0] {
	case "reached", "unreached":
		isReached := words[0] == "reached"
		script.Assert(script.paths.Reaches(testPool), qt.Equals, isReached, comment)
		script.Assert(slices.Contains(script.paths.Unreached(), testPool), qt.Equals, !isReached, comment)
		script.Assert(script.paths.Reaches("other"), qt.IsTrue, comment)
	case "expired", "running":
		script.Assert(script.expired[words[1]].Load(), qt.Equals, words[0] == "expired", comment)
	case "checks":
		script.Assert(strconv.FormatInt(script.checks.Load(), 10), qt.Equals, words[1], comment)
	default:
		script.Fatalf("unknown state %q", words)
	}
}

func (script *pathScript) setResult(address, result string) {
	if script.results[address] == nil {
		script.results[address] = &atomic.Value{}
	}
	script.results[address].Store(result)
}

func (script *pathScript) connect(ctx context.Context, address string) error {
	script.checks.Add(1)
	switch script.results[address].Load() {
	case "refused":
		return syscall.ECONNREFUSED
	case "hang":
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}
