package settings

import "time"

// Gateway holds the settings of hosts of the role gateway; others ignore them.
type Gateway struct {
	// Ready is the address of the readiness check that the platform's balancer
	// asks.
	Ready string `yaml:"ready" default:"127.0.0.1:8081"`
	// Retries limits how many requests all hosts together send to a second
	// target.
	Retries Retries `yaml:"retries"`
	// Quotas is the amount by which workspaces may exceed their quotas.
	Quotas Quotas `yaml:"quotas"`
	// Rollouts bounds what a new version of targets may do while requests move to it.
	Rollouts Rollouts `yaml:"rollouts"`
}

// Rollouts bounds the harm of a new version that is bad, over all hosts. They are off if
// ExposureShare is 0.
type Rollouts struct {
	// ExposureShare is the part of the requests of a pool, between the order and its
	// deadline, that a bad version may get, ExposureSlack the number of requests besides.
	ExposureShare float64 `yaml:"exposureShare"`
	ExposureSlack float64 `yaml:"exposureSlack" default:"50"`
	// RollbackWithin is the time after its 50th bad answer from which it may get none.
	RollbackWithin time.Duration `yaml:"rollbackWithin" default:"5s"`
}

// Enabled reports whether there are rollouts.
func (rollouts *Rollouts) Enabled() bool { return rollouts.ExposureShare > 0 }

// minRollback is some times that of a message between hosts.
const minRollback = 100 * time.Millisecond

func (rollouts *Rollouts) check(checker *checker) {
	if !(rollouts.ExposureShare >= 0 && rollouts.ExposureShare <= 1) {
		checker.addFault("gateway.rollouts.exposureShare", "is %g, must be from 0 to 1", rollouts.ExposureShare)
	}
	if !(rollouts.ExposureSlack >= 0 && rollouts.ExposureSlack <= maxSlack) {
		checker.addFault("gateway.rollouts.exposureSlack", "is %g, must be from 0 to %d", rollouts.ExposureSlack, maxSlack)
	}
	if rollouts.RollbackWithin < minRollback {
		checker.addFault("gateway.rollouts.rollbackWithin", "is %s, must be at least %s", rollouts.RollbackWithin, minRollback)
	}
}

// maxSlack is a number of requests beyond which no bound is meant.
const maxSlack = 1_000_000

// Quotas is the tolerance of quotas over all hosts: in any window a workspace
// may use its quota plus the overage and the slack.
type Quotas struct {
	Window time.Duration `yaml:"window" default:"8s"`
	// Overage is a fraction of the quota.
	Overage float64 `yaml:"overage" default:"0.1"`
	// Slack is in the unit of the quota.
	Slack float64 `yaml:"slack"`
}

// Retries is the retry budget of each pool, over all hosts.
type Retries struct {
	// Ratio is the number of retries allowed per request of a caller.
	Ratio float64 `yaml:"ratio" default:"0.2"`
	// Window is the time over which requests and retries are counted.
	Window time.Duration `yaml:"window" default:"10s"`
	// Spare is the number of retries allowed in addition to the ratio.
	Spare float64 `yaml:"spare" default:"50"`
}

// maxRetryWindow is how long the counts of requests and retries are kept.
const maxRetryWindow = time.Minute

func (gateway *Gateway) check(checker *checker, role string) {
	if role != RoleGateway {
		return
	}
	checker.checkAddress("gateway.ready", gateway.Ready)
	if gateway.Quotas.Window < 0 {
		checker.addFault("gateway.quotas.window", "is %s, must be at least 0", gateway.Quotas.Window)
	}
	if gateway.Quotas.Overage < 0 {
		checker.addFault("gateway.quotas.overage", "is %g, must be at least 0", gateway.Quotas.Overage)
	}
	if gateway.Quotas.Slack < 0 {
		checker.addFault("gateway.quotas.slack", "is %g, must be at least 0", gateway.Quotas.Slack)
	}
	retries := &gateway.Retries
	if retries.Ratio < 0 || retries.Ratio > 1 {
		checker.addFault("gateway.retries.ratio", "is %g, must be from 0 to 1", retries.Ratio)
	}
	if retries.Window < time.Second || retries.Window > maxRetryWindow {
		checker.addFault("gateway.retries.window", "is %s, must be from 1s to %s", retries.Window, maxRetryWindow)
	}
	if retries.Spare < 0 {
		checker.addFault("gateway.retries.spare", "is %g, must be at least 0", retries.Spare)
	}
	gateway.Rollouts.check(checker)
}
