package profile

import (
	"fmt"

	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"

	"nutmegfield.example/yamlfile"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("profile")
	// BadFile is returned for a text that is too long or is not the YAML of a
	// configuration.
	BadFile = Errors.NewType("badFile")
	// NewerFormat is returned for a text in a newer format than Format; it is a
	// subtype of BadFile.
	NewerFormat = BadFile.NewSubtype("newerFormat")
	// BadValue is returned for an unknown key or a value that is not allowed.
	BadValue = Errors.NewType("badValue")
)

// Format is the newest version of the file format that this program reads.
const Format = 1

// MaxBytes is the maximum size of a configuration's text, as the platform stores no
// larger one.
const MaxBytes = 1 << 20

// RegisteredNames holds the names of policies and protocols that a configuration may
// use: those registered in this program. An empty list allows any name.
type RegisteredNames struct {
	Policies  []string
	Protocols []string
}

// Decode is like RegisteredNames.Decode, but allows any names of policies and
// protocols.
func Decode(file string, text []byte) (*Configuration, error) {
	return RegisteredNames{}.Decode(file, text)
}

// Decode decodes a configuration in YAML, sets defaults and checks it. The file's
// name serves error messages only. The error is a BadFile, or joins one BadValue
// with the file's name, line and key for each fault found.
func (registeredNames RegisteredNames) Decode(file string, text []byte) (*Configuration, error) {
	if len(text) > MaxBytes {
		return nil, BadFile.New("%s: %d bytes, at most %d", file, len(text), MaxBytes)
	}
	root, err := yamlfile.Parse(file, text)
	if err != nil {
		return nil, BadFile.Wrap(err, "read configuration")
	}
	if format := formatOf(root); format > Format {
		return nil, NewerFormat.New("%s: format is %d, this program reads %d", file, format, Format)
	}
	configuration := &Configuration{}
	fileChecker, err := yamlfile.ReadNode(file, root, configuration, BadValue)
	if err != nil {
		return nil, BadFile.Wrap(err, "read configuration")
	}
	checker := &checker{Checker: fileChecker, registeredNames: registeredNames}
	if checker.Valid() {
		checker.check(configuration)
	}
	if err := checker.Err(); err != nil {
		return nil, fmt.Errorf("check configuration: %w", err)
	}
	return configuration, nil
}

// formatOf returns the value of the key format. It ignores all other keys, as they
// may differ in a newer format.
func formatOf(root *yaml.Node) int {
	var header struct {
		Format int `yaml:"format"`
	}
	// A format that is not a number is reported when the whole file is read.
	_ = root.Decode(&header)
	return header.Format
}

// Encode returns a configuration as YAML.
func Encode(configuration *Configuration) ([]byte, error) {
	text, err := yaml.Marshal(configuration)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return text, nil
}
