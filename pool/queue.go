package pool

import (
	"container/heap"
	"time"

	"nutmegfield.example/request"
)

// idleTier is how long a tier must be empty before its flows are discarded.
const idleTier = 10 * time.Second

// queue orders the waiting tickets: by tier, within a tier weighted fair between
// workspaces, within a workspace by deadline. Each operation takes time
// logarithmic in the number of waiting tickets.
//
// Fairness is start-time fair queueing (Goyal, Vin and Cheng, 1996) on the
// estimated cost, corrected when the actual cost is known.
type queue struct {
	weights map[string]int
	tiers   []*tierQueue
	items   map[request.ID]*item
	expiry  indexedHeap[*item]
}

type tierQueue struct {
	workspaces map[string]*flow
	// turns has the flows with a ticket to grant, the next one first.
	turns indexedHeap[*flow]
	// victims has the flows with sheddable tickets, the largest backlog for its
	// weight first.
	victims indexedHeap[*flow]
	// idle has the flows without tickets that used more than their share.
	idle indexedHeap[*flow]
	// virtual is the virtual time of start-time fair queueing.
	virtual float64
	length  int
	emptyAt time.Time
}

// flow has the waiting tickets of one workspace in one tier.
type flow struct {
	workspace string
	weight    float64
	// ready has the tickets to grant, the earliest deadline first.
	ready indexedHeap[*item]
	// sheddable has the tickets that may be shed, the latest deadline first.
	sheddable indexedHeap[*item]
	// backlog is the total cost of the sheddable tickets.
	backlog float64
	start   float64
	length  int

	turnIndex, victimIndex, idleIndex int
}

type item struct {
	ticket *request.Ticket
	flow   *flow
	cost   float64

	readyIndex, shedIndex, expiryIndex int
}

func newQueue() *queue {
	return &queue{
		items: map[request.ID]*item{},
		expiry: indexedHeap[*item]{
			less:  func(one, other *item) bool { return earlierDeadline(one.ticket, other.ticket) },
			index: func(item *item) *int { return &item.expiryIndex },
		},
	}
}

func newTier() *tierQueue {
	return &tierQueue{
		workspaces: map[string]*flow{},
		turns: indexedHeap[*flow]{
			less:  startsBefore,
			index: func(flow *flow) *int { return &flow.turnIndex },
		},
		victims: indexedHeap[*flow]{
			less:  shedsBefore,
			index: func(flow *flow) *int { return &flow.victimIndex },
		},
		idle: indexedHeap[*flow]{
			less:  func(one, other *flow) bool { return one.start < other.start },
			index: func(flow *flow) *int { return &flow.idleIndex },
		},
	}
}

func newFlow(workspace string, weight int) *flow {
	return &flow{
		workspace: workspace,
		weight:    float64(max(1, weight)),
		ready: indexedHeap[*item]{
			less:  func(one, other *item) bool { return earlierDeadline(one.ticket, other.ticket) },
			index: func(item *item) *int { return &item.readyIndex },
		},
		sheddable: indexedHeap[*item]{
			less:  func(one, other *item) bool { return earlierDeadline(other.ticket, one.ticket) },
			index: func(item *item) *int { return &item.shedIndex },
		},
		turnIndex: notInHeap, victimIndex: notInHeap, idleIndex: notInHeap,
	}
}

func (queue *queue) len() int { return len(queue.items) }

func (queue *queue) get(id request.ID) *request.Ticket {
	if found := queue.items[id]; found != nil {
		return found.ticket
	}
	return nil
}

func (queue *queue) tier(number request.Tier) *tierQueue {
	for len(queue.tiers) <= int(number) {
		queue.tiers = append(queue.tiers, newTier())
	}
	return queue.tiers[number]
}

func (queue *queue) flow(tier *tierQueue, workspace string) *flow {
	found := tier.workspaces[workspace]
	if found == nil {
		found = newFlow(workspace, queue.weights[workspace])
		found.start = tier.virtual
		tier.workspaces[workspace] = found
	}
	return found
}

