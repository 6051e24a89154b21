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

// loadGenerator submits tickets to a pool and releases its grants, for the
// benchmarks.
type loadGenerator struct {
	pool   *pool.Pool
	grants []request.Grant
	next   uint64
}

func newLoadGenerator(targets int) *loadGenerator {
	loadGenerator := &loadGenerator{}
	loadGenerator.pool = &pool.Pool{
		Name:        "model",
		Host:        "h1",
		Policy:      policy.New("expectedFinish", 1),
		Prefixes:    &prefix.Index{},
		SendGrant:   func(_ string, grant request.Grant) { loadGenerator.grants = append(loadGenerator.grants, grant) },
		SendRefusal: func(string, request.Refusal) {},
	}
	loadGenerator.pool.Start()
	configuration := pool.Configuration{MaxWaiting: 1 << 20}
	for i := range targets {
		configuration.Targets = append(configuration.Targets, pool.Target{Name: fmt.Sprintf("t%03d", i), Slots: 8})
	}
	loadGenerator.pool.Configure(configuration)
	return loadGenerator
}

// ticket returns a ticket with one of 1000 prompts that share their first four
// prefixes.
func (loadGenerator *loadGenerator) ticket(workspaces int) *request.Ticket {
	loadGenerator.next++
	ticket := &request.Ticket{
		Entry:       "e1",
		Pool:        "model",
		Workspace:   fmt.Sprintf("w%04d", loadGenerator.next%uint64(workspaces)),
		Tier:        request.Tier(loadGenerator.next % 3),
		Sheddable:   true,
		Deadline:    time.Now().Add(time.Hour + time.Duration(loadGenerator.next)*time.Microsecond),
		Size:        request.Size{PromptTokens: 4096, OutputTokens: 200},
		Fingerprint: loadGenerator.next,
		Round:       1,
		Prefixes:    make([]request.Prefix, 16),
	}
	binary.LittleEndian.PutUint64(ticket.ID[:], loadGenerator.next)
	for i := range ticket.Prefixes {
		prompt := uint64(0)
		if i >= 4 {
			prompt = loadGenerator.next % 1000
		}
		ticket.Prefixes[i] = request.Prefix{Hash: prompt<<8 + uint64(i) + 1, Tokens: 256 * (i + 1)}
	}
	return ticket
}

func (loadGenerator *loadGenerator) release(grant request.Grant) {
	loadGenerator.pool.Release(request.Release{
		Ticket: grant.Ticket, Pool: grant.Pool, Target: grant.Target, Number: grant.Number,
		Scheduler: grant.Scheduler, End: request.EndDone, FirstToken: time.Second, Total: 3 * time.Second,
		Usage: request.Usage{PromptTokens: 4096, CachedTokens: grant.CachedTokens, OutputTokens: 200},
	})
}

// warmUp fills half of the slots, then replaces 16 grants per target.
func (loadGenerator *loadGenerator) warmUp(targets, workspaces int) {
	for range targets * 4 {
		loadGenerator.pool.Submit(loadGenerator.ticket(workspaces))
	}
	for range targets * 16 {
		loadGenerator.replaceOldest(workspaces)
	}
}

// replaceOldest releases the oldest grant and submits one ticket, which leads
// to one scheduling decision.
func (loadGenerator *loadGenerator) replaceOldest(workspaces int) {
	oldest := loadGenerator.grants[0]
	loadGenerator.grants = loadGenerator.grants[1:]
	loadGenerator.release(oldest)
	loadGenerator.pool.Submit(loadGenerator.ticket(workspaces))
}

// BenchmarkTargets measures one ticket, decision and release by number of targets.
func BenchmarkTargets(b *testing.B) {
	for _, targets := range []int{12, 100, 680} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			loadGenerator := newLoadGenerator(targets)
			loadGenerator.warmUp(targets, 170)
			b.ReportAllocs()
			for b.Loop() {
				loadGenerator.replaceOldest(170)
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
	loadGenerator := newLoadGenerator(targets)
	loadGenerator.warmUp(targets, workspaces)
	for range targets*4 + waiting {
		loadGenerator.pool.Submit(loadGenerator.ticket(workspaces))
	}
	b.ReportAllocs()
	for b.Loop() {
		loadGenerator.replaceOldest(workspaces)
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
				before := heapBytes()
				kept = build()
				bytes = heapBytes() - before
			}
			runtime.KeepAlive(kept)
			b.ReportMetric(float64(bytes)/float64(count), "B/"+name)
		})
	}
	measure("ticket", 100000, func() any {
		loadGenerator := newLoadGenerator(0)
		loadGenerator.pool.SettlePeriod = time.Hour
		for range 100000 {
			loadGenerator.pool.Submit(loadGenerator.ticket(5))
		}
		return loadGenerator
	})
	measure("target", 680, func() any { return newLoadGenerator(680) })
	measure("workspace", 17000, func() any {
		loadGenerator := newLoadGenerator(0)
		loadGenerator.pool.SettlePeriod = time.Hour
		for range 17000 {
			loadGenerator.pool.Submit(loadGenerator.ticket(17000))
		}
		return loadGenerator
	})
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
