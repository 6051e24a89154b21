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

// wired are two hosts' streams to each other.
type wired struct {
	out map[string]*outward
	ins map[string]*inward
}

func newWired() *wired {
	wired := &wired{out: map[string]*outward{}, ins: map[string]*inward{}}
	wired.renew("a", "b", 1)
	wired.renew("b", "a", 1)
	return wired
}

// renew begins a new stream of a host.
func (wired *wired) renew(from, to string, stream uint64) {
	wired.out[from] = &outward{
		stream: stream, self: Host{ID: from, Zone: "z", Incarnation: 1}, receiver: to,
		heard: func() *inward { return wired.ins[to] },
	}
	wired.ins[from] = &inward{stream: stream, from: from, self: to, sent: func() *outward { return wired.out[to] }}
}

// pass sends an envelope from a host and returns what the other reads.
func (wired *wired) pass(from string, plain *peerpb.Envelope) (*peerpb.Envelope, error) {
	raw, err := proto.Marshal(wired.out[from].envelope(plain))
	if err != nil {
		return nil, err
	}
	read := &peerpb.Envelope{}
	if err := proto.Unmarshal(raw, read); err != nil {
		return nil, err
	}
	return read, wired.ins[from].envelope(read)
}

// bare is an envelope without what is said once a stream.
func bare(envelope *peerpb.Envelope) *peerpb.Envelope {
	envelope.From, envelope.Zone, envelope.Incarnation = "", "", 0
	envelope.Format, envelope.Stream, envelope.Forget, envelope.Answers = 0, 0, false, 0
	return envelope
}

// messages draws envelopes.
type messages struct{ t *rapid.T }

func (draw messages) id() []byte {
	return append(make([]byte, 15), rapid.ByteRange(1, 4).Draw(draw.t, "id"))
}

func (draw messages) name() string {
	return rapid.SampledFrom([]string{"", "a", "design-model", "design-model", "design-model", string(make([]byte, nameBytes+1))}).Draw(draw.t, "name")
}

func (draw messages) count() uint32 { return rapid.Uint32().Draw(draw.t, "count") }

func (draw messages) number() uint64 { return 1<<50 + rapid.Uint64Range(0, 2).Draw(draw.t, "number") }

// span is a number of whole milliseconds, in microseconds.
func (draw messages) span() int64 {
	return 1000 * rapid.OneOf(rapid.Just(int64(0)), rapid.Just(int64(7)), rapid.Int64Range(0, int64(time.Hour/time.Millisecond))).Draw(draw.t, "span")
}

func (draw messages) grant() *peerpb.Grant {
	return &peerpb.Grant{
		Id: draw.id(), Pool: draw.name(), Round: draw.count(), Target: draw.name(),
		Scheduler: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(draw.t, "scheduler"),
		Number:    draw.number(), CachedTokens: draw.count(), Lifetime: draw.span(),
	}
}

func (draw messages) ticket() *peerpb.Ticket {
	ticket := &peerpb.Ticket{
		Id: draw.id(), Pool: draw.name(), Workspace: draw.name(), Tier: draw.count(), Remaining: draw.span(),
		PromptTokens: draw.count(), OutputTokens: draw.count(), Fingerprint: uint64(draw.count() % 3), Round: draw.count(),
	}
	if rapid.Bool().Draw(draw.t, "held") {
		ticket.Held = draw.grant()
	}
	if rapid.Bool().Draw(draw.t, "grid") {
		ticket.PrefixTokens = gridTokens(64*rapid.Uint32Range(1, 99).Draw(draw.t, "blocks"), 16)
	} else {
		ticket.PrefixTokens = rapid.SliceOfN(rapid.Uint32(), 2, 5).Draw(draw.t, "tokens")
	}
	ticket.PrefixHashes = make([]uint32, len(ticket.PrefixTokens))
	return ticket
}

func (draw messages) release() *peerpb.Release {
	return &peerpb.Release{
		Id: draw.id(), Pool: draw.name(), Target: draw.name(), Number: draw.number(),
		Scheduler: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(draw.t, "scheduler"),
		End:       draw.count(), PromptTokens: draw.count(), CachedTokens: draw.count(), OutputTokens: draw.count(),
		FirstToken: draw.span(), Total: draw.span(), Fingerprint: uint64(draw.count() % 3),
	}
}

