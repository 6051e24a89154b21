package objects_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/memory"
	"nutmegfield.example/objects"
)

// endlessAnswers are the statuses of answers without end, with what is repeated.
var endlessAnswers = []struct {
	status   int
	repeated string
}{
	{http.StatusOK, "aaaaaaaa"}, {http.StatusOK, "{},"}, {http.StatusOK, "["}, {http.StatusBadRequest, "aaaaaaaa"}, {http.StatusServiceUnavailable, "aaaaaaaa"},
}

// TestEndlessAnswers guards against answers of the platform without end to many calls at
// once, which would fill the memory of the host.
func TestEndlessAnswers(t *testing.T) {
	for _, endless := range endlessAnswers {
		t.Run(fmt.Sprintf("%d %s", endless.status, endless.repeated), func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("ETag", `"1"`)
				writer.WriteHeader(endless.status)
				_, err := io.WriteString(writer, "[")
				for block := strings.Repeat(endless.repeated, 10000); err == nil; {
					_, err = io.WriteString(writer, block)
				}
			}))
			defer server.Close()
			client := &objects.Client{Address: server.URL, Timeout: time.Second, Do: (&http.Client{Transport: &http.Transport{}}).Do}
			before := liveBytes()
			ctx, cancel := context.WithTimeout(c.Context(), time.Second)
			defer cancel()
			var group sync.WaitGroup
			var mutex sync.Mutex
			longest := 0
			call := func(count int, makeCall func() error) {
				for range count {
					group.Go(func() {
						if err := makeCall(); err != nil {
							mutex.Lock()
							longest = max(longest, len(err.Error()))
							mutex.Unlock()
						}
					})
				}
			}
			call(50, func() error { _, err := client.Get(ctx, "k", "n"); return err })
			call(50, func() error { _, err := client.Put(ctx, objects.Object{Kind: "k", Name: "n"}); return err })
			call(2, func() error { _, _, err := client.Watch(ctx, "k", "n", 1, time.Second); return err })
			call(2, func() error { _, err := client.List(ctx, "k"); return err })
			call(1, func() error { _, err := client.Hosts(ctx); return err })
			var most int64
			for range 5 {
				time.Sleep(30 * time.Millisecond)
				most = max(most, liveBytes()-before)
			}
			cancel()
			group.Wait()
			plan := memory.NewPlan(134<<20, 4096)
			// The collector needs as much again.
			c.Check(most < plan.Heap/2, qt.IsTrue, qt.Commentf("%d bytes of %d", most, plan.Heap/2))
			c.Check(longest < 1<<10, qt.IsTrue, qt.Commentf("an error of %d bytes", longest))
		})
	}
}

// liveBytes returns the size of the live heap, with as little as possible of what becomes
// garbage while the collector runs.
func liveBytes() int64 {
	least := int64(math.MaxInt64)
	for range 3 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		least = min(least, int64(stats.HeapAlloc))
	}
	return least
}
