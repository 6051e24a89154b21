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
	// BadFile is returned for a text that is no configuration.
	BadFile = Errors.NewType("badFile")
	// NewerFormat is a BadFile of a format that this program does not read.
	NewerFormat = BadFile.NewSubtype("newerFormat")
	// BadValue is returned for a key whose value is not allowed.
	BadValue = Errors.NewType("badValue")
)

// Format is the newest version of the file format that this program reads.
const Format = 1

// MaxBytes is the largest configuration that the platform keeps.
const MaxBytes = 1 << 20

// RegisteredNames lists the names that a program has registered; an empty list is not
// checked against.
type RegisteredNames struct {
	Policies  []string
	Protocols []string
}

// Decode reads a configuration in YAML, sets defaults and checks it, without
// regard to registered names.
func Decode(file string, text []byte) (*Configuration, error) {
	return RegisteredNames{}.Decode(file, text)
}

// Decode reads a configuration in YAML, sets defaults and checks it. The
// error names every fault found, each with the file's name, line and key.
func (known RegisteredNames) Decode(file string, text []byte) (*Configuration, error) {
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
	read, err := yamlfile.ReadNode(file, root, configuration, BadValue)
	if err != nil {
		return nil, BadFile.Wrap(err, "read configuration")
	}
	checker := &checker{Checker: read, known: known}
	if checker.Sound() {
		checker.check(configuration)
	}
	if err := checker.Err(); err != nil {
		return nil, fmt.Errorf("check configuration: %w", err)
	}
	return configuration, nil
}

// formatOf reads the format alone, since a newer one may have other keys.
func formatOf(root *yaml.Node) int {
	var head struct {
		Format int `yaml:"format"`
	}
	// What is no number is reported when the whole is read.
	_ = root.Decode(&head)
	return head.Format
}

// Encode writes a configuration as YAML.
func Encode(configuration *Configuration) ([]byte, error) {
	text, err := yaml.Marshal(configuration)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return text, nil
}
