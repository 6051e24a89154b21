package settings

import (
	"net"
	"strconv"
	"strings"

	"nutmegfield.example/yamlfile"
)

// checker collects the faults of a settings file.
type checker struct {
	*yamlfile.Checker
}

// addFault adds a fault at a key such as callers.listen.
func (checker *checker) addFault(key, format string, arguments ...any) {
	checker.AddFault(pathOf(key), format, arguments...)
}

func pathOf(key string) yamlfile.Path {
	var path yamlfile.Path
	for step := range strings.SplitSeq(key, ".") {
		path = append(path, step)
	}
	return path
}

func (checker *checker) checkRequired(key, value string) {
	if value == "" {
		checker.addFault(key, "is missing")
	}
}

// checkIdentifier adds a fault if the value has characters that are not safe in
// headers, logs and file names.
func (checker *checker) checkIdentifier(key, value string) {
	for _, letter := range value {
		if !strings.ContainsRune(identifierLetters, letter) {
			checker.addFault(key, "is %q, allowed: letters, digits, '-', '_' and '.'", value)
			return
		}
	}
}

const identifierLetters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

func (checker *checker) checkAddress(key, value string) {
	checker.checkAddressAt(pathOf(key), value)
}

func (checker *checker) checkAddressAt(path yamlfile.Path, value string) {
	_, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		checker.AddFault(path, "%q is no address such as 10.0.0.1:8080", value)
	}
}
