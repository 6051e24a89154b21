package settings

import (
	"net"
	"strconv"
	"strings"

	"nutmegfield.example/yamlfile"
)

// checker collects the faults of a file.
type checker struct {
	*yamlfile.Checker
}

// fault adds a fault of a key such as callers.listen.
func (checker *checker) fault(key, format string, arguments ...any) {
	checker.AddFault(pathOf(key), format, arguments...)
}

func pathOf(key string) yamlfile.Path {
	var path yamlfile.Path
	for step := range strings.SplitSeq(key, ".") {
		path = append(path, step)
	}
	return path
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
	checker.addressAt(pathOf(key), value)
}

func (checker *checker) addressAt(path yamlfile.Path, value string) {
	_, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		checker.AddFault(path, "%q is no address such as 10.0.0.1:8080", value)
	}
}
