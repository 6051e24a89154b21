package peer

import (
	"fmt"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"nutmegfield.example/listener"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/timeline"
)

// maxRefusedSenders is the most names whose refusal is recorded as an event.
const maxRefusedSenders = 1024

// Exchange serves one link from another host: it delivers its envelopes and
// answers its heartbeats. It returns an error when the sender is not in the
// list of hosts, uses another format or changes its name. To keep a sender's
// envelopes in order, it also fails once the sender has opened a newer stream.
func (links *Links) Exchange(stream peerpb.DRPCLinks_ExchangeStream) error {
	first, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("receive envelope: %w", err)
	}
	conn := boundedConn(stream)
	from := first.GetFrom()
	if first.GetFormat() != wireFormat {
		return links.refuse(from, fmt.Sprintf("sender uses format %d, this host uses %d", first.GetFormat(), wireFormat))
	}
	number, decoder := links.startStream(from, first.GetStream())
	for envelope := first; ; {
		if err := links.checkSender(from, number, envelope); err != nil {
			return err
		}
		linkCounts.Add("received", 1)
		conn.EndMessage()
		if err := decoder.decode(envelope); err != nil {
			return links.refuse(from, err.Error())
		}
		links.deliver(from, envelope)
		if err := links.answerHeartbeat(stream, envelope.GetBeat()); err != nil {
			return err
		}
		if envelope, err = stream.Recv(); err != nil {
			return fmt.Errorf("receive envelope: %w", err)
		}
	}
}

// boundedConn returns the connection of a stream, nil if it is not bounded.
func boundedConn(stream drpc.Stream) *listener.Conn {
	transport, _ := drpcctx.Transport(stream.Context())
	if conn, ok := transport.(*timeoutConn); ok {
		bounded, _ := conn.Conn.(*listener.Conn)
		return bounded
	}
	return nil
}

func (links *Links) answerHeartbeat(stream peerpb.DRPCLinks_ExchangeStream, beat uint64) error {
	if beat == 0 {
		return nil
	}
	if err := stream.Send(&peerpb.Envelope{Beat: beat}); err != nil {
		return fmt.Errorf("answer heartbeat: %w", err)
	}
	return nil
}

// startStream registers a new stream and returns its number, counted per
// sender, and its decoder. It returns 0 for a host that is not in the list.
func (links *Links) startStream(from string, stream uint64) (uint64, *decoder) {
	if _, known := links.Members.View().Find(from); !known {
		return 0, nil
	}
	accepted := &decoder{
		stream:   stream,
		sender:   from,
		self:     links.Members.Self.ID,
		outgoing: func() *encoder { return links.encoderTo(from) },
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.streamCounts == nil {
		links.streamCounts = map[string]uint64{}

	}
	links.streamCounts[from]++
	if links.decoders == nil {
		links.decoders = map[string]*decoder{}
	}
	links.decoders[from] = accepted
	return links.streamCounts[from], accepted
}

// checkSender refuses an envelope with another host's name or from a host that
// is not in the list, and fails with Superseded if its stream is not the
// sender's newest.
func (links *Links) checkSender(from string, number uint64, envelope *peerpb.Envelope) error {
	if name := envelope.GetFrom(); name != from && name != "" {
		return links.refuse(envelope.GetFrom(), "envelope arrived on the link of "+from)
	}
	if _, known := links.Members.View().Find(from); !known || number == 0 {
		return links.refuse(from, "sender is not in the list of hosts")
	}
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.streamCounts[from] != number {
		return Superseded.New("%s opened a newer stream", from)
	}
	return nil
}

// refuse counts a refusal, records an event if it is the first for the name, and
// returns the error.
func (links *Links) refuse(name, reason string) error {
	linkCounts.Add("refused", 1)
	// Any sender may choose it, of up to the length of a message.
	name = timeline.ShortID(name)
	links.mutex.Lock()
	defer links.mutex.Unlock()
	if links.refusedSenders == nil {
		links.refusedSenders = map[string]struct{}{}
	}
	if _, recorded := links.refusedSenders[name]; !recorded && len(links.refusedSenders) < maxRefusedSenders {
		links.refusedSenders[name] = struct{}{}
		links.Events.Record(eventLinkRefused, timeline.Event{Peer: name, Detail: reason})
	}
	return Refused.New("%q: %s", name, reason)
}
