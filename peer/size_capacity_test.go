package peer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/request"
)

// BenchmarkSize reports the bytes of the messages whose size or number grows
// with the running requests, without the link's framing.
func BenchmarkSize(b *testing.B) {
	for _, held := range []int{10, 100, 250} {
		b.Run(fmt.Sprintf("holdings=%d", held), func(b *testing.B) {
			holdings := &peerpb.Holdings{Pool: "design-model"}
			for i := range held {
				holdings.Numbers = append(holdings.Numbers, uint64(time.Now().UnixMicro())+uint64(i))
			}
			reportSize(b, &peerpb.Envelope{Holdings: []*peerpb.Holdings{holdings}})
		})
	}
	b.Run("beat", func(b *testing.B) {
		reportSize(b, &peerpb.Envelope{Beat: 1000, From: "entry-host-1", Zone: "kagoshima-1", Incarnation: 1764792000000000})
	})
	b.Run("ticket", func(b *testing.B) {
		reportSize(b, &peerpb.Envelope{Tickets: []*peerpb.Ticket{TicketMessage(benchTicket(16))}})
	})
	b.Run("grant", func(b *testing.B) {
		reportSize(b, &peerpb.Envelope{Grants: []*peerpb.Grant{GrantMessage(&request.Grant{
			Ticket: request.NewID(), Round: 1, Pool: "design-model", Target: "design-model-07",
			Scheduler: "entry-host-2", Number: uint64(time.Now().UnixMicro()), CachedTokens: 1024, Lifetime: 2 * time.Second,
		})}})
	})
}

func reportSize(b *testing.B, envelope *peerpb.Envelope) {
	for b.Loop() {
		if _, err := proto.Marshal(envelope); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(envelope)), "bytes")
}

// BenchmarkMemberMemory reports the bytes that a view holds per host.
func BenchmarkMemberMemory(b *testing.B) {
	for _, hosts := range []int{8, 66, 330} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var ids []string
			for i := range hosts {
				ids = append(ids, fmt.Sprintf("entry-host-%03d", i))
			}
			var members *Members
			var bytes uint64
			for b.Loop() {
				before := heapBytes()
				members = &Members{Self: Host{ID: ids[0], Zone: "kagoshima-1", Address: ids[0]}}
				members.SetHosts(testHosts(ids...))
				bytes = heapBytes() - before
			}
			runtime.KeepAlive(members)
			b.ReportMetric(float64(bytes)/float64(hosts), "B/host")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
