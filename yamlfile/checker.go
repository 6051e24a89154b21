package yamlfile

import (
	"errors"
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

// Path is the location of a value: each step is a string, the key of a mapping,
// or an int, the index into a list.
type Path []any

// At returns a copy of the path with steps appended.
func (path Path) At(steps ...any) Path {
	return append(append(Path(nil), path...), steps...)
}

// String formats the path, such as pools[0].name.
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

// Checker collects the faults of a file, each with its line and key. Fields are
// set before use.
type Checker struct {
	File string
	// Root is the document that Parse returned.
	Root *yaml.Node
	// Type is the error type of the faults.
	Type *errorx.Type

	faults []error
}

// AddFault adds a fault at the value of a path.
func (checker *Checker) AddFault(path Path, format string, arguments ...any) {
	checker.addFaultAt(checker.lineOf(path), path, format, arguments...)
}

func (checker *Checker) addFaultAt(line int, path Path, format string, arguments ...any) {
	message := fmt.Sprintf(format, arguments...)
	checker.faults = append(checker.faults, checker.Type.New("%s:%d: %s: %s", checker.File, line, path, message))
}

// Err returns the faults as one error, or nil if there are none.
func (checker *Checker) Err() error { return errors.Join(checker.faults...) }

// lineOf returns the line of the value at a path. If the file lacks it, that is
// the line of the innermost value on the path that exists.
func (checker *Checker) lineOf(path Path) int {
	node := checker.Root
	if len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := node.Line
	for _, step := range path {
		stepLine, value := descend(node, step)
		if value == nil {
			break
		}
		node, line = value, stepLine
	}
	return line
}

// descend follows one step of a path. It returns the line of the key or item, and
// its value, which is nil if there is none.
func descend(node *yaml.Node, step any) (int, *yaml.Node) {
	switch step := step.(type) {
	case int:
		if node.Kind == yaml.SequenceNode && step < len(node.Content) {
			return node.Content[step].Line, node.Content[step]
		}
	case string:
		if i := keyIndex(node, step); i >= 0 {
			return node.Content[i].Line, node.Content[i+1]
		}
	}
	return 0, nil
}

// keyIndex returns the index of a key in a mapping's content, where the value
// follows it, or -1 if there is none.
func keyIndex(node *yaml.Node, name string) int {
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
