// Package yamlfile decodes YAML files written by people. It is strict, limits
// depth and size, and reports each fault with file, line and key.
package yamlfile

import (
	"bytes"
	"errors"
	"io"

	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("yamlfile")
	// Unreadable is returned for a text that can't be parsed, is too large or
	// can't be decoded into the type.
	Unreadable = Errors.NewType("unreadable")
)

// Limits on a document, so that a small text can't exhaust memory.
const (
	maxDepth = 16
	maxNodes = 300_000
)

// Parse parses a text that holds exactly one document, without decoding it. The
// name of the file is used in errors.
func Parse(file string, text []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	root := &yaml.Node{}
	if err := decoder.Decode(root); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, Unreadable.New("%s: the file is empty", file)
		}
		return nil, Unreadable.Wrap(err, "%s", file)
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return nil, Unreadable.New("%s: more than one YAML document", file)
	}
	nodes := 0
	if err := checkBounds(file, root, 0, &nodes); err != nil {
		return nil, err
	}
	return root, nil
}

func checkBounds(file string, node *yaml.Node, depth int, nodes *int) error {
	*nodes++
	switch {
	case depth > maxDepth:
		return Unreadable.New("%s:%d: nested more than %d deep", file, node.Line, maxDepth)
	case *nodes > maxNodes:
		return Unreadable.New("%s:%d: more than %d values", file, node.Line, maxNodes)
	case node.Kind == yaml.AliasNode:
		return Unreadable.New("%s:%d: aliases are not allowed", file, node.Line)
	}
	for _, child := range node.Content {
		if err := checkBounds(file, child, depth+1, nodes); err != nil {
			return err
		}
	}
	return nil
}
