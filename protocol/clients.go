package protocol

import (
	"time"

	"nutmegfield.example/kernel"
)

// What a target may send back.
const (
	answerBytes   = 16 << 20
	eventBytes    = 1 << 20
	answerWait    = 10 * time.Minute
	answerSilence = 10 * time.Second
	streamResumes = 8
)

// MaxResumeTime is how long an entry host may take to resume a stream, with all
// its tries; a stream that nobody has read for longer has been given up.
const MaxResumeTime = (streamResumes + 1) * (answerSilence + dialTimeout)

// Clients holds one client of each protocol.
type Clients struct {
	byProtocol map[string]*Client
}

// NewClients makes a client of every registered protocol.
func NewClients(limits Limits) *Clients {
	clients := &Clients{byProtocol: map[string]*Client{}}
	for _, protocol := range Protocols() {
		clients.byProtocol[protocol] = New(protocol, limits)
	}
	return clients
}

// Client returns the client of a protocol, nil if there is none.
func (clients *Clients) Client(protocol string) *Client { return clients.byProtocol[protocol] }

func init() {
	kernel.Register(kernel.Plugin{Name: "targets", Rank: kernel.RankTargets, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	kernel.Provide(host, NewClients(Limits{
		Bytes:   answerBytes,
		Event:   eventBytes,
		Wait:    answerWait,
		Silence: answerSilence,
		Resumes: streamResumes,
		Dial:    host.Dial,
	}))
	return &kernel.Part{}, nil
}
