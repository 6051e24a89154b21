package settings

import "nutmegfield.example/yamlfile"

// Peers is the side that the other hosts reach.
type Peers struct {
	// Listen is the address, TCP and UDP, that the other hosts use.
	Listen string `yaml:"listen" default:"127.0.0.1:8070"`
	// Seeds are addresses of hosts to ask first while the platform's list
	// can't be had.
	Seeds []string `yaml:"seeds"`
	// SeedPort, where it is set, goes before the ports of the seeds.
	SeedPort int `yaml:"seedPort"`
	// Link is the width of this host's link in Mbit/s. The hosts of a zone with
	// the widest add up what all use.
	Link float64 `yaml:"link" default:"100"`
	// Secret is a file that all hosts share, of at least 32 bytes; with it
	// datagrams are only taken from hosts that have it.
	Secret string `yaml:"secret"`
	// TLS encrypts the links; datagrams go in clear.
	TLS TLS `yaml:"tls"`
}

func (peers *Peers) check(checker *checker) {
	checker.address("peers.listen", peers.Listen)
	peers.TLS.check(checker, "peers")
	if peers.TLS.Enabled() && peers.TLS.Authority == "" {
		checker.fault("peers.tls", "needs an authority: hosts prove themselves to each other")
	}
	if peers.Link < 1 {
		checker.fault("peers.link", "is %g Mbit/s, must be at least 1", peers.Link)
	}
	for i, seed := range peers.Seeds {
		checker.addressAt(yamlfile.Path{"peers", "seeds", i}, seed)
	}
}
