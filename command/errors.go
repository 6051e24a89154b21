package command

import "github.com/joomcode/errorx"

// Errors of this package.
var (
	Errors = errorx.NewNamespace("command")
	// Usage: the options do not say what to do.
	Usage = Errors.NewType("usage")

	// Unreachable: a host did not answer as it should.
	Unreachable = Errors.NewType("unreachable")
	// NoEvents: there is nothing to draw.
	NoEvents = Errors.NewType("noEvents")

	errNothingToCheck = Usage.New("name a file with --settings or --configuration")
)
