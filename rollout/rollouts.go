package rollout

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

const (
	// tickInterval is the time between two steps while there is a rollout or a held version.
	tickInterval = 100 * time.Millisecond
	// maxSilence is the time without an instruction after which a host sends nothing to the
	// new version; it is less where a bad version must be withdrawn sooner, down to
	// minSilence, in which some instructions come.
	maxSilence = 2500 * time.Millisecond
	minSilence = 800 * time.Millisecond
	// Instructions are made, and reports sent, every messageInterval; where there are many
	// hosts every relayedInterval, or every movingInterval while requests move. Instructions
	// are made every changeInterval for a while after the stage has changed, as datagrams may
	// be lost.
	messageInterval = 250 * time.Millisecond
	relayedInterval = time.Second
	movingInterval  = 500 * time.Millisecond
	changeInterval  = tickInterval
	changeRepeats   = 5
	// maxDirectHosts is the number of hosts up to which the deciding one tells all. With
	// more, each tells relayFanout others of each instruction that it hears first. That
	// reaches 19 of 20 hosts each time.
	maxDirectHosts = 16
	relayFanout    = 3
	// reportRoom is about the largest size of a report in bytes, reportRoomOfMany where there
	// are many hosts.
	reportRoom       = 1200
	reportRoomOfMany = 350
	// A host that stays without an answer is taken for one that knows no rollouts:
	// after firstAnswerTimeout if it never gave one, else after answerTimeout. It is asked
	// again every askAgainInterval.
	firstAnswerTimeout = 1200 * time.Millisecond
	answerTimeout      = 3 * time.Second
	askAgainInterval   = 5 * time.Second
	// watcherInterval is the time after which a host asks whether the one that watches the
	// orders for its zone still knows of rollouts.
	watcherInterval = 30 * time.Second
	// takeOverTime is the time for which a host listens before it decides, quickTakeOver that
	// where it has heard the host that decided until then and is no longer heard.
	takeOverTime  = time.Second
	quickTakeOver = 200 * time.Millisecond
	// recallAge is the age of the last instruction from which a host tells it the one that
	// decides: that may have started anew.
	recallAge = 700 * time.Millisecond
	// A host asks for orders every questionInterval, and reads them itself after
	// ownReadDelay.
	questionInterval = 300 * time.Millisecond
	ownReadDelay     = 2 * time.Second
	// forgottenTime is the time without an instruction after which a host asks whether an
	// order is still there.
	forgottenTime = 5 * time.Second
	// endTellingTime is the time for which the end of a rollout is told.
	endTellingTime = 10 * time.Second
	// writeRetryInterval is the time between two attempts to write a state.
	writeRetryInterval = 300 * time.Millisecond
	// A write may take writeTimeout, and maxWriteTimeout after one that failed: a slow store
	// must not be given up each time, a lost answer not awaited for long.
	writeTimeout    = time.Second
	maxWriteTimeout = 2 * time.Second
	// evidenceEvents is the number of events with evidence in the time of an order.
	evidenceEvents = 10
)

// Rollouts keeps a host's part of the rollouts of all pools. Its exported fields are set before
// use.
type Rollouts struct {
	// Address is the address of this host, Incarnation is higher after each start.
	Address     string
	Incarnation uint64
	Bounds      Bounds
	// Hosts returns the addresses of all hosts that are heard, with this one, in the order in
	// which they decide.
	Hosts func() []string
	// IsQuorate reports whether no other part of the hosts can decide.
	IsQuorate func() bool
	// Send sends a message to a host; it may be lost.
	Send  func(address string, message *Message)
	Store Store
	// Revision returns the platform's revision up to which this host has read the orders, and
	// Read reads them unless it is at least the given one. SetOrders is called before it
	// returns.
	Revision func() int64
	Read     func(ctx context.Context, revision int64) error
	// Use and Serves are those of the balancer.
	Use    func(pool string, version balance.VersionID) balance.VersionUse
	Serves func(pool string, restriction *balance.Restriction) (exists, hasRoom bool)
	Events *timeline.Recorder
	// Random returns random numbers; nil uses those of the runtime.
	Random *rand.Rand

	// plans are the plans by pool, nil if there are none. The map is replaced, never changed.
	plans atomic.Pointer[map[string]*Plan]
	// routeNames are the names of routes by their hash, for events.
	routeNames sync.Map

	mutex sync.Mutex
	moves map[string]*move
	pools map[string]poolVersions
	peers map[string]*peer
	// obsolete are the ids of rollouts whose orders were changed or removed.
	obsolete map[uint32]bool
	// learnedRevision is the revision of the orders that another host told.
	learnedRevision int64
	// decidesSince is when this host became the first of those that decide, zero if it is
	// not.
	decidesSince time.Time
	// askedAt is when another host was last asked for orders, askingSince when the first
	// such question was asked that has no answer.
	askedAt, askingSince time.Time
	isReading            bool
	outbox               map[string]*Message
	wakeUp               chan struct{}
}

