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
	// Memory is the memory of the machine in MiB that the process may use, Descriptors the
	// number of files and connections that it may open; 0 means what the system says.
	Memory      float64 `yaml:"memory"`
	Descriptors int     `yaml:"descriptors"`
	// FirstStart is set while the whole system starts for the first time.
	FirstStart bool `yaml:"firstStart"`
}

const (
	// minMemory is the least memory in MiB: the program and its own state take as much.
	minMemory = 32
	// minDescriptors are enough for a few callers beside the host's own connections.
	minDescriptors = 512
)

func (host *Host) check(checker *checker) {
	checker.checkRequired("host.id", host.ID)
	checker.checkRequired("host.zone", host.Zone)
	checker.checkIdentifier("host.id", host.ID)
	if !slices.Contains(roles, host.Role) {
		checker.addFault("host.role", "is %q, allowed: %v", host.Role, roles)
	}
	checker.checkIdentifier("host.zone", host.Zone)
	if host.Memory != 0 && host.Memory < minMemory {
		checker.addFault("host.memory", "is %g MiB, must be 0 or at least %d", host.Memory, minMemory)
	}
	if host.Descriptors != 0 && host.Descriptors < minDescriptors {
		checker.addFault("host.descriptors", "is %d, must be 0 or at least %d", host.Descriptors, minDescriptors)
	}
}
