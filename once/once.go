// Package once keeps a non-idempotent request at most once. Before such a
// request may be dispatched, a record in the platform, made by conditional
// update, names it as the only one that may run for its caller's key.
//
// The records of one range of keys share a head object. Every change of the
// range is a conditional write of its head, so two writers can never both
// succeed; safety rests on that condition alone. Many changes are grouped
// into one write, and a full head is sealed off into segments that never
// change again.
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/errorkind"
	"nutmegfield.example/request"
)

// Errors of this package. Missing, Conflict and Lost are what the seams
// Read, Write and Remove must return.
var (
	Errors = errorx.NewNamespace("once")
	// Unavailable: the right to run was not got; the request must not run.
	Unavailable = Errors.NewType("unavailable")
	// NotFound: there is no such object.
	NotFound = Errors.NewType("missing")
	// Conflict: the object's version is not the expected one.
	Conflict = Errors.NewType("conflict")
	// Lost: a write was sent and may or may not have taken effect.
	Lost = Errors.NewType("lost")
)

// Key names a record: the hash of workspace, service and the caller's key.
type Key [sha256.Size]byte

// NewKey returns the key of a workspace's idempotency key for a service.
func NewKey(workspace, service, key string) Key {
	digest := sha256.New()
	for _, part := range []string{workspace, service, key} {
		// A hash's Write never fails.
		_, _ = fmt.Fprintf(digest, "%d:%s", len(part), part)
	}
	return Key(digest.Sum(nil))
}

// String returns the key in hexadecimal.
func (key Key) String() string { return hex.EncodeToString(key[:]) }

// State is where a record stands.
type State uint8

// The states of a record.
const (
	// Running: its request has the right to run and may have run.
	Running State = iota + 1
	// Ended: its request ran; the answer is kept unless it was too long.
	Ended
	// Returned: its request certainly did not run and never will; another
	// request may take the key.
	Returned
)

// Record is what is kept of a key.
type Record struct {
	Request request.ID
	// Host names the entry host and its incarnation.
	Host string
	// BodyHash is the hash of the caller's body: the same key with another body
	// is a mistake of the caller.
	BodyHash  [sha256.Size]byte
	State State
	CreatedAt  time.Time
	// Status, Type, Answer and Outcome are the answer of an ended request.
	Status  int
	ContentType    string
	Answer  []byte
	Outcome request.Outcome
	// AnswerOmitted is set when the answer was too long to keep.
	AnswerOmitted bool
	// Returned are the last requests that gave the key back.
	Returned []request.ID
}

// Claim is the result of asking for the right to run.
type Claim struct {
	// Granted is true when the request may run.
	Granted bool
	// Record is the present record of the key.
	Record Record
}

// Object is a versioned value of the platform. Version 0 means that it does
// not exist.
type Object struct {
	Name    string
	Version int64
	Value   []byte
}

// Is reports whether an error, however wrapped with %w, is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }
