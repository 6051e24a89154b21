package peer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"nutmegfield.example/peer/peerpb"
)

// streamPair holds the streams of two hosts to each other.
type streamPair struct {
	encoders map[string]*encoder
	decoders map[string]*decoder
}

func newStreamPair() *streamPair {
	streamPair := &streamPair{encoders: map[string]*encoder{}, decoders: map[string]*decoder{}}
	streamPair.restart("a", "b", 1)
	streamPair.restart("b", "a", 1)
	return streamPair
}

// restart begins a new stream of a host.
func (streamPair *streamPair) restart(from, to string, stream uint64) {
	streamPair.encoders[from] = &encoder{
		stream: stream, self: Host{ID: from, Zone: "z", Incarnation: 1}, receiver: to,
		incoming: func() *decoder { return streamPair.decoders[to] },
	}
	streamPair.decoders[from] = &decoder{stream: stream, sender: from, self: to, outgoing: func() *encoder { return streamPair.encoders[to] }}
}

// transfer sends an envelope from a host and returns what the other one
// decodes.
func (streamPair *streamPair) transfer(from string, plain *peerpb.Envelope) (*peerpb.Envelope, error) {
	raw, err := proto.Marshal(streamPair.encoders[from].encode(plain))
	if err != nil {
		return nil, err
	}
	read := &peerpb.Envelope{}
	if err := proto.Unmarshal(raw, read); err != nil {
		return nil, err
	}
	return read, streamPair.decoders[from].decode(read)
}

// withoutHeader clears the fields that encode adds to describe the stream.
func withoutHeader(envelope *peerpb.Envelope) *peerpb.Envelope {
	envelope.From, envelope.Zone, envelope.Incarnation = "", "", 0
	envelope.Format, envelope.Stream, envelope.Forget, envelope.Answers = 0, 0, false, 0
	return envelope
}

// generator draws random envelopes.
type generator struct{ t *rapid.T }

func (generator generator) id() []byte {
	return append(make([]byte, 15), rapid.ByteRange(1, 4).Draw(generator.t, "id"))
}

func (generator generator) name() string {
	return rapid.SampledFrom([]string{"", "a", "design-model", "design-model", "design-model", string(make([]byte, maxNameBytes+1))}).Draw(generator.t, "name")
}

func (generator generator) count() uint32 { return rapid.Uint32().Draw(generator.t, "count") }

func (generator generator) number() uint64 {
	return 1<<50 + rapid.Uint64Range(0, 2).Draw(generator.t, "number")
}

// span draws a time of whole milliseconds, in microseconds.
func (generator generator) span() int64 {
	return 1000 * rapid.OneOf(rapid.Just(int64(0)), rapid.Just(int64(7)), rapid.Int64Range(0, int64(time.Hour/time.Millisecond))).Draw(generator.t, "span")
}

func (generator generator) grant() *peerpb.Grant {
	return &peerpb.Grant{
		Id: generator.id(), Pool: generator.name(), Round: generator.count(), Target: generator.name(),
		Scheduler: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(generator.t, "scheduler"),
		Number:    generator.number(), CachedTokens: generator.count(), Lifetime: generator.span(),
	}
}

func (generator generator) ticket() *peerpb.Ticket {
	ticket := &peerpb.Ticket{
		Id: generator.id(), Pool: generator.name(), Workspace: generator.name(), Tier: generator.count(), Remaining: generator.span(),
		PromptTokens: generator.count(), OutputTokens: generator.count(), Fingerprint: uint64(generator.count() % 3), Round: generator.count(),
	}
	if rapid.Bool().Draw(generator.t, "held") {
		ticket.Held = generator.grant()
	}
	if rapid.Bool().Draw(generator.t, "grid") {
		ticket.PrefixTokens = gridTokens(64*rapid.Uint32Range(1, 99).Draw(generator.t, "blocks"), 16)
	} else {
		ticket.PrefixTokens = rapid.SliceOfN(rapid.Uint32(), 2, 5).Draw(generator.t, "tokens")
	}
	ticket.PrefixHashes = make([]uint32, len(ticket.PrefixTokens))
	return ticket
}

func (generator generator) release() *peerpb.Release {
	return &peerpb.Release{
		Id: generator.id(), Pool: generator.name(), Target: generator.name(), Number: generator.number(),
		Scheduler: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(generator.t, "scheduler"),
		End:       generator.count(), PromptTokens: generator.count(), CachedTokens: generator.count(), OutputTokens: generator.count(),
		FirstToken: generator.span(), Total: generator.span(), Fingerprint: uint64(generator.count() % 3),
	}
}

func (generator generator) envelope() *peerpb.Envelope {
	envelope := &peerpb.Envelope{}
	for range rapid.IntRange(0, 4).Draw(generator.t, "messages") {
		switch rapid.IntRange(0, 4).Draw(generator.t, "kind") {
		case 0:
			envelope.Tickets = append(envelope.Tickets, generator.ticket())
		case 1:
			envelope.Grants = append(envelope.Grants, generator.grant())
		case 2:
			envelope.Progress = append(envelope.Progress, &peerpb.Progress{
				Id: generator.id(), Pool: generator.name(), Target: generator.name(), Number: generator.number(), FirstToken: generator.span(),
			})
		case 3:
			envelope.Releases = append(envelope.Releases, generator.release())
		case 4:
			envelope.Holdings = append(envelope.Holdings, &peerpb.Holdings{Pool: generator.name(), Numbers: []uint64{1, 2}})
		}
	}
	return envelope
}

// TestEncodeDecode checks that any mixture of messages in both directions is
// decoded as it was sent, and that encoding leaves its argument unchanged.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		streamPair, generator := newStreamPair(), generator{t}
		for range rapid.IntRange(1, 30).Draw(t, "envelopes") {
			plain := generator.envelope()
			kept := proto.CloneOf(plain)
			read, err := streamPair.transfer(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "from"), plain)
			if err != nil {
				t.Fatal(err)
			}
			if !proto.Equal(withoutHeader(read), kept) || !proto.Equal(plain, kept) {
				t.Fatalf("sent %v\nread %v\nleft %v", kept, read, plain)
			}
		}
	})
}

func idBytes(number int) []byte {
	return fmt.Appendf(nil, "%016d", number)
}

// TestTicketHistoryIsBounded checks that both ends keep the same latest
// tickets, and that messages about older ones are written out.
func TestTicketHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	streamPair := newStreamPair()
	for number := range 3 * maxTickets {
		_, err := streamPair.transfer("a", &peerpb.Envelope{Tickets: []*peerpb.Ticket{{Id: idBytes(number), Pool: "p"}}})
		c.Assert(err, qt.IsNil)
		old := max(0, number-maxTickets-1+number%3)
		read, err := streamPair.transfer("a", &peerpb.Envelope{Releases: []*peerpb.Release{{Id: idBytes(old), Pool: "p", Target: "t", Number: uint64(old), Scheduler: "b"}}})
		c.Assert(err, qt.IsNil)
		c.Assert(string(read.GetReleases()[0].GetId()), qt.Equals, string(idBytes(old)))
		read, err = streamPair.transfer("b", &peerpb.Envelope{Grants: []*peerpb.Grant{{Id: idBytes(old), Pool: "p", Target: "t", Number: uint64(old), Scheduler: "b"}}})
		c.Assert(err, qt.IsNil)
		c.Assert(string(read.GetGrants()[0].GetId()), qt.Equals, string(idBytes(old)))
	}
	c.Check(len(streamPair.encoders["a"].tickets.numbers), qt.Equals, maxTickets)
}

// TestOnlyFirstGrantIsReferenced checks that messages about a later grant of a
// ticket are written out. A reference would be resolved to the first grant.
func TestOnlyFirstGrantIsReferenced(t *testing.T) {
	c := qt.New(t)
	streamPair := newStreamPair()
	grants := func(number uint64) *peerpb.Envelope {
		return &peerpb.Envelope{Grants: []*peerpb.Grant{{Id: idBytes(1), Pool: "p", Target: "t", Scheduler: "b", Number: number}}}
	}
	release := func(number uint64) {
		read, err := streamPair.transfer("a", &peerpb.Envelope{Releases: []*peerpb.Release{{Id: idBytes(1), Pool: "p", Target: "t", Scheduler: "b", Number: number}}})
		c.Assert(err, qt.IsNil)
		c.Check(read.GetReleases()[0].GetNumber(), qt.Equals, number)
	}
	_, err := streamPair.transfer("a", &peerpb.Envelope{Tickets: []*peerpb.Ticket{{Id: idBytes(1), Pool: "p"}}})
	c.Assert(err, qt.IsNil)
	first, second := streamPair.encoders["b"].encode(grants(7)), streamPair.encoders["b"].encode(grants(8))
	c.Check(first.GetGrants()[0].GetReference(), qt.Equals, uint64(1))
	c.Check(second.GetGrants()[0].GetReference(), qt.Equals, uint64(0))
	release(7)
	c.Assert(streamPair.decoders["b"].decode(first), qt.IsNil)
	c.Assert(streamPair.decoders["b"].decode(second), qt.IsNil)
	release(7)
	release(8)
}

