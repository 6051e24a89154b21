package peer

import (
	"context"
	"time"

	"nutmegfield.example/pause"
)

const (
	// listInterval is the time between two reads of the platform's list of
	// hosts by the one host of a zone that reads it.
	listInterval = 5 * time.Second
	// aloneListInterval is the time between two reads by a host that knows no
	// other host.
	aloneListInterval = time.Second
	// listKey is a fixed key; the host of a zone that is responsible for it
	// reads the list.
	listKey = "host-list"
	// maxUnknownHosts is the most unknown hosts that are contacted after a read
	// of the list.
	maxUnknownHosts = 8
)

// pollHostList reads the platform's list of hosts regularly, on one host of each
// zone and on a host that knows no other.
func (prober *Prober) pollHostList(ctx context.Context) {
	if prober.Hosts == nil {
		return
	}
	for ctx.Err() == nil {
		view := prober.Members.View()
		responsible, _ := view.Responsible(prober.Members.Self.Zone, listKey)
		alone := len(view.Hosts) == 1
		if alone || responsible.ID == prober.Members.Self.ID {
			prober.readHostList(ctx)
		}
		interval := listInterval
		if alone {
			interval = aloneListInterval
		}
		pause.For(ctx, pause.Jitter(interval))
	}
}

// readHostList reads the platform's list of hosts once. It requests the tables of
// unknown hosts in it, and removes records of dead hosts and of those that have
// left if the list lacks them.
func (prober *Prober) readHostList(ctx context.Context) {
	listed, err := prober.Hosts(ctx)
	if err != nil {
		return
	}
	prober.withLock(func(time.Time) {
		var unknown []string
		names := map[string]struct{}{}
		for _, host := range listed {
			names[host.ID] = struct{}{}
			if host.ID != prober.self.id && prober.table.records[host.ID] == nil {
				unknown = append(unknown, host.Address)
			}
		}
		for _, address := range sample(unknown, maxUnknownHosts) {
			prober.requestTableFrom(address)
		}
		for _, id := range prober.table.ids(func(record *record) bool { return !record.isPresent() }) {
			if _, ok := names[id]; !ok && prober.table.updates[id] == 0 {
				prober.table.remove(id)
			}
		}
	})
}
