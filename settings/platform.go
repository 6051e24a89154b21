package settings

import (
	"net/url"
	"time"
)

// Platform configures the client of the platform's object API.
type Platform struct {
	// Address is the base URL of the API.
	Address string `yaml:"address"`
	// Timeout limits each call except a watch.
	Timeout time.Duration `yaml:"timeout" default:"2s"`
	// Rate is the maximum number of calls per second from this host.
	Rate float64 `yaml:"rate" default:"50"`
	// RoutesWithin and TargetsWithin are the times within which a change of the routes, and
	// of the targets, must be in force on all gateways.
	RoutesWithin  time.Duration `yaml:"routesWithin" default:"2s"`
	TargetsWithin time.Duration `yaml:"targetsWithin" default:"2s"`
	// Heartbeat is the time between two writes of a target to its entry.
	Heartbeat time.Duration `yaml:"heartbeat" default:"1200ms"`
}

// minWithin keeps hosts from asking the platform without a pause.
const minWithin = 100 * time.Millisecond

func (platform *Platform) check(checker *checker) {
	address, err := url.Parse(platform.Address)
	if err != nil || address.Host == "" {
		checker.addFault("platform.address", "%q is no URL such as http://10.0.0.1:6000", platform.Address)
	}
	if platform.Timeout <= 0 {
		checker.addFault("platform.timeout", "is %s, must be above 0", platform.Timeout)
	}
	if platform.RoutesWithin < minWithin {
		checker.addFault("platform.routesWithin", "is %s, must be at least %s", platform.RoutesWithin, minWithin)
	}
	if platform.TargetsWithin < minWithin {
		checker.addFault("platform.targetsWithin", "is %s, must be at least %s", platform.TargetsWithin, minWithin)
	}
	if platform.Heartbeat <= 0 {
		checker.addFault("platform.heartbeat", "is %s, must be above 0", platform.Heartbeat)
	}
	if platform.Rate <= 0 {
		checker.addFault("platform.rate", "is %g, must be above 0", platform.Rate)
	}
}
