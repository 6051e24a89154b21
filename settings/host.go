package settings

import "slices"

// The roles of a host.
const (
	// RoleEntry is a host that schedules requests of the chat interface and
	// of named services.
	RoleEntry = "entry"
	// RoleGateway is a host that forwards requests unchanged by routes.
	RoleGateway = "gateway"
)

var roles = []string{RoleEntry, RoleGateway}

// Host names this host.
type Host struct {
	// ID is unique in the system.
	ID string `yaml:"id"`
	// Zone is the availability zone the host stands in.
	Zone string `yaml:"zone"`
	// Role is what the host does.
	Role string `yaml:"role" default:"entry"`
}

func (host *Host) check(checker *checker) {
	checker.required("host.id", host.ID)
	checker.required("host.zone", host.Zone)
	checker.identifier("host.id", host.ID)
	if !slices.Contains(roles, host.Role) {
		checker.fault("host.role", "is %q, allowed: %v", host.Role, roles)
	}
	checker.identifier("host.zone", host.Zone)
}
