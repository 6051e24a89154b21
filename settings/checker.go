package settings

import (
	"fmt"
	"net"
	"strings"

	"nutmegfield.example/yamlfile"
)

// checker collects the faults of a file, whose keys are written with dots.
type checker struct {
	yamlfile.Checker
}

func (checker *checker) fault(key, format string, arguments ...any) {
	var path yamlfile.Path
	for _, step := range strings.Split(key, ".") {
		path = append(path, step)
	}
	checker.Fault(path, format, arguments...)
}

func (checker *checker) required(key, value string) {
	if value == "" {
		checker.fault(key, "is missing")
	}
}

func (checker *checker) address(key, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		checker.fault(key, "%q is no address such as 10.0.0.1:8080", value)
	}
}

func (checker *checker) err() error {
	if err := checker.Err(); err != nil {
		return fmt.Errorf("check settings: %w", err)
	}
	return nil
}
