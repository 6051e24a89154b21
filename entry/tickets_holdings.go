package entry

import (
	"context"
	"time"

	"nutmegfield.example/peer/peerpb"
)

const (
	// holdingsInterval is the time between two reports of the held grants to a
	// scheduler.
	holdingsInterval = 5 * time.Second
	// holdingsTTL is how long reports to a scheduler continue after the last
	// ticket or held grant, so that it also frees the slots of grants that were
	// lost on the way to this host.
	holdingsTTL = time.Minute
)

// schedulerPool identifies a pool of the scheduler on a host.
type schedulerPool struct {
	host string
	pool string
}

// recordActive records that a scheduler may now count grants of a pool as held by this
// host.
func (tickets *Tickets) recordActive(host, pool string) {
	if tickets.lastActive == nil {
		tickets.lastActive = map[schedulerPool]time.Time{}
	}
	tickets.lastActive[schedulerPool{host, pool}] = time.Now()
}

// sendHoldingsPeriodically calls sendHoldings until the context ends.
func (tickets *Tickets) sendHoldingsPeriodically(ctx context.Context) {
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

// sendHoldings sends each scheduler the numbers of all grants of its pool that this
// host holds, whichever scheduler granted them. The scheduler frees the others,
// whose release was lost.
func (tickets *Tickets) sendHoldings(now time.Time) {
	tickets.mutex.Lock()
	defer tickets.mutex.Unlock()
	numbers := map[string][]uint64{}
	for _, ticketEntry := range tickets.entries {
		held := ticketEntry.ticket.HeldGrant
		if held == nil {
			continue
		}
		numbers[held.Pool] = append(numbers[held.Pool], held.Number)
		tickets.recordActive(held.Scheduler, held.Pool)
	}
	for schedulerPool, last := range tickets.lastActive {
		if now.Sub(last) > holdingsTTL {
			delete(tickets.lastActive, schedulerPool)
			continue
		}
		holdings := &peerpb.Holdings{Pool: schedulerPool.pool, Numbers: numbers[schedulerPool.pool]}
		tickets.Send(schedulerPool.host, &peerpb.Envelope{Holdings: []*peerpb.Holdings{holdings}})
	}
}
