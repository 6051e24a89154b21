package settings

import (
	"net/url"
	"time"
)

// Platform is the platform's object API.
type Platform struct {
	// Address is its base URL.
	Address string `yaml:"address"`
	// Timeout bounds each call but a watch.
	Timeout time.Duration `yaml:"timeout" default:"2s"`
	// Rate is the most calls a second that this host makes.
	Rate float64 `yaml:"rate" default:"50"`
}

func (platform *Platform) check(checker *checker) {
	address, err := url.Parse(platform.Address)
	if err != nil || address.Host == "" {
		checker.fault("platform.address", "%q is no URL such as http://10.0.0.1:6000", platform.Address)
	}
	if platform.Timeout <= 0 {
		checker.fault("platform.timeout", "is %s, must be above 0", platform.Timeout)
	}
	if platform.Rate <= 0 {
		checker.fault("platform.rate", "is %g, must be above 0", platform.Rate)
	}
}
