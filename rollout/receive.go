package rollout

import (
	"context"
	"time"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
)

// Receive applies a message of another host.
func (rollouts *Rollouts) Receive(from string, message *Message) {
	rollouts.mutex.Lock()
	now := time.Now()
	rollouts.hear(from, now)
	if len(message.Instructions) > 0 {
		rollouts.hear(message.Decider, now)
	}
	for i := range message.Reports {
		for _, move := range rollouts.moves {
			if move.decision != nil && move.id == message.Reports[i].Rollout {
				move.decision.receive(from, &message.Reports[i], now)
			}
		}
	}
	for i := range message.Instructions {
		rollouts.learn(message.Decider, &message.Instructions[i], now)
	}
	if message.Knowledge != nil {
		rollouts.learnOrders(from, message.Knowledge, now)
	}
	if message.Question > 0 {
		rollouts.answer(from, message.Question)
	} else if message.Decider == "" && message.Knowledge == nil && !rollouts.instructs(now) {
		// It shows that this host knows rollouts.
		rollouts.message(from).Decider = rollouts.Address
	}
	if len(message.Instructions) > 0 || message.Knowledge != nil {
		rollouts.makePlans(now)
	}
	outbox := rollouts.outbox
	rollouts.outbox = nil
	if len(message.Instructions) > 0 || message.Knowledge != nil {
		rollouts.wake()
	}
	rollouts.mutex.Unlock()
	for address, message := range outbox {
		rollouts.Send(address, message)
	}
}

// instructs reports whether this host gives instructions, by which others hear it.
func (rollouts *Rollouts) instructs(now time.Time) bool {
	for _, move := range rollouts.moves {
		if move.decider == rollouts.Address && now.Sub(move.instructedAt) < movingInterval && !rollouts.relays() {
			return true
		}
	}
	return false
}

// learn applies an instruction.
func (rollouts *Rollouts) learn(decider string, instruction *Instruction, now time.Time) {
	if rollouts.obsolete[instruction.Rollout] {
		return
	}
	move := rollouts.moves[instruction.Pool]
	if decider == rollouts.Address {
		// This host may have decided before it started anew.
		if instruction.Incarnation == rollouts.Incarnation {
			return
		}
		if move == nil && instruction.Stage != Dropped {
			// It may read the orders late.
			move = rollouts.begin(orderOf(instruction), nil, now)
			move.isRead = false
		}
		if move != nil {
			rollouts.recall(move, instruction, now)
		}
		return
	}
	order := orderOf(instruction)
	if move != nil && move.id == instruction.Rollout && instruction.Sequence <= move.told.Sequence && decider == move.decider {
		return
	}
	if move == nil || move.version != order.versionID() || move.stage.hasEnded() && move.id != instruction.Rollout {
		if instruction.Stage == Dropped {
			return
		}
		// The deciding host watches the platform, this one may not.
		abandoned := abandonedBy(move)
		move = rollouts.begin(order, abandoned, now)
		move.isRead = false
	}
	if move.order.Version == "" {
		move.order.Version = instruction.Version
	}
	if rollouts.relays() && (move.relayedOf != decider || move.relayed < instruction.Sequence) {
		move.relayedOf, move.relayed = decider, instruction.Sequence
		rollouts.spread(decider, *instruction)
	}
	// Only the host that decides by this one's view is followed, but a rollout that rolls
	// back does so whoever says it.
	isFollowed := rollouts.follows(decider, now)
	if !isFollowed && instruction.Stage < RollingBack {
		rollouts.recall(move, instruction, now)
		return
	}
	move.id = instruction.Rollout
	before := move.stage
	move.stage = max(move.stage, instruction.Stage)
	if isFollowed {
		if decider != move.decider || instruction.Incarnation != move.told.Incarnation {
			// It knows no reports yet.
			move.counter.retell()
		}
		move.told, move.decider, move.heardAt = *instruction, decider, now
		move.start = now.Add(-instruction.Age)
		if !move.isRead {
			move.order.Duration = instruction.Duration
		}
	}
	if move.stage != before {
		move.decider = decider
		if move.stage.hasEnded() {
			stage := move.stage
			move.stage = before
			rollouts.setEnded(move, stage, "told by another host", now)
		} else {
			rollouts.recordStage(move, move.stage, "told by another host", nil)
		}
	}
}