func (queue *queue) push(ticket *request.Ticket) {
	tier := queue.tier(ticket.Tier)
	flow := queue.flow(tier, ticket.Workspace)
	if flow.length == 0 {
		flow.start = max(flow.start, tier.virtual)
	}
	added := &item{
		ticket: ticket, flow: flow, cost: cost(ticket),
		readyIndex: notInHeap, shedIndex: notInHeap, expiryIndex: notInHeap,
	}
	queue.items[ticket.ID] = added
	tier.idle.remove(flow)
	flow.length++
	tier.length++
	queue.expiry.fix(added)
	if ticket.Sheddable {
		flow.sheddable.fix(added)
		flow.backlog += added.cost
		tier.victims.fix(flow)
	}
	flow.ready.fix(added)
	tier.turns.fix(flow)
}

// remove removes a ticket if it is in the queue.
func (queue *queue) remove(id request.ID) {
	found := queue.items[id]
	if found == nil {
		return
	}
	tier := queue.tiers[found.ticket.Tier]
	flow := found.flow
	queue.setAside(found)
	queue.expiry.remove(found)
	if found.ticket.Sheddable {
		flow.sheddable.remove(found)
		flow.backlog -= found.cost
		tier.fixVictim(flow)
	}
	delete(queue.items, id)
	flow.length--
	tier.length--
	if flow.length == 0 {
		tier.retire(flow)
	}
	if tier.length == 0 {
		tier.emptyAt = time.Now()
	}
}

// setAside excludes a ticket from next; it stays in the queue.
func (queue *queue) setAside(found *item) {
	tier := queue.tiers[found.ticket.Tier]
	found.flow.ready.remove(found)
	if found.flow.ready.len() == 0 {
		tier.turns.remove(found.flow)
		return
	}
	tier.turns.fix(found.flow)
}

// putBack undoes setAside.
func (queue *queue) putBack(found *item) {
	found.flow.ready.fix(found)
	queue.tiers[found.ticket.Tier].turns.fix(found.flow)
}

// next returns the ticket to grant next without removing it, or nil.
func (queue *queue) next() *item {
	for _, tier := range queue.tiers {
		if tier.turns.len() > 0 {
			return tier.turns.first().ready.first()
		}
	}
	return nil
}

// take removes a ticket that is granted and charges its workspace.
func (queue *queue) take(found *item) {
	tier := queue.tiers[found.ticket.Tier]
	flow := found.flow
	tier.virtual = max(tier.virtual, flow.start)
	flow.start += found.cost / flow.weight
	queue.remove(found.ticket.ID)
	if flow.turnIndex != notInHeap {
		tier.turns.fix(flow)
	}
	tier.forgetIdle()
}

// correct charges a workspace the difference between the actual cost of a ticket
// and its estimate, which take charged.
func (queue *queue) correct(ticket *request.Ticket, real float64) {
	difference := real - cost(ticket)
	tier := queue.tier(ticket.Tier)
	if difference == 0 || (difference < 0 && tier.workspaces[ticket.Workspace] == nil) {
		return
	}
	flow := queue.flow(tier, ticket.Workspace)
	flow.start = max(tier.virtual, flow.start+difference/flow.weight)
	if flow.turnIndex != notInHeap {
		tier.turns.fix(flow)
	}
	if flow.length == 0 {
		tier.retire(flow)
	}
}

// setWeights replaces the weights of the workspaces.
func (queue *queue) setWeights(weights map[string]int) {
	queue.weights = weights
	for _, tier := range queue.tiers {
		for name, flow := range tier.workspaces {
			flow.weight = float64(max(1, weights[name]))
		}
		tier.victims.reorder()
	}
}

// forgetIdle discards the flows of tiers that have been empty for idleTier.
func (queue *queue) forgetIdle(now time.Time) {
	for i, tier := range queue.tiers {
		if tier.length == 0 && len(tier.workspaces) > 0 && now.Sub(tier.emptyAt) > idleTier {
			queue.tiers[i] = newTier()
		}
	}
}

// expired removes and returns a ticket whose deadline has passed, or nil.
func (queue *queue) expired(now time.Time) *request.Ticket {
	if queue.expiry.len() == 0 {
		return nil
	}
	ticket := queue.expiry.first().ticket
	if ticket.Deadline.After(now) {
		return nil
	}
	queue.remove(ticket.ID)
	return ticket
}

// victim returns the ticket to shed next: in the lowest tier with a sheddable
// ticket, in the workspace with the largest backlog for its weight, the one with
// the latest deadline. It returns nil if no ticket may be shed.
func (queue *queue) victim() *request.Ticket {
	for i := len(queue.tiers) - 1; i >= 0; i-- {
		if victims := &queue.tiers[i].victims; victims.len() > 0 {
			return victims.first().sheddable.first().ticket
		}
	}
	return nil
}

