package settings

import "slices"

// Log configures the log, which is written to standard error.
type Log struct {
	Level string `yaml:"level" default:"info"`
}

var levels = []string{"debug", "info", "warn", "error"}

func (log *Log) check(checker *checker) {
	if !slices.Contains(levels, log.Level) {
		checker.addFault("log.level", "is %q, allowed: %v", log.Level, levels)
	}
}
