package yamlfile

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/creasty/defaults"
	"github.com/joomcode/errorx"
	"go.yaml.in/yaml/v3"
)

// Read parses a text and reads it into a struct whose fields carry yaml tags.
// Keys that are absent or null get the fields' defaults; one that is set to 0
// or "" keeps that, for its owner to check. The checker holds a fault of the
// given type for each key that is unknown, stands twice or has a value of
// another type; an Unreadable error says that the text is no mapping at all.
func Read(file string, text []byte, into any, fault *errorx.Type) (*Checker, error) {
	root, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	return ReadNode(file, root, into, fault)
}

// ReadNode is Read for a document that Parse returned.
func ReadNode(file string, root *yaml.Node, into any, fault *errorx.Type) (*Checker, error) {
	top := root.Content[0]
	if top.Kind != yaml.MappingNode {
		return nil, Unreadable.New("%s:%d: the file is no mapping of keys to values", file, top.Line)
	}
	checker := &Checker{File: file, Root: root, Type: fault}
	checker.known(top, reflect.TypeOf(into).Elem(), nil)
	if err := root.Decode(into); err != nil {
		if err := checker.mistyped(err); err != nil {
			return nil, err
		}
	}
	if err := setAbsent(top, reflect.ValueOf(into).Elem()); err != nil {
		return nil, err
	}
	return checker, nil
}

// Valid reports whether no fault was found so far.
func (checker *Checker) Valid() bool { return len(checker.faults) == 0 }

// known adds faults of keys that the type has no field for, of keys that
// stand twice and of fractions that the decoder would cut off.
func (checker *Checker) known(node *yaml.Node, kind reflect.Type, path Path) {
	switch {
	case kind.Kind() == reflect.Slice && node.Kind == yaml.SequenceNode:
		for i, item := range node.Content {
			checker.known(item, kind.Elem(), path.At(i))
		}
	case kind.Kind() == reflect.Struct && node.Kind == yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			checker.knownKey(node, i, kind, path.At(node.Content[i].Value))
		}
	case isInteger(kind) && node.Tag == "!!float":
		checker.faultAt(node.Line, path, "is %s, no whole number", node.Value)
	}
}

func (checker *Checker) knownKey(node *yaml.Node, i int, kind reflect.Type, path Path) {
	name := node.Content[i].Value
	field, ok := fieldOf(kind, name)
	switch {
	case !ok:
		checker.faultAt(node.Content[i].Line, path, "is unknown, allowed: %s", strings.Join(Keys(kind), ", "))
	case child(node, name) != i:
		checker.faultAt(node.Content[i].Line, path, "stands twice")
	default:
		checker.known(node.Content[i+1], field.Type, path)
	}
}

// mistyped adds faults of the values that the decoder could not take; its
// messages begin with the line. It returns any other error.
func (checker *Checker) mistyped(err error) error {
	var typed *yaml.TypeError
	if !errors.As(err, &typed) {
		return Unreadable.Wrap(err, "%s", checker.File)
	}
	for _, message := range typed.Errors {
		place, what, _ := strings.Cut(strings.TrimPrefix(message, "line "), ": ")
		line, _ := strconv.Atoi(place)
		if !strings.Contains(what, "already defined") {
			checker.faultAt(line, blamed(checker.Root.Content[0], line, what), "%s", what)
		}
	}
	return nil
}

// blamed returns the path of the value in a line that a message of the decoder
// is about. The message holds the beginning of a scalar between backquotes.
func blamed(root *yaml.Node, line int, message string) Path {
	_, rest, scalar := strings.Cut(message, "`")
	start, _, _ := strings.Cut(rest, "`")
	start = strings.TrimSuffix(start, "...")
	return find(root, nil, func(node *yaml.Node) bool {
		if node.Line != line || (node.Kind == yaml.ScalarNode) != scalar {
			return false
		}
		return strings.HasPrefix(node.Value, start)
	})
}

// find returns the path of the first value, the innermost ones before those
// that hold them, nil if there is none.
func find(node *yaml.Node, path Path, wanted func(*yaml.Node) bool) Path {
	for i, value := range node.Content {
		var step any = i
		if node.Kind == yaml.MappingNode {
			if i%2 == 0 {
				continue
			}
			step = node.Content[i-1].Value
		}
		if inner := find(value, path.At(step), wanted); inner != nil {
			return inner
		}
		if wanted(value) {
			return path.At(step)
		}
	}
	return nil
}

// setAbsent sets the defaults of the fields whose keys the mapping does not
// have, there and in what it holds.
func setAbsent(node *yaml.Node, value reflect.Value) error {
	switch {
	case value.Kind() == reflect.Slice && node.Kind == yaml.SequenceNode:
		for i := range min(value.Len(), len(node.Content)) {
			if err := setAbsent(node.Content[i], value.Index(i)); err != nil {
				return err
			}
		}
	case value.Kind() == reflect.Struct:
		return setFields(node, value)
	}
	return nil
}

func setFields(node *yaml.Node, value reflect.Value) error {
	usual := reflect.New(value.Type())
	if err := defaults.Set(usual.Interface()); err != nil {
		return fmt.Errorf("set defaults: %w", err)
	}
	for i := range value.NumField() {
		place := child(node, Key(value.Type().Field(i)))
		if place < 0 || node.Content[place+1].Tag == "!!null" {
			value.Field(i).Set(usual.Elem().Field(i))
			continue
		}
		if err := setAbsent(node.Content[place+1], value.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func isInteger(kind reflect.Type) bool {
	return reflect.Int <= kind.Kind() && kind.Kind() <= reflect.Uint64
}

func fieldOf(kind reflect.Type, name string) (reflect.StructField, bool) {
	for i := range kind.NumField() {
		if Key(kind.Field(i)) == name {
			return kind.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// Key is the key of a field, from its yaml tag.
func Key(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return key
}

// Keys lists the keys of a struct in their order.
func Keys(kind reflect.Type) []string {
	var keys []string
	for i := range kind.NumField() {
		keys = append(keys, Key(kind.Field(i)))
	}
	return keys
}
