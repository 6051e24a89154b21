package command

import "github.com/joomcode/errorx"

// Error types of this package.
var (
	Errors = errorx.NewNamespace("command")
	// Usage: options are missing or invalid.
	Usage = Errors.NewType("usage")
	// Conflict: another operator changed the configuration first.
	Conflict = Errors.NewType("conflict")
	// UnexpectedStatus: a host answered with a status other than 200.
	UnexpectedStatus = Errors.NewType("unreachable")
	// Behind: at least one host is unreachable or does not have the newest
	// configuration in force.
	Behind = Errors.NewType("behind")
	// NoEvents: there are no events or log lines to write.
	NoEvents = Errors.NewType("noEvents")
	// Unmet: a replay did not meet at least one outcome that its trace states.
	Unmet = Errors.NewType("unmet")
	// Interrupted: a signal ended the command early.
	Interrupted = Errors.NewType("interrupted")

	errNoOperators    = Usage.New("the trace states the order of tiers: name the hosts' operators' addresses with --operators")
	errNothingToCheck = Usage.New("name a file with --settings or --configuration")
)