// peer is what is known of another host.
type peer struct {
	heardAt time.Time
	// askedAt is when the first message without an answer was sent.
	askedAt time.Time
}

// move is the rollout of a pool.
type move struct {
	order Order
	// isRead is set if the order is known from the platform, and not only from another host.
	isRead  bool
	version balance.VersionID
	id      uint32
	seenAt  time.Time
	// start is when the order was first read by any host, zero if that is not known.
	start time.Time
	stage Stage
	// told is the last instruction, from decider at heardAt.
	told    Instruction
	decider string
	heardAt time.Time
	// relayed is the last instruction that was passed on, and relayedOf whose it was.
	relayed   uint64
	relayedOf string
	counter   *counter
	// decision is nil unless this host decides.
	decision *decision
	// endedAt is when the end was known, endedRevision the order's revision then.
	endedAt       time.Time
	endedRevision int64
	// missingSince is when the platform came back from a copy without the order.
	missingSince time.Time
	// abandoned are the versions of earlier orders that did not end, old the versions other
	// than the new one at the end.
	abandoned, old []balance.VersionID
	// reportedAt and reportedTo are the time and the receiver of the last report.
	reportedAt time.Time
	reportedTo string
	// instructedAt is when this host last gave an instruction; it gives further ones soon
	// while repeats is above 0.
	instructedAt time.Time
	repeats      int
	// isWriting is set while a state is written; the next attempt is not made before writeAt.
	isWriting   bool
	writeAt     time.Time
	writeFailed bool
	// writingSince is the first attempt to write a state that is not written yet, zero for
	// none; wroteIn is the longest time that a state or a mark took.
	writingSince time.Time
	wroteIn      time.Duration
	evidenceAt   time.Time
	lateTold     bool
	// markedAt is when the mark was last written, markedStage the stage in it. isMarkRead is
	// set once it was read, isLoadingMark while it is.
	markedAt                  time.Time
	markedStage               Stage
	isMarkRead, isLoadingMark bool
}

// Plan returns the plan of a pool, nil if there is none.
func (rollouts *Rollouts) plan(pool string) *Plan {
	if rollouts == nil {
		return nil
	}
	plans := rollouts.plans.Load()
	if plans == nil {
		return nil
	}
	return (*plans)[pool]
}

// Choose chooses the version for a request of a pool. Left is the time that the caller waits;
// isRepeated is set if the request was sent before.
func (rollouts *Rollouts) Choose(pool, route string, left time.Duration, isRepeated bool) Choice {
	plan := rollouts.plan(pool)
	if plan == nil {
		return Choice{}
	}
	return plan.choose(time.Now(), &demand{
		route: route, left: left, isRepeated: isRepeated, drawn: rollouts.draw(),
		serves: func(restriction *balance.Restriction) (exists, hasRoom bool) {
			return rollouts.Serves(pool, restriction)
		},
	})
}

// MaySend reports whether a request that was granted a target by a choice may be sent now.
func (rollouts *Rollouts) MaySend(target *balance.Target, choice Choice, route string, left time.Duration) bool {
	plan := rollouts.plan(target.Pool)
	return plan == nil || plan.maySend(time.Now(), target.VersionID(), choice, route, left)
}

// MayGoOn reports whether a stream that a version began may be sent to a target of it now.
func (rollouts *Rollouts) MayGoOn(pool string, version balance.VersionID, route string, left time.Duration) bool {
	plan := rollouts.plan(pool)
	if plan == nil {
		return true
	}
	choice := Choice{}
	if exists, _ := rollouts.Serves(pool, plan.others); !exists {
		choice.Reason = reasonNoOther
	}
	return plan.maySend(time.Now(), version, choice, route, left)
}

