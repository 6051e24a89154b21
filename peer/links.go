package peer

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/timeline"
)

const (
	// silenceTimeout is how long a link may be silent while an answer is
	// awaited, and how long a write may take, before the link is closed and
	// dialled again.
	silenceTimeout = 2 * time.Second
	// urgentHeartbeatDelay is the time from sending an envelope with urgent
	// messages, whose arrival is awaited, to the heartbeat whose answer confirms
	// it; heartbeatTimeout is how long that answer may take.
	urgentHeartbeatDelay = time.Second
	heartbeatTimeout     = silenceTimeout - urgentHeartbeatDelay
	// nonUrgentHeartbeatDelay is the time from sending an envelope without urgent
	// messages to the heartbeat whose answer confirms it.
	nonUrgentHeartbeatDelay = 5 * time.Second
	// idleHeartbeatInterval is the time between heartbeats on an idle link; the
	// receiving end closes a link that is silent for idleTimeout.
	idleHeartbeatInterval = 15 * time.Second
	idleTimeout           = 2*idleHeartbeatInterval + silenceTimeout
	// minRedialDelay and maxRedialDelay are the bounds of the backoff after a
	// failed dial.
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// outboxCapacity is how many envelopes can wait for a link. Further ones
	// are dropped, which is safe as they hold only soft state.
	outboxCapacity = 4096
	// maxBatch is the most envelopes merged into one; no more are merged once
	// it is larger than fullBatchBytes.
	maxBatch       = 64
	fullBatchBytes = 256 << 10
	// maxMessageBytes is the largest envelope that is sent or accepted.
	maxMessageBytes = 2 << 20
)

// Events of this package's links.
var (
	eventLinkUp = timeline.Define(timeline.Kind{
		Number: 6001, Name: "link up", Level: timeline.Info,
		Meaning: "A link to another host was opened, and the host answered.",
	})
	eventLinkDown = timeline.Define(timeline.Kind{
		Number: 6002, Name: "link down", Level: timeline.Info,
		Meaning: "A link to another host failed, became silent or could not be opened; it is dialled again.",
	})
	eventLinkRefused = timeline.Define(timeline.Kind{
		Number: 6003, Name: "link refused", Level: timeline.Warn,
		Meaning: "Envelopes came from a host that is not in the list of hosts, under another host's name, or in an unsupported or invalid format; logged once for each name.",
		Action:  "if it continues, look for a host with wrong settings or of another release",
	})
)

// linkCounts are the metrics of the links: envelopes sent, received, dropped
// and refused, grants dropped as stale, and the bytes and writes of the
// connections.
var linkCounts = expvar.NewMap("links")

// Links sends envelopes to other hosts and receives theirs. Its exported fields
// must be set before Run.
type Links struct {
	Members *Members
	Events  *timeline.Recorder
	// Listener accepts connections from other hosts.
	Listener net.Listener
	// Dial opens a connection to a host's address.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mutex sync.Mutex
	links map[string]*link
	// streamCounts counts the streams that each other host has opened.
	streamCounts map[string]uint64
	// decoders holds the decoder of each other host's newest stream to this
	// host, encoders the encoder of this host's newest stream to each of them.
	decoders map[string]*decoder
	encoders map[string]*encoder
	// refusedSenders are the names whose refusal was recorded as an event.
	refusedSenders      map[string]struct{}
	envelopeListeners   []func(from string, envelope *peerpb.Envelope)
	connectionListeners []func(host string)
	ctx                 context.Context
	group               sync.WaitGroup
}

// OnEnvelope registers a callback for the envelopes of other hosts. The
// callback gets each sender's envelopes in order and must not block. It must be
// registered before Run.
func (links *Links) OnEnvelope(listener func(from string, envelope *peerpb.Envelope)) {
	links.envelopeListeners = append(links.envelopeListeners, listener)
}

// OnConnected registers a callback for links that were opened or reopened;
// envelopes sent to the host before may be lost. It must be registered before
// Run.
func (links *Links) OnConnected(listener func(host string)) {
	links.connectionListeners = append(links.connectionListeners, listener)
}

// Send queues an envelope for a host; one for this host itself is delivered on
// another goroutine. It never blocks: an envelope that can't be queued is
// dropped and counted.
func (links *Links) Send(host string, envelope *peerpb.Envelope) {
	link := links.linkTo(host)
	if link == nil {
		linkCounts.Add("dropped", 1)
		return
	}
	select {
	case link.outbox <- envelope:
	default:
		linkCounts.Add("dropped", 1)
	}
}

// Run accepts and opens links until the context ends.
func (links *Links) Run(ctx context.Context) error {
	links.mutex.Lock()
	links.ctx = ctx
	links.mutex.Unlock()
	links.Members.OnChange(links.closeRemoved)
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterLinks(mux, links); err != nil {
		return fmt.Errorf("register links: %w", err)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions})
	err := server.Serve(ctx, timeoutListener{links.Listener})
	links.group.Wait()
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve links: %w", err)
	}
	return nil
}

// managerOptions limit the size of messages in both directions.
var managerOptions = drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}

func (links *Links) deliver(from string, envelope *peerpb.Envelope) {
	for _, listener := range links.envelopeListeners {
		listener(from, envelope)
	}
}

// linkTo returns the link to a host, which it starts if needed. It returns nil
// for a host that is not in the view, before Run and after Run has ended.
func (links *Links) linkTo(host string) *link {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.ctx == nil || links.ctx.Err() != nil {
		return nil
	}
	if found := links.links[host]; found != nil {
		return found
	}
	if _, known := links.Members.View().Find(host); !known && host != links.Members.Self.ID {
		return nil
	}
	if links.links == nil {
		links.links = map[string]*link{}
	}
	ctx, cancel := context.WithCancel(links.ctx)
	link := &link{links: links, host: host, cancel: cancel, outbox: make(chan *peerpb.Envelope, outboxCapacity)}
	links.links[host] = link
	links.group.Go(func() { link.run(ctx) })
	return link
}

// closeRemoved closes the links to hosts that are no longer in the view.
func (links *Links) closeRemoved(view *View) {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	for host := range links.decoders {
		if _, known := view.Find(host); !known {
			delete(links.decoders, host)
		}
	}
	for host, link := range links.links {
		if _, known := view.Find(host); !known && host != links.Members.Self.ID {
			link.cancel()
			delete(links.links, host)
			delete(links.encoders, host)
		}
	}
}

// newEncoder returns the encoder of a new stream to a host. The stream's number
// is random so that it differs from those of earlier runs of this host.
func (links *Links) newEncoder(host string) *encoder {
	opened := &encoder{
		stream:   rand.Uint64() | 1,
		self:     links.Members.Self,
		receiver: host,
		incoming: func() *decoder { return links.decoderFrom(host) },
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.encoders == nil {
		links.encoders = map[string]*encoder{}
	}
	links.encoders[host] = opened
	return opened
}

func (links *Links) encoderTo(host string) *encoder {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	return links.encoders[host]
}

func (links *Links) decoderFrom(host string) *decoder {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	return links.decoders[host]
}
