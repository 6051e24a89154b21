package gateway

import (
	"net/http"
	"strings"
	"time"

	"nutmegfield.example/witness"
)

// Call holds the fields of a caller's request header.
type Call struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key is the API key, which identifies the workspace.
	Key string
	// Timeout is how long the caller waits for the answer, 0 if not given.
	Timeout time.Duration
	// HasTokenCounts reports whether PromptTokens and OutputTokens are given.
	HasTokenCounts bool
	// PromptTokens is the number of tokens of the prompt, OutputTokens the
	// maximum for the answer.
	PromptTokens int
	OutputTokens int
	// ExpectedTokens is the caller's estimate of the answer's tokens, 0 for none.
	ExpectedTokens int
	// Prefix holds the leading parts of the prompt in order.
	Prefix []PromptPart
	// LastEventID is the id of the event after which a stream resumes, empty
	// for a new stream.
	LastEventID string
	// Resumes is the id of the caller's attempt that brought the first event of a stream
	// that is resumed, empty if not given.
	Resumes string
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// joinParts returns the ids of the first maxSharedTraits parts in order, separated by commas.
func joinParts(parts []PromptPart) string {
	parts = parts[:min(len(parts), maxSharedTraits)]
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return strings.Join(ids, ",")
}

// Forward holds the fields that the gateway sets in a forwarded request.
type Forward struct {
	// ID is the id of the request, which its answer must name, empty for none.
	ID string
	// Target is the id of the target that the request is sent to.
	Target string
	// Workspace is the name of the caller's workspace, empty for none.
	Workspace string
	// Timeout is how long the caller still waits for the answer, 0 for no limit.
	Timeout time.Duration
	// LastEventID is the id of the event after which a stream resumes, empty
	// for a new stream.
	LastEventID string
}

// Reply holds the fields of a target's response header.
type Reply struct {
	// ID is the id of the request that it answers, empty if not given.
	ID string
	// NotRun reports whether the target did not run the request.
	NotRun bool
	// Misdirected reports whether another target now has the address.
	Misdirected bool
	// RateLimit is the number of requests a second that the target takes from all
	// hosts together, 0 if it names none.
	RateLimit float64
	// Leaving reports whether the target says that it leaves.
	Leaving bool
	// Rest is the time for which the target wants no requests from this host, 0 if it
	// names none; HasUnreadableRest reports whether it names one that can't be read.
	Rest              time.Duration
	HasUnreadableRest bool
	// Brittle is the number of requests that the target can turn away in a second without
	// ending, 0 if it names none.
	Brittle int
	// Load is what the target says of its load, zero if nothing; HasUnreadableLoad reports
	// whether it says something that can't be read.
	Load              TargetLoad
	HasUnreadableLoad bool
	// Weights is the version of the model's weights that the answer begins with, 0 if not given.
	Weights int64
	// Sealed reports whether the answer carries the target's signature.
	Sealed bool
}

// TargetLoad is what a target says of its load in an answer.
type TargetLoad struct {
	// Running and Waiting are the numbers of its requests, Slots that of those it runs at once.
	Running, Waiting, Slots int
	// Duration is how long work takes there now, relative to its usual duration, 0 if the
	// target does not say it.
	Duration float64
}

// Protocol reads and writes the header fields of callers and targets. The
// platform provides its functions.
type Protocol struct {
	// ReadCall reads the header of a caller's request.
	ReadCall func(header http.Header) Call
	// WriteForward turns a copy of the caller's header into the target's: it
	// removes the fields that only gateways may set and sets those of forward.
	WriteForward func(header http.Header, forward Forward)
	// ReadReply reads the header of a target's response.
	ReadReply func(status int, header http.Header) Reply
	// WriteRefusal sets the retry time in the response header of a request that
	// the gateway refuses; an after of 0 sets none.
	WriteRefusal func(header http.Header, call Call, after time.Duration)
	// WeightsField is the name of the field of events that tells the version of the model's
	// weights from there on, empty if they don't.
	WeightsField string
	// ReportPath is the path at which engines tell of themselves without using a slot, empty
	// if they do not.
	ReportPath string
	// ReadIdentity reads what a target says of itself in the answer to a health check or at
	// ReportPath. Nil means that targets say nothing.
	ReadIdentity func(status int, header http.Header, body []byte) witness.Identity
}
