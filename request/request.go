// Package request holds what every part knows of a caller's request: its
// identity, the small ticket that stands for it in a queue, the grant that
// allows its dispatch, and the outcomes it can have.
//
// The right to dispatch never leaves the entry host; tickets and grants are
// only messages about it.
package request

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
)

// ID identifies a request in the whole system.
type ID [16]byte

// NewID returns a random identity.
func NewID() ID {
	var id ID
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return id
}

// ParseID reads the form that String writes.
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

// String returns the identity in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText writes the hexadecimal form.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText reads the hexadecimal form.
func (id *ID) UnmarshalText(text []byte) error {
	parsed, err := ParseID(string(text))
	*id = parsed
	return err
}

// Errors of this package.
var (
	Errors = errorx.NewNamespace("request")
	// BadID is returned for a text that is no identity.
	BadID = Errors.NewType("badID")
)

// Tier is the rank of a request: 0 is the most important.
type Tier uint8

// Outcome is the one final word on a request.
type Outcome string

// The outcomes.
const (
	// Done: the whole answer was delivered.
	Done Outcome = "done"
	// NotRun: certainly never dispatched.
	NotRun Outcome = "notRun"
	// Failed: it ran and the target answered with an error.
	Failed Outcome = "failed"
	// Unknown: dispatched, and its end was not seen.
	Unknown Outcome = "unknown"
)

// Reason says why a request has an outcome other than Done.
type Reason string

// The reasons.
const (
	ReasonDeadline          Reason = "deadline"
	ReasonShed              Reason = "shed"
	ReasonLimited           Reason = "limited"
	ReasonQuarantined       Reason = "quarantined"
	ReasonNoTarget          Reason = "noTarget"
	ReasonDraining          Reason = "draining"
	ReasonCallerGone        Reason = "callerGone"
	ReasonNoScheduler       Reason = "noScheduler"
	ReasonRecordUnavailable Reason = "recordUnavailable"
	ReasonRecordHeld        Reason = "recordHeld"
	ReasonAnswerNotKept           Reason = "answerNotKept"
	ReasonKeyReused         Reason = "keyReused"
	ReasonNoConfiguration   Reason = "noConfiguration"
	ReasonTargetError       Reason = "targetError"
	ReasonTargetSilent      Reason = "targetSilent"
	ReasonTargetGarbled     Reason = "targetGarbled"
	ReasonHostStopped       Reason = "hostStopped"
)

// Reasons lists every reason.
func Reasons() []Reason {
	return []Reason{
		ReasonDeadline, ReasonShed, ReasonLimited, ReasonQuarantined,
		ReasonNoTarget, ReasonDraining, ReasonCallerGone, ReasonNoScheduler,
		ReasonRecordUnavailable, ReasonRecordHeld, ReasonKeyReused, ReasonNoConfiguration,
		ReasonTargetError, ReasonTargetSilent, ReasonTargetGarbled, ReasonHostStopped,
	}
}

// Size estimates the work of a request. Both counts are tokens; a call of a
// plain service has none.
type Size struct {
	PromptTokens int
	OutputTokens int
}

// Prefix is a leading part of a prompt: the chained hash of its blocks and
// its length.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// Ticket stands for a waiting request in a pool's queue.
type Ticket struct {
	ID        ID
	Pool      string
	Entry     string
	Workspace string
	Tier      Tier
	Sheddable bool
	// Deadline is by the clock of the host that holds the value: between
	// hosts the remaining time travels.
	Deadline time.Time
	Size     Size
	// Prefixes are ordered from the shortest to the longest.
	Prefixes []Prefix
	// Fingerprint is the hash of the whole body; equal bodies have equal ones.
	Fingerprint uint64
	// Round counts how often the request began to wait, from 1. An answer to
	// an earlier round is stale.
	Round uint32
	// HeldGrant is the grant that the entry host already holds, sent again to a
	// scheduler that took over. Nil while waiting.
	HeldGrant *Grant
}

// Grant allows one dispatch of one request to one target.
type Grant struct {
	Ticket ID
	Round  uint32
	Pool   string
	Target string
	// Scheduler is the host that granted, Number its count of grants.
	Scheduler string
	Number    uint64
	// CachedTokens is how much of the prompt the scheduler believes the
	// target holds.
	CachedTokens int
	// Lifetime is how long after its arrival the grant may still be used.
	Lifetime time.Duration
}

// Refusal tells an entry host that a ticket left the queue without a grant.
type Refusal struct {
	Ticket     ID
	Round      uint32
	Pool       string
	Reason     Reason
	RetryAfter time.Duration
}

// Cancel withdraws a waiting ticket.
type Cancel struct {
	Ticket ID
	Round  uint32
	Pool   string
}

// End says how the use of a grant ended.
type End uint8

// The ends of a grant.
const (
	// EndUnused: nothing was sent to the target.
	EndUnused End = iota
	// EndDone: the whole answer came.
	EndDone
	// EndFailed: the target answered with an error.
	EndFailed
	// EndTargetLost: the target was lost while the request ran on it.
	EndTargetLost
	// EndCancelled: the caller went away and the target was told.
	EndCancelled
	// EndUnreachable: the connection could not be opened, nothing was sent.
	EndUnreachable
	// EndTargetLeaving: the target refused, unrun, as it is leaving.
	EndTargetLeaving
	// EndConnectionLost: the connection was lost, or went silent, while the target lives.
	EndConnectionLost
)

// Release gives the slot of a grant back and reports what was seen.
type Release struct {
	Ticket ID
	Pool   string
	Target string
	Number uint64
	// Scheduler is the host that granted.
	Scheduler   string
	End         End
	Usage       Usage
	FirstToken  time.Duration
	Total       time.Duration
	Fingerprint uint64
}

// Usage is what an engine reports of a finished request, in tokens.
type Usage struct {
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Progress reports the first token of a running request, so that the
// scheduler sees prefill apart from decode.
type Progress struct {
	Ticket     ID
	Pool       string
	Target     string
	Number     uint64
	FirstToken time.Duration
}
