package peer

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"nutmegfield.example/objects"
	"nutmegfield.example/pause"
	"nutmegfield.example/peer/peerpb"
	"nutmegfield.example/timeline"
)

const (
	// probeInterval is the time between two probes by a host.
	probeInterval = time.Second
	// probeTimeout is when other hosts are asked to probe too.
	probeTimeout = 300 * time.Millisecond
	// indirectProbes is how many are asked.
	indirectProbes = 3
	// suspectAfterRounds is the number of rounds without an answer after which a
	// host is called suspect.
	suspectAfterRounds = 2
	// suspicionTimeout is how long a suspect has to refute it.
	suspicionTimeout = 4 * time.Second
	// maxExtraProbes is the most hosts, beyond the one whose turn it is, that
	// are probed in an interval because they did not answer before.
	maxExtraProbes = 4
	// deadProbeRounds is the number of intervals between two probes of dead
	// hosts, in case they were only cut off.
	deadProbeRounds = 10
	// revivalPeriod is how long after the return of a dead host the other dead
	// ones are probed in each interval.
	revivalPeriod = 30 * time.Second
	// syncRounds is the mean number of intervals between two comparisons of
	// whole tables.
	syncRounds = 10
	// busySyncRounds is that while there is more news than busyNews records,
	// as after a cold start or a cut; whole tables then spread it faster.
	busySyncRounds = 4
	busyUpdates    = 20
	// minTableRequestInterval is the least time between two questions for a whole table to
	// known hosts, answerPause that between two tables sent.
	minTableRequestInterval = 5 * time.Second
	minTableSendInterval    = time.Second
	// viewDelay gathers changes into one new view.
	viewDelay = 100 * time.Millisecond
	// maxRelayedProbes is the most probes that wait on behalf of other hosts.
	maxRelayedProbes = 1024
	// announcementFanout is the number of hosts told at once of a leaving or end.
	announcementFanout = 16
)

// Events of the membership.
var (
	eventHostJoined = timeline.Define(timeline.Kind{
		Number: 6010, Name: "host joined", Level: timeline.Info,
		Meaning: "Another host became known, or came back.",
	})
	eventHostSuspect = timeline.Define(timeline.Kind{
		Number: 6011, Name: "host suspect", Level: timeline.Trace,
		Meaning: "A host does not answer probes; it is held for live until a short time has passed.",
	})
	eventHostDead = timeline.Define(timeline.Kind{
		Number: 6012, Name: "host dead", Level: timeline.Info,
		Meaning: "A host did not answer for some seconds; others take on what fell to it.",
	})
	eventHostLeft = timeline.Define(timeline.Kind{
		Number: 6013, Name: "host left", Level: timeline.Info,
		Meaning: "A host said that it has ended.",
	})
	eventReplaced = timeline.Define(timeline.Kind{
		Number: 6014, Name: "host id taken", Level: timeline.Error,
		Meaning: "A newer host runs under the id of this one, at the address in the detail; this one ends.",
		Action:  "give each host an id of its own in host.yaml",
	})
	eventOlderDuplicate = timeline.Define(timeline.Kind{
		Number: 6015, Name: "older host of the same id", Level: timeline.Warn,
		Meaning: "An older host runs, or ran, under the id of this one at the address in the detail; it ends when it hears of this one.",
		Action:  "give each host an id of its own in host.yaml, unless the older one was moved",
	})
	eventBadDatagram = timeline.Define(timeline.Kind{
		Number: 6016, Name: "datagram refused", Level: timeline.Warn,
		Meaning: "A datagram was no probe, or came from an unknown host; later ones are only counted, by datagramsRefused.",
		Action:  "see what else sends to peers.listen, if the count grows",
	})
)

// Counters of the membership.
var (
	datagramsSent     = expvar.NewInt("datagramsSent")
	datagramBytesSent = expvar.NewInt("datagramBytesSent")
	datagramsRefused  = expvar.NewInt("datagramsRefused")
	falseSuspicions   = expvar.NewInt("suspicionsRefuted")
)

// Prober keeps the members by probing one host at a time, asking others to
// probe it too when it does not answer, and telling news with the probes, at
// a cost for each host that does not grow with their number. It follows SWIM
// (Das, Gupta and Motivala: SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol, DSN 2002), with its suspicion by
// incarnation, and compares whole tables now and then. Fields are set before
// use.
type Prober struct {
	Members *Members
	Events  *timeline.Recorder
	// Send sends a datagram; it may be lost.
	Send func(address string, datagram []byte)
	// Hosts reads the platform's list; nil for none.
	Hosts func(ctx context.Context) ([]objects.ListedHost, error)
	// Seeds are addresses to try while no other host is known.
	Seeds []string
	// Secret is shared by all hosts: datagrams without a hash keyed by it are
	// refused. Empty for none.
	Secret []byte

	mutex      sync.Mutex
	self       record
	table      table
	probeOrder []string
	lastNumber uint64
	// pendingProbes are the probes of this round without an answer, by number.
	pendingProbes map[uint64]string
	// relayedProbes are the probes sent for others, by number.
	relayedProbes     map[uint64]relayedProbe
	revivedAt         time.Time
	tableRequestedAt  time.Time
	tableSentAt       time.Time
	viewPending       bool
	refusalRecorded   bool
	duplicateRecorded bool
	replacedBy        chan string
	outbox            []outgoingProbe
}

