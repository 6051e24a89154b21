package peer

import (
	"context"
	"time"

	"nutmegfield.example/pause"
)

const (
	// listInterval is the time between two reads of the platform's list of
	// hosts, by a host whose turn it is or that knows no other.
	listInterval = 5 * time.Second
	// aloneListInterval is that of a host that knows no other.
	aloneListInterval = time.Second
	// listKey ranks a zone's hosts for reading the list.
	listKey = "host-list"
	// maxUnknownHosts is the most unknown hosts of a list that are asked at a time.
	maxUnknownHosts = 8
)

// pollHostList reads the platform's list where no other host is known, and now
// and then on one host of a zone. It leads to hosts that are not known yet,
// and lets dead hosts that it lacks be forgotten.
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