func (draw messages) envelope() *peerpb.Envelope {
	envelope := &peerpb.Envelope{}
	for range rapid.IntRange(0, 4).Draw(draw.t, "messages") {
		switch rapid.IntRange(0, 4).Draw(draw.t, "kind") {
		case 0:
			envelope.Tickets = append(envelope.Tickets, draw.ticket())
		case 1:
			envelope.Grants = append(envelope.Grants, draw.grant())
		case 2:
			envelope.Progress = append(envelope.Progress, &peerpb.Progress{
				Id: draw.id(), Pool: draw.name(), Target: draw.name(), Number: draw.number(), FirstToken: draw.span(),
			})
		case 3:
			envelope.Releases = append(envelope.Releases, draw.release())
		case 4:
			envelope.Holdings = append(envelope.Holdings, &peerpb.Holdings{Pool: draw.name(), Numbers: []uint64{1, 2}})
		}
	}
	return envelope
}

// TestCompact: what is read is what was sent, over both streams and in any
// mixture, and what was given to be sent stays as it was.
func TestCompact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wired, draw := newWired(), messages{t}
		for range rapid.IntRange(1, 30).Draw(t, "envelopes") {
			plain := draw.envelope()
			kept := proto.CloneOf(plain)
			read, err := wired.pass(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "from"), plain)
			if err != nil {
				t.Fatal(err)
			}
			if !proto.Equal(bare(read), kept) || !proto.Equal(plain, kept) {
				t.Fatalf("sent %v\nread %v\nleft %v", kept, read, plain)
			}
		}
	})
}

func numbered(number int) []byte {
	return fmt.Appendf(nil, "%016d", number)
}

// TestManyTickets: references end with the tickets that are kept, on both
// sides alike.
func TestManyTickets(t *testing.T) {
	c := qt.New(t)
	wired := newWired()
	for number := range 3 * streamTickets {
		_, err := wired.pass("a", &peerpb.Envelope{Tickets: []*peerpb.Ticket{{Id: numbered(number), Pool: "p"}}})
		c.Assert(err, qt.IsNil)
		old := max(0, number-streamTickets-1+number%3)
		read, err := wired.pass("a", &peerpb.Envelope{Releases: []*peerpb.Release{{Id: numbered(old), Pool: "p", Target: "t", Number: uint64(old), Scheduler: "b"}}})
		c.Assert(err, qt.IsNil)
		c.Assert(string(read.GetReleases()[0].GetId()), qt.Equals, string(numbered(old)))
		read, err = wired.pass("b", &peerpb.Envelope{Grants: []*peerpb.Grant{{Id: numbered(old), Pool: "p", Target: "t", Number: uint64(old), Scheduler: "b"}}})
		c.Assert(err, qt.IsNil)
		c.Assert(string(read.GetGrants()[0].GetId()), qt.Equals, string(numbered(old)))
	}
	c.Check(len(wired.out["a"].tickets.numbers), qt.Equals, streamTickets)
}

// TestSecondGrant: what is said of another grant than the ticket's first names
// it, so that the two are not mixed up on the way.
func TestSecondGrant(t *testing.T) {
	c := qt.New(t)
	wired := newWired()
	grants := func(number uint64) *peerpb.Envelope {
		return &peerpb.Envelope{Grants: []*peerpb.Grant{{Id: numbered(1), Pool: "p", Target: "t", Scheduler: "b", Number: number}}}
	}
	release := func(number uint64) {
		read, err := wired.pass("a", &peerpb.Envelope{Releases: []*peerpb.Release{{Id: numbered(1), Pool: "p", Target: "t", Scheduler: "b", Number: number}}})
		c.Assert(err, qt.IsNil)
		c.Check(read.GetReleases()[0].GetNumber(), qt.Equals, number)
	}
	_, err := wired.pass("a", &peerpb.Envelope{Tickets: []*peerpb.Ticket{{Id: numbered(1), Pool: "p"}}})
	c.Assert(err, qt.IsNil)
	first, second := wired.out["b"].envelope(grants(7)), wired.out["b"].envelope(grants(8))
	c.Check(first.GetGrants()[0].GetReference(), qt.Equals, uint64(1))
	c.Check(second.GetGrants()[0].GetReference(), qt.Equals, uint64(0))
	release(7)
	c.Assert(wired.ins["b"].envelope(first), qt.IsNil)
	c.Assert(wired.ins["b"].envelope(second), qt.IsNil)
	release(7)
	release(8)
}

