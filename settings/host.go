package settings

import "slices"

// The roles of a host.
const (
	// RoleEntry is the role of hosts that schedule requests of the chat API and
	// of named services.
	RoleEntry = "entry"
	// RoleGateway is the role of hosts that forward requests unchanged
	// according to routes.
	RoleGateway = "gateway"
)

var roles = []string{RoleEntry, RoleGateway}

// Host identifies the host.
type Host struct {
	// ID is unique in the system.
	ID string `yaml:"id"`
	// Zone is the availability zone of the host.
	Zone string `yaml:"zone"`
	// Role is RoleEntry or RoleGateway.
	Role string `yaml:"role" default:"entry"`
}

func (host *Host) check(checker *checker) {
	checker.checkRequired("host.id", host.ID)
	checker.checkRequired("host.zone", host.Zone)
	checker.checkIdentifier("host.id", host.ID)
	if !slices.Contains(roles, host.Role) {
		checker.addFault("host.role", "is %q, allowed: %v", host.Role, roles)
	}
	checker.checkIdentifier("host.zone", host.Zone)
}
