// Package settings reads host.yaml, the local settings that a host needs before
// it connects to the platform: its name, zone, addresses and files. Each section
// of the file has a source file of its own.
package settings

import (
	"fmt"
	"os"

	"github.com/joomcode/errorx"

	"nutmegfield.example/yamlfile"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("settings")
	// BadFile is returned for a file that can't be parsed or is no mapping.
	BadFile = Errors.NewType("badFile")
	// BadValue is returned for an unknown or duplicate key or an invalid value.
	BadValue = Errors.NewType("badValue")
)

// Settings is the content of host.yaml.
type Settings struct {
	Host      Host      `yaml:"host"`
	Callers   Callers   `yaml:"callers"`
	Operators Operators `yaml:"operators"`
	Peers     Peers     `yaml:"peers"`
	Platform  Platform  `yaml:"platform"`
	Log       Log       `yaml:"log"`
	Drain     Drain     `yaml:"drain"`
	Gateway   Gateway   `yaml:"gateway"`
}

// Load reads a settings file; see Decode.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Decode(file, text)
}

// Decode decodes settings from YAML, sets defaults and checks the values. The
// error lists every fault with file, line and key; values are only checked if
// all keys and types are valid.
func Decode(file string, text []byte) (*Settings, error) {
	settings := &Settings{}
	read, err := yamlfile.Read(file, text, settings, BadValue)
	if err != nil {
		return nil, BadFile.Wrap(err, "read settings")
	}
	checker := &checker{Checker: read}
	if checker.Valid() {
		settings.check(checker)
	}
	if err := checker.Err(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	return settings, nil
}

func (settings *Settings) check(checker *checker) {
	settings.Host.check(checker)
	settings.Callers.check(checker)
	settings.Operators.check(checker)
	settings.Peers.check(checker)
	settings.Platform.check(checker)
	settings.Log.check(checker)
	settings.Drain.check(checker)
	settings.Gateway.check(checker, settings.Host.Role)
}
