package protocol

import (
	"time"

	"nutmegfield.example/kernel"
)

// Limits of the answers of all targets.
const (
	maxAnswerBytes       = 16 << 20
	maxControlBytes      = 4 << 20
	maxEventBytes        = 1 << 20
	answerHeaderTimeout  = 10 * time.Minute
	answerSilenceTimeout = 10 * time.Second
	maxStreamResumes     = 8
)

// MaxResumeTime limits the time in which an entry host resumes a stream, over all
// attempts. A stream that was not read for longer is abandoned.
const MaxResumeTime = (maxStreamResumes + 1) * (answerSilenceTimeout + dialTimeout)

// Clients contains one client for each registered protocol.
type Clients struct {
	byProtocol map[string]*Client
}

// NewClients returns clients for all registered protocols.
func NewClients(limits Limits) *Clients {
	clients := &Clients{byProtocol: map[string]*Client{}}
	for _, protocol := range Protocols() {
		clients.byProtocol[protocol] = New(protocol, limits)
	}
	return clients
}

// Client returns the client of a protocol, or nil if the protocol is not
// registered.
func (clients *Clients) Client(protocol string) *Client { return clients.byProtocol[protocol] }

func init() {
	kernel.Register(kernel.Plugin{Name: "targets", Rank: kernel.RankTargets, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	kernel.Provide(host, NewClients(Limits{
		MaxBytes:        maxAnswerBytes,
		MaxControlBytes: maxControlBytes,
		Memory:          host.Memory().Callers,
		MaxEventBytes:   maxEventBytes,
		HeaderTimeout:   answerHeaderTimeout,
		SilenceTimeout:  answerSilenceTimeout,
		MaxResumes:      maxStreamResumes,
		Dial:            host.Dial,
	}))
	return &kernel.Part{}, nil
}