// TestManyNames: the dictionary stays within its bound.
func TestManyNames(t *testing.T) {
	c := qt.New(t)
	wired := newWired()
	for number := range 3 * streamNames {
		workspace := fmt.Sprint("workspace ", number)
		read, err := wired.pass("a", &peerpb.Envelope{Tickets: []*peerpb.Ticket{{Id: numbered(number), Pool: "p", Workspace: workspace}}})
		c.Assert(err, qt.IsNil)
		c.Assert(read.GetTickets()[0].GetWorkspace(), qt.Equals, workspace)
		c.Assert(read.GetTickets()[0].GetPool(), qt.Equals, "p")
		c.Assert(len(wired.ins["a"].names) <= streamNames, qt.IsTrue)
	}
}

// TestRenewedStream: a grant for a ticket of an earlier stream is left out, not
// taken for another ticket's.
func TestRenewedStream(t *testing.T) {
	c := qt.New(t)
	wired := newWired()
	_, err := wired.pass("a", &peerpb.Envelope{Tickets: []*peerpb.Ticket{{Id: numbered(1), Pool: "p"}}})
	c.Assert(err, qt.IsNil)
	grant := &peerpb.Envelope{Grants: []*peerpb.Grant{{Id: numbered(1), Pool: "p", Target: "t", Scheduler: "b"}}}
	late := wired.out["b"].envelope(grant)
	wired.renew("a", "b", 2)
	_, err = wired.pass("a", &peerpb.Envelope{Tickets: []*peerpb.Ticket{{Id: numbered(2), Pool: "p"}}})
	c.Assert(err, qt.IsNil)
	c.Assert(wired.ins["b"].envelope(late), qt.IsNil)
	c.Check(late.GetGrants(), qt.HasLen, 0)
	read, err := wired.pass("b", &peerpb.Envelope{Grants: []*peerpb.Grant{{Id: numbered(2), Pool: "p", Target: "t", Scheduler: "b"}, {Id: numbered(1), Pool: "p", Target: "t", Scheduler: "b"}}})
	c.Assert(err, qt.IsNil)
	c.Check(string(read.GetGrants()[0].GetId()), qt.Equals, string(numbered(2)))
	c.Check(string(read.GetGrants()[1].GetId()), qt.Equals, string(numbered(1)))
}

// TestGarbled: an envelope that no host of this format sends is refused.
func TestGarbled(t *testing.T) {
	id := make([]byte, 16)
	long := make([]string, streamNames+1)
	for i := range long {
		long[i] = "n"
	}
	for want, envelope := range map[string]*peerpb.Envelope{
		"a name of 0 bytes":                       {Names: []string{""}},
		"a name of 257 bytes":                     {Names: []string{string(make([]byte, 257))}},
		"more than 4096 names":                    {Names: long},
		"name 1 of 0":                             {Tickets: []*peerpb.Ticket{{Id: id, PoolNumber: 1}}},
		"name 2 of 1":                             {Names: []string{"n"}, Grants: []*peerpb.Grant{{Id: id, TargetNumber: 2}}},
		"name 9 of 0":                             {Holdings: []*peerpb.Holdings{{PoolNumber: 9}}},
		"reference 1 of 0 tickets":                {Progress: []*peerpb.Progress{{Reference: 1}}},
		"reference 2 of 1 tickets":                {Tickets: []*peerpb.Ticket{{Id: id}}, Releases: []*peerpb.Release{{Reference: 2}}},
		"an id of 15 bytes":                       {Tickets: []*peerpb.Ticket{{Id: id[1:]}}},
		"an id of 0 bytes":                        {Releases: []*peerpb.Release{{}}},
		"reference 1 to a ticket without a grant": {Tickets: []*peerpb.Ticket{{Id: id}}, Releases: []*peerpb.Release{{Reference: 1}}},
		"a held grant with a reference":           {Tickets: []*peerpb.Ticket{{Id: id, Held: &peerpb.Grant{Reference: 1}}}},
		"65 prefixes":                             {Tickets: []*peerpb.Ticket{{Id: id, PrefixHashes: make([]uint32, 65), PrefixTokens: []uint32{64}}}},
		"1 lengths of 2 prefixes":                 {Tickets: []*peerpb.Ticket{{Id: id, PrefixHashes: make([]uint32, 2), PrefixTokens: []uint32{65}}}},
	} {
		err := newWired().ins["a"].envelope(envelope)
		qt.Check(t, err, qt.ErrorMatches, "peer.garbled: "+want)
		qt.Check(t, Is(err, Garbled), qt.IsTrue)
	}
}

