package gateway

import (
	"fmt"
	"io"
	"math"
	"net"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"nutmegfield.example/memory"
	"nutmegfield.example/route"
)

// smallMachineBytes is the memory of the smallest machine.
const smallMachineBytes = 134 << 20

// TestManyEndlessAnswers guards against answers that together fill the memory of a host,
// though each of them is within the limits. Each section of testdata/many/answers.txtar is
// sent to all of many requests at once, at hosts that reach the target and at those that
// don't.
func TestManyEndlessAnswers(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/many/answers.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, section := range archive.Files {
		var kind, name string
		var count int
		_, err := fmt.Sscan(section.Name, &kind, &count, &name)
		qt.Assert(t, err, qt.IsNil)
		for _, isDetour := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/detour=%t", name, isDetour), func(t *testing.T) {
				runManyEndless(qt.New(t), kind, count, string(section.Data), isDetour)
			})
		}
	}
}

func runManyEndless(c *qt.C, kind string, count int, reply string, isDetour bool) {
	fixture := newFixture(c, testConfiguration(func(route *route.Route) {
		applyRouteKind(route, kind)
		route.Attempts = 1
	}), 1)
	fixture.replies = slices.Repeat([]string{reply}, 2*count)
	fixture.targets[0].Slots = 2 * count
	fixture.balancer.SetTargets(slices.Clone(fixture.targets), nil)
	plan := memory.NewPlan(smallMachineBytes, 4096)
	fixture.gateway.bufferRoom.budget = plan.Callers
	if isDetour {
		fixture.reachOverAnotherHost()
	}
	before := liveBytes()
	var conns []net.Conn
	var group sync.WaitGroup
	for i := range count {
		conn, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		conns = append(conns, conn)
		_, err = fmt.Fprintf(conn, "POST /r/a HTTP/1.1\r\nHost: h.example\r\n%s: q%d\r\n%s: k\r\nContent-Length: 1\r\n\r\nx", testID, i, testKey)
		c.Assert(err, qt.IsNil)
		group.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	}
	var most int64
	for range 6 {
		time.Sleep(100 * time.Millisecond)
		most = max(most, liveBytes()-before)
	}
	c.Check(len(fixture.receivedRequests()) > 0, qt.IsTrue)
	// The collector needs as much again.
	allowed := plan.Heap / 2
	if isDetour {
		// Two hosts are in this process.
		allowed *= 2
	}
	c.Check(most < allowed, qt.IsTrue, qt.Commentf("%d bytes of %d", most, allowed))
	for _, conn := range conns {
		_ = conn.Close()
	}
	group.Wait()
	for range 200 {
		if plan.Callers.Held(memory.Answers) == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Errorf("%d bytes of answers are still counted", plan.Callers.Held(memory.Answers))
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
