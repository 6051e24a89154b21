package timeline_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"
	"go.yaml.in/yaml/v3"

	"nutmegfield.example/timeline"
)

// page is a host's answer in testdata, with times in milliseconds: Now and At by
// the host's clock, Sent and Received by the reader's.
type page struct {
	Host     string
	Now      int
	Sent     int
	Received int
	Events   []struct {
		Sequence uint64
		At       int
		Name     string
		Request  string
	}
}

func milliseconds(count int) time.Time {
	return time.Date(2026, 1, 1, 0, 0, 0, count*int(time.Millisecond), time.UTC)
}

func (page *page) answer() timeline.Answer {
	answer := timeline.Answer{
		Page:       timeline.Page{Host: page.Host, Now: milliseconds(page.Now)},
		SentAt:     milliseconds(page.Sent),
		ReceivedAt: milliseconds(page.Received),
	}
	for _, event := range page.Events {
		answer.Events = append(answer.Events, timeline.Event{
			Host: page.Host, Sequence: event.Sequence, At: milliseconds(event.At),
			Name: event.Name, Request: event.Request, Number: 1,
		})
	}
	return answer
}

// TestMerge runs testdata/*.txtar: the hosts' answers and the expected text of
// the merged events.
func TestMerge(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("testdata/*.txtar")
	c.Assert(err, qt.IsNil)
	c.Assert(len(files) > 0, qt.IsTrue)
	for _, file := range files {
		c.Run(filepath.Base(file), func(c *qt.C) {
			archive, err := txtar.ParseFile(file)
			c.Assert(err, qt.IsNil)
			var pages []page
			c.Assert(yaml.Unmarshal(archive.Files[0].Data, &pages), qt.IsNil)
			var answers []timeline.Answer
			for _, page := range pages {
				answers = append(answers, page.answer())
			}
			var text strings.Builder
			c.Assert(timeline.WriteText(&text, timeline.Merge(answers)), qt.IsNil)
			c.Assert(text.String(), qt.Equals, string(archive.Files[1].Data))
		})
	}
}

func TestRecorderKeepsNewestEvents(t *testing.T) {
	c := qt.New(t)
	recorder := &timeline.Recorder{Host: "a1"}
	kind := timeline.Kind{Number: 1, Name: "x"}
	for range 10000 {
		recorder.Record(kind, timeline.Event{})
	}
	events := recorder.Events()
	c.Assert(events[len(events)-1].Sequence, qt.Equals, uint64(10000))
	c.Assert(events[0].Sequence, qt.Equals, uint64(10000-len(events)+1))
}
