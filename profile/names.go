package profile

import (
	"sort"
	"strings"
)

type nameSet map[string]struct{}

func (names nameSet) has(name string) bool {
	_, ok := names[name]
	return ok
}

// String lists the names in order, for messages of what is allowed.
func (names nameSet) String() string {
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}