// Watches reports whether this host watches the platform's orders for its zone: it is the first
// of the zone's hosts that answers, or the one that decides.
func (rollouts *Rollouts) Watches(zone []string) bool {
	rollouts.mutex.Lock()
	defer rollouts.mutex.Unlock()
	now := time.Now()
	if !rollouts.decidesSince.IsZero() {
		return true
	}
	for _, address := range zone {
		if address == rollouts.Address {
			return true
		}
		if peer := rollouts.peer(address); now.Sub(peer.heardAt) > watcherInterval && peer.askedAt.IsZero() {
			rollouts.ask(address, now)
			rollouts.wake()
		}
		if rollouts.answers(address, now) {
			return false
		}
	}
	return true
}

// draw returns a random number from 0 to 1.
func (rollouts *Rollouts) draw() float64 {
	if rollouts.Random != nil {
		return rollouts.Random.Float64()
	}
	return rand.Float64()
}

// Run steps while there is a rollout or a held version, until the context ends. It returns nil.
func (rollouts *Rollouts) Run(ctx context.Context) error {
	rollouts.mutex.Lock()
	wakeUp := rollouts.wakeUpChannel()
	rollouts.mutex.Unlock()
	for {
		var elapsed <-chan time.Time
		if rollouts.Tick(ctx, time.Now()) {
			elapsed = time.After(tickInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-wakeUp:
		case <-elapsed:
		}
	}
}

// wakeUpChannel receives a value when there is something to do. The caller holds the mutex.
func (rollouts *Rollouts) wakeUpChannel() chan struct{} {
	if rollouts.wakeUp == nil {
		rollouts.wakeUp = make(chan struct{}, 1)
	}
	return rollouts.wakeUp
}

func (rollouts *Rollouts) wake() {
	select {
	case rollouts.wakeUpChannel() <- struct{}{}:
	default:
	}
}

// IsActive reports whether there is a rollout that has not ended.
func (rollouts *Rollouts) IsActive() bool {
	rollouts.mutex.Lock()
	defer rollouts.mutex.Unlock()
	for _, move := range rollouts.moves {
		if !move.stage.hasEnded() {
			return true
		}
	}
	return false
}

// Tick does what is due, and reports whether it must be called again after tickInterval.
func (rollouts *Rollouts) Tick(ctx context.Context, now time.Time) bool {
	rollouts.mutex.Lock()
	isActive := false
	decider := ""
	for _, move := range rollouts.moves {
		isActive = isActive || !move.stage.hasEnded() || now.Sub(move.endedAt) < endTellingTime
	}
	needed := rollouts.neededRevision(now)
	isActive = isActive || needed > 0
	if isActive {
		decider = rollouts.findDecider(now)
		rollouts.updateDecides(decider, now)
	} else {
		rollouts.decidesSince = time.Time{}
	}
	for _, pool := range slices.Sorted(maps.Keys(rollouts.moves)) {
		rollouts.stepMove(ctx, rollouts.moves[pool], decider, now)
	}
	if needed > 0 {
		rollouts.askForOrders(ctx, decider, needed, now)
	}
	rollouts.makePlans(now)
	outbox := rollouts.outbox
	rollouts.outbox = nil
	rollouts.mutex.Unlock()
	for address, message := range outbox {
		rollouts.Send(address, message)
	}
	return isActive
}

// message returns the message to a host that is sent at the end of this step.
func (rollouts *Rollouts) message(address string) *Message {
	if rollouts.outbox == nil {
		rollouts.outbox = map[string]*Message{}
	}
	if rollouts.outbox[address] == nil {
		rollouts.outbox[address] = &Message{}
	}
	return rollouts.outbox[address]
}

// findDecider returns the address of the first host that answers, which may be this one.
func (rollouts *Rollouts) findDecider(now time.Time) string {
	for _, address := range rollouts.Hosts() {
		if address == rollouts.Address || rollouts.answers(address, now) {
			return address
		}
	}
	return rollouts.Address
}

// answers reports whether a host answers, or was not asked for long.
func (rollouts *Rollouts) answers(address string, now time.Time) bool {
	peer := rollouts.peer(address)
	timeout := answerTimeout
	if peer.heardAt.IsZero() {
		timeout = firstAnswerTimeout
	}
	if peer.askedAt.IsZero() || now.Sub(peer.askedAt) < timeout {
		return true
	}
	if now.Sub(peer.askedAt) > askAgainInterval {
		// It is passed over until it answers.
		rollouts.message(address)
		peer.askedAt = now.Add(-timeout)
	}
	return false
}

func (rollouts *Rollouts) peer(address string) *peer {
	if rollouts.peers == nil {
		rollouts.peers = map[string]*peer{}
	}
	if rollouts.peers[address] == nil {
		rollouts.peers[address] = &peer{}
	}
	return rollouts.peers[address]
}

// hear records that a host that knows rollouts was heard.
func (rollouts *Rollouts) hear(address string, now time.Time) {
	if address != "" && address != rollouts.Address {
		peer := rollouts.peer(address)
		peer.heardAt, peer.askedAt = now, time.Time{}
	}
}

// ask returns the message to the deciding host, which has to answer.
func (rollouts *Rollouts) ask(decider string, now time.Time) *Message {
	if peer := rollouts.peer(decider); peer.askedAt.IsZero() {
		peer.askedAt = now
	}
	return rollouts.message(decider)
}

// updateDecides updates whether this host decides, and forgets hosts that are gone.
func (rollouts *Rollouts) updateDecides(decider string, now time.Time) {
	hosts := rollouts.Hosts()
	maps.DeleteFunc(rollouts.peers, func(address string, _ *peer) bool { return !slices.Contains(hosts, address) })
	if decider != rollouts.Address {
		rollouts.decidesSince = time.Time{}
	} else if rollouts.decidesSince.IsZero() {
		rollouts.decidesSince = now
	}
}

// stepMove does what is due for a rollout.
func (rollouts *Rollouts) stepMove(ctx context.Context, move *move, decider string, now time.Time) {
	switch {
	case move.stage.hasEnded():
		if decider == rollouts.Address {
			rollouts.tellEnd(move, now)
			rollouts.writeAgain(ctx, move, now)
		}
	case decider != rollouts.Address:
		move.decision = nil
		rollouts.report(move, decider, now)
	case !move.isRead || now.Sub(rollouts.decidesSince) < rollouts.takeOverTime(move):
		// Another host may have decided until now; the order is read soon.
	case move.decision == nil && !rollouts.knowsStart(ctx, move, now):
	default:
		rollouts.decide(ctx, move, now)
	}
}

// takeOverTime returns the time for which this host listens before it decides.
func (rollouts *Rollouts) takeOverTime(move *move) time.Duration {
	if move.decider == rollouts.Address || move.decider != "" && !slices.Contains(rollouts.Hosts(), move.decider) {
		return quickTakeOver
	}
	return takeOverTime
}

// relays reports whether there are so many hosts that they pass instructions on.
func (rollouts *Rollouts) relays() bool { return len(rollouts.Hosts()) > maxDirectHosts }

// interval returns the time between two messages in a stage.
func (rollouts *Rollouts) interval(stage Stage) time.Duration {
	switch {
	case !rollouts.relays():
		return messageInterval
	case stage == Moving:
		return movingInterval
	default:
		return relayedInterval
	}
}

// report sends what this host counted to the deciding one.
func (rollouts *Rollouts) report(move *move, decider string, now time.Time) {
	if now.Sub(move.reportedAt) < rollouts.interval(move.stage) {
		return
	}
	room := reportRoom
	if rollouts.relays() {
		room = reportRoomOfMany
	}
	if move.reportedTo != decider {
		move.counter.retell()
	}
	move.reportedAt, move.reportedTo = now, decider
	message := rollouts.ask(decider, now)
	if move.id == 0 {
		return
	}
	if age := now.Sub(move.heardAt); move.decider != decider || age > recallAge {
		// The host that decides now may not know what was decided.
		recalled := move.told
		recalled.Age += age
		message.Decider, message.Instructions = move.decider, append(message.Instructions, recalled)
	}
	message.Reports = append(message.Reports, rollouts.newReport(move, room))
}

func (rollouts *Rollouts) newReport(move *move, room int) Report {
	return Report{
		Rollout: move.id, Incarnation: rollouts.Incarnation, Acknowledged: move.told.Sequence,
		Requests: move.counter.requests.Load(), Sent: move.counter.sent.Load(),
		RunningOld: rollouts.Use(move.order.Pool, move.version).OwnOthers,
		Cells:      move.counter.take(room),
	}
}

// decide takes the decisions on a rollout that are due.
func (rollouts *Rollouts) decide(ctx context.Context, move *move, now time.Time) {
	if move.decision == nil {
		rollouts.beginToDecide(move, now)
	}
	decision := move.decision
	use := rollouts.Use(move.order.Pool, move.version)
	report := rollouts.newReport(move, maxCells*cellBytes)
	decision.receive(rollouts.Address, &report, now)
	before := decision.stage
	if before == Sharing {
		decision.reserveFor(move.wroteIn)
	}
	decision.step(now, &view{
		hosts: rollouts.Hosts(), isQuorate: rollouts.IsQuorate(),
		targets: use.Targets, slots: use.Slots, inFlight: use.Others,
	})
	rollouts.recordDecision(move, before, now)
	rollouts.keepMark(ctx, move, now)
	rollouts.write(ctx, move, max(Running, decision.wanted), now)
	interval := rollouts.interval(decision.stage)
	if move.repeats > 0 {
		interval = changeInterval
	}
	if decision.stage != before {
		interval, move.repeats = 0, changeRepeats
	}
	if now.Sub(move.instructedAt) >= interval {
		rollouts.instruct(move, decision.instruction(now), now)
	}
}

// beginToDecide takes the decisions on a rollout over, or begins it.
func (rollouts *Rollouts) beginToDecide(move *move, now time.Time) {
	if move.start.IsZero() {
		move.start = move.seenAt
	}
	if move.id == 0 {
		move.id = max(1, uint32(rollouts.draw()*math.MaxUint32))
	}
	move.counter.retell()
	move.decision = newDecision(rollouts.Bounds, move.start, move.order.Duration)
	move.decision.inherit(&move.told)
	if move.told.Duration > 0 {
		move.decision.reserveTime(move.order.Duration - move.told.Duration)
	}
	move.evidenceAt = now
	rollouts.Events.Record(eventDecides, timeline.Event{Pool: move.order.Pool, Detail: move.order.Version, Facts: []timeline.Fact{
		{Key: "rollout", Value: formatID(move.id)}, {Key: "stage", Value: move.decision.stage.String()},
		timeline.Duration("age", now.Sub(move.start)),
	}})
}

// formatID returns the id of a rollout as it appears in events.
func formatID(id uint32) string { return strconv.FormatUint(uint64(id), 16) }

// instruct tells an instruction to the others, and keeps to it.
func (rollouts *Rollouts) instruct(move *move, instruction Instruction, now time.Time) {
	instruction.Rollout, instruction.Pool, instruction.Version = move.id, move.order.Pool, move.order.Version
	instruction.Incarnation = rollouts.Incarnation
	move.instructedAt, move.repeats = now, max(0, move.repeats-1)
	move.told, move.decider, move.heardAt = instruction, rollouts.Address, now
	move.stage = max(move.stage, instruction.Stage)
	rollouts.spread(rollouts.Address, instruction)
}

// spread sends an instruction of a host to others.
func (rollouts *Rollouts) spread(decider string, instruction Instruction) {
	hosts := slices.DeleteFunc(slices.Clone(rollouts.Hosts()), func(address string) bool {
		return address == rollouts.Address || address == decider
	})
	if rollouts.relays() {
		for i := range relayFanout {
			other := i + int(rollouts.draw()*float64(len(hosts)-i))
			hosts[i], hosts[other] = hosts[other], hosts[i]
		}
		hosts = hosts[:relayFanout]
	}
	for _, address := range hosts {
		message := rollouts.message(address)
		message.Decider = decider
		message.Instructions = append(message.Instructions, instruction)
	}
}

// tellEnd tells the others that a rollout has ended.
func (rollouts *Rollouts) tellEnd(move *move, now time.Time) {
	interval := movingInterval
	if move.repeats > 0 {
		interval = changeInterval
	}
	if now.Sub(move.instructedAt) < interval || now.Sub(move.endedAt) >= endTellingTime || move.id == 0 {
		return
	}
	instruction := move.told
	instruction.Sequence++
	instruction.Stage, instruction.Share, instruction.Routes = move.stage, 0, nil
	rollouts.instruct(move, instruction, now)
}

// recordDecision records the deciding host's evidence: when the stage has changed, and now and
// then.
func (rollouts *Rollouts) recordDecision(move *move, before Stage, now time.Time) {
	decision := move.decision
	if decision.isLate && !move.lateTold {
		move.lateTold = true
		rollouts.Events.Record(eventLate, timeline.Event{Pool: move.order.Pool, Facts: []timeline.Fact{timeline.Count("running", decision.running())}})
	}
	if decision.stage != before {
		rollouts.recordStage(move, decision.stage, decision.reason, rollouts.evidenceFacts(decision))
	}
	if now.Sub(move.evidenceAt) >= decision.duration/evidenceEvents {
		move.evidenceAt = now
		rollouts.Events.Record(eventEvidence, timeline.Event{Pool: move.order.Pool, Detail: move.order.Version, Facts: rollouts.evidenceFacts(decision)})
	}
}

// recordStage records that the stage of a rollout has changed.
func (rollouts *Rollouts) recordStage(move *move, stage Stage, reason string, facts []timeline.Fact) {
	countStage(stage)
	kind, event := eventStage, timeline.Event{Pool: move.order.Pool, Detail: stage.String(), Facts: append([]timeline.Fact{
		{Key: "version", Value: move.order.Version}, {Key: "reason", Value: reason}, {Key: "rollout", Value: formatID(move.id)},
	}, facts...)}
	if move.decider != rollouts.Address && move.decision == nil {
		event.Peer = move.decider
	}
	if stage == RollingBack && move.decision != nil {
		kind, event.Detail = eventRolledBack, move.order.Version
	}
	rollouts.Events.Record(kind, event)
}

// evidenceFacts returns what the deciding host knows, for events.
func (rollouts *Rollouts) evidenceFacts(decision *decision) []timeline.Fact {
	answers, failed := decision.evidence.answered()
	facts := []timeline.Fact{
		timeline.Count("requests", int64(decision.requests)), timeline.Count("sent", int64(decision.sent)),
		timeline.Count("answers", answers), timeline.Count("failed", failed),
		{Key: "share", Value: strconv.FormatFloat(decision.share, 'g', 2, 64)},
		{Key: "eValue", Value: strconv.FormatFloat(decision.finding.value, 'g', 3, 64)},
		timeline.Duration("left", time.Until(decision.schedule.deadline)),
	}
	if decision.finding.isBad(finalAlpha) {
		route := "all routes"
		if name, isKnown := rollouts.routeNames.Load(decision.finding.route); isKnown {
			route = "route " + name.(string)
		}
		facts = append(facts, timeline.Fact{Key: "evidence", Value: decision.finding.describe(route)})
	}
	return facts
}

// writeAgain writes the end of a rollout again if the platform has come back from a copy that
// does not show it.
func (rollouts *Rollouts) writeAgain(ctx context.Context, move *move, now time.Time) {
	if eraOf(move.order.Revision) <= eraOf(move.endedRevision) || !move.missingSince.IsZero() {
		return
	}
	switch move.stage {
	case MoveCompleted:
		rollouts.write(ctx, move, Completed, now)
	case MoveRolledBack:
		rollouts.write(ctx, move, RolledBack, now)
	}
}

// write writes the state that the platform has to show, if it shows another one.
func (rollouts *Rollouts) write(ctx context.Context, move *move, state State, now time.Time) {
	if move.order.shown() == state {
		// A write may have taken effect after it was given up.
		move.countWritten(now)
		return
	}
	if move.isWriting || now.Before(move.writeAt) {
		return
	}
	move.isWriting = true
	timeout := writeTimeout
	if move.writingSince.IsZero() {
		move.writingSince = now
	} else if move.writeFailed {
		timeout = maxWriteTimeout
	}
	order := move.order
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		written, err := rollouts.Store.Write(ctx, order, state)
		rollouts.recordWritten(move, order, written, state, err)
	}()
}

