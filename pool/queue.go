package pool

import (
	"container/heap"
	"time"

	"nutmegfield.example/request"
)

// tierIdleTimeout is how long a tier must be empty before its flows are discarded.
const tierIdleTimeout = 10 * time.Second

// queue orders the waiting tickets: by tier, within a tier weighted fair
// between workspaces, within a workspace by deadline. Each operation takes time
// logarithmic in the number of waiting tickets.
//
// Fairness is start-time fair queueing (Goyal, Vin and Cheng, 1996) on the
// estimated cost, corrected when a request has ended and its actual cost was
// reported.
type queue struct {
	weights map[string]int
	tiers   []*tierQueue
	items   map[request.ID]*item
	expiry  indexedHeap[*item]
}

// tierQueue holds the waiting tickets of one tier.
type tierQueue struct {
	flows map[string]*flow
	// readyFlows holds the flows with tickets that may be granted, the lowest
	// virtual start first.
	readyFlows indexedHeap[*flow]
	// victims holds the flows with sheddable tickets, the largest backlog
	// divided by weight first.
	victims indexedHeap[*flow]
	// idle holds the flows without tickets whose virtual start is still above
	// virtualTime, because they used more than their share.
	idle indexedHeap[*flow]
	// virtualTime is the tier's virtual time in start-time fair queueing: the
	// greatest virtual start of a granted ticket, in cost units per weight.
	virtualTime float64
	ticketCount int
	emptySince  time.Time
}

// flow holds the waiting tickets of one workspace in one tier.
type flow struct {
	workspace string
	weight    float64
	// ready holds the tickets that may be granted, the earliest deadline first.
	ready indexedHeap[*item]
	// sheddable holds the tickets that may be shed, the latest deadline first.
	sheddable indexedHeap[*item]
	// backlog is the total cost of the sheddable tickets.
	backlog float64
	// virtualStart is the virtual time at which the next ticket may start.
	virtualStart float64
	ticketCount  int

	readyFlowIndex, victimIndex, idleIndex int
}

