package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/prefix"
	"nutmegfield.example/request"
	"nutmegfield.example/timeline"
)

// benchHosts are two linked hosts; received gets the number of messages of each
// envelope received.
type benchHosts struct {
	a, b     *Links
	received chan int
}

func startBench(b *testing.B) *benchHosts {
	ctx, stop := context.WithCancel(b.Context())
	pipes := &pipes{listeners: map[string]*pipeListener{}}
	hosts := &benchHosts{received: make(chan int, 4096)}
	var group sync.WaitGroup
	start := func(id string) *Links {
		listener := &pipeListener{accepted: make(chan net.Conn, 16), ended: make(chan struct{})}
		pipes.listeners[id] = listener
		links := &Links{
			Members:  &Members{Self: Host{ID: id, Zone: "kagoshima-1", Address: id, Incarnation: 1764792000000000}},
			Events:   &timeline.Recorder{Host: id},
			Listener: listener,
			Dial:     pipes.dial,
		}
		links.Members.SetHosts(testHosts("entry-host-1", "entry-host-2"))
		links.OnEnvelope(func(_ string, envelope *peerpb.Envelope) {
			count := len(envelope.GetTickets()) + len(envelope.GetGrants()) + len(envelope.GetProgress()) + len(envelope.GetReleases())
			if count > 0 {
				hosts.received <- count
			}
		})
		group.Go(func() { _ = links.Run(ctx) })
		return links
	}
	hosts.a, hosts.b = start("entry-host-1"), start("entry-host-2")
	b.Cleanup(func() {
		stop()
		group.Wait()
	})
	return hosts
}

// waitLinked waits until both links are up, as envelopes sent earlier may be
// dropped. It sends until an envelope arrives on each, and discards those that
// arrive late.
func (hosts *benchHosts) waitLinked() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for _, way := range []struct {
		from *Links
		to   string
	}{{hosts.a, "entry-host-2"}, {hosts.b, "entry-host-1"}} {
		for linked := false; !linked; {
			way.from.Send(way.to, &peerpb.Envelope{Progress: []*peerpb.Progress{{Id: make([]byte, 16)}}})
			select {
			case <-hosts.received:
				linked = true
			case <-ticker.C:
			}
		}
	}
	for range 2 {
		<-ticker.C
	}
	for len(hosts.received) > 0 {
		<-hosts.received
	}
}

// waitReceived waits until the given number of messages has been received.
func (hosts *benchHosts) waitReceived(count int) {
	for count > 0 {
		count -= <-hosts.received
	}
}

// blocksOf maps a number of prefixes to the length of the prompt in blocks.
var blocksOf = map[int]int{4: 4, 16: 64}

// benchTicket returns a ticket for a long prompt.
func benchTicket(prefixes int) *request.Ticket {
	ticket := &request.Ticket{
		ID: request.NewID(), Pool: "design-model", Workspace: "workshop-web", Tier: 1, Sheddable: true,
		Deadline: time.Now().Add(30 * time.Second), Size: request.Size{PromptTokens: 4000, OutputTokens: 256},
		Fingerprint: 0x9e3779b97f4a7c15, Round: 1,
	}
	if prefixes > 0 {
		ticket.Prefixes = prefix.Sample(prefix.BlockHashes(make([]byte, blocksOf[prefixes]*prefix.BlockBytes)))
	}
	return ticket
}

// BenchmarkRequest reports the bytes and envelopes that the ticket, grant,
// progress and release of a request take between two hosts, heartbeats
// included, and the processor time of both hosts, the pipes and the benchmark
// itself. With batching, a burst of 64 requests is sent together.
func BenchmarkRequest(b *testing.B) {
	for _, prefixes := range []int{0, 4, 16} {
		for _, burst := range []int{1, 64} {
			b.Run(fmt.Sprintf("prefixes=%d/burst=%d", prefixes, burst), func(b *testing.B) {
				benchRequests(b, prefixes, burst)
			})
		}
	}
}

func benchRequests(b *testing.B, prefixes, burst int) {
	hosts := startBench(b)
	ticket := benchTicket(prefixes)
	grant := &request.Grant{
		Ticket: ticket.ID, Round: 1, Pool: ticket.Pool, Target: "design-model-07",
		Scheduler: "entry-host-2", Number: uint64(time.Now().UnixMicro()), CachedTokens: 1024, Lifetime: 2 * time.Second,
	}
	progress := &request.Progress{Ticket: ticket.ID, Pool: grant.Pool, Target: grant.Target, Number: grant.Number, FirstToken: 180 * time.Millisecond}
	release := &request.Release{
		Ticket: ticket.ID, Pool: grant.Pool, Target: grant.Target, Number: grant.Number, Scheduler: grant.Scheduler,
		End: request.EndDone, Usage: request.Usage{PromptTokens: 4000, CachedTokens: 1024, OutputTokens: 250},
		FirstToken: 180 * time.Millisecond, Total: 9 * time.Second, Fingerprint: ticket.Fingerprint,
	}
	// In between, the scheduler gives grants to the other hosts of the zone.
	const others = 66
	round := func() {
		grant.Number += others
		progress.Number, release.Number = grant.Number, grant.Number
		for range burst {
			hosts.a.Send("entry-host-2", &peerpb.Envelope{Tickets: []*peerpb.Ticket{TicketMessage(ticket)}})
		}
		hosts.waitReceived(burst)
		for range burst {
			hosts.b.Send("entry-host-1", &peerpb.Envelope{Grants: []*peerpb.Grant{GrantMessage(grant)}})
		}
		hosts.waitReceived(burst)
		for range burst {
			hosts.a.Send("entry-host-2", &peerpb.Envelope{Progress: []*peerpb.Progress{ProgressMessage(progress)}})
		}
		hosts.waitReceived(burst)
		for range burst {
			hosts.a.Send("entry-host-2", &peerpb.Envelope{Releases: []*peerpb.Release{ReleaseMessage(release)}})
		}
		hosts.waitReceived(burst)
	}
	hosts.waitLinked()
	round()
	bytes, envelopes := linkCount("bytesSent"), linkCount("sent")
	requests, before := 0, processorTime()
	for b.Loop() {
		round()
		requests += burst
	}
	b.ReportMetric(float64((processorTime()-before).Nanoseconds())/float64(requests), "cpu-ns/request")
	b.ReportMetric(float64(linkCount("bytesSent")-bytes)/float64(requests), "bytes/request")
	b.ReportMetric(float64(linkCount("sent")-envelopes)/float64(requests), "envelopes/request")
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
