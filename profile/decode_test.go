package profile_test

import (
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rogpeppe/go-internal/txtar"

	"nutmegfield.example/profile"
)

// TestDecode decodes the first file of each testdata/*.txtar. The second file lists
// the texts that the error must contain, one a line; if it is empty the configuration
// must be valid.
func TestDecode(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("testdata/*.txtar")
	c.Assert(err, qt.IsNil)
	for _, file := range files {
		c.Run(filepath.Base(file), func(c *qt.C) {
			archive, err := txtar.ParseFile(file)
			c.Assert(err, qt.IsNil)
			registeredNames := profile.RegisteredNames{Policies: []string{"expectedFinish"}, Protocols: []string{"engine", "service"}}
			_, err = registeredNames.Decode(archive.Files[0].Name, archive.Files[0].Data)
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

// FuzzDecode checks that Decode does not panic on any text, and that a valid
// configuration is the same after encoding and decoding it.
func FuzzDecode(f *testing.F) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(archive.Files[0].Data)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c := qt.New(t)
		configuration, err := profile.Decode("fuzz.yaml", text)
		if err != nil {
			return
		}
		profile.NewSnapshot(1, *configuration)
		encoded, err := profile.Encode(configuration)
		c.Assert(err, qt.IsNil)
		if len(encoded) > profile.MaxBytes {
			return
		}
		decodedAgain, err := profile.Decode("again.yaml", encoded)
		c.Assert(err, qt.IsNil)
		c.Assert(decodedAgain, qt.CmpEquals(cmpopts.EquateEmpty()), configuration)
	})
}
