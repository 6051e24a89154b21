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
	// silenceTimeout is how long a link over which something is awaited may go
	// without an answer, or any write without an end, before it is dropped and
	// dialled anew.
	silenceTimeout = 2 * time.Second
	// urgentHeartbeatDelay is how long after sending what is awaited a heartbeat asks
	// whether it arrived, and answerWait how long its answer may take.
	urgentHeartbeatDelay = time.Second
	heartbeatTimeout     = silenceTimeout - urgentHeartbeatDelay
	// reportHeartbeatDelay is the same after reports that nobody waits for.
	reportHeartbeatDelay = 5 * time.Second
	// idleHeartbeatInterval is the interval between the heartbeats of an idle link, and
	// idleSilence how long the receiving end keeps a link that is silent.
	idleHeartbeatInterval = 15 * time.Second
	idleTimeout           = 2*idleHeartbeatInterval + silenceTimeout
	// minRedialDelay and redialMost bound the pause after a failed dial.
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// outboxCapacity is how many envelopes wait for a link; more are dropped, since
	// all state in them is soft.
	outboxCapacity = 4096
	// maxBatch is the most envelopes merged into one, and batchBytes the size
	// at which no more are.
	maxBatch       = 64
	fullBatchBytes = 256 << 10
	// maxMessageBytes is the longest envelope that is sent or taken.
	maxMessageBytes = 2 << 20
)

// Events of this package's links.
var (
	eventLinkUp = timeline.Define(timeline.Kind{
		Number: 6001, Name: "link up", Level: timeline.Info,
		Meaning: "A link to another host was opened and answered.",
	})
	eventLinkDown = timeline.Define(timeline.Kind{
		Number: 6002, Name: "link down", Level: timeline.Info,
		Meaning: "A link to another host broke, went silent or could not be opened; it is dialled anew.",
	})
	eventLinkRefused = timeline.Define(timeline.Kind{
		Number: 6003, Name: "link refused", Level: timeline.Warn,
		Meaning: "Envelopes came from a host that is not known, under another host's name, or in a form that this host does not read; logged once for each name.",
		Action:  "if it goes on, look for a host with wrong settings or of another release",
	})
)

// linkCounts are the metrics of the links: envelopes sent, received, dropped
// and refused, grants left out as stale, and the bytes and writes of the
// connections.
var linkCounts = expvar.NewMap("links")

// Links sends envelopes to other hosts and receives theirs. Fields are set
// before Run.
type Links struct {
	Members *Members
	Events  *timeline.Recorder
	// Listener accepts the other hosts' links.
	Listener net.Listener
	// Dial opens a connection to a host's address.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mutex        sync.Mutex
	links        map[string]*link
	streamCounts map[string]uint64
	// decoders are the newest streams from other hosts, outwards to them.
	decoders            map[string]*decoder
	encoders            map[string]*encoder
	refusedSenders      map[string]struct{}
	envelopeListeners   []func(from string, envelope *peerpb.Envelope)
	connectionListeners []func(host string)
	ctx                 context.Context
	group               sync.WaitGroup
}

// OnEnvelope adds a receiver of the other hosts' envelopes. It is called in
// order for each sender and must not block.
func (links *Links) OnEnvelope(receiver func(from string, envelope *peerpb.Envelope)) {
	links.envelopeListeners = append(links.envelopeListeners, receiver)
}

// OnConnected adds a listener for links opened or opened anew; what was sent
// to the host before may be lost.
func (links *Links) OnConnected(listener func(host string)) {
	links.connectionListeners = append(links.connectionListeners, listener)
}

// Send queues an envelope for a host. To this host itself it is passed on at
// once, on another goroutine. It never blocks; what can't be queued is
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

// Run serves links until the context ends.
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

// managerOptions bound the messages of both sides.
var managerOptions = drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}

func (links *Links) deliver(from string, envelope *peerpb.Envelope) {
	for _, receiver := range links.envelopeListeners {
		receiver(from, envelope)
	}
}

// linkTo returns the running linkTo to a host, nil for a host that is not known,
// before Run and after its end.
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

// closeRemoved closes the links of hosts that left the view.
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

// newEncoder begins the compact form of a new stream to a host. Its number is
// random, so that no earlier run of this host had the same.
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
