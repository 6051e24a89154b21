package timeline

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

var (
	kindFrequent = Kind{Number: 1, Name: "frequent", Level: Info, Frequent: true}
	kindRare     = Kind{Number: 2, Name: "rare", Level: Info}
)

// TestLogLimitOmitsFrequentLinesFirst checks that lines of frequent kinds are
// omitted first, that the number of omitted lines is logged, and that the ring
// buffer has all events.
func TestLogLimitOmitsFrequentLinesFirst(t *testing.T) {
	c := qt.New(t)
	var output bytes.Buffer
	recorder := &Recorder{
		Logger:              &log.Logger{Writer: &log.IOWriter{Writer: &output}},
		LineLimiter:         rate.NewLimiter(0, 8),
		FrequentLineLimiter: rate.NewLimiter(0, 2),
	}
	for range 5 {
		recorder.Record(kindFrequent, Event{Facts: []Fact{Duration("waited", 1500*time.Microsecond), Count("open", 3)}})
	}
	recorder.Record(kindRare, Event{Request: "q1"})
	text := output.String()
	c.Assert(strings.Count(text, `"frequent"`), qt.Equals, 2)
	c.Assert(strings.Contains(text, `"waitedMs":"1.5","open":"3"`), qt.IsTrue, qt.Commentf("%s", text))
	c.Assert(strings.Contains(text, `"lines":"3","message":"log lines left out"`), qt.IsTrue, qt.Commentf("%s", text))
	c.Assert(strings.Contains(text, `"request":"q1"`), qt.IsTrue)
	for range 20 {
		recorder.Record(kindRare, Event{})
	}
	c.Assert(strings.Count(output.String(), `"rare"`), qt.Equals, 6)
	c.Assert(recorder.Events(), qt.HasLen, 26)
}

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (writer *blockedWriter) Write(line []byte) (int, error) {
	<-writer.release
	return len(line), nil
}

// TestRecordDoesNotBlockOnLogReader records more events than the log queue holds
// while nothing reads the log.
func TestRecordDoesNotBlockOnLogReader(t *testing.T) {
	c := qt.New(t)
	blockedWriter := &blockedWriter{release: make(chan struct{})}
	writer := &log.AsyncWriter{ChannelSize: 16, DiscardOnFull: true, Writer: &log.IOWriter{Writer: blockedWriter}}
	recorder := &Recorder{Logger: &log.Logger{Writer: writer}}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 1000 {
				recorder.Record(kindRare, Event{})
			}
		})
	}
	group.Wait()
	c.Assert(recorder.Events(), qt.HasLen, 4000)
	close(blockedWriter.release)
}

func BenchmarkRecord(b *testing.B) {
	recorder := &Recorder{
		Logger:              &log.Logger{Writer: &log.IOWriter{Writer: &bytes.Buffer{}}},
		FrequentLineLimiter: rate.NewLimiter(200, 200),
	}
	b.ReportAllocs()
	for b.Loop() {
		recorder.Record(kindFrequent, Event{Request: "9c41d07be2a35f68", Facts: []Fact{Count("open", 3), Duration("waited", time.Millisecond)}})
	}
}
