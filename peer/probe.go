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
	// suspectAfter is the number of rounds without an answer after which a
	// host is called suspect.
	suspectAfter = 2
	// suspicion is how long a suspect has to refute it.
	suspicion = 4 * time.Second
	// extraProbes is the most hosts, beyond the one whose turn it is, that
	// are probed in an interval because they did not answer before.
	extraProbes = 4
	// deadProbeRounds is the number of intervals between two probes of dead
	// hosts, in case they were only cut off.
	deadProbeRounds = 10
	// revivalTime is how long after the return of a dead host the other dead
	// ones are probed in each interval.
	revivalTime = 30 * time.Second
	// syncRounds is the mean number of intervals between two comparisons of
	// whole tables.
	syncRounds = 10
	// busySyncRounds is that while there is more news than busyNews records,
	// as after a cold start or a cut; whole tables then spread it faster.
	busySyncRounds = 4
	busyNews       = 20
	// askPause is the least time between two questions for a whole table to
	// known hosts, answerPause that between two tables sent.
	askPause    = 5 * time.Second
	answerPause = time.Second
	// viewDelay gathers changes into one new view.
	viewDelay = 100 * time.Millisecond
	// relayedProbes is the most probes that wait on behalf of other hosts.
	relayedProbes = 1024
	// farewells is the number of hosts told at once of a leaving or end.
	farewells = 16
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
	eventOlderTwin = timeline.Define(timeline.Kind{
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

	mutex  sync.Mutex
	self   record
	table  table
	turns  []string
	number uint64
	// awaited are the probes of this round without an answer, by number.
	awaited map[uint64]string
	// relayed are the probes sent for others, by number.
	relayed     map[uint64]relayedProbe
	revivedAt   time.Time
	syncedAt    time.Time
	answeredAt  time.Time
	viewPending bool
	refusedOnce bool
	twinOnce    bool
	replaced    chan string
	outbox      []letter
}

// relayedProbe is whom to tell of an answer.
type relayedProbe struct {
	address string
	number  uint64
	at      time.Time
}

// letter is a datagram to send once the lock is free.
type letter struct {
	address string
	probe   *peerpb.Probe
}

// begin prepares the state, once.
func (prober *Prober) begin() {
	if prober.table.records != nil {
		return
	}
	self := prober.Members.Self
	prober.self = record{
		id:          self.ID,
		zone:        self.Zone,
		address:     self.Address,
		incarnation: self.Incarnation << lifeShift,
		state:       stateAlive,
	}
	prober.table = newTable()
	prober.awaited = map[uint64]string{}
	prober.relayed = map[uint64]relayedProbe{}
	prober.replaced = make(chan string, 1)
}

// Run probes until the context ends, and says farewell then. It fails with
// Replaced when a newer host runs under the same id.
func (prober *Prober) Run(ctx context.Context) error {
	prober.do(func(time.Time) {})
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Go(func() { prober.followList(ctx) })
	pause.For(ctx, rand.N(probeInterval))
	for ctx.Err() == nil {
		began := time.Now()
		prober.do(prober.beginRound)
		if address := prober.wait(ctx, probeTimeout); address != "" {
			return prober.endReplaced(address)
		}
		prober.do(prober.probeIndirectly)
		if address := prober.wait(ctx, probeInterval-probeTimeout); address != "" {
			return prober.endReplaced(address)
		}
		if time.Since(began) > 2*probeInterval {
			prober.do(prober.afterPause)
			continue
		}
		prober.do(prober.endRound)
	}
	prober.do(prober.farewell)
	return nil
}

func (prober *Prober) endReplaced(address string) error {
	prober.Events.Record(eventReplaced, timeline.Event{Peer: prober.Members.Self.ID, Detail: address})
	return Replaced.New("a newer host at %s has the id %s", address, prober.Members.Self.ID)
}

// wait returns the address of a newer host of the same id, if one appears.
func (prober *Prober) wait(ctx context.Context, wait time.Duration) string {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case address := <-prober.replaced:
		return address
	}
	return ""
}

// do runs a step under the lock and then sends what it left in the outbox.
func (prober *Prober) do(step func(now time.Time)) {
	prober.mutex.Lock()
	prober.begin()
	step(time.Now())
	outbox := prober.outbox
	prober.outbox = nil
	prober.mutex.Unlock()
	for _, letter := range outbox {
		prober.send(letter)
	}
}

// beginRound probes the host whose turn it is, and those that did not answer.
func (prober *Prober) beginRound(now time.Time) {
	clear(prober.awaited)
	prober.expireRelayed(now)
	target := prober.nextTurn()
	if target == "" {
		prober.findOthers()
		return
	}
	prober.probe(target)
	doubted := prober.table.ids(func(record *record) bool {
		return record.present() && record.id != target && (record.unanswered > 0 || record.state == stateSuspect)
	})
	for _, id := range sample(doubted, extraProbes) {
		prober.probe(id)
	}
	prober.probeDead(now)
	if rand.N(prober.syncRounds()) == 0 {
		prober.askTable(target, now)
	}
}

func (prober *Prober) syncRounds() int {
	if len(prober.table.news) > busyNews {
		return busySyncRounds
	}
	return syncRounds
}