// retire keeps an empty flow only while it has used more than its share.
func (tier *tierQueue) retire(flow *flow) {
	if flow.start > tier.virtual {
		tier.idle.fix(flow)
		return
	}
	tier.idle.remove(flow)
	delete(tier.workspaces, flow.workspace)
}

func (tier *tierQueue) forgetIdle() {
	for tier.idle.len() > 0 && tier.idle.first().start <= tier.virtual {
		tier.retire(tier.idle.first())
	}
}

func (tier *tierQueue) fixVictim(flow *flow) {
	if flow.sheddable.len() == 0 {
		tier.victims.remove(flow)
		flow.backlog = 0
		return
	}
	tier.victims.fix(flow)
}

func startsBefore(one, other *flow) bool {
	if one.start != other.start {
		return one.start < other.start
	}
	return one.workspace < other.workspace
}

func shedsBefore(one, other *flow) bool {
	mine, others := one.backlog/one.weight, other.backlog/other.weight
	if mine != others {
		return mine > others
	}
	return one.workspace < other.workspace
}

// promptPerOutput is the number of prompt tokens that cost as much as one output
// token: decoding a token takes a slot far longer than its prefill.
const promptPerOutput = 20.0

// cost returns the estimated cost of a ticket, in output tokens.
func cost(ticket *request.Ticket) float64 {
	return work(ticket.Size.PromptTokens, ticket.Size.OutputTokens)
}

func work(promptTokens, outputTokens int) float64 {
	return 1 + float64(outputTokens) + float64(promptTokens)/promptPerOutput
}

func earlierDeadline(one, other *request.Ticket) bool {
	if !one.Deadline.Equal(other.Deadline) {
		return one.Deadline.Before(other.Deadline)
	}
	return string(one.ID[:]) < string(other.ID[:])
}

// notInHeap is the index of an element that is in no heap.
const notInHeap = -1

// indexedHeap is a binary heap that keeps each member's index in the member, so
// that a member can be moved or removed in logarithmic time.
type indexedHeap[T any] struct {
	members []T
	less    func(one, other T) bool
	index   func(member T) *int
}

func (indexedHeap *indexedHeap[T]) len() int { return len(indexedHeap.members) }

func (indexedHeap *indexedHeap[T]) first() T { return indexedHeap.members[0] }

// fix adds a member, or restores the order after its key changed.
func (indexedHeap *indexedHeap[T]) fix(member T) {
	index := *indexedHeap.index(member)
	if index == notInHeap {
		heap.Push((*heapInterface[T])(indexedHeap), member)
		return
	}
	heap.Fix((*heapInterface[T])(indexedHeap), index)
}

// reorder restores the order after the keys of many members changed.
func (indexedHeap *indexedHeap[T]) reorder() { heap.Init((*heapInterface[T])(indexedHeap)) }

// remove removes a member if it is in the heap.
func (indexedHeap *indexedHeap[T]) remove(member T) {
	if index := *indexedHeap.index(member); index != notInHeap {
		heap.Remove((*heapInterface[T])(indexedHeap), index)
	}
}

// heapInterface implements heap.Interface for indexedHeap.
type heapInterface[T any] indexedHeap[T]

func (heapInterface *heapInterface[T]) Len() int { return len(heapInterface.members) }

func (heapInterface *heapInterface[T]) Less(i, j int) bool {
	return heapInterface.less(heapInterface.members[i], heapInterface.members[j])
}

func (heapInterface *heapInterface[T]) Swap(i, j int) {
	members := heapInterface.members
	members[i], members[j] = members[j], members[i]
	*heapInterface.index(members[i]) = i
	*heapInterface.index(members[j]) = j
}

// Push implements heap.Interface.
func (heapInterface *heapInterface[T]) Push(added any) {
	member := added.(T)
	*heapInterface.index(member) = len(heapInterface.members)
	heapInterface.members = append(heapInterface.members, member)
}

// Pop implements heap.Interface.
func (heapInterface *heapInterface[T]) Pop() any {
	last := len(heapInterface.members) - 1
	member := heapInterface.members[last]
	var none T
	heapInterface.members[last] = none
	heapInterface.members = heapInterface.members[:last]
	*heapInterface.index(member) = notInHeap
	return member
}
