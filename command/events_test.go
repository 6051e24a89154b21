package command

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/timeline"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

const eventsPage = "../docs/EVENTS.md"

func TestEventsPageEqualsCatalogue(t *testing.T) {
	c := qt.New(t)
	var page strings.Builder
	page.WriteString("# Events\n\nEvery log line and every entry of the time line carries one of these numbers.\n" +
		"This page is written from the code: `go test ./command -update`.\n\n" +
		"| number | level | name | meaning | what to do |\n|---|---|---|---|---|\n")
	for _, kind := range timeline.Catalogue() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s |\n", kind.Number, kind.Level, kind.Name, kind.Meaning, kind.Action)
	}
	if *update {
		c.Assert(os.WriteFile(eventsPage, []byte(page.String()), 0o644), qt.IsNil)
	}
	written, err := os.ReadFile(eventsPage)
	c.Assert(err, qt.IsNil)
	c.Assert(string(written), qt.Equals, page.String())
}
