// Package once runs a non-idempotent request at most once. Before such a
// request is dispatched, it claims its caller's key by a conditional write to
// the platform: the record of a key names one request, and only that may run.
//
// The records of one range of keys share a head object. Every change to the
// range is a conditional write of its head, so of two concurrent writers at
// most one succeeds; safety depends on that condition alone. Changes are
// grouped into one write. A full head is sealed: its entries move to a
// segment, which is immutable.
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

// Errors of this package. The functions KeyRange.Read, Write and Remove must
// return NotFound, Conflict and Lost where these apply.
var (
	Errors = errorx.NewNamespace("once")
	// Unavailable: the action could not be recorded; after a failed claim the
	// request must not run.
	Unavailable = Errors.NewType("unavailable")
	// NotFound: the object does not exist.
	NotFound = Errors.NewType("missing")
	// Conflict: the object's version is not the expected one.
	Conflict = Errors.NewType("conflict")
	// Lost: a write was sent and may or may not have taken effect.
	Lost = Errors.NewType("lost")
)

// Key identifies a record: the SHA-256 hash of workspace, service and the
// caller's idempotency key.
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

// State is the state of a record; 0 if there is no record.
type State uint8

// The states of a record.
const (
	// Running: the request may run, and may have run already.
	Running State = iota + 1
	// Ended: the request ran. Its answer is stored unless AnswerOmitted is
	// set.
	Ended
	// Released: the request did not run and never will; another request may
	// claim the key.
	Released
)

// Record is the state of a key and, once its request has ended, the answer.
type Record struct {
	Request request.ID
	// Host is the entry host and its incarnation.
	Host string
	// BodyHash is the SHA-256 hash of the request body. The same key with
	// another body is an error of the caller.
	BodyHash  [sha256.Size]byte
	State     State
	CreatedAt time.Time
	// Status, ContentType, Answer and Outcome are the answer of an ended
	// request.
	Status      int
	ContentType string
	Answer      []byte
	Outcome     request.Outcome
	// AnswerOmitted is set if the answer is not stored, for example because it
	// was too long.
	AnswerOmitted bool
	// Released are the requests that most recently released the key. A delayed
	// claim of one of them is refused.
	Released []request.ID
}

// Result is the result of an action on a record.
type Result struct {
	// Granted is true if the action was accepted; a lookup is never granted.
	// After a claim, the request may run only if it is true.
	Granted bool
	// Record is the record of the key after the action.
	Record Record
}

// Object is a versioned value stored in the platform. Version 0 means that the
// object does not exist.
type Object struct {
	Name    string
	Version int64
	Value   []byte
}

// Is reports whether err, or an error that it wraps with %w, has one of the
// types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }
