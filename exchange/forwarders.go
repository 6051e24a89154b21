package exchange

import "time"

// forwardersLifetime is how long a list of forwarders is used.
const forwardersLifetime = 50 * time.Millisecond

// Forwarder is another host that sends requests to targets for hosts that reach none.
type Forwarder struct {
	Host, Address, Zone string
	// Unreached are the pools of which it reaches no target itself.
	Unreached []string
}

// forwarderList is the list of forwarders at a time.
type forwarderList struct {
	forwarders []Forwarder
	listedAt   time.Time
}

// Forwarders returns the live hosts that send requests for others. The result must not be
// changed.
func (exchange *Exchange) Forwarders() []Forwarder {
	if list := exchange.forwarders.Load(); list != nil && time.Since(list.listedAt) < forwardersLifetime {
		return list.forwarders
	}
	list := &forwarderList{listedAt: time.Now()}
	exchange.mutex.Lock()
	for address, peer := range exchange.peers {
		if peer.alive && peer.forwards {
			list.forwarders = append(list.forwarders, Forwarder{Host: peer.host, Address: address, Zone: peer.zone, Unreached: peer.unreached})
		}
	}
	exchange.mutex.Unlock()
	exchange.forwarders.Store(list)
	return list.forwarders
}