// item is a waiting ticket with its estimated cost and its positions in the
// heaps.
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
		flows: map[string]*flow{},
		readyFlows: indexedHeap[*flow]{
			less:  startsBefore,
			index: func(flow *flow) *int { return &flow.readyFlowIndex },
		},
		victims: indexedHeap[*flow]{
			less:  shedsBefore,
			index: func(flow *flow) *int { return &flow.victimIndex },
		},
		idle: indexedHeap[*flow]{
			less:  func(one, other *flow) bool { return one.virtualStart < other.virtualStart },
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
		readyFlowIndex: notInHeap, victimIndex: notInHeap, idleIndex: notInHeap,
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

func (queue *queue) flow(tierQueue *tierQueue, workspace string) *flow {
	found := tierQueue.flows[workspace]
	if found == nil {
		found = newFlow(workspace, queue.weights[workspace])
		found.virtualStart = tierQueue.virtualTime
		tierQueue.flows[workspace] = found
	}
	return found
}

// push adds a ticket.
func (queue *queue) push(ticket *request.Ticket) {
	tierQueue := queue.tier(ticket.Tier)
	flow := queue.flow(tierQueue, ticket.Workspace)
	if flow.ticketCount == 0 {
		flow.virtualStart = max(flow.virtualStart, tierQueue.virtualTime)
	}
	added := &item{
		ticket: ticket, flow: flow, cost: cost(ticket),
		readyIndex: notInHeap, shedIndex: notInHeap, expiryIndex: notInHeap,
	}
	queue.items[ticket.ID] = added
	tierQueue.idle.remove(flow)
	flow.ticketCount++
	tierQueue.ticketCount++
	queue.expiry.addOrFix(added)
	if ticket.Sheddable {
		flow.sheddable.addOrFix(added)
		flow.backlog += added.cost
		tierQueue.victims.addOrFix(flow)
	}
	flow.ready.addOrFix(added)
	tierQueue.readyFlows.addOrFix(flow)
}

// remove removes a ticket if it is in the queue.
func (queue *queue) remove(id request.ID) {
	found := queue.items[id]
	if found == nil {
		return
	}
	tierQueue := queue.tiers[found.ticket.Tier]
	flow := found.flow
	queue.setAside(found)
	queue.expiry.remove(found)
	if found.ticket.Sheddable {
		flow.sheddable.remove(found)
		flow.backlog -= found.cost
		tierQueue.updateVictim(flow)
	}
	delete(queue.items, id)
	flow.ticketCount--
	tierQueue.ticketCount--
	if flow.ticketCount == 0 {
		tierQueue.idleOrDelete(flow)
	}
	if tierQueue.ticketCount == 0 {
		tierQueue.emptySince = time.Now()
	}
}

// setAside excludes a ticket from being returned by nextToGrant, but leaves it
// in the queue.
func (queue *queue) setAside(found *item) {
	tierQueue := queue.tiers[found.ticket.Tier]
	found.flow.ready.remove(found)
	if found.flow.ready.len() == 0 {
		tierQueue.readyFlows.remove(found.flow)
		return
	}
	tierQueue.readyFlows.addOrFix(found.flow)
}

// putBack reverts setAside.
func (queue *queue) putBack(found *item) {
	found.flow.ready.addOrFix(found)
	queue.tiers[found.ticket.Tier].readyFlows.addOrFix(found.flow)
}

// nextToGrant returns the ticket to grant next without removing it, or nil.
func (queue *queue) nextToGrant() *item {
	for _, tierQueue := range queue.tiers {
		if tierQueue.readyFlows.len() > 0 {
			return tierQueue.readyFlows.first().ready.first()
		}
	}
	return nil
}

// takeGranted removes a ticket that is granted and charges its estimated cost
// to its workspace.
func (queue *queue) takeGranted(found *item) {
	tierQueue := queue.tiers[found.ticket.Tier]
	flow := found.flow
	tierQueue.virtualTime = max(tierQueue.virtualTime, flow.virtualStart)
	flow.virtualStart += found.cost / flow.weight
	queue.remove(found.ticket.ID)
	if flow.readyFlowIndex != notInHeap {
		tierQueue.readyFlows.addOrFix(flow)
	}
	tierQueue.deleteCaughtUp()
}

// adjustCharge charges a workspace the difference between the actual cost of a
// ticket and its estimate, which takeGranted charged.
func (queue *queue) adjustCharge(ticket *request.Ticket, actual float64) {
	difference := actual - cost(ticket)
	tierQueue := queue.tier(ticket.Tier)
	if difference == 0 || (difference < 0 && tierQueue.flows[ticket.Workspace] == nil) {
		return
	}
	flow := queue.flow(tierQueue, ticket.Workspace)
	flow.virtualStart = max(tierQueue.virtualTime, flow.virtualStart+difference/flow.weight)
	if flow.readyFlowIndex != notInHeap {
		tierQueue.readyFlows.addOrFix(flow)
	}
	if flow.ticketCount == 0 {
		tierQueue.idleOrDelete(flow)
	}
}

// setWeights replaces the weights of the workspaces.
func (queue *queue) setWeights(weights map[string]int) {
	queue.weights = weights
	for _, tierQueue := range queue.tiers {
		for name, flow := range tierQueue.flows {
			flow.weight = float64(max(1, weights[name]))
		}
		tierQueue.victims.reorder()
	}
}

// resetIdleTiers discards the flows of tiers that have been empty for
// tierIdleTimeout.
func (queue *queue) resetIdleTiers(now time.Time) {
	for i, tierQueue := range queue.tiers {
		if tierQueue.ticketCount == 0 && len(tierQueue.flows) > 0 && now.Sub(tierQueue.emptySince) > tierIdleTimeout {
			queue.tiers[i] = newTier()
		}
	}
}

// popExpired removes and returns a ticket whose deadline has passed, or nil.
func (queue *queue) popExpired(now time.Time) *request.Ticket {
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

// nextVictim returns the ticket to shed next: in the lowest tier with a sheddable
// ticket, the one with the latest deadline of the workspace with the largest
// backlog divided by weight. It returns nil if no ticket may be shed.
func (queue *queue) nextVictim() *request.Ticket {
	for i := len(queue.tiers) - 1; i >= 0; i-- {
		if victims := &queue.tiers[i].victims; victims.len() > 0 {
			return victims.first().sheddable.first().ticket
		}
	}
	return nil
}

// idleOrDelete moves an empty flow to idle if it has used more than its share,
// and otherwise deletes it.
func (tierQueue *tierQueue) idleOrDelete(flow *flow) {
	if flow.virtualStart > tierQueue.virtualTime {
		tierQueue.idle.addOrFix(flow)
		return
	}
	tierQueue.idle.remove(flow)
	delete(tierQueue.flows, flow.workspace)
}

// deleteCaughtUp deletes the idle flows whose virtual start the virtual time has
// reached.
func (tierQueue *tierQueue) deleteCaughtUp() {
	for tierQueue.idle.len() > 0 && tierQueue.idle.first().virtualStart <= tierQueue.virtualTime {
		tierQueue.idleOrDelete(tierQueue.idle.first())
	}
}

// updateVictim updates a flow's position in victims after its sheddable tickets
// changed.
func (tierQueue *tierQueue) updateVictim(flow *flow) {
	if flow.sheddable.len() == 0 {
		tierQueue.victims.remove(flow)
		flow.backlog = 0
		return
	}
	tierQueue.victims.addOrFix(flow)
}

func startsBefore(one, other *flow) bool {
	if one.virtualStart != other.virtualStart {
		return one.virtualStart < other.virtualStart
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
	return tokenCost(ticket.Size.PromptTokens, ticket.Size.OutputTokens)
}

// tokenCost returns the cost of a request, in output tokens.
func tokenCost(promptTokens, outputTokens int) float64 {
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

// addOrFix adds a member, or restores the order after its key changed.
func (indexedHeap *indexedHeap[T]) addOrFix(member T) {
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
