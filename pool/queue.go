package pool

import (
	"container/heap"
	"time"

	"nutmegfield.example/request"
)

// queue orders waiting tickets: tier first, inside a tier weighted fair
// between workspaces, inside a workspace the earliest deadline.
type queue struct {
	weights map[string]int
	tiers   []*tierQueue
	items   map[request.ID]*item
}

type tierQueue struct {
	workspaces map[string]*flow
	// virtual is the virtual time of start-time fair queueing.
	virtual float64
	length  int
}

// flow is the waiting work of one workspace in one tier.
type flow struct {
	items  itemHeap
	finish float64
}

type item struct {
	ticket *request.Ticket
	flow   *flow
	index  int
}

func newQueue() *queue { return &queue{items: map[request.ID]*item{}} }

func (queue *queue) len() int { return len(queue.items) }

func (queue *queue) has(id request.ID) bool { return queue.items[id] != nil }

func (queue *queue) push(ticket *request.Ticket) {
	for len(queue.tiers) <= int(ticket.Tier) {
		queue.tiers = append(queue.tiers, &tierQueue{workspaces: map[string]*flow{}})
	}
	tier := queue.tiers[ticket.Tier]
	waiting := tier.workspaces[ticket.Workspace]
	if waiting == nil {
		waiting = &flow{}
		tier.workspaces[ticket.Workspace] = waiting
	}
	if len(waiting.items) == 0 {
		waiting.finish = max(waiting.finish, tier.virtual)
	}
	added := &item{ticket: ticket, flow: waiting}
	heap.Push(&waiting.items, added)
	tier.length++
	queue.items[ticket.ID] = added
}

func (queue *queue) remove(id request.ID) {
	found := queue.items[id]
	if found == nil {
		return
	}
	heap.Remove(&found.flow.items, found.index)
	queue.tiers[found.ticket.Tier].length--
	delete(queue.items, id)
}

// next returns the ticket whose turn it is, without taking it; nil if none
// waits.
func (queue *queue) next() *request.Ticket {
	for _, tier := range queue.tiers {
		if tier.length > 0 {
			return tier.next()
		}
	}
	return nil
}

func (tier *tierQueue) next() *request.Ticket {
	var best *flow
	for _, waiting := range tier.workspaces {
		if len(waiting.items) == 0 {
			continue
		}
		if best == nil || before(waiting, best) {
			best = waiting
		}
	}
	return best.items[0].ticket
}

func before(one, other *flow) bool {
	if one.finish != other.finish {
		return one.finish < other.finish
	}
	return earlier(one.items[0].ticket, other.items[0].ticket)
}

// take removes a ticket that gets a grant and charges its workspace.
func (queue *queue) take(ticket *request.Ticket) {
	tier := queue.tiers[ticket.Tier]
	waiting := tier.workspaces[ticket.Workspace]
	queue.remove(ticket.ID)
	tier.virtual = waiting.finish
	weight := max(1, queue.weights[ticket.Workspace])
	waiting.finish += cost(ticket) / float64(weight)
}

// cost is what a ticket takes of its workspace's share, in output tokens:
// decoding takes a slot far longer than prefill does.
func cost(ticket *request.Ticket) float64 {
	const promptPerOutput = 20.0
	return 1 + float64(ticket.Size.OutputTokens) + float64(ticket.Size.PromptTokens)/promptPerOutput
}

// expired removes and returns the tickets whose deadline has passed.
func (queue *queue) expired(now time.Time) []*request.Ticket {
	var tickets []*request.Ticket
	for _, tier := range queue.tiers {
		for _, waiting := range tier.workspaces {
			for len(waiting.items) > 0 && !waiting.items[0].ticket.Deadline.After(now) {
				tickets = append(tickets, waiting.items[0].ticket)
				queue.remove(waiting.items[0].ticket.ID)
			}
		}
	}
	return tickets
}

// lowest returns the sheddable ticket that loses least: of the lowest waiting
// tier the one with the latest deadline; nil if there is none.
func (queue *queue) lowest() *request.Ticket {
	for i := len(queue.tiers) - 1; i >= 0; i-- {
		if found := queue.tiers[i].latestSheddable(); found != nil {
			return found
		}
		if queue.tiers[i].length > 0 {
			return nil
		}
	}
	return nil
}

func (tier *tierQueue) latestSheddable() *request.Ticket {
	var latest *request.Ticket
	for _, waiting := range tier.workspaces {
		for _, item := range waiting.items {
			if item.ticket.Sheddable && (latest == nil || earlier(latest, item.ticket)) {
				latest = item.ticket
			}
		}
	}
	return latest
}

func earlier(one, other *request.Ticket) bool {
	if !one.Deadline.Equal(other.Deadline) {
		return one.Deadline.Before(other.Deadline)
	}
	return string(one.ID[:]) < string(other.ID[:])
}

type itemHeap []*item

func (items itemHeap) Len() int           { return len(items) }
func (items itemHeap) Less(i, j int) bool { return earlier(items[i].ticket, items[j].ticket) }

func (items itemHeap) Swap(i, j int) {
	items[i], items[j] = items[j], items[i]
	items[i].index = i
	items[j].index = j
}

// Push is for container/heap.
func (items *itemHeap) Push(added any) {
	item := added.(*item)
	item.index = len(*items)
	*items = append(*items, item)
}

// Pop is for container/heap.
func (items *itemHeap) Pop() any {
	last := len(*items) - 1
	item := (*items)[last]
	(*items)[last] = nil
	*items = (*items)[:last]
	return item
}