// nextTurn goes through all hosts in an order drawn anew each time, so that
// each one's turn comes within a bounded time.
func (prober *Prober) nextTurn() string {
	for {
		if len(prober.turns) == 0 {
			prober.turns = prober.table.ids((*record).present)
			rand.Shuffle(len(prober.turns), func(i, j int) {
				prober.turns[i], prober.turns[j] = prober.turns[j], prober.turns[i]
			})
		}
		if len(prober.turns) == 0 {
			return ""
		}
		id := prober.turns[0]
		prober.turns = prober.turns[1:]
		if record := prober.table.records[id]; record != nil && record.present() {
			return id
		}
	}
}

// findOthers asks the seeds for their tables.
func (prober *Prober) findOthers() {
	for _, address := range sample(prober.Seeds, indirectProbes) {
		prober.askAddress(address)
	}
}

func (prober *Prober) probe(id string) {
	prober.number++
	prober.awaited[prober.number] = id
	prober.ping(id, prober.number)
}

// ping sends a probe, with what is believed of its receiver so that it can
// refute it.
func (prober *Prober) ping(id string, number uint64) {
	record := prober.table.records[id]
	probe := &peerpb.Probe{Kind: kindPing, Number: number, Target: id}
	if record.state != stateAlive {
		probe.Hosts = append(probe.Hosts, record.message())
	}
	prober.post(record.address, probe)
}

// probeDead tries a dead host now and then, in case it was only cut off, and
// more often while dead ones come back.
func (prober *Prober) probeDead(now time.Time) {
	reviving := !prober.revivedAt.IsZero() && now.Sub(prober.revivedAt) < revivalTime
	if !reviving && rand.N(deadProbeRounds) != 0 {
		return
	}
	prober.table.forget(now)
	dead := prober.table.ids(func(record *record) bool { return record.state == stateDead })
	for _, id := range sample(dead, 1) {
		prober.number++
		prober.ping(id, prober.number)
	}
}

// probeIndirectly asks others to probe who has not answered yet, since the
// fault may lie between the two.
func (prober *Prober) probeIndirectly(time.Time) {
	numbers := make([]uint64, 0, len(prober.awaited))
	for number := range prober.awaited {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		target := prober.awaited[number]
		others := prober.table.ids(func(record *record) bool {
			return record.state == stateAlive && record.unanswered == 0 && record.id != target
		})
		for _, id := range sample(others, indirectProbes) {
			probe := &peerpb.Probe{Kind: kindIndirect, Number: number, Target: target}
			prober.post(prober.table.records[id].address, probe)
		}
	}
}

// endRound counts who did not answer, suspects those who did not for some
// rounds, and declares dead who did not refute it in time.
func (prober *Prober) endRound(now time.Time) {
	for _, id := range prober.awaited {
		record := prober.table.records[id]
		if record == nil {
			continue
		}
		record.unanswered++
		if record.state == stateAlive && record.unanswered >= suspectAfter {
			prober.Events.Record(eventHostSuspect, timeline.Event{Peer: id})
			prober.table.enter(record, stateSuspect, now)
		}
	}
	for _, id := range prober.table.ids(func(record *record) bool {
		return record.state == stateSuspect && now.Sub(record.changed) >= suspicion
	}) {
		prober.table.enter(prober.table.records[id], stateDead, now)
		prober.Events.Record(eventHostDead, timeline.Event{Peer: id})
		prober.changeView()
	}
}

// afterPause drops what this host could not hear while it was itself paused,
// and gives suspects their time anew.
func (prober *Prober) afterPause(now time.Time) {
	clear(prober.awaited)
	for _, record := range prober.table.records {
		record.unanswered = 0
		if record.state == stateSuspect {
			record.changed = now
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
	for number, probe := range prober.relayed {
		if now.Sub(probe.at) > probeInterval {
			delete(prober.relayed, number)
		}
	}
}

// changeView puts a new view in force soon.
func (prober *Prober) changeView() {
	if prober.viewPending {
		return
	}
	prober.viewPending = true
	time.AfterFunc(viewDelay, prober.publish)
}

func (prober *Prober) publish() {
	prober.mutex.Lock()
	prober.viewPending = false
	hosts := []Host{prober.self.host()}
	for _, record := range prober.table.records {
		if record.present() {
			hosts = append(hosts, record.host())
		}
	}
	prober.mutex.Unlock()
	prober.Members.SetHosts(hosts)
}

// Leave says that this host leaves: it takes on no responsibility from now
// on and goes on answering.
func (prober *Prober) Leave() {
	prober.do(func(time.Time) {
		prober.self.leaving = true
		prober.self.incarnation++
		prober.announce()
		prober.changeView()
	})
}

// farewell says that this host has ended.
func (prober *Prober) farewell(time.Time) {
	prober.self.state = stateLeft
	prober.announce()
}

// announce sends the own record to some hosts at once.
func (prober *Prober) announce() {
	present := prober.table.ids((*record).present)
	for _, id := range sample(present, farewells) {
		prober.number++
		prober.ping(id, prober.number)
	}
}
