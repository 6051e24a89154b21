package yamlfile

import (
	"errors"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

// Path leads to a value: a string is a key of a mapping, an int an index of a
// list.
type Path []any

// At returns a path that leads further. The path itself is not changed.
func (path Path) At(steps ...any) Path {
	return append(append(Path(nil), path...), steps...)
}

// String writes the path as in pools[0].name.
func (path Path) String() string {
	var name strings.Builder
	for _, step := range path {
		if index, ok := step.(int); ok {
			fmt.Fprintf(&name, "[%d]", index)
			continue
		}
		if name.Len() > 0 {
			name.WriteByte('.')
		}
		fmt.Fprint(&name, step)
	}
	return name.String()
}

// Checker collects the faults of a file. Fields are set before use.
type Checker struct {
	File string
	// Root is the document, from Parse.
	Root *yaml.Node
	// Type is the type of each fault.
	Type *errorx.Type

	faults []error
}

// AddFault adds a fault of the value at a path.
func (checker *Checker) AddFault(path Path, format string, arguments ...any) {
	checker.faultAt(checker.line(path), path, format, arguments...)
}

func (checker *Checker) faultAt(line int, path Path, format string, arguments ...any) {
	message := fmt.Sprintf(format, arguments...)
	checker.faults = append(checker.faults, checker.Type.New("%s:%d: %s: %s", checker.File, line, path, message))
}

// Err joins the faults, nil if there is none.
func (checker *Checker) Err() error { return errors.Join(checker.faults...) }

// line is that of the deepest part of the path that the file has.
func (checker *Checker) line(path Path) int {
	node := checker.Root
	if len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := node.Line
	for _, step := range path {
		place, value := descend(node, step)
		if value == nil {
			break
		}
		node, line = value, place
	}
	return line
}

// descend returns the line of a key or item and its value.
func descend(node *yaml.Node, step any) (int, *yaml.Node) {
	switch step := step.(type) {
	case int:
		if node.Kind == yaml.SequenceNode && step < len(node.Content) {
			return node.Content[step].Line, node.Content[step]
		}
	case string:
		if i := child(node, step); i >= 0 {
			return node.Content[i].Line, node.Content[i+1]
		}
	}
	return 0, nil
}

// child returns the index of a key in a mapping, -1 if there is none.
func child(node *yaml.Node, name string) int {
	if node.Kind != yaml.MappingNode {
		return -1
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return i
		}
	}
	return -1
}