// relayedProbe is whom to tell of an answer.
type relayedProbe struct {
	address string
	number  uint64
	sentAt  time.Time
}

// outgoingProbe is a datagram to send once the lock is free.
type outgoingProbe struct {
	address string
	probe   *peerpb.Probe
}

// initialize prepares the state, once.
func (prober *Prober) initialize() {
	if prober.table.records != nil {
		return
	}
	self := prober.Members.Self
	prober.self = record{
		id:          self.ID,
		zone:        self.Zone,
		address:     self.Address,
		incarnation: self.Incarnation << refutationBits,
		state:       stateAlive,
	}
	prober.table = newTable()
	prober.pendingProbes = map[uint64]string{}
	prober.relayedProbes = map[uint64]relayedProbe{}
	prober.replacedBy = make(chan string, 1)
}

// Run probes until the context ends, and says farewell then. It fails with
// Replaced when a newer host runs under the same id.
func (prober *Prober) Run(ctx context.Context) error {
	prober.withLock(func(time.Time) {})
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() { prober.pollHostList(ctx) })
	pause.For(ctx, rand.N(probeInterval))
	for ctx.Err() == nil {
		began := time.Now()
		prober.withLock(prober.startRound)
		if address := prober.waitForReplacement(ctx, probeTimeout); address != "" {
			return prober.recordReplaced(address)
		}
		prober.withLock(prober.probeIndirectly)
		if address := prober.waitForReplacement(ctx, probeInterval-probeTimeout); address != "" {
			return prober.recordReplaced(address)
		}
		if time.Since(began) > 2*probeInterval {
			prober.withLock(prober.resetAfterPause)
			continue
		}
		prober.withLock(prober.endRound)
	}
	prober.withLock(prober.announceLeft)
	return nil
}

func (prober *Prober) recordReplaced(address string) error {
	prober.Events.Record(eventReplaced, timeline.Event{Peer: prober.Members.Self.ID, Detail: address})
	return Replaced.New("a newer host at %s has the id %s", address, prober.Members.Self.ID)
}

// waitForReplacement returns the address of a newer host of the same id, if one appears.
func (prober *Prober) waitForReplacement(ctx context.Context, wait time.Duration) string {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case address := <-prober.replacedBy:
		return address
	}
	return ""
}

// withLock runs a step under the lock and then sends what it left in the outbox.
func (prober *Prober) withLock(step func(now time.Time)) {
	prober.mutex.Lock()
	prober.initialize()
	step(time.Now())
	outbox := prober.outbox
	prober.outbox = nil
	prober.mutex.Unlock()
	for _, outgoingProbe := range outbox {
		prober.send(outgoingProbe)
	}
}

// startRound probes the host whose turn it is, and those that did not answer.
func (prober *Prober) startRound(now time.Time) {
	clear(prober.pendingProbes)
	prober.expireRelayed(now)
	target := prober.nextTarget()
	if target == "" {
		prober.contactSeeds()
		return
	}
	prober.probe(target)
	unanswered := prober.table.ids(func(record *record) bool {
		return record.isPresent() && record.id != target && (record.unanswered > 0 || record.state == stateSuspect)
	})
	for _, id := range sample(unanswered, maxExtraProbes) {
		prober.probe(id)
	}
	prober.probeDead(now)
	if rand.N(prober.currentSyncRounds()) == 0 {
		prober.requestTable(target, now)
	}
}

func (prober *Prober) currentSyncRounds() int {
	if len(prober.table.updates) > busyUpdates {
		return busySyncRounds
	}
	return syncRounds
}

// nextTarget goes through all hosts in an order drawn anew each time, so that
// each one's turn comes within a bounded time.
func (prober *Prober) nextTarget() string {
	for {
		if len(prober.probeOrder) == 0 {
			prober.probeOrder = prober.table.ids((*record).isPresent)
			rand.Shuffle(len(prober.probeOrder), func(i, j int) {
				prober.probeOrder[i], prober.probeOrder[j] = prober.probeOrder[j], prober.probeOrder[i]
			})
		}
		if len(prober.probeOrder) == 0 {
			return ""
		}
		id := prober.probeOrder[0]
		prober.probeOrder = prober.probeOrder[1:]
		if record := prober.table.records[id]; record != nil && record.isPresent() {
			return id
		}
	}
}

// contactSeeds asks the seeds for their tables.
func (prober *Prober) contactSeeds() {
	for _, address := range sample(prober.Seeds, indirectProbes) {
		prober.requestTableFrom(address)
	}
}

