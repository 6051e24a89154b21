// Package settings reads host.yaml, what one host knows before it has met
// the platform: its name, zone, addresses and files. Each section of the file
// has a source file of its own.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"

	"github.com/creasty/defaults"
	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("settings")
	// BadFile is returned for a file that can't be read as settings.
	BadFile = Errors.NewType("badFile")
	// BadValue is returned for a key whose value is not allowed.
	BadValue = Errors.NewType("badValue")
)

// Settings is host.yaml.
type Settings struct {
	Host      Host      `yaml:"host"`
	Callers   Callers   `yaml:"callers"`
	Operators Operators `yaml:"operators"`
	Peers     Peers     `yaml:"peers"`
	Platform  Platform  `yaml:"platform"`
	Log       Log       `yaml:"log"`
	Drain     Drain     `yaml:"drain"`
}

// Load reads and checks a file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Decode(file, text)
}

// Decode reads settings from YAML over the defaults and checks them. The
// error names every fault with file, line and key.
func Decode(file string, text []byte) (*Settings, error) {
	root, err := parse(file, text)
	if err != nil {
		return nil, err
	}
	settings := &Settings{}
	// The defaults come first, so that a key that is set to 0 or "" is checked
	// and not taken for an absent one.
	if err := defaults.Set(settings); err != nil {
		return nil, fmt.Errorf("set defaults of %s: %w", file, err)
	}
	checker := &checker{name: file, root: root}
	checker.known(root, reflect.TypeFor[Settings](), "")
	if err := root.Decode(settings); err != nil {
		checker.mistyped(err)
	}
	if len(checker.faults) == 0 {
		settings.check(checker)
	}
	return settings, checker.err()
}

// parse reads the one YAML document of a file and returns its mapping.
func parse(file string, text []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, BadFile.New("%s: the file is empty", file)
		}
		return nil, BadFile.Wrap(err, "%s", file)
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return nil, BadFile.New("%s: more than one YAML document", file)
	}
	root := document.Content[0]
	if root.Kind != yaml.MappingNode {
		return nil, BadFile.New("%s:%d: the file is no mapping of keys to values", file, root.Line)
	}
	return root, nil
}

func (settings *Settings) check(checker *checker) {
	settings.Host.check(checker)
	settings.Callers.check(checker)
	settings.Operators.check(checker)
	settings.Peers.check(checker)
	settings.Platform.check(checker)
	settings.Log.check(checker)
	settings.Drain.check(checker)
}
