package entry

import (
	"context"
	"time"

	"nutmegfield.example/peer/peerpb"
)

const (
	// holdingsInterval is the interval at which a scheduler is told which
	// grants this host holds.
	holdingsInterval = 5 * time.Second
	// holdingsMemory is how long after the last ticket it is told, so that it
	// also frees the slots of grants that never came here.
	holdingsMemory = time.Minute
)

// place is a pool at a scheduler's host.
type place struct {
	host string
	pool string
}

// remember notes that a scheduler may count grants as held by this host.
func (tickets *Tickets) remember(host, pool string) {
	if tickets.places == nil {
		tickets.places = map[place]time.Time{}
	}
	tickets.places[place{host, pool}] = time.Now()
}

// tellHoldings runs until the context ends.
func (tickets *Tickets) tellHoldings(ctx context.Context) {
	ticker := time.NewTicker(holdingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			tickets.sendHoldings(time.Now())
		}
	}
}

// sendHoldings tells each scheduler every grant of its pool that this host
// holds, whoever granted it, so that it frees those whose release was lost.
func (tickets *Tickets) sendHoldings(now time.Time) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	numbers := map[string][]uint64{}
	for _, entry := range tickets.entries {
		held := entry.ticket.HeldGrant
		if held == nil {
			continue
		}
		numbers[held.Pool] = append(numbers[held.Pool], held.Number)
		tickets.remember(held.Scheduler, held.Pool)
	}
	for place, last := range tickets.places {
		if now.Sub(last) > holdingsMemory {
			delete(tickets.places, place)
			continue
		}
		holdings := &peerpb.Holdings{Pool: place.pool, Numbers: numbers[place.pool]}
		tickets.Send(place.host, &peerpb.Envelope{Holdings: []*peerpb.Holdings{holdings}})
	}
}
