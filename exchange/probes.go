package exchange

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"nutmegfield.example/pause"
	"nutmegfield.example/timeline"
)

const (
	// probeInterval is the time between two rounds of probes, of at most maxProbes hosts
	// each.
	probeInterval = time.Second
	maxProbes     = 16
	// probeTimeout limits a dial.
	probeTimeout = 500 * time.Millisecond
)

var eventEnded = timeline.Define(timeline.Kind{
	Number: 6107, Name: "host ended", Level: timeline.Info,
	Meaning: "The machine of a silent host refuses connections to it: its process has ended. Its part of what is limited for all hosts is used by the others.",
})

// RunProbes probes silent hosts until the context ends, while their parts of limits are
// left to them: where so many are silent that this host may be cut off from them. It
// returns nil.
func (exchange *Exchange) RunProbes(ctx context.Context) error {
	for pause.For(ctx, probeInterval) {
		needsMajority := !exchange.Limiter.IsEmpty() || exchange.Rollouts != nil && exchange.Rollouts.IsActive()
		if !needsMajority || exchange.Members().IsMajority() {
			continue
		}
		var group sync.WaitGroup
		for _, address := range exchange.silentAddresses(maxProbes) {
			group.Go(func() { exchange.probe(ctx, address) })
		}
		group.Wait()
	}
	return nil
}

// silentAddresses returns the addresses of at most count silent hosts that may run.
func (exchange *Exchange) silentAddresses(count int) []string {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	now := time.Now()
	addresses := exchange.addresses(func(peer *peer) bool { return !peer.alive && peer.mayRun(now) })
	return addresses[:min(count, len(addresses))]
}

// probe opens a connection to a silent host. A refused one shows that the host's process
// has ended; an error of another kind may have other causes.
func (exchange *Exchange) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	connection, err := exchange.Dial(ctx, "tcp", address)
	if err == nil {
		// Nothing was written that could be lost.
		_ = connection.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	peer := exchange.peers[address]
	if peer == nil || peer.alive {
		return
	}
	peer.hasEnded = true
	exchange.Events.Record(eventEnded, timeline.Event{Peer: peer.host, Detail: address})
	exchange.rankHosts()
}
