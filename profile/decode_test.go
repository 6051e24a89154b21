package profile_test

import (
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"

	"nutmegfield.example/profile"
)

// TestDecode reads testdata/*.txtar: a configuration and the messages that
// its error must hold, one a line; none means that it is accepted.
func TestDecode(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("testdata/*.txtar")
	c.Assert(err, qt.IsNil)
	for _, file := range files {
		c.Run(filepath.Base(file), func(c *qt.C) {
			archive, err := txtar.ParseFile(file)
			c.Assert(err, qt.IsNil)
			_, err = profile.Decode(archive.Files[0].Name, archive.Files[0].Data)
			expected := strings.TrimSpace(string(archive.Files[1].Data))
			if expected == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.IsNotNil)
			for _, message := range strings.Split(expected, "\n") {
				c.Assert(strings.Contains(err.Error(), message), qt.IsTrue, qt.Commentf("%s\nin: %v", message, err))
			}
		})
	}
}
