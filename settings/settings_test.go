package settings_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"nutmegfield.example/settings"
)

// TestDecode decodes the settings of each testdata/*.txtar. The second file of an
// archive lists the messages that the error must contain, one per line; if it is
// empty, there must be no error.
func TestDecode(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("testdata/*.txtar")
	c.Assert(err, qt.IsNil)
	for _, file := range files {
		c.Run(filepath.Base(file), func(c *qt.C) {
			archive, err := txtar.ParseFile(file)
			c.Assert(err, qt.IsNil)
			_, err = settings.Decode(archive.Files[0].Name, archive.Files[0].Data)
			expected := strings.TrimSpace(string(archive.Files[1].Data))
			if expected == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.IsNotNil)
			for message := range strings.SplitSeq(expected, "\n") {
				c.Assert(strings.Contains(err.Error(), message), qt.IsTrue, qt.Commentf("%s\nin: %v", message, err))
			}
		})
	}
}

func TestExplicitZeroOverridesDefault(t *testing.T) {
	c := qt.New(t)
	text := "host: {id: a1, zone: a}\nplatform: {address: 'http://p'}\ndrain: {notice: 0s}\n"
	read, err := settings.Decode("host.yaml", []byte(text))
	c.Assert(err, qt.IsNil)
	c.Assert(read.Drain.Notice, qt.Equals, time.Duration(0))
	c.Assert(read.Drain.Limit, qt.Equals, 10*time.Minute)
}
