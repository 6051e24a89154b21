package settings

import "time"

// Drain configures the graceful shutdown.
type Drain struct {
	// Limit is the maximum time for running answers to end.
	Limit time.Duration `yaml:"limit" default:"10m"`
	// Notice is how long the host, no longer ready, keeps its listeners open so
	// that the balancer notices. It is part of Limit.
	Notice time.Duration `yaml:"notice" default:"1s"`
}

func (drain *Drain) check(checker *checker) {
	if drain.Limit <= 0 {
		checker.addFault("drain.limit", "is %s, must be above 0", drain.Limit)
	}
	if drain.Notice < 0 || drain.Notice >= drain.Limit {
		checker.addFault("drain.notice", "is %s, must be at least 0 and below limit, %s", drain.Notice, drain.Limit)
	}
}
