package peer

import "github.com/joomcode/errorx"

// Errors of this package.
var (
	Errors = errorx.NewNamespace("peer")
	// Refused: the sender is not known, or not who it was.
	Refused = Errors.NewType("refused")
	// Superseded: the sender has opened a newer stream.
	Superseded = Errors.NewType("superseded")
	// Replaced: a newer host runs under the same id.
	Replaced = Errors.NewType("replaced")
	// ShortSecret: the secret of the datagrams is too short.
	ShortSecret = Errors.NewType("shortSecret")
	// Garbled: an envelope that no host of this format sends.
	Garbled = Errors.NewType("garbled")
)
