// Package scheduler runs the schedulers of the pools that this host is
// responsible for and exchanges their messages with other hosts.
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

// settlePeriod is how long a new pool scheduler receives tickets and held
// grants before it grants anything.
const settlePeriod = 500 * time.Millisecond

// Events of this package.
var (
	eventSchedulerStarted = timeline.Define(timeline.Kind{
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

// Scheduler runs the pools that a host schedules. Set the exported fields
// before Run.
type Scheduler struct {
	Host   string
	Zone   string
	Store  *profile.Store
	Events *timeline.Recorder
	// Send sends an envelope to a host.
	Send func(host string, envelope *peerpb.Envelope)
	// Responsible returns the ID of the host that schedules a pool in this
	// zone, empty if there is none.
	Responsible func(pool string) string
	// Hosts returns the IDs of the hosts in the membership, ZoneHosts those of
	// this zone.
	Hosts     func() []string
	ZoneHosts func() []string
	// Client returns the client of a protocol, nil if there is none.
	Client func(protocol string) *protocol.Client

	mutex sync.Mutex
	pools map[string]*pool.Pool
	// handedOver holds the open pools that were handed over to another host.
	handedOver    map[string]bool
	leavingStates leavingStates
	// limits are the limits that targets last reported.
	limits map[targetKey]float64
	// entryHosts holds the hosts that may hold grants.
	entryHosts map[string]struct{}
	// suspicions holds those received from other hosts, the oldest first.
	suspicions []suspicion
	// probedReleases holds the releases that wait for the result of a probe of
	// their target.
	probedReleases map[*request.Release]struct{}
	ctx            context.Context
	group          sync.WaitGroup
}

// Run runs the pools, and the calls to their targets, until the context ends.
func (scheduler *Scheduler) Run(ctx context.Context) error {
	scheduler.mutex.Lock()
	scheduler.ctx = ctx
	scheduler.mutex.Unlock()
	scheduler.Store.Listen(scheduler.configure)
	scheduler.group.Go(func() { scheduler.poll(ctx) })
	scheduler.group.Go(func() { scheduler.freeOrphans(ctx) })
	<-ctx.Done()
	scheduler.group.Wait()
	return nil
}

// Receive handles an envelope from another host.
func (scheduler *Scheduler) Receive(from string, envelope *peerpb.Envelope) {
	if len(envelope.GetTickets()) > 0 {
		scheduler.addEntryHost(from)
	}
	for _, message := range envelope.GetTickets() {
		scheduler.submit(peer.Ticket(from, message))
	}
	for _, message := range envelope.GetCancels() {
		if found := scheduler.findPool(message.GetPool()); found != nil {
			found.Cancel(peer.Cancel(message))
		}
	}
	for _, message := range envelope.GetProgress() {
		if found := scheduler.findPool(message.GetPool()); found != nil {
			found.Progress(peer.Progress(message))
		}
	}
	for _, message := range envelope.GetReleases() {
		if found := scheduler.findPool(message.GetPool()); found != nil {
			scheduler.releaseGrant(found, peer.Release(message))
		}
		if request.End(message.GetEnd()) == request.EndTargetLeaving {
			scheduler.recordLeaving(targetKey{message.GetPool(), message.GetTarget()}, true)
		}
	}
	scheduler.receiveLeaving(envelope)
	scheduler.receiveSuspects(envelope)
	scheduler.receiveHoldings(from, envelope)
	scheduler.receiveHandovers(envelope)
}

// Waiting returns the number of requests in a pool's queue on this host.
func (scheduler *Scheduler) Waiting(name string) int {
	if found := scheduler.findPool(name); found != nil {
		return found.Waiting()
	}
	return 0
}

// submit adds a ticket to its pool's queue. A ticket that another host is
// responsible for is dropped: the entry host sends it again, to the responsible
// host by its current membership.
func (scheduler *Scheduler) submit(ticket *request.Ticket) {
	if scheduler.Responsible(ticket.Pool) != scheduler.Host {
		return
	}
	found := scheduler.openPool(ticket.Pool)
	if found == nil {
		return
	}
	found.Submit(ticket)
}

func (scheduler *Scheduler) findPool(name string) *pool.Pool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.pools[name]
}

// openPool returns a pool and starts it if it is not open. It returns nil if
// the pool is not configured, or if it is not open and Run has not begun or has
// ended.
func (scheduler *Scheduler) openPool(name string) *pool.Pool {
	snapshot := scheduler.Store.Current()
	if snapshot == nil || snapshot.Pool(name) == nil {
		return nil
	}
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if found := scheduler.pools[name]; found != nil {
		delete(scheduler.handedOver, name)
		return found
	}
	if scheduler.ctx == nil || scheduler.ctx.Err() != nil {
		return nil
	}
	started := scheduler.startPool(snapshot, name)
	if scheduler.pools == nil {
		scheduler.pools = map[string]*pool.Pool{}
	}
	scheduler.pools[name] = started
	return started
}

func (scheduler *Scheduler) startPool(snapshot *profile.Snapshot, name string) *pool.Pool {
	profilePool := snapshot.Pool(name)
	started := &pool.Pool{
		Name:         name,
		Host:         scheduler.Host,
		SettlePeriod: settlePeriod,
		Policy:       policy.New(profilePool.Policy, rand.Uint64()),
		SendGrant:    scheduler.sendGrant,
		SendRefusal:  scheduler.sendRefusal,
		SendSuspect:  func(suspect pool.Suspect) { scheduler.sendSuspect(name, suspect) },
	}
	if profilePool.Kind == profile.KindModel {
		started.Prefixes = &prefix.Index{}
	}
	started.Start()
	started.Configure(scheduler.withLeaving(name, configuration(snapshot, profilePool, scheduler.Zone)))
	scheduler.applySuspicions(name, started)
	scheduler.group.Go(func() { started.Run(scheduler.ctx) })
	scheduler.Events.Record(eventSchedulerStarted, timeline.Event{Pool: name})
	return started
}

func (scheduler *Scheduler) configure(snapshot *profile.Snapshot) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for name, running := range scheduler.pools {
		if profilePool := snapshot.Pool(name); profilePool != nil {
			running.Configure(scheduler.withLeaving(name, configuration(snapshot, profilePool, scheduler.Zone)))
		} else {
			running.Configure(pool.Configuration{})
		}
	}
}

// configuration returns the part of a snapshot that concerns one pool in one
// zone.
func configuration(snapshot *profile.Snapshot, profilePool *profile.Pool, zone string) pool.Configuration {
	result := pool.Configuration{MaxWaiting: profilePool.MaxWaiting, Weights: map[string]int{}}
	for _, target := range profilePool.Targets {
		if target.Zone == zone {
			result.Targets = append(result.Targets, pool.Target{
				Name:    target.Name,
				Slots:   target.Slots,
				Leaving: target.Leaving,
			})
		}
	}
	for _, workspace := range snapshot.Configuration.Workspaces {
		result.Weights[workspace.Name] = workspace.Weight
	}
	return result
}

func (scheduler *Scheduler) sendGrant(entryHost string, grant request.Grant) {
	scheduler.Events.Record(eventGrant, timeline.Event{
		Request: grant.Ticket.String(), Pool: grant.Pool, Target: grant.Target, Peer: entryHost,
	})
	scheduler.Send(entryHost, &peerpb.Envelope{Grants: []*peerpb.Grant{peer.GrantMessage(&grant)}})
}

func (scheduler *Scheduler) sendRefusal(entryHost string, refusal request.Refusal) {
	scheduler.Events.Record(eventRefuse, timeline.Event{
		Request: refusal.Ticket.String(), Pool: refusal.Pool, Peer: entryHost, Detail: string(refusal.Reason),
	})
	scheduler.Send(entryHost, &peerpb.Envelope{Refusals: []*peerpb.Refusal{peer.RefusalMessage(&refusal)}})
}
