package command

import "github.com/joomcode/errorx"

// Errors of this package.
var (
	Errors = errorx.NewNamespace("command")
	// Usage: the options do not say what to do.
	Usage = Errors.NewType("usage")

	errNothingToCheck = Usage.New("name a file with --settings or --configuration")
)
