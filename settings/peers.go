package settings

import "nutmegfield.example/yamlfile"

// Peers configures the traffic with other hosts.
type Peers struct {
	// Listen is the address, for TCP and UDP, at which other hosts reach this
	// one.
	Listen string `yaml:"listen" default:"127.0.0.1:8070"`
	// Seeds are the addresses of hosts to contact at start while the list of
	// the platform is unavailable.
	Seeds []string `yaml:"seeds"`
	// SeedPort, unless 0, overrides the ports of the seeds.
	SeedPort int `yaml:"seedPort"`
	// Link is the bandwidth of this host's network link in Mbit/s. The hosts of
	// a zone with the highest bandwidth add up what all hosts use.
	Link float64 `yaml:"link" default:"100"`
	// Secret is the name of a file of at least 32 bytes, the same on all hosts.
	// If it is set, datagrams from hosts without it are dropped.
	Secret string `yaml:"secret"`
	// TLS names the TLS files for the links; datagrams are not encrypted.
	TLS TLS `yaml:"tls"`
}

func (peers *Peers) check(checker *checker) {
	checker.checkAddress("peers.listen", peers.Listen)
	peers.TLS.check(checker, "peers")
	if peers.TLS.Enabled() && peers.TLS.Authority == "" {
		checker.addFault("peers.tls", "needs an authority: hosts authenticate each other")
	}
	if peers.Link < 1 {
		checker.addFault("peers.link", "is %g Mbit/s, must be at least 1", peers.Link)
	}
	for i, seed := range peers.Seeds {
		checker.checkAddressAt(yamlfile.Path{"peers", "seeds", i}, seed)
	}
}
