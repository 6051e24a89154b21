package settings

import "time"

// Drain bounds a graceful shutdown.
type Drain struct {
	// Limit is how long running answers may take to end.
	Limit time.Duration `yaml:"limit" default:"10m"`
	// Notice is how long the host stays reachable, not ready, before it
	// closes its listeners, so that the balancer sees it.
	Notice time.Duration `yaml:"notice" default:"1s"`
}

func (drain *Drain) check(checker *checker) {
	if drain.Limit <= 0 {
		checker.fault("drain.limit", "is %s, must be above 0", drain.Limit)
	}
	if drain.Notice < 0 || drain.Notice >= drain.Limit {
		checker.fault("drain.notice", "is %s, must be at least 0 and below limit, %s", drain.Notice, drain.Limit)
	}
}
