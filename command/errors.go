package command

import "github.com/joomcode/errorx"

// Errors of this package.
var (
	Errors = errorx.NewNamespace("command")
	// Usage: the options do not say what to do.
	Usage = Errors.NewType("usage")
	// Conflict: another operator was faster.
	Conflict = Errors.NewType("conflict")
	// Unreachable: a host did not answer as it should.
	Unreachable = Errors.NewType("unreachable")
	// Behind: not every host has the newest configuration in force.
	Behind = Errors.NewType("behind")
	// NoEvents: there is nothing to draw.
	NoEvents = Errors.NewType("noEvents")
	// Unmet: a stated outcome was not met.
	Unmet = Errors.NewType("unmet")
	// Interrupted: a signal came before the end.
	Interrupted = Errors.NewType("interrupted")

	errNoOperators    = Usage.New("the trace states the order of tiers: name the hosts' operators' addresses with --operators")
	errNothingToCheck = Usage.New("name a file with --settings or --configuration")
)
