// Package quarantine finds the requests that crash the targets which run them, and
// says which requests must not be sent again. It identifies a request by its content,
// as its caller sends it again under a new id.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"strconv"

	"nutmegfield.example/balance"
)

// Content identifies all requests with the same workspace, method, host, path, query
// and body. It is the same on all hosts.
type Content uint64

// String returns the content as it appears in events.
func (content Content) String() string { return strconv.FormatUint(uint64(content), 16) }

// NewContent returns the content of requests with the given parts.
func NewContent(parts ...[]byte) Content {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		// The lengths keep parts apart that have the same bytes together.
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		// Writes to a hash don't fail.
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	return Content(binary.LittleEndian.Uint64(hash.Sum(nil)))
}

// Incarnation identifies one incarnation of a target. It is the same on all hosts.
type Incarnation uint32

// IncarnationOf returns the incarnation of a target, which may start again under its
// id.
func IncarnationOf(target *balance.Target) Incarnation {
	hash := fnv.New32a()
	// Writes to a hash don't fail.
	_, _ = hash.Write([]byte(target.ID))
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(target.StartedAt.UnixMilli())))
	return Incarnation(hash.Sum32())
}
