package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"nutmegfield.example/pause"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/timeline"
)

// link sends envelopes to one host over a connection that it dials again after
// a failure.
type link struct {
	links  *Links
	host   string
	cancel context.CancelFunc
	outbox chan *peerpb.Envelope
	// down is set from the first failure, which is recorded as an event, to the
	// next answer.
	down bool
}

func (link *link) run(ctx context.Context) {
	if link.host == link.links.Members.Self.ID {
		link.loopBack(ctx)
		return
	}
	wait := minRedialDelay
	for ctx.Err() == nil {
		err := link.connectAndSend(ctx)
		if ctx.Err() != nil {
			return
		}
		if !link.down {
			link.down = true
			wait = minRedialDelay
			link.links.Events.Record(eventLinkDown, timeline.Event{Peer: link.host, Detail: err.Error()})
		}
		pause.For(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, maxRedialDelay)
	}
}

// loopBack delivers envelopes that the host sends to itself.
func (link *link) loopBack(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case envelope := <-link.outbox:
			link.links.deliver(link.host, envelope)
		}
	}
}

// connectAndSend opens a connection and sends queued envelopes over it until it
// fails.
func (link *link) connectAndSend(ctx context.Context) error {
	host, known := link.links.Members.View().Find(link.host)
	if !known {
		return fmt.Errorf("host %s is not in the list of hosts", link.host)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialing, stop := context.WithTimeout(ctx, silenceTimeout)
	transport, err := link.links.Dial(dialing, host.Address)
	stop()
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	conn := drpcconn.NewWithOptions(&timeoutConn{Conn: transport}, drpcconn.Options{Manager: managerOptions})
	defer func() { _ = conn.Close() }()
	stream, err := peerpb.NewDRPCLinksClient(conn).Exchange(ctx)
	if err != nil {
		return fmt.Errorf("open exchange: %w", err)
	}
	encoder := link.links.newEncoder(link.host)
	// The stream opens with its first message, so that message is sent before
	// anything waits for an answer.
	if err := link.send(stream, encoder, &peerpb.Envelope{Beat: 1}); err != nil {
		return err
	}
	answers := make(chan uint64, 1)
	go receiveAnswers(ctx, stream, answers)
	return link.sendLoop(ctx, stream, encoder, answers)
}

func receiveAnswers(ctx context.Context, stream peerpb.DRPCLinks_ExchangeClient, answers chan<- uint64) {
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

// sendLoop sends heartbeats and, once the first is answered, queued envelopes
// until the link fails or the context ends.
func (link *link) sendLoop(ctx context.Context, stream peerpb.DRPCLinks_ExchangeClient, encoder *encoder, answers <-chan uint64) error {
	heartbeats := newHeartbeats(time.Now())
	timer := time.NewTimer(silenceTimeout)
	defer timer.Stop()
	var waiting <-chan *peerpb.Envelope
	for {
		var envelope *peerpb.Envelope
		select {
		case <-ctx.Done():
			return nil
		case number, ok := <-answers:
			if !ok {
				return fmt.Errorf("link was closed or silent for %s", idleTimeout)
			}
			heartbeats.recordAnswer(number)
			if waiting == nil {
				waiting = link.outbox
				link.recordUp()
			}
		case <-timer.C:
			if heartbeats.isAnswerOverdue(time.Now()) {
				return fmt.Errorf("heartbeat was not answered, link silent for %s", silenceTimeout)
			}
		case first := <-waiting:
			envelope = link.mergeQueued(first)
		}
		if err := link.sendWithHeartbeat(heartbeats, stream, encoder, envelope); err != nil {
			return err
		}
		timer.Reset(time.Until(heartbeats.nextCheck()))
	}
}

// sendWithHeartbeat sends an envelope and adds a heartbeat to it if one is due.
// If the envelope is nil, it sends a heartbeat alone if one is due.
func (link *link) sendWithHeartbeat(heartbeats *heartbeats, stream peerpb.DRPCLinks_ExchangeClient, encoder *encoder, envelope *peerpb.Envelope) error {
	heartbeats.confirm(encoder.confirmed.Load())
	now := time.Now()
	if heartbeats.isDue(now) {
		if envelope == nil {
			envelope = &peerpb.Envelope{}
		}
		envelope.Beat = heartbeats.start(now)
	}
	if envelope == nil {
		return nil
	}
	if err := link.send(stream, encoder, envelope); err != nil {
		return err
	}
	if envelope.GetBeat() == 0 {
		heartbeats.recordSent(now, envelope, encoder.sequence)
	}
	return nil
}

// recordUp records that the link is open and notifies the OnConnected callbacks.
func (link *link) recordUp() {
	link.down = false
	link.links.Events.Record(eventLinkUp, timeline.Event{Peer: link.host})
	for _, listener := range link.links.connectionListeners {
		go listener(link.host)
	}
}

// send encodes and sends an envelope. It drops and counts one that is larger than
// maxMessageBytes, without an error.
func (link *link) send(stream peerpb.DRPCLinks_ExchangeClient, encoder *encoder, envelope *peerpb.Envelope) error {
	if proto.Size(envelope) > maxMessageBytes {
		linkCounts.Add("dropped", 1)
		return nil
	}
	if err := stream.Send(encoder.encode(envelope)); err != nil {
		return fmt.Errorf("send envelope: %w", err)
	}
	linkCounts.Add("sent", 1)
	return nil
}

// mergeQueued returns one envelope with the messages of the given envelope and
// of those queued after it, up to maxBatch envelopes.
func (link *link) mergeQueued(first *peerpb.Envelope) *peerpb.Envelope {
	merged := &peerpb.Envelope{}
	appendMessages(merged, first)
	size := proto.Size(first)
	for range maxBatch - 1 {
		if size > fullBatchBytes {
			return merged
		}
		select {
		case next := <-link.outbox:
			appendMessages(merged, next)
			size += proto.Size(next)
		default:
			return merged
		}
	}
	return merged
}

func appendMessages(into, from *peerpb.Envelope) {
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