// orderOf returns the order that an instruction is about.
func orderOf(instruction *Instruction) Order {
	return Order{Name: instruction.Pool, Pool: instruction.Pool, Version: instruction.Version, Duration: instruction.Duration}
}

// recall takes over what another host decided before, as it may be this one that decides next.
func (rollouts *Rollouts) recall(move *move, instruction *Instruction, now time.Time) {
	if move.stage.hasEnded() || move.version != balance.NewVersionID(instruction.Pool, instruction.Version) ||
		move.id != 0 && move.told.Sequence >= instruction.Sequence {
		return
	}
	move.id, move.told, move.start = instruction.Rollout, *instruction, now.Add(-instruction.Age)
	if !instruction.endsOld() {
		move.told.Share = 0
	}
	move.stage = max(move.stage, instruction.Stage)
	if move.decision != nil {
		move.decision.inherit(instruction)
		move.decision.reschedule(move.start, move.order.Duration)
	}
}

// follows reports whether a host decides by this one's view: none that comes before it is known
// to answer.
func (rollouts *Rollouts) follows(decider string, now time.Time) bool {
	for _, address := range rollouts.Hosts() {
		if address == decider {
			return true
		}
		if address == rollouts.Address || !rollouts.peer(address).heardAt.IsZero() && rollouts.answers(address, now) {
			return false
		}
	}
	return false
}

// answer answers a question for orders, once this host knows them up to the revision.
func (rollouts *Rollouts) answer(from string, revision int64) {
	if rollouts.Revision() < revision {
		rollouts.read(context.Background(), revision)
		// The question comes again.
		rollouts.message(from).Decider = rollouts.Address
		return
	}
	knowledge := &Knowledge{Revision: rollouts.Revision()}
	for _, move := range rollouts.moves {
		if !move.stage.hasEnded() {
			knowledge.Orders = append(knowledge.Orders, KnownOrder{Pool: move.order.Pool, Version: move.version})
		}
	}
	rollouts.message(from).Knowledge = knowledge
}

// read reads the orders up to a revision, unless that is done already.
func (rollouts *Rollouts) read(ctx context.Context, revision int64) {
	if rollouts.isReading {
		return
	}
	rollouts.isReading = true
	go func() {
		// A failed read is recorded by the reader, and tried again.
		_ = rollouts.Read(ctx, revision)
		rollouts.mutex.Lock()
		defer rollouts.mutex.Unlock()
		rollouts.isReading = false
		rollouts.wake()
	}()
}

// learnOrders applies what another host knows of the orders.
func (rollouts *Rollouts) learnOrders(from string, knowledge *Knowledge, now time.Time) {
	rollouts.learnedRevision = max(rollouts.learnedRevision, knowledge.Revision)
	rollouts.askingSince = time.Time{}
	isListed := map[string]bool{}
	for _, order := range knowledge.Orders {
		isListed[order.Pool] = true
		if move := rollouts.moves[order.Pool]; move == nil || move.version != order.Version && !move.isRead {
			rollouts.addMove(newUnreadMove(order, abandonedBy(move), now))
			rollouts.Events.Record(eventOrdered, timeline.Event{Pool: order.Pool, Peer: from})
		}
	}
	for pool, move := range rollouts.moves {
		if !isListed[pool] && !move.stage.hasEnded() && now.Sub(move.heardAt) > forgottenTime && knowledge.Revision >= move.order.Revision {
			rollouts.drop(move, "another host knows no order", now)
		}
	}
}

// newUnreadMove returns the rollout of an order that another host knows.
func newUnreadMove(order KnownOrder, abandoned []balance.VersionID, now time.Time) *move {
	return &move{
		order: Order{Name: order.Pool, Pool: order.Pool}, version: order.Version, seenAt: now, heardAt: now,
		counter: &counter{}, abandoned: abandoned,
	}
}
