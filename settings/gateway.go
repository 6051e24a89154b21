package settings

import "time"

// Gateway holds what only hosts of the role gateway need.
type Gateway struct {
	// Ready is the address of the side that the balancer asks whether the
	// host takes callers.
	Ready string `yaml:"ready" default:"127.0.0.1:8081"`
	// Retries bounds how many requests all hosts send to a second target.
	Retries Retries `yaml:"retries"`
}

// Retries is the bound on requests that are sent once more, for each pool and
// over all hosts.
type Retries struct {
	// Ratio is how many are allowed for each request of a caller.
	Ratio float64 `yaml:"ratio" default:"0.2"`
	// Window is the time over which both are counted.
	Window time.Duration `yaml:"window" default:"10s"`
	// Spare is how many are allowed besides.
	Spare float64 `yaml:"spare" default:"50"`
}

// mostWindow is the longest window that the counts are kept for.
const mostWindow = time.Minute

func (gateway *Gateway) check(checker *checker, role string) {
	if role != RoleGateway {
		return
	}
	checker.address("gateway.ready", gateway.Ready)
	retries := &gateway.Retries
	if retries.Ratio < 0 || retries.Ratio > 1 {
		checker.fault("gateway.retries.ratio", "is %g, must be from 0 to 1", retries.Ratio)
	}
	if retries.Window < time.Second || retries.Window > mostWindow {
		checker.fault("gateway.retries.window", "is %s, must be from 1s to %s", retries.Window, mostWindow)
	}
	if retries.Spare < 0 {
		checker.fault("gateway.retries.spare", "is %g, must be at least 0", retries.Spare)
	}
}