// countWritten notes how long a state took to be written, if one was being written.
func (move *move) countWritten(now time.Time) {
	if !move.writingSince.IsZero() {
		move.wroteIn = max(move.wroteIn, now.Sub(move.writingSince))
		move.writingSince = time.Time{}
	}
}

// recordWritten applies the result of a write.
func (rollouts *Rollouts) recordWritten(move *move, order, written Order, state State, err error) {
	statusWrites.Inc()
	rollouts.mutex.Lock()
	defer rollouts.mutex.Unlock()
	defer rollouts.wake()
	now := time.Now()
	move.isWriting = false
	if rollouts.moves[order.Pool] != move {
		return
	}
	if err == nil || Is(err, Changed) {
		move.countWritten(now)
	}
	switch {
	case err == nil:
		move.writeFailed = false
		rollouts.Events.Record(eventWritten, timeline.Event{Pool: order.Pool, Detail: state.String(), Facts: []timeline.Fact{{Key: "version", Value: order.Version}}})
		if move.order.Revision <= order.Revision {
			move.order = written
			if move.order.hasEnded() {
				rollouts.end(move, now)
			}
		}
	case Is(err, Changed):
		// It may be the answer to an earlier write that was lost, or another order.
		rollouts.applyOrder(written, now)
	default:
		statusWritesFailed.Inc()
		move.writeAt = now.Add(writeRetryInterval)
		if !move.writeFailed {
			move.writeFailed = true
			rollouts.Events.Record(eventNotWritten, timeline.Event{Pool: order.Pool, Detail: state.String() + ": " + err.Error()})
		}
	}
}
