// Package protocol speaks to the servers behind the pools. Clients register by
// the name of their protocol.
package protocol

import (
	"context"
	"io"
	"net"
	"net/http"
	"sort"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/errorkind"
	"nutmegfield.example/request"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("target")
	// NotSent: no byte of the request left this host.
	NotSent = Errors.NewType("notSent")
	// Leaving: the target refused the request, unrun, as it is leaving.
	Leaving = Errors.NewType("leaving")
	// Broken: bytes left, and the end of the answer was not seen.
	Broken = Errors.NewType("broken")
	// Garbled: the answer is not this request's, not whole, or not in the
	// protocol.
	Garbled = Errors.NewType("garbled")
	// TooLong: the answer is longer than allowed.
	TooLong = Errors.NewType("tooMuch")
	// Silent: nothing came for longer than allowed.
	Silent = Errors.NewType("silent")
	// NotFound: the target does not know what it was asked for.
	NotFound = Errors.NewType("notFound")
	// Fenced: the target has seen a higher fencing number than the order's.
	Fenced = Errors.NewType("fenced")
)

// Call is one request to a target.
type Call struct {
	Request request.ID
	Method  string
	// Path is what follows the target's base address, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Stream asks for server-sent events.
	Stream bool
	// BeforeSend is called when the connection stands, before the first byte is
	// written; false keeps the request from being sent.
	BeforeSend func() bool
}

// Answer is a target's answer.
type Answer struct {
	Status int
	Header http.Header
	// Body gives the answer as the caller should get it. Its Read ends with
	// io.EOF only when the whole answer was seen, else with an error of this
	// package. Close cancels what still runs.
	Body io.ReadCloser
	// Usage is complete after the body's end.
	Usage func() request.Usage
}

// Load is a target's report of its load, which lags.
type Load struct {
	Running    int       `json:"running"`
	Waiting    int       `json:"waiting"`
	Leaving    bool      `json:"leaving"`
	ReportedAt time.Time `json:"at"`
}

// Stream is a request that runs on an engine.
type Stream struct {
	Request request.ID `json:"request"`
	// Offset is that of its next event.
	Offset int64 `json:"offset"`
	// UnreadSeconds is how long nobody has read it, in seconds.
	UnreadSeconds float64 `json:"unread"`
}

// CacheEvent says that a target stored or removed the blocks of a prefix.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// Order asks a target for a state, not for a change: to be given it twice
// does no harm.
type Order struct {
	// Fence is the fencing number of the giver.
	Fence int64 `json:"fence"`
	// Action is load, unload or role.
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// State is what a target says it has.
type State struct {
	Fence    int64    `json:"fence"`
	Role     string   `json:"role"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
}

// Client speaks one protocol. Functions that a protocol lacks are nil.
type Client struct {
	// Dispatch sends the call, at most once.
	Dispatch func(ctx context.Context, address string, call *Call) (*Answer, error)
	// Cancel stops a request that runs.
	Cancel func(ctx context.Context, address string, id request.ID) error
	// Streams lists the requests that run.
	Streams func(ctx context.Context, address string) ([]Stream, error)
	Load    func(ctx context.Context, address string) (Load, error)
	// CacheEvents returns the events after a sequence number; a first number
	// above after+1 is a gap.
	CacheEvents func(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	Export      func(ctx context.Context, address string, prefix uint64) ([]byte, error)
	Import      func(ctx context.Context, address string, prefix uint64, cache []byte) error
	Order       func(ctx context.Context, address string, order Order) error
	State       func(ctx context.Context, address string) (State, error)
}

// Limits bound what a target may send back.
type Limits struct {
	// Bytes is the longest answer.
	Bytes int64
	// Event is the longest event of a stream, in bytes.
	Event int
	// Wait is how long the header of an answer that comes whole may take;
	// 0 leaves it to the context.
	Wait time.Duration
	// Silence is how long nothing may come of an answer that has begun, or
	// of a stream.
	Silence time.Duration
	// Dial opens the connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Resumes is how often a stream is resumed with no new event in between.
	Resumes int
}

var constructors = map[string]func(Limits) *Client{}

// Register adds a protocol by name; packages call it from init.
func Register(protocol string, construct func(Limits) *Client) { constructors[protocol] = construct }

// New makes the client of a protocol, nil if the name is not registered.
func New(protocol string, limits Limits) *Client {
	construct, ok := constructors[protocol]
	if !ok {
		return nil
	}
	return construct(limits)
}

// Protocols lists the registered protocols.
func Protocols() []string {
	names := make([]string, 0, len(constructors))
	for name := range constructors {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Is reports whether an error, however wrapped with %w, is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }
