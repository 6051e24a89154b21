// Package scheduler runs, on each host, the pool schedulers that the
// membership names it for, and carries their messages.
package scheduler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"nutmegfield.example/peer"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/policy"
	"nutmegfield.example/pool"
	"nutmegfield.example/prefix"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
	"nutmegfield.example/timeline"
)

// settle is how long a new scheduler listens before it grants.
const settle = 500 * time.Millisecond

// Events of this package.
var (
	eventTakeover = timeline.Define(timeline.Kind{
		Number: 2001, Name: "pool scheduler started", Level: timeline.Info,
		Meaning: "This host schedules the pool in its zone from now on.",
	})
	eventGrant = timeline.Define(timeline.Kind{
		Number: 2002, Name: "granted", Level: timeline.Trace,
		Meaning: "A waiting request was granted a slot on the target.",
	})
	eventRefuse = timeline.Define(timeline.Kind{
		Number: 2003, Name: "refused", Level: timeline.Trace,
		Meaning: "A waiting request left the queue without a grant, for the reason in the detail.",
	})
)

// Scheduler holds the pools of a host. Fields are set before Run.
type Scheduler struct {
	Host   string
	Zone   string
	Store  *profile.Store
	Events *timeline.Recorder
	// Send passes an envelope to a host.
	Send func(host string, envelope *peerpb.Envelope)
	// Responsible names the host that schedules a pool in this zone now;
	// empty if there is none.
	Responsible func(pool string) string
	// Hosts lists the ids of the known hosts, ZoneHosts those of this zone.
	Hosts     func() []string
	ZoneHosts func() []string
	// Client returns the client of a protocol, nil if there is none.
	Client func(protocol string) *protocol.Client

	mutex sync.Mutex
	pools map[string]*pool.Pool
	// handed names the pools that fell to another host since they were opened
	// here.
	handed map[string]bool
	words  words
	// entries names the hosts that may hold grants.
	entries map[string]struct{}
	// suspicions were heard from other hosts, the oldest first.
	suspicions []suspicion
	// asked are the releases that wait for a question to their target.
	asked map[*request.Release]struct{}
	ctx   context.Context
	group sync.WaitGroup
}

// Run works until the context ends.
func (scheduler *Scheduler) Run(ctx context.Context) error {
	scheduler.mutex.Lock()
	scheduler.ctx = ctx
	scheduler.mutex.Unlock()
	scheduler.Store.Listen(scheduler.configure)
	scheduler.group.Go(func() { scheduler.poll(ctx) })
	scheduler.group.Go(func() { scheduler.reap(ctx) })
	<-ctx.Done()
	scheduler.group.Wait()
	return nil
}

// Receive takes the envelopes of the entry hosts.
func (scheduler *Scheduler) Receive(from string, envelope *peerpb.Envelope) {
	if len(envelope.GetTickets()) > 0 {
		scheduler.heardFrom(from)
	}
	for _, message := range envelope.GetTickets() {
		scheduler.submit(peer.Ticket(from, message))
	}
	for _, message := range envelope.GetCancels() {
		if found := scheduler.find(message.GetPool()); found != nil {
			found.Cancel(peer.Cancel(message))
		}
	}
	for _, message := range envelope.GetProgress() {
		if found := scheduler.find(message.GetPool()); found != nil {
			found.Progress(peer.Progress(message))
		}
	}
	for _, message := range envelope.GetReleases() {
		if found := scheduler.find(message.GetPool()); found != nil {
			scheduler.release(found, peer.Release(message))
		}
		if request.End(message.GetEnd()) == request.EndLeaving {
			scheduler.reported(place{message.GetPool(), message.GetTarget()}, true)
		}
	}
	scheduler.receiveWords(envelope)
	scheduler.receiveSuspects(envelope)
	scheduler.receiveHoldings(from, envelope)
	scheduler.receiveHandovers(envelope)
}

// Waiting returns the number of requests that wait here for a pool.
func (scheduler *Scheduler) Waiting(name string) int {
	if found := scheduler.find(name); found != nil {
		return found.Waiting()
	}
	return 0
}

// submit drops a ticket that falls to another host: its entry host sends it
// there as soon as it knows, or here again.
func (scheduler *Scheduler) submit(ticket *request.Ticket) {
	if scheduler.Responsible(ticket.Pool) != scheduler.Host {
		return
	}
	found := scheduler.open(ticket.Pool)
	if found == nil {
		return
	}
	found.Submit(ticket)
}

func (scheduler *Scheduler) find(name string) *pool.Pool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.pools[name]
}

// open returns the pool, started if this is the first word of it.
func (scheduler *Scheduler) open(name string) *pool.Pool {
	snapshot := scheduler.Store.Current()
	if snapshot == nil || snapshot.Pool(name) == nil {
		return nil
	}
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if found := scheduler.pools[name]; found != nil {
		delete(scheduler.handed, name)
		return found
	}
	if scheduler.ctx == nil || scheduler.ctx.Err() != nil {
		return nil
	}
	started := scheduler.start(snapshot, name)
	if scheduler.pools == nil {
		scheduler.pools = map[string]*pool.Pool{}
	}
	scheduler.pools[name] = started
	return started
}

func (scheduler *Scheduler) start(snapshot *profile.Snapshot, name string) *pool.Pool {
	described := snapshot.Pool(name)
	started := &pool.Pool{
		Name:         name,
		Host:         scheduler.Host,
		SettlePeriod: settle,
		Policy:       policy.New(described.Policy, rand.Uint64()),
		SendGrant:    scheduler.granted,
		SendRefusal:  scheduler.refused,
		SendSuspect:  func(suspect pool.Suspect) { scheduler.suspected(name, suspect) },
	}
	if described.Kind == profile.KindModel {
		started.Prefixes = &prefix.Index{}
	}
	started.Start()
	started.Configure(scheduler.withWords(name, configuration(snapshot, described, scheduler.Zone)))
	scheduler.recall(name, started)
	scheduler.group.Go(func() { started.Run(scheduler.ctx) })
	scheduler.Events.Record(eventTakeover, timeline.Event{Pool: name})
	return started
}

func (scheduler *Scheduler) configure(snapshot *profile.Snapshot) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for name, running := range scheduler.pools {
		if described := snapshot.Pool(name); described != nil {
			running.Configure(scheduler.withWords(name, configuration(snapshot, described, scheduler.Zone)))
		} else {
			running.Configure(pool.Configuration{})
		}
	}
}

// configuration picks what concerns one pool in one zone.
func configuration(snapshot *profile.Snapshot, described *profile.Pool, zone string) pool.Configuration {
	result := pool.Configuration{MaxWaiting: described.Waiting, Weights: map[string]int{}}
	for _, told := range described.Targets {
		if told.Zone == zone {
			result.Targets = append(result.Targets, pool.Target{
				Name:    told.Name,
				Slots:   told.Slots,
				Leaving: told.Leaving,
			})
		}
	}
	for _, workspace := range snapshot.Configuration.Workspaces {
		result.Weights[workspace.Name] = workspace.Weight
	}
	return result
}

func (scheduler *Scheduler) granted(entry string, grant request.Grant) {
	scheduler.Events.Record(eventGrant, timeline.Event{
		Request: grant.Ticket.String(), Pool: grant.Pool, Target: grant.Target, Peer: entry,
	})
	scheduler.Send(entry, &peerpb.Envelope{Grants: []*peerpb.Grant{peer.GrantMessage(&grant)}})
}

func (scheduler *Scheduler) refused(entry string, refusal request.Refusal) {
	scheduler.Events.Record(eventRefuse, timeline.Event{
		Request: refusal.Ticket.String(), Pool: refusal.Pool, Peer: entry, Detail: string(refusal.Reason),
	})
	scheduler.Send(entry, &peerpb.Envelope{Refusals: []*peerpb.Refusal{peer.RefusalMessage(&refusal)}})
}
