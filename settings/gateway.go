package settings

import "time"

// Gateway holds what only hosts of the role gateway need.
type Gateway struct {
	// Ready is the address of the side that the balancer asks whether the
	// host takes callers.
	Ready string `yaml:"ready" default:"127.0.0.1:8081"`
	// Retries bounds how many requests all hosts send to a second target.
	Retries Retries `yaml:"retries"`
	// Quotas is by how much workspaces may exceed their quotas.
	Quotas Quotas `yaml:"quotas"`
}

// Quotas is the tolerance of quotas over all hosts: in any window a workspace
// may use its quota, the overage and the slack.
type Quotas struct {
	Window time.Duration `yaml:"window" default:"8s"`
	// Overage is a part of the quota.
	Overage float64 `yaml:"overage" default:"0.1"`
	// Slack is in the unit of the quota.
	Slack float64 `yaml:"slack"`
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
	if gateway.Quotas.Window < 0 {
		checker.fault("gateway.quotas.window", "is %s, must be at least 0", gateway.Quotas.Window)
	}
	if gateway.Quotas.Overage < 0 {
		checker.fault("gateway.quotas.overage", "is %g, must be at least 0", gateway.Quotas.Overage)
	}
	if gateway.Quotas.Slack < 0 {
		checker.fault("gateway.quotas.slack", "is %g, must be at least 0", gateway.Quotas.Slack)
	}
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