// TestDictionaryIsBounded checks that the dictionary does not exceed maxNames.
func TestDictionaryIsBounded(t *testing.T) {
	c := qt.New(t)
	streamPair := newStreamPair()
	for number := range 3 * maxNames {
		workspace := fmt.Sprint("workspace ", number)
		read, err := streamPair.transfer("a", &peerpb.Envelope{Tickets: []*peerpb.Ticket{{Id: idBytes(number), Pool: "p", Workspace: workspace}}})
		c.Assert(err, qt.IsNil)
		c.Assert(read.GetTickets()[0].GetWorkspace(), qt.Equals, workspace)
		c.Assert(read.GetTickets()[0].GetPool(), qt.Equals, "p")
		c.Assert(len(streamPair.decoders["a"].names) <= maxNames, qt.IsTrue)
	}
}

// TestGrantForOldStreamIsDropped guards against a reference to a ticket of an
// earlier stream being resolved to another ticket of the current one.
func TestGrantForOldStreamIsDropped(t *testing.T) {
	c := qt.New(t)
	streamPair := newStreamPair()
	_, err := streamPair.transfer("a", &peerpb.Envelope{Tickets: []*peerpb.Ticket{{Id: idBytes(1), Pool: "p"}}})
	c.Assert(err, qt.IsNil)
	grant := &peerpb.Envelope{Grants: []*peerpb.Grant{{Id: idBytes(1), Pool: "p", Target: "t", Scheduler: "b"}}}
	late := streamPair.encoders["b"].encode(grant)
	streamPair.restart("a", "b", 2)
	_, err = streamPair.transfer("a", &peerpb.Envelope{Tickets: []*peerpb.Ticket{{Id: idBytes(2), Pool: "p"}}})
	c.Assert(err, qt.IsNil)
	c.Assert(streamPair.decoders["b"].decode(late), qt.IsNil)
	c.Check(late.GetGrants(), qt.HasLen, 0)
	read, err := streamPair.transfer("b", &peerpb.Envelope{Grants: []*peerpb.Grant{{Id: idBytes(2), Pool: "p", Target: "t", Scheduler: "b"}, {Id: idBytes(1), Pool: "p", Target: "t", Scheduler: "b"}}})
	c.Assert(err, qt.IsNil)
	c.Check(string(read.GetGrants()[0].GetId()), qt.Equals, string(idBytes(2)))
	c.Check(string(read.GetGrants()[1].GetId()), qt.Equals, string(idBytes(1)))
}

// TestInvalidEnvelopeIsRefused checks the error for each violation of the wire
// format.
func TestInvalidEnvelopeIsRefused(t *testing.T) {
	id := make([]byte, 16)
	long := make([]string, maxNames+1)
	for i := range long {
		long[i] = "n"
	}
	for want, envelope := range map[string]*peerpb.Envelope{
		"name has 0 bytes":                                     {Names: []string{""}},
		"name has 257 bytes":                                   {Names: []string{string(make([]byte, 257))}},
		"dictionary has more than 4096 names":                  {Names: long},
		"name number 1 is not in the dictionary of 0 names":    {Tickets: []*peerpb.Ticket{{Id: id, PoolNumber: 1}}},
		"name number 2 is not in the dictionary of 1 names":    {Names: []string{"n"}, Grants: []*peerpb.Grant{{Id: id, TargetNumber: 2}}},
		"name number 9 is not in the dictionary of 0 names":    {Holdings: []*peerpb.Holdings{{PoolNumber: 9}}},
		"reference 1 is not among the 0 tickets of the stream": {Progress: []*peerpb.Progress{{Reference: 1}}},
		"reference 2 is not among the 1 tickets of the stream": {Tickets: []*peerpb.Ticket{{Id: id}}, Releases: []*peerpb.Release{{Reference: 2}}},
		"request id has 15 bytes":                              {Tickets: []*peerpb.Ticket{{Id: id[1:]}}},
		"request id has 0 bytes":                               {Releases: []*peerpb.Release{{}}},
		"reference 1 is to a ticket without a grant":           {Tickets: []*peerpb.Ticket{{Id: id}}, Releases: []*peerpb.Release{{Reference: 1}}},
		"held grant has a reference":                           {Tickets: []*peerpb.Ticket{{Id: id, Held: &peerpb.Grant{Reference: 1}}}},
		"ticket has 65 prefixes":                               {Tickets: []*peerpb.Ticket{{Id: id, PrefixHashes: make([]uint32, 65), PrefixTokens: []uint32{64}}}},
		"ticket has 1 prefix lengths for 2 prefixes":           {Tickets: []*peerpb.Ticket{{Id: id, PrefixHashes: make([]uint32, 2), PrefixTokens: []uint32{65}}}},
	} {
		err := newStreamPair().decoders["a"].decode(envelope)
		qt.Check(t, err, qt.ErrorMatches, "peer.garbled: "+want)
		qt.Check(t, Is(err, Garbled), qt.IsTrue)
	}
}

