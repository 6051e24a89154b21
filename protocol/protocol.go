// Package protocol contains the clients for the protocols that targets speak.
// Each client registers under the name of its protocol.
package protocol

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sort"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/errorkind"
	"nutmegfield.example/memory"
	"nutmegfield.example/request"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("target")
	// NotSent: no byte of the request was sent.
	NotSent = Errors.NewType("notSent")
	// Leaving: the target is leaving and refused the request without running it.
	Leaving = Errors.NewType("leaving")
	// Broken: bytes of the request may have been sent, and the end of the answer
	// was not received.
	Broken = Errors.NewType("broken")
	// Garbled: the answer violates the protocol, is incomplete or belongs to
	// another request.
	Garbled = Errors.NewType("garbled")
	// TooLong: the answer or one of its events exceeds its limit.
	TooLong = Errors.NewType("tooMuch")
	// NoRoom: this host has no memory for the answer.
	NoRoom = Errors.NewType("noRoom")
	// Silent: the target sent nothing for a whole timeout.
	Silent = Errors.NewType("silent")
	// NotFound: the target answered 404.
	NotFound = Errors.NewType("notFound")
	// Fenced: the target has seen a higher fencing number than that of the order.
	Fenced = Errors.NewType("fenced")
)

// Call is one request to a target.
type Call struct {
	Request request.ID
	Method  string
	// Path is appended to the target's base address and includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Stream is true if the caller expects server-sent events.
	Stream bool
	// BeforeSend is called once a connection is open, before the first byte is
	// written. If it returns false, the request is not sent.
	BeforeSend func() bool
}

// Answer is a target's answer.
type Answer struct {
	Status int
	Header http.Header
	// Body is the answer as the caller gets it. Read returns io.EOF only after
	// the complete answer, otherwise an error of this package. Close cancels the
	// request if it is still running.
	Body io.ReadCloser
	// Usage returns the tokens used; it is final after Body has returned io.EOF
	// and zero for an answer without usage.
	Usage func() request.Usage
}

// Load is a target's report of its load at ReportedAt, in numbers of requests.
type Load struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
	// Limit is the number of requests a second that the target takes from all hosts
	// together, 0 for no limit.
	Limit      float64   `json:"limit"`
	ReportedAt time.Time `json:"at"`
}

// Stream is the state of a request that is running on an engine.
type Stream struct {
	Request request.ID `json:"request"`
	// Offset is the offset of the next event that the engine will produce.
	Offset int64 `json:"offset"`
	// UnreadSeconds is the time since the stream was last read; it is 0 while a
	// reader is connected.
	UnreadSeconds float64 `json:"unread"`
}

// CacheEvent lists prefixes whose blocks a target stored in its cache or removed
// from it.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Removed  []uint64 `json:"removed,omitempty"`
}

// Order tells a target which state to reach. It is idempotent.
type Order struct {
	// FencingNumber is the fencing number of the sender.
	FencingNumber int64 `json:"fence"`
	// Action is "load" or "unload" for a model or an adapter, or "role".
	Action  string `json:"action"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Version is the version of Model; empty if the model has none.
	Version string `json:"version,omitempty"`
	// Role is the target's new role, for the action "role".
	Role string `json:"role,omitempty"`
}

// State is a target's report of its role, models and adapters, and of the
// highest fencing number that it has seen.
type State struct {
	FencingNumber int64    `json:"fence"`
	Role          string   `json:"role"`
	Models        []string `json:"models"`
	Adapters      []string `json:"adapters"`
}

// Client is the client of one protocol. Functions that the protocol does not
// support are nil.
type Client struct {
	// Dispatch sends the call at most once. Its errors are of the types of this
	// package.
	Dispatch func(ctx context.Context, address string, call *Call) (*Answer, error)
	// Cancel stops a running request. It returns nil for an unknown one.
	Cancel func(ctx context.Context, address string, id request.ID) error
	// Streams returns the running requests.
	Streams func(ctx context.Context, address string) ([]Stream, error)
	Load    func(ctx context.Context, address string) (Load, error)
	// CacheEvents returns the events after a sequence number. Events were lost
	// if the first one's sequence number is above after+1.
	CacheEvents func(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
	// Export returns the cache blocks of a prefix, for Import on another
	// target.
	Export func(ctx context.Context, address string, prefix uint64) ([]byte, error)
	Import func(ctx context.Context, address string, prefix uint64, cache []byte) error
	Order  func(ctx context.Context, address string, order Order) error
	State  func(ctx context.Context, address string) (State, error)
}

// Limits bound the answers of a target.
type Limits struct {
	// MaxBytes limits an answer's body.
	MaxBytes int64
	// MaxControlBytes limits the answer of a control call, but an export; 0 stands for
	// MaxBytes.
	MaxControlBytes int64
	// Memory counts what is held of answers; nil has room for all.
	Memory *memory.Budget
	// MaxEventBytes limits one event of a stream.
	MaxEventBytes int
	// HeaderTimeout limits the wait for the header of an answer that is not a
	// stream; 0 means no limit besides the context's deadline.
	HeaderTimeout time.Duration
	// SilenceTimeout limits the time without received bytes: in an answer after
	// its header, in a stream also before it.
	SilenceTimeout time.Duration
	// Dial opens a connection to a target.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxResumes limits the consecutive resumes of a stream that bring no new event.
	MaxResumes int
}

func (limits *Limits) controlBytes() int64 { return cmp.Or(limits.MaxControlBytes, limits.MaxBytes) }

var constructors = map[string]func(Limits) *Client{}

// Register adds a protocol by name; it is called from init.
func Register(protocol string, construct func(Limits) *Client) { constructors[protocol] = construct }

// New returns a client for a protocol, or nil if the name is not registered.
func New(protocol string, limits Limits) *Client {
	construct, ok := constructors[protocol]
	if !ok {
		return nil
	}
	return construct(limits)
}

// Protocols returns the sorted names of the registered protocols.
func Protocols() []string {
	names := make([]string, 0, len(constructors))
	for name := range constructors {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Is reports whether an error, or one that it wraps, is of one of the types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }
