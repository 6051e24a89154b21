package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/timeline"
)

const (
	// heartbeat is the interval at which an idle link is used.
	heartbeat = 500 * time.Millisecond
	// silence is how long a link may go without an answer to a heartbeat
	// before it is dropped and dialled anew.
	silence = 2 * time.Second
	// redial is the pause after a failed dial.
	redial = 200 * time.Millisecond
	// outbox is how many envelopes wait for a link; more are dropped, since
	// all state in them is soft.
	outbox = 4096
	// batch is the most envelopes merged into one.
	batch = 64
)

// Events of this package.
var (
	eventLinkUp = timeline.Define(timeline.Kind{
		Number: 6001, Name: "link up", Level: timeline.Info,
		Meaning: "A link to another host was opened.",
	})
	eventLinkDown = timeline.Define(timeline.Kind{
		Number: 6002, Name: "link down", Level: timeline.Info,
		Meaning: "A link to another host broke or went silent; it is dialled anew.",
	})
)

// Links sends envelopes to other hosts and receives theirs. Fields are set
// before Run.
type Links struct {
	Members *Members
	Events  *timeline.Recorder
	// Listener accepts the other hosts' links.
	Listener net.Listener
	// Dial opens a connection to a host's address.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mutex     sync.Mutex
	links     map[string]*link
	receivers []func(from string, envelope *peerpb.Envelope)
	connected []func(host string)
	ctx       context.Context
	group     sync.WaitGroup
}

// Receive adds a receiver of the other hosts' envelopes. It is called in
// order for each sender.
func (links *Links) Receive(receiver func(from string, envelope *peerpb.Envelope)) {
	links.receivers = append(links.receivers, receiver)
}

// Connected adds a listener for links opened or opened anew; what was sent
// to the host before may be lost.
func (links *Links) Connected(listener func(host string)) {
	links.connected = append(links.connected, listener)
}

// Send queues an envelope for a host. To this host itself it is passed on at
// once, on another goroutine. It never blocks; what can't be queued is
// dropped.
func (links *Links) Send(host string, envelope *peerpb.Envelope) {
	link := links.link(host)
	if link == nil {
		return
	}
	select {
	case link.outbox <- envelope:
	default:
	}
}

// Run serves links until the context ends.
func (links *Links) Run(ctx context.Context) error {
	links.mutex.Lock()
	links.ctx = ctx
	links.mutex.Unlock()
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterLinks(mux, links); err != nil {
		return fmt.Errorf("register links: %w", err)
	}
	err := drpcserver.New(mux).Serve(ctx, links.Listener)
	links.group.Wait()
	if err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve links: %w", err)
	}
	return nil
}

// Exchange serves one link from another host.
func (links *Links) Exchange(stream peerpb.DRPCLinks_ExchangeStream) error {
	for {
		envelope, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("receive envelope: %w", err)
		}
		links.deliver(envelope.GetFrom(), envelope)
		if envelope.GetBeat() == 0 {
			continue
		}
		answer := &peerpb.Envelope{From: links.Members.Self.ID, Beat: envelope.GetBeat()}
		if err := stream.Send(answer); err != nil {
			return fmt.Errorf("answer heartbeat: %w", err)
		}
	}
}

func (links *Links) deliver(from string, envelope *peerpb.Envelope) {
	for _, receiver := range links.receivers {
		receiver(from, envelope)
	}
}

// link returns the running link to a host, nil before Run and after its end.
func (links *Links) link(host string) *link {
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.ctx == nil || links.ctx.Err() != nil {
		return nil
	}
	if links.links == nil {
		links.links = map[string]*link{}
	}
	found := links.links[host]
	if found == nil {
		found = &link{links: links, host: host, outbox: make(chan *peerpb.Envelope, outbox)}
		links.links[host] = found
		links.group.Go(func() { found.run(links.ctx) })
	}
	return found
}

// link is the sending side towards one host.
type link struct {
	links  *Links
	host   string
	outbox chan *peerpb.Envelope
}

func (link *link) run(ctx context.Context) {
	if link.host == link.links.Members.Self.ID {
		link.loop(ctx)
		return
	}
	for ctx.Err() == nil {
		err := link.connect(ctx)
		if err != nil && ctx.Err() == nil {
			event := timeline.Event{Peer: link.host, Detail: err.Error()}
			link.links.Events.Record(eventLinkDown, event)
		}
		pause(ctx, redial)
	}
}

// loop passes envelopes of the host to itself.
func (link *link) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case envelope := <-link.outbox:
			link.links.deliver(link.host, envelope)
		}
	}
}

func (link *link) connect(ctx context.Context) error {
	host, ok := link.links.Members.View().Find(link.host)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialing, stop := context.WithTimeout(ctx, silence)
	transport, err := link.links.Dial(dialing, host.Address)
	stop()
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	conn := drpcconn.New(transport)
	defer func() { _ = conn.Close() }()
	stream, err := peerpb.NewDRPCLinksClient(conn).Exchange(ctx)
	if err != nil {
		return fmt.Errorf("open exchange: %w", err)
	}
	link.links.Events.Record(eventLinkUp, timeline.Event{Peer: link.host})
	for _, listener := range link.links.connected {
		go listener(link.host)
	}
	answers := make(chan uint64, 1)
	go receiveBeats(ctx, stream, answers)
	return link.pump(ctx, stream, answers)
}

func receiveBeats(ctx context.Context, stream peerpb.DRPCLinks_ExchangeClient, answers chan<- uint64) {
	defer close(answers)
	for {
		envelope, err := stream.Recv()
		if err != nil {
			return
		}
		select {
		case answers <- envelope.GetBeat():
		case <-ctx.Done():
			return
		}
	}
}

func (link *link) pump(ctx context.Context, stream peerpb.DRPCLinks_ExchangeClient, answers <-chan uint64) error {
	self := link.links.Members.Self
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	heard := time.Now()
	var beat uint64
	for {
		var envelope *peerpb.Envelope
		select {
		case <-ctx.Done():
			return nil
		case _, ok := <-answers:
			if !ok {
				return fmt.Errorf("link closed by %s", link.host)
			}
			heard = time.Now()
			continue
		case <-ticker.C:
			if time.Since(heard) > silence {
				return fmt.Errorf("link silent for %s", time.Since(heard))
			}
			beat++
			envelope = &peerpb.Envelope{Beat: beat}
		case first := <-link.outbox:
			envelope = link.merge(first)
		}
		envelope.From = self.ID
		envelope.Zone = self.Zone
		envelope.Incarnation = self.Incarnation
		if err := stream.Send(envelope); err != nil {
			return fmt.Errorf("send envelope: %w", err)
		}
	}
}

// merge joins what already waits into one envelope.
func (link *link) merge(first *peerpb.Envelope) *peerpb.Envelope {
	merged := &peerpb.Envelope{}
	join(merged, first)
	for range batch {
		select {
		case next := <-link.outbox:
			join(merged, next)
		default:
			return merged
		}
	}
	return merged
}

func join(into, from *peerpb.Envelope) {
	into.Tickets = append(into.Tickets, from.Tickets...)
	into.Cancels = append(into.Cancels, from.Cancels...)
	into.Releases = append(into.Releases, from.Releases...)
	into.Progress = append(into.Progress, from.Progress...)
	into.Grants = append(into.Grants, from.Grants...)
	into.Refusals = append(into.Refusals, from.Refusals...)
	into.Targets = append(into.Targets, from.Targets...)
	into.Suspects = append(into.Suspects, from.Suspects...)
	into.Configurations = append(into.Configurations, from.Configurations...)
	into.Floors = append(into.Floors, from.Floors...)
	into.RecordCalls = append(into.RecordCalls, from.RecordCalls...)
	into.RecordReplies = append(into.RecordReplies, from.RecordReplies...)
	into.Handovers = append(into.Handovers, from.Handovers...)
	into.Holdings = append(into.Holdings, from.Holdings...)
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
