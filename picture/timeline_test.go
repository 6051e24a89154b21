package picture_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/picture"
	"nutmegfield.example/timeline"
)

func TestTimelineNamesHostsAndEvents(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	var image strings.Builder
	err := picture.Timeline(&image, []timeline.Event{
		{Host: "a1", At: now, Number: 1001, Name: "request accepted"},
		{Host: "a2", At: now.Add(time.Millisecond), Number: 2002, Name: "granted"},
	}, "svg")
	c.Assert(err, qt.IsNil)
	for _, text := range []string{"<svg", "a1", "a2", "request accepted", "granted", "1001"} {
		c.Check(image.String(), qt.Contains, text)
	}
}
