package settings

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// checker collects the faults of a file.
type checker struct {
	name   string
	root   *yaml.Node
	faults []error
}

func (checker *checker) fault(key, format string, arguments ...any) {
	checker.faultAt(checker.line(key), key, format, arguments...)
}

func (checker *checker) faultAt(line int, key, format string, arguments ...any) {
	message := fmt.Sprintf(format, arguments...)
	fault := BadValue.New("%s:%d: %s: %s", checker.name, line, key, message)
	checker.faults = append(checker.faults, fault)
}

func (checker *checker) required(key, value string) {
	if value == "" {
		checker.fault(key, "is missing")
	}
}

// identifier allows what is safe in headers, logs and file names.
func (checker *checker) identifier(key, value string) {
	for _, letter := range value {
		if !strings.ContainsRune(identifierLetters, letter) {
			checker.fault(key, "is %q, allowed: letters, digits, '-', '_' and '.'", value)
			return
		}
	}
}

const identifierLetters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

func (checker *checker) address(key, value string) {
	_, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		checker.fault(key, "%q is no address such as 10.0.0.1:8080", value)
	}
}

func (checker *checker) err() error {
	if len(checker.faults) == 0 {
		return nil
	}
	return fmt.Errorf("check settings: %w", errors.Join(checker.faults...))
}

// line returns the line of a key or, where it is absent, of the section that
// it belongs to.
func (checker *checker) line(key string) int {
	node := checker.root
	line := node.Line
	for step := range strings.SplitSeq(key, ".") {
		step, _, _ = strings.Cut(step, "[")
		found := child(node, step)
		if found < 0 {
			break
		}
		line = node.Content[found].Line
		node = node.Content[found+1]
	}
	return line
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

// known refuses keys that the type has no field for, and keys that stand
// twice.
func (checker *checker) known(node *yaml.Node, kind reflect.Type, section string) {
	if node.Kind != yaml.MappingNode || kind.Kind() != reflect.Struct {
		return
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i].Value
		key := strings.TrimPrefix(section+"."+name, ".")
		field, ok := fieldOf(kind, name)
		switch {
		case !ok:
			checker.faultAt(node.Content[i].Line, key, "is unknown, allowed: %s", strings.Join(keysOf(kind), ", "))
		case child(node, name) != i:
			checker.faultAt(node.Content[i].Line, key, "stands twice")
		case isInteger(field.Type) && node.Content[i+1].Tag == "!!float":
			// The decoder would cut the fraction off.
			checker.faultAt(node.Content[i+1].Line, key, "is %s, no whole number", node.Content[i+1].Value)
		default:
			checker.known(node.Content[i+1], field.Type, key)
		}
	}
}

func isInteger(kind reflect.Type) bool {
	return kind.Kind() == reflect.Int || kind.Kind() == reflect.Int64
}

func fieldOf(kind reflect.Type, name string) (reflect.StructField, bool) {
	for i := range kind.NumField() {
		if kind.Field(i).Tag.Get("yaml") == name {
			return kind.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func keysOf(kind reflect.Type) []string {
	var keys []string
	for i := range kind.NumField() {
		keys = append(keys, kind.Field(i).Tag.Get("yaml"))
	}
	return keys
}

// mistyped names the keys whose values the decoder could not take; its
// messages begin with the line.
func (checker *checker) mistyped(err error) {
	var typed *yaml.TypeError
	if !errors.As(err, &typed) {
		checker.faults = append(checker.faults, BadFile.Wrap(err, "%s", checker.name))
		return
	}
	for _, message := range typed.Errors {
		place, what, _ := strings.Cut(strings.TrimPrefix(message, "line "), ": ")
		line, _ := strconv.Atoi(place)
		if key := keyAt(checker.root, line, ""); key != "" && !strings.Contains(what, "already defined") {
			checker.faultAt(line, key, "%s", what)
		}
	}
}

// keyAt returns the key whose value stands in a line.
func keyAt(node *yaml.Node, line int, section string) string {
	if node.Kind != yaml.MappingNode {
		return ""
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := strings.TrimPrefix(section+"."+node.Content[i].Value, ".")
		value := node.Content[i+1]
		if inner := keyAt(value, line, key); inner != "" {
			return inner
		}
		if value.Line == line && value.Kind != yaml.MappingNode {
			return key
		}
	}
	return ""
}
