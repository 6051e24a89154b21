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
	// probeInterval is the time between a host's probe rounds.
	probeInterval = time.Second
	// probeTimeout is how long a host waits for an answer before it asks others
	// to probe too.
	probeTimeout = 300 * time.Millisecond
	// indirectProbes is the number of hosts asked to probe a host that did not
	// answer. It is also the number of seeds contacted in a round and of hosts
	// that a refutation is sent to.
	indirectProbes = 3
	// suspectAfterRounds is the number of rounds without an answer after which
	// a host is suspected.
	suspectAfterRounds = 2
	// suspicionTimeout is how long a suspect has to refute the suspicion before
	// it is declared dead.
	suspicionTimeout = 4 * time.Second
	// maxExtraProbes is the most hosts probed in a round, besides the target of
	// the round, because they are suspect or did not answer their last probe.
	maxExtraProbes = 4
	// deadProbeRounds is the mean number of rounds between two probes of dead
	// hosts, in case they were only unreachable.
	deadProbeRounds = 10
	// revivalPeriod is how long, after a dead host came back, every round probes
	// one of the other dead hosts.
	revivalPeriod = 30 * time.Second
	// syncRounds is the mean number of rounds between two comparisons of whole
	// tables.
	syncRounds = 10
	// busySyncRounds replaces syncRounds while more than busyUpdates updates
	// are pending, as after a cold start or a partition; whole tables then
	// spread them faster.
	busySyncRounds = 4
	busyUpdates    = 20
	// minTableRequestInterval is the shortest time between two table requests
	// to known hosts, minTableSendInterval the shortest time between two tables
	// sent, to whichever host.
	minTableRequestInterval = 5 * time.Second
	minTableSendInterval    = time.Second
	// viewDelay is the time from a change to the new view, which also includes
	// the changes made meanwhile.
	viewDelay = 100 * time.Millisecond
	// maxRelayedProbes is the most pending probes on behalf of other hosts.
	maxRelayedProbes = 1024
	// announcementFanout is the number of hosts that this host sends its record
	// to when it starts to leave or ends.
	announcementFanout = 16
)

// Events of the membership protocol.
var (
	eventHostJoined = timeline.Define(timeline.Kind{
		Number: 6010, Name: "host joined", Level: timeline.Info,
		Meaning: "Another host was discovered, or came back after it was dead.",
	})
	eventHostSuspect = timeline.Define(timeline.Kind{
		Number: 6011, Name: "host suspect", Level: timeline.Trace,
		Meaning: "A host does not answer probes; it is still treated as live, and declared dead unless it answers within a few seconds.",
	})
	eventHostDead = timeline.Define(timeline.Kind{
		Number: 6012, Name: "host dead", Level: timeline.Info,
		Meaning: "A host did not answer for some seconds; others take on its responsibilities.",
	})
	eventHostLeft = timeline.Define(timeline.Kind{
		Number: 6013, Name: "host left", Level: timeline.Info,
		Meaning: "A host announced that it has ended.",
	})
	eventReplaced = timeline.Define(timeline.Kind{
		Number: 6014, Name: "host id taken", Level: timeline.Error,
		Meaning: "A newer host runs under this host's id, at the address in the detail; this host ends.",
		Action:  "give each host an id of its own in host.yaml",
	})
	eventOlderDuplicate = timeline.Define(timeline.Kind{
		Number: 6015, Name: "older host of the same id", Level: timeline.Warn,
		Meaning: "An older host runs, or ran, under this host's id at the address in the detail; it ends when it learns of this host.",
		Action:  "give each host an id of its own in host.yaml, unless the older one was moved",
	})
	eventBadDatagram = timeline.Define(timeline.Kind{
		Number: 6016, Name: "datagram refused", Level: timeline.Warn,
		Meaning: "A datagram was not a valid probe, or lacked the keyed hash of the hosts' secret; further ones are only counted, in datagramsRefused.",
		Action:  "if the count grows, find out what else sends to peers.listen",
	})
)

// Metrics of the membership protocol.
var (
	datagramsSent     = expvar.NewInt("datagramsSent")
	datagramBytesSent = expvar.NewInt("datagramBytesSent")
	datagramsRefused  = expvar.NewInt("datagramsRefused")
	falseSuspicions   = expvar.NewInt("suspicionsRefuted")
)

// Prober maintains the membership. In each round it probes one host, asks
// others to probe it too when it does not answer, and piggybacks updates on the
// probes; the cost for each host does not grow with the number of hosts. It
// follows SWIM (Das, Gupta and Motivala: SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol, DSN 2002), with its
// suspicion by incarnation, and also compares whole tables, on average every
// syncRounds rounds. Its exported fields must be set before use.
type Prober struct {
	Members *Members
	Events  *timeline.Recorder
	// Send sends a datagram; it may be lost.
	Send func(address string, datagram []byte)
	// Hosts reads the platform's list of hosts; nil if there is none.
	Hosts func(ctx context.Context) ([]objects.ListedHost, error)
	// Seeds are addresses that are contacted while no other host is known.
	Seeds []string
	// Secret is the HMAC key that all hosts share: datagrams without a tag made
	// with it are refused. If empty, datagrams carry no tag and none is checked.
	Secret []byte

	mutex           sync.Mutex
	self            record
	table           table
	probeOrder      []string
	lastProbeNumber uint64
	// pendingProbes maps the numbers of this round's unanswered probes to their
	// targets.
	pendingProbes map[uint64]string
	// relayedProbes are the pending probes on behalf of other hosts, by number.
	relayedProbes map[uint64]relayedProbe
	// revivedAt is when a dead host last came back.
	revivedAt         time.Time
	tableRequestedAt  time.Time
	tableSentAt       time.Time
	viewPending       bool
	refusalRecorded   bool
	duplicateRecorded bool
	// replacedBy receives the address of a newer host with this host's id.
	replacedBy chan string
	outbox     []outgoingProbe
}

