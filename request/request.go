// Package request defines the types that describe a caller's request in all
// packages: its ID, the ticket that represents it in a queue, the grant that
// allows its dispatch, and its outcomes.
//
// Only the entry host dispatches a request; tickets and grants are messages
// between it and the pool's scheduler.
package request

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

// ID identifies a request on all hosts.
type ID [16]byte

// NewID returns a random ID.
func NewID() ID {
	var id ID
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return id
}

// ParseID parses the hexadecimal form that String returns. Its error is a BadID
// if the length is wrong.
func ParseID(text string) (ID, error) {
	var id ID
	raw, err := hex.DecodeString(text)
	if err != nil {
		return id, fmt.Errorf("parse request id: %w", err)
	}
	if len(raw) != len(id) {
		return id, fmt.Errorf("parse request id: %w", BadID.New("%d bytes, want %d", len(raw), len(id)))
	}
	copy(id[:], raw)
	return id, nil
}

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText encodes the ID in hexadecimal.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText decodes the hexadecimal form, with the errors of ParseID.
func (id *ID) UnmarshalText(text []byte) error {
	parsed, err := ParseID(string(text))
	*id = parsed
	return err
}

// Errors of this package.
var (
	Errors = errorx.NewNamespace("request")
	// BadID is the type of errors for an ID of the wrong length.
	BadID = Errors.NewType("badID")
)

// Tier is the priority of a request: 0 is the highest.
type Tier uint8

// Outcome is the final result of a request.
type Outcome string

// The outcomes.
const (
	// Done: the whole answer was delivered.
	Done Outcome = "done"
	// NotRun: the request was never dispatched.
	NotRun Outcome = "notRun"
	// Failed: the request ran and the target answered with an error.
	Failed Outcome = "failed"
	// Unknown: the request was dispatched, and its end was not observed.
	Unknown Outcome = "unknown"
)

// Reason is the cause of an outcome other than Done.
type Reason string

// The reasons.
const (
	ReasonDeadline Reason = "deadline"
	ReasonShed     Reason = "shed"
	// ReasonLimited: a limit on rate, waiting requests or memory was reached.
	ReasonLimited     Reason = "limited"
	ReasonQuarantined Reason = "quarantined"
	ReasonNoTarget    Reason = "noTarget"
	ReasonDraining    Reason = "draining"
	ReasonCallerGone  Reason = "callerGone"
	ReasonNoScheduler Reason = "noScheduler"
	// ReasonRecordUnavailable: the record of the idempotency key could not be
	// read or written.
	ReasonRecordUnavailable Reason = "recordUnavailable"
	// ReasonRecordHeld: another request with the same idempotency key has the
	// record.
	ReasonRecordHeld Reason = "recordHeld"
	// ReasonAnswerNotKept: the request with this idempotency key ran, and its
	// answer was too large to store.
	ReasonAnswerNotKept   Reason = "answerNotKept"
	ReasonKeyReused       Reason = "keyReused"
	ReasonNoConfiguration Reason = "noConfiguration"
	ReasonTargetError     Reason = "targetError"
	ReasonTargetSilent    Reason = "targetSilent"
	// ReasonTargetGarbled: the target's answer was malformed or too large.
	ReasonTargetGarbled Reason = "targetGarbled"
	// ReasonHostStopped: the entry host stopped before the request ended.
	ReasonHostStopped Reason = "hostStopped"
)

// Reasons returns the reasons except ReasonAnswerNotKept.
func Reasons() []Reason {
	return []Reason{
		ReasonDeadline, ReasonShed, ReasonLimited, ReasonQuarantined,
		ReasonNoTarget, ReasonDraining, ReasonCallerGone, ReasonNoScheduler,
		ReasonRecordUnavailable, ReasonRecordHeld, ReasonKeyReused, ReasonNoConfiguration,
		ReasonTargetError, ReasonTargetSilent, ReasonTargetGarbled, ReasonHostStopped,
	}
}

// Size estimates the work of a request. Both counts are 0 for a call of a plain
// service.
type Size struct {
	PromptTokens int
	OutputTokens int
}

// Prefix is the beginning of a prompt: the chained hash of its blocks and its
// length in tokens.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// Ticket represents a waiting request in a pool's queue.
type Ticket struct {
	ID   ID
	Pool string
	// Entry is the ID of the entry host.
	Entry     string
	Workspace string
	Tier      Tier
	Sheddable bool
	// Deadline is a time of the clock of the host that holds the ticket;
	// messages between hosts carry the remaining time instead.
	Deadline time.Time
	Size     Size
	// Prefixes are ordered from the shortest to the longest.
	Prefixes []Prefix
	// Fingerprint is the hash of the whole body; equal bodies have equal
	// fingerprints.
	Fingerprint uint64
	// Round is the number of times that the request began to wait, 1 for the
	// first. Grants and refusals for an earlier round are stale.
	Round uint32
	// HeldGrant is the grant that the entry host already holds, for a scheduler
	// that took over the pool; nil if the request is waiting.
	HeldGrant *Grant
}

// Grant allows one dispatch of one request to one target.
type Grant struct {
	Ticket ID
	Round  uint32
	Pool   string
	Target string
	// Scheduler is the ID of the host that issued the grant, Number its
	// sequence number there.
	Scheduler string
	Number    uint64
	// CachedTokens is the scheduler's estimate of the prompt tokens that the
	// target has cached.
	CachedTokens int
	// Lifetime is how long after its arrival the grant may be used.
	Lifetime time.Duration
}

// Refusal reports to an entry host that a ticket left the queue without a
// grant.
type Refusal struct {
	Ticket     ID
	Round      uint32
	Pool       string
	Reason     Reason
	RetryAfter time.Duration
}

// Cancel withdraws a waiting ticket from the queue.
type Cancel struct {
	Ticket ID
	Round  uint32
	Pool   string
}

// End is how the use of a grant ended.
type End uint8

// The ends of a grant.
const (
	// EndUnused: nothing was sent to the target.
	EndUnused End = iota
	// EndDone: the whole answer arrived.
	EndDone
	// EndFailed: the target answered with an error.
	EndFailed
	// EndTargetLost: the connection was lost while the request ran, and the
	// target may have crashed.
	EndTargetLost
	// EndCancelled: the request was cancelled at the target, for example
	// because the caller disconnected.
	EndCancelled
	// EndUnreachable: the connection could not be opened; nothing was sent.
	EndUnreachable
	// EndTargetLeaving: the target refused the request without running it,
	// because it is leaving.
	EndTargetLeaving
	// EndConnectionLost: the connection was lost or silent, but the target is
	// running and has not crashed.
	EndConnectionLost
)

// Release frees the slot of a grant and reports how the request ran.
type Release struct {
	Ticket ID
	Pool   string
	Target string
	Number uint64
	// Scheduler is the ID of the host that issued the grant.
	Scheduler string
	End       End
	Usage     Usage
	// FirstToken and Total are times since the attempt began.
	FirstToken  time.Duration
	Total       time.Duration
	Fingerprint uint64
}

// Usage holds the token counts that an engine reports for a finished request.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Progress reports the first token of a running request, so that the scheduler
// can observe prefill and decode separately.
type Progress struct {
	Ticket     ID
	Pool       string
	Target     string
	Number     uint64
	FirstToken time.Duration
}
