package profile

import (
	"strings"
	"time"
)

// Wanted is the state that the operators want of a target. Where a field is
// empty the target is left as it is.
type Wanted struct {
	Role string `yaml:"role,omitempty"`
	// Models are names, with a version after an "@" where one is wanted.
	Models   []string `yaml:"models,omitempty"`
	Adapters []string `yaml:"adapters,omitempty"`
}

// Empty reports whether nothing is wanted.
func (wanted *Wanted) Empty() bool {
	return wanted.Role == "" && len(wanted.Models) == 0 && len(wanted.Adapters) == 0
}

// SplitVersion splits a model into its name and version.
func SplitVersion(model string) (name, version string) {
	name, version, _ = strings.Cut(model, "@")
	return name, version
}

// WeightLoads is the weight store's limit: in each zone a load may begin every
// Interval, with up to Burst at once after a pause.
type WeightLoads struct {
	Interval time.Duration `yaml:"interval" default:"30s"`
	Burst    int           `yaml:"burst" default:"1"`
}
