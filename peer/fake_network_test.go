package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"nutmegfield.example/objects"
	"nutmegfield.example/peer"
	"nutmegfield.example/timeline"
)

// network connects hosts in one process, without sockets.
type network struct {
	mutex  sync.Mutex
	random *rand.Rand
	nodes  map[string]*node
	// loss is the fraction of datagrams lost.
	loss float64
	// cut reports whether two hosts can't reach each other; nil for none.
	cut func(from, to *node) bool
	// messages and bytes count the datagrams sent.
	messages, bytes int
	group           sync.WaitGroup
	listReads       int
}

type node struct {
	network *network
	prober  *peer.Prober
	events  *timeline.Recorder
	stop    context.CancelFunc
	ended   chan error
	// frozenUntil is until when the host's process is paused.
	frozenUntil time.Time
	crashed     bool
}

func newNetwork(seed uint64) *network {
	return &network{random: rand.New(rand.NewPCG(seed, seed)), nodes: map[string]*node{}}
}

// startHosts starts startHosts spread over up to five zones.
func (network *network) startHosts(count int) {
	for i := range count {
		zone := string(rune('a' + i%5))
		network.start(fmt.Sprintf("%s%03d", zone, i/5), zone, fmt.Sprintf("10.0.%d.%d:8070", i/200, i%200))
	}
}

func (network *network) start(id, zone, address string) *node {
	self := peer.Host{ID: id, Zone: zone, Address: address, Incarnation: uint64(time.Now().UnixMicro())}
	node := &node{network: network, events: &timeline.Recorder{Host: id}, ended: make(chan error, 1)}
	node.prober = &peer.Prober{
		Members: &peer.Members{Self: self},
		Events:  node.events,
		Send:    func(to string, datagram []byte) { network.send(node, to, datagram) },
		Hosts:   network.listHosts,
	}
	network.mutex.Lock()
	network.nodes[address] = node
	network.mutex.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	node.stop = stop
	network.group.Go(func() { node.ended <- node.prober.Run(ctx) })
	return node
}

// listHosts returns the platform's listHosts: every host ever started.
func (network *network) listHosts(context.Context) ([]objects.ListedHost, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.listReads++
	var listed []objects.ListedHost
	for _, node := range network.nodes {
		self := node.prober.Members.Self
		listed = append(listed, objects.ListedHost{ID: self.ID, Zone: self.Zone, Address: self.Address})
	}
	return listed, nil
}

func (network *network) send(from *node, address string, datagram []byte) {
	// A paused host does nothing, and so sends nothing, until it resumes.
	time.Sleep(network.frozenTime(from))
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.messages++
	network.bytes += len(datagram)
	to := network.nodes[address]
	switch {
	case to == nil || to.crashed || from.crashed:
		return
	case network.cut != nil && network.cut(from, to):
		return
	case network.random.Float64() < network.loss:
		return
	}
	delay := 200*time.Microsecond + time.Duration(network.random.Int64N(int64(time.Millisecond)))
	time.AfterFunc(delay, func() {
		time.Sleep(network.frozenTime(to))
		to.prober.Receive(datagram)
	})
}

func (network *network) frozenTime(node *node) time.Duration {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return time.Until(node.frozenUntil)
}

// crash ends a host without an announcement.
func (network *network) crash(node *node) {
	network.mutex.Lock()
	node.crashed = true
	network.mutex.Unlock()
	node.stop()
}

func (network *network) freeze(node *node, duration time.Duration) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	node.frozenUntil = time.Now().Add(duration)
}

func (network *network) setCut(cut func(from, to *node) bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.cut = cut
}

func (network *network) setLoss(loss float64) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.loss = loss
}

// takeCounts returns the counters and resets them.
func (network *network) takeCounts() (messages, bytes int) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	messages, bytes = network.messages, network.bytes
	network.messages, network.bytes = 0, 0
	return messages, bytes
}

// listReadCount returns the number of reads of the platform's list.
func (network *network) listReadCount() int {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.listReads
}

// stop ends all hosts.
func (network *network) stop() {
	for _, node := range network.nodes {
		node.stop()
	}
	network.group.Wait()
}

func (node *node) zone() string { return node.prober.Members.Self.Zone }

func (node *node) id() string { return node.prober.Members.Self.ID }

// countEvents counts the countEvents of a number over all hosts.
func (network *network) countEvents(number int) int {
	count := 0
	for _, node := range network.nodes {
		for _, event := range node.events.Events() {
			if event.Number == number {
				count++
			}
		}
	}
	return count
}

// settled reports whether each live host that the filter accepts sees exactly
// these hosts.
func (network *network) settled(filter func(*node) bool) bool {
	expected := 0
	for _, node := range network.nodes {
		if !node.crashed && filter(node) {
			expected++
		}
	}
	for _, node := range network.nodes {
		if !node.crashed && filter(node) && len(node.prober.Members.View().Hosts) != expected {
			return false
		}
	}
	return true
}

func allNodes(*node) bool { return true }

// waitUntil lets time pass in steps of 100 ms until the condition holds or the
// limit is reached, and returns the time it took.
func waitUntil(limit time.Duration, condition func() bool) time.Duration {
	begin := time.Now()
	for !condition() && time.Since(begin) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begin)
}
