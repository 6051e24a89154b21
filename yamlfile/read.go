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

// Read parses a text and decodes it into a struct whose fields carry yaml tags.
// A field whose key is absent or null gets its default; a key that is set to 0 or
// "" keeps that value, for the caller to check. The returned checker holds a
// fault of the given type for each key that is unknown, duplicate or has a value
// of the wrong type. Read returns an Unreadable error if the text can't be parsed
// or is no mapping.
func Read(file string, text []byte, into any, faultType *errorx.Type) (*Checker, error) {
	root, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	return ReadNode(file, root, into, faultType)
}

// ReadNode is like Read for a document that Parse returned.
func ReadNode(file string, root *yaml.Node, into any, faultType *errorx.Type) (*Checker, error) {
	mapping := root.Content[0]
	if mapping.Kind != yaml.MappingNode {
		return nil, Unreadable.New("%s:%d: the file is no mapping of keys to values", file, mapping.Line)
	}
	checker := &Checker{File: file, Root: root, Type: faultType}
	checker.checkNode(mapping, reflect.TypeOf(into).Elem(), nil)
	if err := root.Decode(into); err != nil {
		if err := checker.addTypeFaults(err); err != nil {
			return nil, err
		}
	}
	if err := setDefaults(mapping, reflect.ValueOf(into).Elem()); err != nil {
		return nil, err
	}
	return checker, nil
}

// Valid reports whether no fault has been added so far.
func (checker *Checker) Valid() bool { return len(checker.faults) == 0 }

// checkNode adds a fault for each key that the type has no field for, each
// duplicate key, and each fraction that the decoder would truncate to an integer.
func (checker *Checker) checkNode(node *yaml.Node, valueType reflect.Type, path Path) {
	switch {
	case valueType.Kind() == reflect.Slice && node.Kind == yaml.SequenceNode:
		for i, item := range node.Content {
			checker.checkNode(item, valueType.Elem(), path.At(i))
		}
	case valueType.Kind() == reflect.Struct && node.Kind == yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			checker.checkKey(node, i, valueType, path.At(node.Content[i].Value))
		}
	case isInteger(valueType) && node.Tag == "!!float":
		checker.addFaultAt(node.Line, path, "is %s, no whole number", node.Value)
	}
}

func (checker *Checker) checkKey(node *yaml.Node, i int, valueType reflect.Type, path Path) {
	name := node.Content[i].Value
	field, ok := fieldOf(valueType, name)
	switch {
	case !ok:
		checker.addFaultAt(node.Content[i].Line, path, "is unknown, allowed: %s", strings.Join(Keys(valueType), ", "))
	case keyIndex(node, name) != i:
		checker.addFaultAt(node.Content[i].Line, path, "stands twice")
	default:
		checker.checkNode(node.Content[i+1], field.Type, path)
	}
}

// addTypeFaults adds a fault for each value that the decoder rejected because of
// its type; the decoder's messages begin with the line. It returns any other error
// as Unreadable.
func (checker *Checker) addTypeFaults(err error) error {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return Unreadable.Wrap(err, "%s", checker.File)
	}
	for _, message := range typeError.Errors {
		lineText, problem, _ := strings.Cut(strings.TrimPrefix(message, "line "), ": ")
		line, _ := strconv.Atoi(lineText)
		if !strings.Contains(problem, "already defined") {
			checker.addFaultAt(line, pathOfMessage(checker.Root.Content[0], line, problem), "%s", problem)
		}
	}
	return nil
}

// pathOfMessage returns the path of the value to which a message of the decoder
// refers, given its line. For a scalar the message holds the beginning of the
// value between backquotes.
func pathOfMessage(root *yaml.Node, line int, message string) Path {
	_, rest, scalar := strings.Cut(message, "`")
	prefix, _, _ := strings.Cut(rest, "`")
	prefix = strings.TrimSuffix(prefix, "...")
	return findPath(root, nil, func(node *yaml.Node) bool {
		if node.Line != line || (node.Kind == yaml.ScalarNode) != scalar {
			return false
		}
		return strings.HasPrefix(node.Value, prefix)
	})
}

// findPath returns the path of the first value that matches, nil if there is none.
// Inner values are tried before the values that contain them.
func findPath(node *yaml.Node, path Path, matches func(*yaml.Node) bool) Path {
	for i, value := range node.Content {
		var step any = i
		if node.Kind == yaml.MappingNode {
			if i%2 == 0 {
				continue
			}
			step = node.Content[i-1].Value
		}
		if inner := findPath(value, path.At(step), matches); inner != nil {
			return inner
		}
		if matches(value) {
			return path.At(step)
		}
	}
	return nil
}

// setDefaults sets the fields whose keys are absent or null to their defaults, also
// in nested structs and lists.
func setDefaults(node *yaml.Node, value reflect.Value) error {
	switch {
	case value.Kind() == reflect.Slice && node.Kind == yaml.SequenceNode:
		for i := range min(value.Len(), len(node.Content)) {
			if err := setDefaults(node.Content[i], value.Index(i)); err != nil {
				return err
			}
		}
	case value.Kind() == reflect.Struct:
		return setFieldDefaults(node, value)
	}
	return nil
}

func setFieldDefaults(node *yaml.Node, value reflect.Value) error {
	withDefaults := reflect.New(value.Type())
	if err := defaults.Set(withDefaults.Interface()); err != nil {
		return fmt.Errorf("set defaults: %w", err)
	}
	for i := range value.NumField() {
		index := keyIndex(node, Key(value.Type().Field(i)))
		if index < 0 || node.Content[index+1].Tag == "!!null" {
			value.Field(i).Set(withDefaults.Elem().Field(i))
			continue
		}
		if err := setDefaults(node.Content[index+1], value.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

func isInteger(valueType reflect.Type) bool {
	return reflect.Int <= valueType.Kind() && valueType.Kind() <= reflect.Uint64
}

func fieldOf(valueType reflect.Type, name string) (reflect.StructField, bool) {
	for i := range valueType.NumField() {
		if Key(valueType.Field(i)) == name {
			return valueType.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// Key returns the key of a field, from its yaml tag.
func Key(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return key
}

// Keys returns the keys of a struct's fields in order of declaration.
func Keys(valueType reflect.Type) []string {
	var keys []string
	for i := range valueType.NumField() {
		keys = append(keys, Key(valueType.Field(i)))
	}
	return keys
}
