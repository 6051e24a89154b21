package settings

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

type checker struct {
	name   string
	root   yaml.Node
	faults []error
}

func newChecker(file string, text []byte) *checker {
	checker := &checker{name: file}
	// The text was decoded before; on an error lines are merely unknown.
	_ = yaml.Unmarshal(text, &checker.root)
	return checker
}

func (checker *checker) fault(key, format string, arguments ...any) {
	message := fmt.Sprintf(format, arguments...)
	fault := BadValue.New("%s:%d: %s: %s", checker.name, checker.line(key), key, message)
	checker.faults = append(checker.faults, fault)
}

func (checker *checker) required(key, value string) {
	if value == "" {
		checker.fault(key, "is missing")
	}
}

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

func (checker *checker) line(key string) int {
	node := &checker.root
	if len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := node.Line
	for _, step := range strings.Split(key, ".") {
		found := false
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == step {
				line = node.Content[i].Line
				node = node.Content[i+1]
				found = true
				break
			}
		}
		if !found {
			break
		}
	}
	return line
}
