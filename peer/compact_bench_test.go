package peer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/request"
)

// BenchmarkEncodeDecode reports the time to encode and decode the messages of a
// request with 4 prefixes, on the entry host and on the scheduler; the
// allocations are those of both.
func BenchmarkEncodeDecode(b *testing.B) {
	b.ReportAllocs()
	streamPair, ticket := newStreamPair(), benchTicket(4)
	number := uint64(time.Now().UnixMicro())
	spent := map[string]time.Duration{}
	pass := func(from, to string, plain *peerpb.Envelope) {
		begun := time.Now()
		raw, err := proto.Marshal(streamPair.encoders[from].encode(plain))
		written := time.Now()
		if err != nil {
			b.Fatal(err)
		}
		read := &peerpb.Envelope{}
		if proto.Unmarshal(raw, read) != nil || streamPair.decoders[from].decode(read) != nil {
			b.Fatal("envelope was not decoded")
		}
		spent[from] += written.Sub(begun)
		spent[to] += time.Since(written)
	}
	for b.Loop() {
		number++
		ticket.ID = request.NewID()
		grant := &request.Grant{Ticket: ticket.ID, Round: 1, Pool: ticket.Pool, Target: "t", Scheduler: "b", Number: number, Lifetime: time.Second}
		progress := &request.Progress{Ticket: ticket.ID, Pool: ticket.Pool, Target: "t", Number: number, FirstToken: time.Second}
		release := &request.Release{Ticket: ticket.ID, Pool: ticket.Pool, Target: "t", Scheduler: "b", Number: number, Fingerprint: ticket.Fingerprint, FirstToken: time.Second}
		pass("a", "b", &peerpb.Envelope{Tickets: []*peerpb.Ticket{TicketMessage(ticket)}})
		pass("b", "a", &peerpb.Envelope{Grants: []*peerpb.Grant{GrantMessage(grant)}})
		pass("a", "b", &peerpb.Envelope{Progress: []*peerpb.Progress{ProgressMessage(progress)}})
		pass("a", "b", &peerpb.Envelope{Releases: []*peerpb.Release{ReleaseMessage(release)}})
	}
	b.ReportMetric(float64(spent["a"].Nanoseconds())/float64(b.N), "entry-ns/request")
	b.ReportMetric(float64(spent["b"].Nanoseconds())/float64(b.N), "scheduler-ns/request")
}
