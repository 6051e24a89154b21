package gateway

import (
	"net/http"
	"time"
)

// Call is what the header of a caller's request says.
type Call struct {
	// ID is the id of this attempt of the caller's.
	ID string
	// Key names the workspace.
	Key string
	// Timeout is how long the caller waits for the answer, 0 if it does not say.
	Timeout time.Duration
	// HasTokenCounts tells that the token counts are given.
	HasTokenCounts bool
	// PromptTokens is the size of a model's request, OutputTokens the most
	// that its answer may have.
	PromptTokens int
	OutputTokens int
	// ExpectedTokens is the caller's guess of the answer's size, 0 for none.
	ExpectedTokens int
	// Prefix are the parts of the prompt in order.
	Prefix []PromptPart
	// LastEventID is the id of the event after which a stream is to go on.
	LastEventID string
}

// PromptPart is one part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Forward is what the gateway tells a target with a request.
type Forward struct {
	// Target is the id of the target that is meant.
	Target string
	// Workspace is that of the caller's key, empty for none.
	Workspace string
	// Timeout is how long the answer is of use, 0 for no limit.
	Timeout time.Duration
	// LastEventID is the id of the event after which a stream is to go on.
	LastEventID string
}

// Reply is what the header of a target's answer says.
type Reply struct {
	// ID is the id of the request that it answers, empty if it says none.
	ID string
	// NotRun tells that the target did not run the request.
	NotRun bool
	// Misdirected tells that another target has the address.
	Misdirected bool
	// Sealed tells that the answer bears the target's signature.
	Sealed bool
}

// Protocol is how callers and targets say these things in headers. Its
// functions are seams.
type Protocol struct {
	// ReadCall reads a caller's header.
	ReadCall func(header http.Header) Call
	// WriteForward changes a copy of the caller's header into a target's: what only
	// gateways set is taken out, and what WriteForward says put in.
	WriteForward func(header http.Header, forward Forward)
	// ReadReply reads a target's header.
	ReadReply func(status int, header http.Header) Reply
	// WriteRefusal writes on a gateway's own answer when the caller may come back;
	// 0 says nothing of it.
	WriteRefusal func(header http.Header, call Call, after time.Duration)
}
