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
	mutex     sync.Mutex
	random    *rand.Rand
	fakeHosts map[string]*fakeHost
	// loss is the fraction of datagrams lost.
	loss float64
	// cut reports whether two hosts can't reach each other; nil if all can.
	cut func(from, to *fakeHost) bool
	// messages is the number of datagrams sent since takeCounts, bytes their
	// total size.
	messages, bytes int
	group           sync.WaitGroup
	// listReads is the number of reads of the platform's list of hosts.
	listReads int
}

// fakeHost is a host of the network; only its prober runs.
type fakeHost struct {
	network *network
	prober  *peer.Prober
	events  *timeline.Recorder
	stop    context.CancelFunc
	ended   chan error
	// pausedUntil is when the paused process of the host resumes.
	pausedUntil time.Time
	crashed     bool
}

func newNetwork(seed uint64) *network {
	return &network{random: rand.New(rand.NewPCG(seed, seed)), fakeHosts: map[string]*fakeHost{}}
}

// startHosts starts the given number of hosts, spread over up to five zones.
func (network *network) startHosts(count int) {
	for i := range count {
		zone := string(rune('a' + i%5))
		network.start(fmt.Sprintf("%s%03d", zone, i/5), zone, fmt.Sprintf("10.0.%d.%d:8070", i/200, i%200))
	}
}

func (network *network) start(id, zone, address string) *fakeHost {
	self := peer.Host{ID: id, Zone: zone, Address: address, Incarnation: uint64(time.Now().UnixMicro())}
	fakeHost := &fakeHost{network: network, events: &timeline.Recorder{Host: id}, ended: make(chan error, 1)}
	fakeHost.prober = &peer.Prober{
		Members: &peer.Members{Self: self},
		Events:  fakeHost.events,
		Send:    func(to string, datagram []byte) { network.send(fakeHost, to, datagram) },
		Hosts:   network.listHosts,
	}
	network.mutex.Lock()
	network.fakeHosts[address] = fakeHost
	network.mutex.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	fakeHost.stop = stop
	network.group.Go(func() { fakeHost.ended <- fakeHost.prober.Run(ctx) })
	return fakeHost
}

// listHosts returns the platform's list of hosts: every host ever started.
func (network *network) listHosts(context.Context) ([]objects.ListedHost, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.listReads++
	var listed []objects.ListedHost
	for _, fakeHost := range network.fakeHosts {
		self := fakeHost.prober.Members.Self
		listed = append(listed, objects.ListedHost{ID: self.ID, Zone: self.Zone, Address: self.Address})
	}
	return listed, nil
}

func (network *network) send(from *fakeHost, address string, datagram []byte) {
	// A paused host does nothing, and so sends nothing, until it resumes.
	time.Sleep(network.remainingPause(from))
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.messages++
	network.bytes += len(datagram)
	to := network.fakeHosts[address]
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
		time.Sleep(network.remainingPause(to))
		to.prober.Receive(datagram)
	})
}

func (network *network) remainingPause(fakeHost *fakeHost) time.Duration {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return time.Until(fakeHost.pausedUntil)
}

// crash ends a host without an announcement.
func (network *network) crash(fakeHost *fakeHost) {
	network.mutex.Lock()
	fakeHost.crashed = true
	network.mutex.Unlock()
	fakeHost.stop()
}

func (network *network) pause(fakeHost *fakeHost, duration time.Duration) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	fakeHost.pausedUntil = time.Now().Add(duration)
}

func (network *network) setCut(cut func(from, to *fakeHost) bool) {
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
	for _, fakeHost := range network.fakeHosts {
		fakeHost.stop()
	}
	network.group.Wait()
}

func (fakeHost *fakeHost) zone() string { return fakeHost.prober.Members.Self.Zone }

func (fakeHost *fakeHost) id() string { return fakeHost.prober.Members.Self.ID }

// countEvents returns how many events with a number all hosts recorded.
func (network *network) countEvents(number int) int {
	count := 0
	for _, fakeHost := range network.fakeHosts {
		for _, event := range fakeHost.events.Events() {
			if event.Number == number {
				count++
			}
		}
	}
	return count
}

// hasConverged reports whether the view of each live host that the filter accepts
// has as many hosts as there are such hosts.
func (network *network) hasConverged(filter func(*fakeHost) bool) bool {
	expected := 0
	for _, fakeHost := range network.fakeHosts {
		if !fakeHost.crashed && filter(fakeHost) {
			expected++
		}
	}
	for _, fakeHost := range network.fakeHosts {
		if !fakeHost.crashed && filter(fakeHost) && len(fakeHost.prober.Members.View().Hosts) != expected {
			return false
		}
	}
	return true
}

func allHosts(*fakeHost) bool { return true }

// waitUntil lets time pass in steps of 100 ms until the condition holds or the
// limit is reached, and returns the time it took.
func waitUntil(limit time.Duration, condition func() bool) time.Duration {
	begin := time.Now()
	for !condition() && time.Since(begin) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begin)
}
