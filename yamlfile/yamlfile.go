// Package yamlfile reads YAML files that people write: strictly, within
// bounds, and with the file's line and key in each fault.
package yamlfile

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/creasty/defaults"
	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("yamlfile")
	// Unreadable is returned for a text that can't be read into its type.
	Unreadable = Errors.NewType("unreadable")
)

// Bounds of a text, so that a small one can't fill the memory.
const (
	maxDepth = 16
	maxNodes = 300_000
)

// Parse reads the one document of a text without regard to its type.
func Parse(text []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	root := &yaml.Node{}
	if err := decoder.Decode(root); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, Unreadable.New("the file is empty")
		}
		return nil, Unreadable.Wrap(err, "read YAML")
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return nil, Unreadable.New("more than one YAML document")
	}
	nodes := 0
	if err := bound(root, 0, &nodes); err != nil {
		return nil, err
	}
	return root, nil
}

func bound(node *yaml.Node, depth int, nodes *int) error {
	*nodes++
	switch {
	case depth > maxDepth:
		return Unreadable.New("line %d: nested more than %d deep", node.Line, maxDepth)
	case *nodes > maxNodes:
		return Unreadable.New("line %d: more than %d values", node.Line, maxNodes)
	case node.Kind == yaml.AliasNode:
		return Unreadable.New("line %d: aliases are not allowed", node.Line)
	}
	for _, child := range node.Content {
		if err := bound(child, depth+1, nodes); err != nil {
			return err
		}
	}
	return nil
}

// Decode reads a text that Parse accepts into a struct, refuses keys that the
// struct does not have, and sets defaults.
func Decode(text []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(into); err != nil {
		return Unreadable.Wrap(err, "read YAML")
	}
	if err := defaults.Set(into); err != nil {
		return fmt.Errorf("set defaults: %w", err)
	}
	return nil
}
