// Package quarantine finds what requests that crash the targets which run them have in
// common, and says which requests must not be sent again. A caller sends such a request
// again under a new id, or others that share only a part with it.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"io"
	"strconv"
	"strings"

	"nutmegfield.example/balance"
)

// Trait identifies the requests that have something in common: their whole content, or
// something that requests with other contents share with them. It is the same on all hosts.
type Trait uint64

// sharedTrait is set in traits that requests with different contents share.
const sharedTrait Trait = 1 << 63

// String returns the trait as it appears in events.
func (trait Trait) String() string { return strconv.FormatUint(uint64(trait), 16) }

func (trait Trait) isShared() bool { return trait&sharedTrait != 0 }

// kind returns what the requests have in common, for events.
func (trait Trait) kind() string {
	if trait.isShared() {
		return "shared"
	}
	return "content"
}

// joinTraits returns traits as they appear in events.
func joinTraits(traits []Trait) string {
	texts := make([]string, len(traits))
	for i, trait := range traits {
		texts[i] = trait.String()
	}
	return strings.Join(texts, ",")
}

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
	return Trait(binary.LittleEndian.Uint64(hash.Sum(nil))) &^ sharedTrait
}

// NewShared returns the trait of requests that share something of a kind, such as a part
// of their prompts.
func NewShared(kind, value string) Trait {
	hash := fnv.New64a()
	// Writes to a hash don't fail.
	_, _ = io.WriteString(hash, kind)
	_, _ = hash.Write([]byte{0})
	_, _ = io.WriteString(hash, value)
	return Trait(hash.Sum64()) | sharedTrait
}

// Traits are those of one request.
type Traits struct {
	Content Trait
	// Shared are in order from those that most requests have to those of the fewest.
	Shared []Trait
}

// all calls add for each trait with its depth: the more requests share a trait, the lower.
func (traits Traits) all(add func(trait Trait, depth uint8)) {
	add(traits.Content, contentDepth)
	for i, trait := range traits.Shared {
		add(trait, uint8(min(1+i, contentDepth-1)))
	}
}

// contentDepth is the depth of contents.
const contentDepth = 255

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
