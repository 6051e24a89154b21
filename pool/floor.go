package pool

import (
	"math"
	"time"

	"nutmegfield.example/request"
)

const (
	// floorLifetime is how long a floor holds after it was last needed or
	// heard of. Without word from a cell, this one serves alone.
	floorLifetime = 2 * time.Second
	// noFloor admits every tier.
	noFloor = request.Tier(math.MaxUint8)
)

// Floor is the shedding floor of one cell of a pool.
type Floor struct {
	// Wanted is the lowest tier that the cell has room for itself.
	Wanted request.Tier
	// Admitted is the lowest tier that the cell does admit, with regard to
	// what the others want.
	Admitted request.Tier
}

// floors is a cell's own floor and those of the cells beside it. A cell sheds
// a tier only when no other is known to admit a lower one: it states its wish,
// and waits in its reserve until the others follow.
type floors struct {
	wanted      request.Tier
	wantedUntil time.Time
	peers       map[string]peerFloor
}

type peerFloor struct {
	floor Floor
	until time.Time
}

// Floor returns the floor to tell the other cells.
func (pool *Pool) Floor() Floor {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	own := pool.floors.own(now)
	return Floor{Wanted: own, Admitted: min(own, pool.floors.others(now))}
}

// ObserveFloor learns the floor of another cell of the pool.
func (pool *Pool) ObserveFloor(peer string, floor Floor) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.floors.peers == nil {
		pool.floors.peers = map[string]peerFloor{}
	}
	now := time.Now()
	pool.floors.peers[peer] = peerFloor{floor: floor, until: now.Add(floorLifetime)}
	pool.enforcePeerFloors(now)
}

func (floors *floors) own(now time.Time) request.Tier {
	if floors.wantedUntil.After(now) {
		return floors.wanted
	}
	return noFloor
}

// others is the highest floor that another cell wants.
func (floors *floors) others(now time.Time) request.Tier {
	floor := noFloor
	for name, peer := range floors.peers {
		if !peer.until.After(now) {
			delete(floors.peers, name)
			continue
		}
		floor = min(floor, peer.floor.Wanted)
	}
	return floor
}

// allow states the wish to shed a tier, and reports whether no other cell
// admits a lower one.
func (floors *floors) allow(tier request.Tier, now time.Time) bool {
	floors.wanted = min(tier, floors.own(now))
	floors.wantedUntil = now.Add(floorLifetime)
	for _, peer := range floors.peers {
		if peer.until.After(now) && peer.floor.Admitted > tier {
			return false
		}
	}
	return true
}