// TestOtherFormat checks that a host that sends another format, or violates
// this one, is refused.
func TestOtherFormat(t *testing.T) {
	runTwoHosts(t, func(t *testing.T, pipes *pipes, _, b *peerHost) {
		for _, other := range []struct {
			envelope *peerpb.Envelope
			want     string
		}{
			{&peerpb.Envelope{From: "a", Format: wireFormat + 1}, `.*peer.refused: "a": sender uses format 2, this host uses 1.*`},
			{&peerpb.Envelope{From: "a"}, `.*peer.refused: "a": sender uses format 0, this host uses 1.*`},
			{&peerpb.Envelope{From: "a", Format: wireFormat, Progress: []*peerpb.Progress{{Reference: 1}}}, `.*peer.refused: "a": peer.garbled: reference 1 is not among the 0 tickets of the stream.*`},
		} {
			stream, end := openStream(t, pipes)
			other.envelope.Cancels = []*peerpb.Cancel{{Pool: "never"}}
			qt.Assert(t, stream.Send(other.envelope), qt.IsNil)
			_, err := stream.Recv()
			qt.Check(t, err, qt.ErrorMatches, other.want)
			end()
		}
		qt.Check(t, b.takeReceived(), qt.HasLen, 0)
		qt.Check(t, countEvents(b, eventLinkRefused), qt.Equals, 1)
	})
}

// FuzzEnvelope passes envelopes to a decoder. Each must be decoded or refused,
// the decoder's dictionary and tickets must stay within their limits, and a
// decoded envelope must survive another encoding without losing messages.
func FuzzEnvelope(f *testing.F) {
	id := make([]byte, 16)
	for _, plain := range []*peerpb.Envelope{
		{Tickets: []*peerpb.Ticket{{Id: id, Pool: "p", Workspace: "w", PrefixHashes: make([]uint32, 4), PrefixTokens: []uint32{64, 128, 192, 256}}}},
		{Grants: []*peerpb.Grant{{Id: id, Pool: "p", Target: "t", Scheduler: "c", Number: 1}}},
		{Releases: []*peerpb.Release{{Id: id, Pool: "p", Target: "t"}}, Holdings: []*peerpb.Holdings{{Pool: "p"}}},
	} {
		raw, err := proto.Marshal(newStreamPair().encoders["a"].encode(plain))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, raw)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		streamPair := newStreamPair()
		for _, raw := range [][]byte{first, second} {
			envelope := &peerpb.Envelope{}
			if proto.Unmarshal(raw, envelope) != nil || streamPair.decoders["a"].decode(envelope) != nil {
				return
			}
			if len(streamPair.decoders["a"].names) > maxNames || len(streamPair.decoders["a"].tickets.ring) > maxTickets {
				t.Fatal("decoder keeps more than the limit")
			}
			decoded, err := newStreamPair().transfer("a", proto.CloneOf(envelope))
			if err != nil {
				t.Fatalf("%v sent on: %v", envelope, err)
			}
			if len(decoded.GetTickets()) != len(envelope.GetTickets()) || len(decoded.GetReleases()) != len(envelope.GetReleases()) {
				t.Fatal("messages lost")
			}
		}
	})
}
