package entry

import (
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"nutmegfield.example/request"
)

// rawRequest returns the bytes that a script describes. Its line ends are ignored,
// \r, \n and \xNN are escapes, and {length} is the length of the body.
func rawRequest(c *qt.C, script string) string {
	script = strings.ReplaceAll(script, "\n", "")
	script = strings.ReplaceAll(script, `"`, `\"`)
	raw, err := strconv.Unquote(`"` + script + `"`)
	c.Assert(err, qt.IsNil)
	_, body, _ := strings.Cut(raw, "\r\n\r\n")
	return strings.Replace(raw, "{length}", strconv.Itoa(len(body)), 1)
}

// TestBadInput sends the raw request of each testdata/bad/*.txtar and checks that
// the answer contains each line (or does not, if it begins with "!"), how many
// requests were dispatched, and that the host still serves.
func TestBadInput(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 30, qt.IsTrue)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			qt.Assert(t, err, qt.IsNil)
			runFixture(t, func(fixture *fixture) {
				answer := fixture.exchange(rawRequest(fixture.C, string(archive.Files[0].Data)))
				for line := range strings.SplitSeq(strings.TrimSpace(string(archive.Files[1].Data)), "\n") {
					unwanted, not := strings.CutPrefix(line, "!")
					fixture.Assert(strings.Contains(answer, unwanted), qt.Equals, !not, qt.Commentf("%s\nin: %s", line, answer))
				}
				dispatched := strings.TrimSpace(string(archive.Files[2].Data))
				fixture.Assert(strconv.Itoa(len(fixture.calls)), qt.Equals, dispatched)
				fixture.assertReply(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusOK, request.Done)
			})
		})
	}
}

// exchange sends raw bytes and returns everything that is received.
func (fixture *fixture) exchange(raw string) string {
	connection, err := fixture.listener.dial(fixture.Context(), "", "")
	fixture.Assert(err, qt.IsNil)
	defer connection.Close()
	go fixture.writeRaw(connection, raw)
	fixture.Assert(connection.SetReadDeadline(time.Now().Add(time.Minute)), qt.IsNil)
	answer, _ := io.ReadAll(connection)
	return string(answer)
}
