package pool

import (
	"math"
	"time"

	"nutmegfield.example/request"
)

const (
	// floorLifetime is how long a floor is valid after it was last set or
	// received. A zone without valid floors of other zones sheds without asking
	// them.
	floorLifetime = 2 * time.Second
	// noFloor is the floor of a zone that admits every tier.
	noFloor = request.Tier(math.MaxUint8)
)

// Floor is the lowest tier, the one with the greatest number, that a pool does
// not shed in one zone.
type Floor struct {
	// Wanted is the lowest tier for which the zone itself has capacity.
	Wanted request.Tier
	// Admitted is the lowest tier that the zone admits, given what the other
	// zones want.
	Admitted request.Tier
}

// floors holds a zone's own floor and those of the pool's other zones. A zone
// sheds a tier only if no other zone has reported that it admits a lower one:
// until then it reports the floor that it wants and lets its queue grow above
// MaxWaiting.
type floors struct {
	wanted      request.Tier
	wantedUntil time.Time
	peers       map[string]peerFloor
}

// peerFloor is the floor of another zone and the time until which it is valid.
type peerFloor struct {
	floor   Floor
	expires time.Time
}

// Floor returns the floor to send to the other zones.
func (pool *Pool) Floor() Floor {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := time.Now()
	own := pool.floors.ownWanted(now)
	return Floor{Wanted: own, Admitted: min(own, pool.floors.peersWanted(now))}
}

// ObserveFloor records the floor of the pool in another zone.
func (pool *Pool) ObserveFloor(peer string, floor Floor) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.floors.peers == nil {
		pool.floors.peers = map[string]peerFloor{}
	}
	now := time.Now()
	pool.floors.peers[peer] = peerFloor{floor: floor, expires: now.Add(floorLifetime)}
	pool.enforcePeerFloors(now)
}

// ownWanted returns the floor that this zone wants, noFloor if none.
func (floors *floors) ownWanted(now time.Time) request.Tier {
	if floors.wantedUntil.After(now) {
		return floors.wanted
	}
	return noFloor
}

// peersWanted returns the highest tier (lowest number) that another zone wants
// as its floor, noFloor if there is none.
func (floors *floors) peersWanted(now time.Time) request.Tier {
	floor := noFloor
	for name, peer := range floors.peers {
		if !peer.expires.After(now) {
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
	floors.wanted = min(tier, floors.ownWanted(now))
	floors.wantedUntil = now.Add(floorLifetime)
	for _, peer := range floors.peers {
		if peer.expires.After(now) && peer.floor.Admitted > tier {
			return false
		}
	}
	return true
}
