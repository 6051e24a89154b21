package exchange

import (
	"slices"
	"strings"
)

// Forwarder is another host that sends requests to targets for hosts that reach none.
type Forwarder struct {
	Host, Address, Zone string
	// Unreached are the pools of which it reaches no target itself.
	Unreached []string
}

// Forwarders returns the live hosts that send requests for others. The result must not be
// changed.
func (exchange *Exchange) Forwarders() []Forwarder {
	if forwarders := exchange.forwarders.Load(); forwarders != nil {
		return *forwarders
	}
	return nil
}

// listForwarders updates the result of Forwarders. The caller holds the mutex.
func (exchange *Exchange) listForwarders() {
	var forwarders []Forwarder
	for address, peer := range exchange.peers {
		if peer.alive && peer.forwards {
			forwarders = append(forwarders, Forwarder{Host: peer.host, Address: address, Zone: peer.zone, Unreached: peer.unreached})
		}
	}
	slices.SortFunc(forwarders, func(one, other Forwarder) int { return strings.Compare(one.Host, other.Host) })
	exchange.forwarders.Store(&forwarders)
}
