package memory

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"syscall"
)

const (
	// ConnectionCost is what an open connection holds, with its goroutine and buffers.
	ConnectionCost = 16 << 10
	// RequestCost is what a request holds besides its connection, head and body, with what
	// the system may hold for it.
	RequestCost = 32 << 10

	// programBytes is the memory of the program's text, which the runtime does not count.
	programBytes = 16 << 20
	// systemPermille is the part of the machine's memory for what the system holds for
	// connections: bytes received and not read, or written and not acknowledged.
	systemPermille = 250
	// minHeapPermille keeps the collector from running without end on tiny machines.
	minHeapPermille = 500
	// minBodiesBytes has room for one of the largest legal bodies, also on a new connection
	// while others have to give way.
	minBodiesBytes = 7 << 20
	// minMessagesBytes has room for the largest message of another host, twice.
	minMessagesBytes = 8 << 20
	// reservedDescriptors are for the store, other hosts, listeners and the runtime.
	reservedDescriptors = 256
	// The listeners but that of callers serve few: the balancer's checks, operators, hosts.
	readinessConnections = 64
	operatorConnections  = 32
	peerConnections      = 1024
	minConnections       = 16
)

// permille are the parts of the machine's memory for each kind at the callers' listener. With
// peersPermille they are half of it; the rest is for the program's own state and for the
// collector.
var permille = [kinds]int64{Connections: 120, Heads: 30, Bodies: 150, Requests: 100, Answers: 60}

// peersPermille is the part for messages of other hosts.
const peersPermille = 50

// Plan divides the memory of a machine.
type Plan struct {
	// Machine is the memory of the machine, Heap the limit of the runtime.
	Machine, Heap int64
	// Callers, Readiness, Operators and Peers are the budgets of the listeners.
	Callers, Readiness, Operators, Peers *Budget
}

// NewPlan divides the memory of a machine in bytes and its file descriptors. Zeros stand for
// those of this machine.
func NewPlan(machine int64, descriptors int) *Plan {
	if machine <= 0 {
		machine = machineBytes()
	}
	if descriptors <= 0 {
		descriptors = descriptorLimit()
	}
	plan := &Plan{
		Machine: machine,
		Heap:    max(machine-programBytes-machine/1000*systemPermille, machine/1000*minHeapPermille),
		Callers: &Budget{}, Readiness: newSmallBudget(readinessConnections), Operators: newSmallBudget(operatorConnections),
	}
	for kind, part := range permille {
		plan.Callers.Parts[kind] = machine / 1000 * part
	}
	parts := &plan.Callers.Parts
	parts[Bodies] = max(parts[Bodies], minBodiesBytes)
	// A connection whose request runs needs another descriptor, for that to a target.
	most := int64(max(minConnections, (descriptors-reservedDescriptors)/2)) * ConnectionCost
	parts[Connections] = min(parts[Connections], most)
	plan.Peers = newSmallBudget(int(min(peerConnections, max(minConnections, parts[Connections]/ConnectionCost/4))))
	plan.Peers.Parts[Bodies] = max(machine/1000*peersPermille, minMessagesBytes)
	return plan
}

// newSmallBudget returns the budget of a listener for a number of connections.
func newSmallBudget(connections int) *Budget {
	budget := &Budget{}
	budget.Parts[Connections] = int64(connections) * ConnectionCost
	budget.Parts[Requests] = int64(connections) * RequestCost
	return budget
}

// Usage is what the listeners of a host hold of a kind together.
type Usage struct {
	Kind string `json:"kind"`
	// Held is in bytes; Part is the most that may be held.
	Held int64 `json:"held"`
	Part int64 `json:"part"`
}

// Usage returns what is held of each kind.
func (plan *Plan) Usage() []Usage {
	usages := make([]Usage, kinds)
	for kind := range kinds {
		usages[kind].Kind = Kind(kind).String()
		for _, budget := range []*Budget{plan.Callers, plan.Readiness, plan.Operators, plan.Peers} {
			usages[kind].Held += budget.Held(Kind(kind))
			usages[kind].Part += budget.Parts[kind]
		}
	}
	return usages
}

// FitBody raises the part for bodies so that the largest legal one has room, also on a new
// connection while others have to give way.
func (plan *Plan) FitBody(bytes int64) {
	parts := &plan.Callers.Parts
	parts[Bodies] = max(parts[Bodies], (bytes/unprovenEighths+1)*eighths)
}

// SetHeapLimit sets the limit of the runtime's memory. What the budget counts is about half of
// it, so that the collector has room: near the limit it would run without end.
func (plan *Plan) SetHeapLimit() { debug.SetMemoryLimit(plan.Heap) }

// machineBytes returns the memory of this machine, or of the group of processes that it limits
// this one to.
func machineBytes() int64 {
	total := int64(math.MaxInt64)
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		var kilobytes int64
		if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kilobytes); err == nil {
			total = kilobytes << 10
		}
	}
	for _, file := range []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"} {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		// "max" is no number and no limit.
		if limit, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64); err == nil && limit > 0 {
			total = min(total, limit)
		}
	}
	if total == math.MaxInt64 {
		return unknownMachineBytes
	}
	return total
}

// unknownMachineBytes is assumed where the system does not say how much memory it has.
const unknownMachineBytes = 1 << 30

// descriptorLimit returns the number of file descriptors that this process may open.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknownDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// unknownDescriptors is assumed where the system does not say how many a process may open.
const unknownDescriptors = 1024
