package peer

import "github.com/joomcode/errorx"

// Error types of this package.
var (
	Errors = errorx.NewNamespace("peer")
	// Refused: the sender is not in the list of hosts, uses another host's id,
	// uses another format, or sent an invalid envelope.
	Refused = Errors.NewType("refused")
	// Superseded: the sender has opened a newer stream.
	Superseded = Errors.NewType("superseded")
	// Replaced: a newer host runs under this host's id.
	Replaced = Errors.NewType("replaced")
	// ShortSecret: the HMAC key for the datagrams is too short.
	ShortSecret = Errors.NewType("shortSecret")
	// Garbled: an envelope violates the wire format.
	Garbled = Errors.NewType("garbled")
)