func (prober *Prober) probe(id string) {
	prober.lastNumber++
	prober.pendingProbes[prober.lastNumber] = id
	prober.ping(id, prober.lastNumber)
}

// ping sends a probe, with what is believed of its receiver so that it can
// refute it.
func (prober *Prober) ping(id string, number uint64) {
	record := prober.table.records[id]
	probe := &peerpb.Probe{Kind: kindPing, Number: number, Target: id}
	if record.state != stateAlive {
		probe.Hosts = append(probe.Hosts, record.message())
	}
	prober.enqueue(record.address, probe)
}

// probeDead tries a dead host now and then, in case it was only cut off, and
// more often while dead ones come back.
func (prober *Prober) probeDead(now time.Time) {
	reviving := !prober.revivedAt.IsZero() && now.Sub(prober.revivedAt) < revivalPeriod
	if !reviving && rand.N(deadProbeRounds) != 0 {
		return
	}
	prober.table.removeExpired(now)
	dead := prober.table.ids(func(record *record) bool { return record.state == stateDead })
	for _, id := range sample(dead, 1) {
		prober.lastNumber++
		prober.ping(id, prober.lastNumber)
	}
}

// probeIndirectly asks others to probe who has not answered yet, since the
// fault may lie between the two.
func (prober *Prober) probeIndirectly(time.Time) {
	numbers := make([]uint64, 0, len(prober.pendingProbes))
	for number := range prober.pendingProbes {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		target := prober.pendingProbes[number]
		others := prober.table.ids(func(record *record) bool {
			return record.state == stateAlive && record.unanswered == 0 && record.id != target
		})
		for _, id := range sample(others, indirectProbes) {
			probe := &peerpb.Probe{Kind: kindIndirectPing, Number: number, Target: target}
			prober.enqueue(prober.table.records[id].address, probe)
		}
	}
}

// endRound counts who did not answer, suspects those who did not for some
// rounds, and declares dead who did not refute it in time.
func (prober *Prober) endRound(now time.Time) {
	for _, id := range prober.pendingProbes {
		record := prober.table.records[id]
		if record == nil {
			continue
		}
		record.unanswered++
		if record.state == stateAlive && record.unanswered >= suspectAfterRounds {
			prober.Events.Record(eventHostSuspect, timeline.Event{Peer: id})
			prober.table.setState(record, stateSuspect, now)
		}
	}
	for _, id := range prober.table.ids(func(record *record) bool {
		return record.state == stateSuspect && now.Sub(record.changedAt) >= suspicionTimeout
	}) {
		prober.table.setState(prober.table.records[id], stateDead, now)
		prober.Events.Record(eventHostDead, timeline.Event{Peer: id})
		prober.scheduleViewUpdate()
	}
}

// resetAfterPause drops what this host could not hear while it was itself paused,
// and gives suspects their time anew.
func (prober *Prober) resetAfterPause(now time.Time) {
	clear(prober.pendingProbes)
	for _, record := range prober.table.records {
		record.unanswered = 0
		if record.state == stateSuspect {
			record.changedAt = now
		}
	}
}

// sample returns up to count of the entries, drawn at random.
func sample(entries []string, count int) []string {
	drawn := append([]string(nil), entries...)
	count = min(count, len(drawn))
	for i := range count {
		j := i + rand.N(len(drawn)-i)
		drawn[i], drawn[j] = drawn[j], drawn[i]
	}
	return drawn[:count]
}

func (prober *Prober) expireRelayed(now time.Time) {
	for number, probe := range prober.relayedProbes {
		if now.Sub(probe.sentAt) > probeInterval {
			delete(prober.relayedProbes, number)
		}
	}
}

// scheduleViewUpdate puts a new view in force soon.
func (prober *Prober) scheduleViewUpdate() {
	if prober.viewPending {
		return
	}
	prober.viewPending = true
	time.AfterFunc(viewDelay, prober.updateView)
}

func (prober *Prober) updateView() {
	prober.mutex.Lock()
	prober.viewPending = false
	hosts := []Host{prober.self.host()}
	for _, record := range prober.table.records {
		if record.isPresent() {
			hosts = append(hosts, record.host())
		}
	}
	prober.mutex.Unlock()
	prober.Members.SetHosts(hosts)
}

// Leave says that this host leaves: it takes on no responsibility from now
// on and goes on answering.
func (prober *Prober) Leave() {
	prober.withLock(func(time.Time) {
		prober.self.leaving = true
		prober.self.incarnation++
		prober.announceState()
		prober.scheduleViewUpdate()
	})
}

// announceLeft says that this host has ended.
func (prober *Prober) announceLeft(time.Time) {
	prober.self.state = stateLeft
	prober.announceState()
}

// announceState sends the own record to some hosts at once.
func (prober *Prober) announceState() {
	present := prober.table.ids((*record).isPresent)
	for _, id := range sample(present, announcementFanout) {
		prober.lastNumber++
		prober.ping(id, prober.lastNumber)
	}
}
