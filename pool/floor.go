package pool

import (
	"math"
	"time"

	"nutmegfield.example/request"
)

const (
	// floorLifetime is how long a floor is valid after it was last needed or
	// received. A zone without floors of other zones decides alone.
	floorLifetime = 2 * time.Second
	// noFloor admits every tier.
	noFloor = request.Tier(math.MaxUint8)
)

// Floor is the lowest tier that a pool does not shed in one zone.
type Floor struct {
	// Wanted is the lowest tier for which the zone itself has capacity.
	Wanted request.Tier
	// Admitted is the lowest tier that the zone admits, given what the other
	// zones want.
	Admitted request.Tier
}

// floors has a zone's own floor and those of the pool's other zones. A zone sheds
// a tier only if no other zone is known to admit a lower one: until then it
// announces the floor that it wants and lets its queue grow above MaxWaiting.
type floors struct {
	wanted      request.Tier
	wantedUntil time.Time
	peers       map[string]peerFloor
}

type peerFloor struct {
	floor Floor
	until time.Time
}

// Floor returns the floor to send to the other zones.
func (pool *Pool) Floor() Floor {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	own := pool.floors.own(now)
	return Floor{Wanted: own, Admitted: min(own, pool.floors.others(now))}
}

// ObserveFloor records the floor of the pool in another zone.
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

// others returns the highest floor that another zone wants.
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

// requestShedding records that the zone wants to shed a tier, and reports whether
// no other zone admits a lower one.
func (floors *floors) requestShedding(tier request.Tier, now time.Time) bool {
	floors.wanted = min(tier, floors.own(now))
	floors.wantedUntil = now.Add(floorLifetime)
	for _, peer := range floors.peers {
		if peer.until.After(now) && peer.floor.Admitted > tier {
			return false
		}
	}
	return true
}