// TestOtherFormat: a host that speaks another format is refused, and so is one
// that sends what nobody of this format does.
func TestOtherFormat(t *testing.T) {
	twoHosts(t, func(t *testing.T, pipes *pipes, _, b *peerHost) {
		for _, other := range []struct {
			envelope *peerpb.Envelope
			want     string
		}{
			{&peerpb.Envelope{From: "a", Format: wireFormat + 1}, `.*peer.refused: "a": it speaks format 2, this host 1.*`},
			{&peerpb.Envelope{From: "a"}, `.*peer.refused: "a": it speaks format 0, this host 1.*`},
			{&peerpb.Envelope{From: "a", Format: wireFormat, Progress: []*peerpb.Progress{{Reference: 1}}}, `.*peer.refused: "a": peer.garbled: reference 1 of 0 tickets.*`},
		} {
			stream, end := exchange(t, pipes)
			other.envelope.Cancels = []*peerpb.Cancel{{Pool: "never"}}
			qt.Assert(t, stream.Send(other.envelope), qt.IsNil)
			_, err := stream.Recv()
			qt.Check(t, err, qt.ErrorMatches, other.want)
			end()
		}
		qt.Check(t, b.take(), qt.HasLen, 0)
		qt.Check(t, events(b, eventLinkRefused), qt.Equals, 1)
	})
}

// FuzzEnvelope feeds envelopes to a stream: they are read or refused, what is
// kept stays bounded, and what was read can be sent on and is read the same.
func FuzzEnvelope(f *testing.F) {
	id := make([]byte, 16)
	for _, plain := range []*peerpb.Envelope{
		{Tickets: []*peerpb.Ticket{{Id: id, Pool: "p", Workspace: "w", PrefixHashes: make([]uint32, 4), PrefixTokens: []uint32{64, 128, 192, 256}}}},
		{Grants: []*peerpb.Grant{{Id: id, Pool: "p", Target: "t", Scheduler: "c", Number: 1}}},
		{Releases: []*peerpb.Release{{Id: id, Pool: "p", Target: "t"}}, Holdings: []*peerpb.Holdings{{Pool: "p"}}},
	} {
		raw, err := proto.Marshal(newWired().out["a"].envelope(plain))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, raw)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		wired := newWired()
		for _, raw := range [][]byte{first, second} {
			envelope := &peerpb.Envelope{}
			if proto.Unmarshal(raw, envelope) != nil || wired.ins["a"].envelope(envelope) != nil {
				return
			}
			if len(wired.ins["a"].names) > streamNames || len(wired.ins["a"].tickets.ring) > streamTickets {
				t.Fatal("more kept than the bound")
			}
			again, err := newWired().pass("a", proto.CloneOf(envelope))
			if err != nil {
				t.Fatalf("%v sent on: %v", envelope, err)
			}
			if len(again.GetTickets()) != len(envelope.GetTickets()) || len(again.GetReleases()) != len(envelope.GetReleases()) {
				t.Fatal("messages lost")
			}
		}
	})
}
