package diagnosis

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"nutmegfield.example/timeline"
)

// TestExplainCause checks the causes found in the logs of testdata/causes.txtar.
func TestExplainCause(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/causes.txtar")
	qt.Assert(t, err, qt.IsNil)
	for i := 0; i+1 < len(archive.Files); i += 2 {
		t.Run(archive.Files[i].Name, func(t *testing.T) {
			c := qt.New(t)
			lines, _, err := Read(bytes.NewReader(archive.Files[i].Data))
			c.Assert(err, qt.IsNil)
			c.Assert(Explain(lines, "r").Cause, qt.Equals, strings.TrimSpace(string(archive.Files[i+1].Data)))
		})
	}
}

// TestExplainKnownStates checks that an explanation has only the last state of
// each subject before the request, and only those of the request's hosts.
func TestExplainKnownStates(t *testing.T) {
	c := qt.New(t)
	lines, unrecognized, err := Read(strings.NewReader(`
{"time":"2026-05-05T11:59:00Z","event":8105,"host":"a","detail":"4"}
{"time":"2026-05-05T11:59:01Z","event":8105,"host":"a","detail":"7"}
{"time":"2026-05-05T11:59:02Z","event":8105,"host":"b","detail":"9"}
{"time":"2026-05-05T11:59:02Z","event":6102,"host":"a","peer":"b"}
{"time":"2026-05-05T11:59:02Z","event":8101,"host":"a","detail":"routes: status 503"}
{"time":"2026-05-05T11:59:02.1Z","event":8107,"host":"a","detail":"3"}
{"time":"2026-05-05T11:59:02.2Z","event":6101,"host":"a","peer":"b"}
{"time":"2026-05-05T11:59:03Z","event":8103,"host":"a","target":"t1","detail":"new at 10.0.0.1:80"}
{"time":"2026-05-05T11:59:04Z","event":1103,"host":"a","request":"r","target":"t1"}
{"time":"2026-05-05T11:59:05Z","event":8105,"host":"a","detail":"8"}
{"no":"event"}
`))
	c.Assert(err, qt.IsNil)
	c.Assert(unrecognized, qt.Equals, 2)
	explanation := Explain(lines, "r")
	var text bytes.Buffer
	c.Assert(explanation.WriteText(&text), qt.IsNil)
	_, knownStates, _ := strings.Cut(text.String(), "then:\n")
	c.Assert(knownStates, qt.Equals, `  a  platform  lost: routes: status 503, for 2s
  a  platform's era  3, came back from an older copy, for 1.9s
  a  routes  version 7 in force, for 3s
  a  target t1  new at 10.0.0.1:80, for 1s
`)
}

// TestExplainLongID checks that the whole id of a request finds lines that have a short one.
func TestExplainLongID(t *testing.T) {
	c := qt.New(t)
	id := strings.Repeat("r", 16<<10)
	line := `{"time":"2026-05-05T11:59:04Z","event":1103,"host":"a","request":"` + timeline.ShortID(id) + `","target":"t1"}`
	lines, _, err := Read(strings.NewReader(line))
	c.Assert(err, qt.IsNil)
	c.Assert(Explain(lines, id).Lines, qt.HasLen, 1)
	c.Assert(Explain(lines, id+"r").Lines, qt.HasLen, 0)
}
