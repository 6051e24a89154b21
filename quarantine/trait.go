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

// Trait identifies the requests that have something in common: so far the same content,
// which is workspace, method, host, path, query and body. It is the same on all hosts.
type Trait uint64

// String returns the trait as it appears in events.
func (trait Trait) String() string { return strconv.FormatUint(uint64(trait), 16) }

// NewContent returns the trait of requests with the given parts of their content.
func NewContent(parts ...[]byte) Trait {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		// The lengths keep parts apart that have the same bytes together.
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		// Writes to a hash don't fail.
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	return Trait(binary.LittleEndian.Uint64(hash.Sum(nil)))
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
