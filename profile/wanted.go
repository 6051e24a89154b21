package profile

import (
	"strings"
	"time"
)

// Wanted is the state that the operators want a target to have. Fields that are
// empty leave the target as it is.
type Wanted struct {
	Role string `yaml:"role,omitempty"`
	// Models holds names of models, each with "@" and a version if that one is
	// wanted.
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

// WeightLoads limits the loads from the weight store: in each zone one may begin
// every Interval, and up to Burst at once after a pause.
type WeightLoads struct {
	Interval time.Duration `yaml:"interval" default:"30s"`
	Burst    int           `yaml:"burst" default:"1"`
}
