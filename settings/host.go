package settings

// Host names this host.
type Host struct {
	// ID is unique in the system.
	ID string `yaml:"id"`
	// Zone is the availability zone the host stands in.
	Zone string `yaml:"zone"`
}

func (host *Host) check(checker *checker) {
	checker.required("host.id", host.ID)
	checker.required("host.zone", host.Zone)
	checker.identifier("host.id", host.ID)
	checker.identifier("host.zone", host.Zone)
}
