package timeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"
)

const (
	// maxKeptBytes is a tenth of the memory of the smallest machine.
	maxKeptBytes = 12 << 20
	maxLineBytes = 8 << 10
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestLongTextsAreBounded guards against events that keep what callers and targets chose, of
// any length: some thousands of them filled the memory of a host. Each line of
// testdata/long.txt is a kind of event. Events are found by the whole id of their request.
func TestLongTextsAreBounded(t *testing.T) {
	text, err := os.ReadFile("testdata/long.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var name string
		var request, detail, fact int
		_, err := fmt.Sscan(line, &name, &request, &detail, &fact)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("line %q", line))
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var output bytes.Buffer
			recorder := &Recorder{}
			before := heapBytes()
			var group sync.WaitGroup
			for worker := range 4 {
				group.Go(func() {
					for i := range ringSize / 4 {
						recorder.Record(kindRare, longEvent(worker*ringSize+i, request, detail, fact))
					}
				})
			}
			group.Wait()
			c.Check(heapBytes()-before < maxKeptBytes, qt.IsTrue, qt.Commentf("%d bytes", heapBytes()-before))
			recorder.Logger = &log.Logger{Writer: &log.IOWriter{Writer: &output}}
			last := longEvent(-1, request, detail, fact)
			recorder.Record(kindRare, last)
			selection := Selection{Request: last.Request}
			c.Check(selection.Select(recorder.Events()), qt.HasLen, 1)
			c.Check(output.Len() < maxLineBytes, qt.IsTrue, qt.Commentf("a line of %d bytes", output.Len()))
			var logged struct{ Request string }
			c.Assert(json.Unmarshal(output.Bytes(), &logged), qt.IsNil)
			c.Check(IsOf(logged.Request, last.Request), qt.IsTrue)
		})
	}
}

// longEvent returns an event whose texts have lengths; the request's id ends with a number.
func longEvent(number, request, detail, fact int) Event {
	id := fmt.Sprint(number)
	return Event{
		Request: strings.Repeat("r", request-len(id)) + id,
		Detail:  strings.Repeat("d", detail),
		Facts:   []Fact{{Key: "cause", Value: strings.Repeat("f", fact)}},
	}
}

// TestKeptBytesAreCounted checks that the count is the sum over the kept events, and that
// ordinary events are kept all.
func TestKeptBytesAreCounted(t *testing.T) {
	c := qt.New(t)
	recorder := &Recorder{}
	for i := range 3 * ringSize {
		event := longEvent(i, 16, i%600, 40)
		event.Facts = append(event.Facts, make([]Fact, i%20)...)
		recorder.Record(kindRare, event)
	}
	var sum int64
	events := recorder.Events()
	for i := range events {
		sum += events[i].bytes()
	}
	c.Assert(recorder.KeptBytes(), qt.Equals, sum)
	c.Assert(events, qt.HasLen, ringSize)
}
