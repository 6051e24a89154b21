package pool_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"nutmegfield.example/policy"
	"nutmegfield.example/pool"
	"nutmegfield.example/prefix"
	"nutmegfield.example/request"
)

// load drives a pool for the benchmarks and releases each grant.
type load struct {
	pool   *pool.Pool
	grants []request.Grant
	next   uint64
}

func newLoad(targets int) *load {
	load := &load{}
	load.pool = &pool.Pool{
		Name:        "model",
		Host:        "h1",
		Policy:      policy.New("expectedFinish", 1),
		Prefixes:    &prefix.Index{},
		SendGrant:   func(_ string, grant request.Grant) { load.grants = append(load.grants, grant) },
		SendRefusal: func(string, request.Refusal) {},
	}
	load.pool.Start()
	configuration := pool.Configuration{MaxWaiting: 1 << 20}
	for i := range targets {
		configuration.Targets = append(configuration.Targets, pool.Target{Name: fmt.Sprintf("t%03d", i), Slots: 8})
	}
	load.pool.Configure(configuration)
	return load
}

// ticket returns a ticket with one of 1000 prompts that share their first four
// prefixes.
func (load *load) ticket(workspaces int) *request.Ticket {
	load.next++
	ticket := &request.Ticket{
		Entry:       "e1",
		Pool:        "model",
		Workspace:   fmt.Sprintf("w%04d", load.next%uint64(workspaces)),
		Tier:        request.Tier(load.next % 3),
		Sheddable:   true,
		Deadline:    time.Now().Add(time.Hour + time.Duration(load.next)*time.Microsecond),
		Size:        request.Size{PromptTokens: 4096, OutputTokens: 200},
		Fingerprint: load.next,
		Round:       1,
		Prefixes:    make([]request.Prefix, 16),
	}
	binary.LittleEndian.PutUint64(ticket.ID[:], load.next)
	for i := range ticket.Prefixes {
		prompt := uint64(0)
		if i >= 4 {
			prompt = load.next % 1000
		}
		ticket.Prefixes[i] = request.Prefix{Hash: prompt<<8 + uint64(i) + 1, Tokens: 256 * (i + 1)}
	}
	return ticket
}

func (load *load) release(grant request.Grant) {
	load.pool.Release(request.Release{
		Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target, Number: grant.Number,
		Scheduler: grant.Scheduler, End: request.EndDone, FirstToken: time.Second, Total: 3 * time.Second,
		Usage: request.Usage{PromptTokens: 4096, CachedTokens: grant.CachedTokens, OutputTokens: 200},
	})
}

// warm fills half of the slots, then runs 16 steps per target.
func (load *load) warm(targets, workspaces int) {
	for range targets * 4 {
		load.pool.Submit(load.ticket(workspaces))
	}
	for range targets * 16 {
		load.step(workspaces)
	}
}

// step releases the oldest grant and submits one ticket, for one decision.
func (load *load) step(workspaces int) {
	oldest := load.grants[0]
	load.grants = load.grants[1:]
	load.release(oldest)
	load.pool.Submit(load.ticket(workspaces))
}

// BenchmarkTargets measures one ticket, decision and release by number of targets.
func BenchmarkTargets(b *testing.B) {
	for _, targets := range []int{12, 100, 680} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			load := newLoad(targets)
			load.warm(targets, 170)
			b.ReportAllocs()
			for b.Loop() {
				load.step(170)
			}
		})
	}
}

// BenchmarkWorkspaces measures the same by number of workspaces, with 10000
// waiting tickets.
func BenchmarkWorkspaces(b *testing.B) {
	for _, workspaces := range []int{5, 170, 1700} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) { benchmarkWaiting(b, workspaces, 10000) })
	}
}

// BenchmarkWaiting measures the same by number of waiting tickets.
func BenchmarkWaiting(b *testing.B) {
	for _, waiting := range []int{0, 1000, 10000, 100000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) { benchmarkWaiting(b, 1700, waiting) })
	}
}

func benchmarkWaiting(b *testing.B, workspaces, waiting int) {
	const targets = 100
	load := newLoad(targets)
	load.warm(targets, workspaces)
	for range targets*4 + waiting {
		load.pool.Submit(load.ticket(workspaces))
	}
	b.ReportAllocs()
	for b.Loop() {
		load.step(workspaces)
	}
}

// BenchmarkMemory reports the bytes per waiting ticket (including the ticket
// itself), per target and per workspace.
func BenchmarkMemory(b *testing.B) {
	measure := func(name string, count int, build func() any) {
		b.Run(name, func(b *testing.B) {
			var kept any
			var bytes uint64
			for b.Loop() {
				before := heap()
				kept = build()
				bytes = heap() - before
			}
			runtime.KeepAlive(kept)
			b.ReportMetric(float64(bytes)/float64(count), "B/"+name)
		})
	}
	measure("ticket", 100000, func() any {
		load := newLoad(0)
		load.pool.SettlePeriod = time.Hour
		for range 100000 {
			load.pool.Submit(load.ticket(5))
		}
		return load
	})
	measure("target", 680, func() any { return newLoad(680) })
	measure("workspace", 17000, func() any {
		load := newLoad(0)
		load.pool.SettlePeriod = time.Hour
		for range 17000 {
			load.pool.Submit(load.ticket(17000))
		}
		return load
	})
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
