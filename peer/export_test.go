package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/request"
)

// LinkLoad is the load from one entry host on the scheduler of one pool.
type LinkLoad struct {
	// Requests is the mean rate per second, and Prefixes the number of prefixes
	// of each request.
	Requests float64
	Prefixes int
	// Granted, FirstToken and Total are the mean times from sending the ticket
	// to the grant, the first token and the end of the answer.
	Granted, FirstToken, Total time.Duration
	// OtherGrants is the mean number of grants that the scheduler gives to
	// other hosts for each grant to this one.
	OtherGrants uint64
	// Holdings is the interval between lists of held grants, 0 for none.
	Holdings time.Duration
}

// LinkTraffic is the traffic of both directions between two hosts, per second.
type LinkTraffic struct{ Bytes, Envelopes, Writes float64 }

// MeasureLink measures the traffic of a load between two hosts over a span of
// virtual time.
func MeasureLink(t *testing.T, load LinkLoad, over time.Duration) LinkTraffic {
	t.Helper()
	var traffic LinkTraffic
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		pipes := &pipes{listeners: map[string]*pipeListener{}}
		var group sync.WaitGroup
		entry, scheduler := pipes.start(ctx, "entry-host-1", &group), pipes.start(ctx, "entry-host-2", &group)
		synctest.Wait()
		entry.Members.SetHosts(testHosts("entry-host-1", "entry-host-2"))
		scheduler.Members.SetHosts(testHosts("entry-host-1", "entry-host-2"))
		run := &loadRun{load: load, entry: entry, scheduler: scheduler, random: rand.New(rand.NewPCG(1, 1)), lastGrant: uint64(time.Now().UnixMicro())}
		entry.Send("entry-host-2", cancelEnvelope("open"))
		scheduler.Send("entry-host-1", cancelEnvelope("open"))
		// The first minute is not measured: names are sent for the first time
		// and the list of held grants still grows.
		run.generate(time.Minute)
		before := LinkTraffic{float64(linkCount("bytesSent")), float64(linkCount("sent")), float64(linkCount("writes"))}
		run.generate(over)
		traffic = LinkTraffic{
			Bytes:     (float64(linkCount("bytesSent")) - before.Bytes) / over.Seconds(),
			Envelopes: (float64(linkCount("sent")) - before.Envelopes) / over.Seconds(),
			Writes:    (float64(linkCount("writes")) - before.Writes) / over.Seconds(),
		}
		time.Sleep(2 * load.Total)
		stop()
		group.Wait()
	})
	return traffic
}

// loadRun generates a load between two hosts.
type loadRun struct {
	load             LinkLoad
	entry, scheduler *peerHost
	random           *rand.Rand
	lastGrant        uint64
	mutex            sync.Mutex
	heldGrants       map[uint64]bool
}

// generate starts requests for a span of time.
func (run *loadRun) generate(over time.Duration) {
	end := time.Now().Add(over)
	holdings := time.Now()
	begun := time.Now()
	next := begun.Add(run.arrival(0))
	arrivals := 0
	for time.Now().Before(end) {
		if run.load.Holdings > 0 && !time.Now().Before(holdings) {
			holdings = holdings.Add(run.load.Holdings)
			run.sendHoldings()
		}
		if !time.Now().Before(next) {
			arrivals++
			next = begun.Add(run.arrival(arrivals))
			ticket := benchTicket(run.load.Prefixes)
			ticket.Deadline = time.Now().Add(30 * time.Second)
			ticket.Workspace = "workspace-" + string(rune('a'+run.random.IntN(26))) + string(rune('a'+run.random.IntN(26)))
			run.lastGrant += 1 + uint64(run.random.Int64N(int64(2*run.load.OtherGrants+1)))
			go run.request(ticket, run.lastGrant, "design-model-"+string(rune('a'+run.random.IntN(15))), 0.5+run.random.Float64())
		}
		wake := next
		if run.load.Holdings > 0 && holdings.Before(wake) {
			wake = holdings
		}
		if end.Before(wake) {
			wake = end
		}
		time.Sleep(time.Until(wake))
	}
}

// arrival returns when a request starts, counted from 0: at a random time
// within its own slot, so that the rate is exact over a short time too.
func (run *loadRun) arrival(count int) time.Duration {
	if run.load.Requests == 0 {
		return 24 * time.Hour
	}
	return time.Duration((float64(count) + run.random.Float64()) / run.load.Requests * float64(time.Second))
}

func (run *loadRun) sendHoldings() {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	message := &peerpb.Holdings{Pool: "design-model"}
	for number := range run.heldGrants {
		message.Numbers = append(message.Numbers, number)
	}
	run.entry.Send("entry-host-2", &peerpb.Envelope{Holdings: []*peerpb.Holdings{message}})
}

func (run *loadRun) request(ticket *request.Ticket, number uint64, target string, length float64) {
	times := func(mean time.Duration) time.Duration { return time.Duration(length * float64(mean)) }
	begun := time.Now()
	run.entry.Send("entry-host-2", &peerpb.Envelope{Tickets: []*peerpb.Ticket{TicketMessage(ticket)}})
	time.Sleep(times(run.load.Granted))
	grant := &request.Grant{
		Ticket: ticket.ID, Round: 1, Pool: ticket.Pool, Target: target,
		Scheduler: "entry-host-2", Number: number, CachedTokens: 1024, Lifetime: 2 * time.Second,
	}
	run.scheduler.Send("entry-host-1", &peerpb.Envelope{Grants: []*peerpb.Grant{GrantMessage(grant)}})
	run.mutex.Lock()
	if run.heldGrants == nil {
		run.heldGrants = map[uint64]bool{}
	}
	run.heldGrants[number] = true
	run.mutex.Unlock()
	time.Sleep(times(run.load.FirstToken) - time.Since(begun))
	first := time.Since(begun)
	progress := &request.Progress{Ticket: ticket.ID, Pool: grant.Pool, Target: target, Number: number, FirstToken: first}
	run.entry.Send("entry-host-2", &peerpb.Envelope{Progress: []*peerpb.Progress{ProgressMessage(progress)}})
	time.Sleep(times(run.load.Total) - time.Since(begun))
	run.mutex.Lock()
	delete(run.heldGrants, number)
	run.mutex.Unlock()
	release := &request.Release{
		Ticket: ticket.ID, Pool: grant.Pool, Target: target, Number: number, Scheduler: grant.Scheduler,
		End: request.EndDone, Usage: request.Usage{PromptTokens: 4000, CachedTokens: 1024, OutputTokens: 300},
		FirstToken: first, Total: time.Since(begun), Fingerprint: ticket.Fingerprint,
	}
	run.entry.Send("entry-host-2", &peerpb.Envelope{Releases: []*peerpb.Release{ReleaseMessage(release)}})
}