// relayedProbe holds the address of the host that asked for a probe and the
// number under which it expects the answer.
type relayedProbe struct {
	address string
	number  uint64
	sentAt  time.Time
}

// outgoingProbe is a probe to be sent once the lock is released.
type outgoingProbe struct {
	address string
	probe   *peerpb.Probe
}

// initialize sets up the state on the first call.
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

// Run sends probes until the context ends and then announces that this host has
// ended. It fails with Replaced when a newer host runs under the same id.
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

// recordReplaced records an event and returns the error for Run.
func (prober *Prober) recordReplaced(address string) error {
	prober.Events.Record(eventReplaced, timeline.Event{Peer: prober.Members.Self.ID, Detail: address})
	return Replaced.New("a newer host at %s has the id %s", address, prober.Members.Self.ID)
}

// waitForReplacement waits for the given time, or until the context ends. If a
// newer host of the same id appears, it returns that host's address at once.
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

// withLock runs a function with the lock held and then, without the lock, sends
// the probes that it queued.
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

// startRound probes the next host of the probe order and up to maxExtraProbes
// hosts that are suspect or did not answer their last probe. It calls probeDead
// and, on average every currentSyncRounds rounds, requests the next host's table.
// While no other host is known it contacts seeds instead.
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

// nextTarget returns the next host of the probe order, which is shuffled anew
// for each pass over all hosts, so that each host is probed within a bounded
// time.
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

// contactSeeds asks up to indirectProbes seeds for their tables.
func (prober *Prober) contactSeeds() {
	for _, address := range sample(prober.Seeds, indirectProbes) {
		prober.requestTableFrom(address)
	}
}

func (prober *Prober) probe(id string) {
	prober.lastProbeNumber++
	prober.pendingProbes[prober.lastProbeNumber] = id
	prober.ping(id, prober.lastProbeNumber)
}

// ping queues a probe. If this host's record of the receiver is not alive, the
// probe carries that record so that the receiver can refute it.
func (prober *Prober) ping(id string, number uint64) {
	record := prober.table.records[id]
	probe := &peerpb.Probe{Kind: kindPing, Number: number, Target: id}
	if record.state != stateAlive {
		probe.Hosts = append(probe.Hosts, record.message())
	}
	prober.enqueue(record.address, probe)
}

// probeDead probes a random dead host, in case it was only unreachable: on
// average every deadProbeRounds rounds, and in every round for revivalPeriod
// after a dead host came back.
func (prober *Prober) probeDead(now time.Time) {
	reviving := !prober.revivedAt.IsZero() && now.Sub(prober.revivedAt) < revivalPeriod
	if !reviving && rand.N(deadProbeRounds) != 0 {
		return
	}
	prober.table.removeExpired(now)
	dead := prober.table.ids(func(record *record) bool { return record.state == stateDead })
	for _, id := range sample(dead, 1) {
		prober.lastProbeNumber++
		prober.ping(id, prober.lastProbeNumber)
	}
}

// probeIndirectly asks other hosts to probe those that have not answered yet,
// since only the path from this host to them may be broken.
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

// endRound counts unanswered probes, suspects hosts after suspectAfterRounds of
// them, and declares suspects dead after suspicionTimeout.
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

// resetAfterPause discards unanswered probes and restarts the timeouts of
// suspects. It is called after this process was paused and so could not receive
// answers.
func (prober *Prober) resetAfterPause(now time.Time) {
	clear(prober.pendingProbes)
	for _, record := range prober.table.records {
		record.unanswered = 0
		if record.state == stateSuspect {
			record.changedAt = now
		}
	}
}

// sample returns up to count of the entries, chosen at random.
func sample(entries []string, count int) []string {
	drawn := append([]string(nil), entries...)
	count = min(count, len(drawn))
	for i := range count {
		j := i + rand.N(len(drawn)-i)
		drawn[i], drawn[j] = drawn[j], drawn[i]
	}
	return drawn[:count]
}

// expireRelayed removes relayed probes that are older than probeInterval.
func (prober *Prober) expireRelayed(now time.Time) {
	for number, probe := range prober.relayedProbes {
		if now.Sub(probe.sentAt) > probeInterval {
			delete(prober.relayedProbes, number)
		}
	}
}

// scheduleViewUpdate updates the view after viewDelay, unless an update is
// already pending.
func (prober *Prober) scheduleViewUpdate() {
	if prober.viewPending {
		return
	}
	prober.viewPending = true
	time.AfterFunc(viewDelay, prober.updateView)
}

// updateView makes this host and the present hosts of the table the view.
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

// Leave announces that this host is leaving: from now on it takes on no
// responsibility, but still answers probes.
func (prober *Prober) Leave() {
	prober.withLock(func(time.Time) {
		prober.self.leaving = true
		prober.self.incarnation++
		prober.announceState()
		prober.scheduleViewUpdate()
	})
}

// announceLeft announces that this host has ended.
func (prober *Prober) announceLeft(time.Time) {
	prober.self.state = stateLeft
	prober.announceState()
}

// announceState pings up to announcementFanout present hosts without waiting
// for the next round; each datagram carries this host's record.
func (prober *Prober) announceState() {
	present := prober.table.ids((*record).isPresent)
	for _, id := range sample(present, announcementFanout) {
		prober.lastProbeNumber++
		prober.ping(id, prober.lastProbeNumber)
	}
}
