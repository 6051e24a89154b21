package profile

import (
	"strings"
	"time"
)

// Wanted is the state that the operators want a target to have. An empty field
// leaves that part of the target's state as it is.
type Wanted struct {
	// Role is the role of an engine, such as prefill or decode.
	Role string `yaml:"role,omitempty"`
	// Models lists the models that are to be loaded, each as NAME or
	// NAME@VERSION. All others are unloaded.
	Models []string `yaml:"models,omitempty"`
	// Adapters lists the names of the adapters that are to be loaded. All others
	// are unloaded.
	Adapters []string `yaml:"adapters,omitempty"`
}

// Empty reports whether all fields are empty.
func (wanted *Wanted) Empty() bool {
	return wanted.Role == "" && len(wanted.Models) == 0 && len(wanted.Adapters) == 0
}

// SplitVersion splits a model of Wanted.Models into its name and its version, which
// is "" if there is none.
func SplitVersion(model string) (name, version string) {
	name, version, _ = strings.Cut(model, "@")
	return name, version
}

// WeightLoadLimit limits the rate at which the targets of a zone load weights from the
// weight store: one load per Interval, and up to Burst at once after a time without
// loads.
type WeightLoadLimit struct {
	Interval time.Duration `yaml:"interval" default:"30s"`
	Burst    int           `yaml:"burst" default:"1"`
}
