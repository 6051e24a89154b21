package profile

import (
	"sort"
	"strings"
)

// nameSet is a set of names.
type nameSet map[string]struct{}

func (names nameSet) has(name string) bool {
	_, ok := names[name]
	return ok
}

// String returns the names in alphabetical order, separated by commas, for error
// messages that list the names allowed.
func (names nameSet) String() string {
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}
