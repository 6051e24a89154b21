package order

import (
	"context"
	"sync"

	"nutmegfield.example/kernel"
	"nutmegfield.example/objects"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/scheduler"
)

// leasePrefix is the start of a lease's name, which ends with the zone.
const leasePrefix = "orders-"

func init() {
	kernel.Register(kernel.Plugin{Name: "orders", Rank: kernel.RankOrders, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	store, err := kernel.Require[profile.Store](host)
	if err != nil {
		return nil, err
	}
	api, err := kernel.Require[objects.API](host)
	if err != nil {
		return nil, err
	}
	members, err := kernel.Require[peer.Members](host)
	if err != nil {
		return nil, err
	}
	clients, err := kernel.Require[protocol.Clients](host)
	if err != nil {
		return nil, err
	}
	schedulers, err := kernel.Require[scheduler.Scheduler](host)
	if err != nil {
		return nil, err
	}
	zone := members.Self.Zone
	lease := &objects.Lease{
		API:    *api,
		Name:   leasePrefix + zone,
		Zone:   zone,
		Holder: members.Self.ID,
		Term:   objects.LeaseTerm,
		Margin: objects.LeaseMargin,
		Events: host.Events,
		Wanted: func() bool {
			responsible, _ := members.View().Responsible(zone, leasePrefix+zone)
			return responsible.ID == members.Self.ID && hasWantedState(store.Current(), zone)
		},
	}
	reconciler := &Reconciler{
		Zone:            zone,
		Store:           store,
		CheckLease:      lease.Check,
		SettlePeriod:    objects.LeaseTerm + callTimeout,
		Client:          clients.Client,
		WaitingRequests: schedulers.Waiting,
		Events:          host.Events,
	}
	return &kernel.Part{Run: func(ctx context.Context) error {
		leaseContext, release := context.WithCancel(context.WithoutCancel(ctx))
		var leaseRun sync.WaitGroup
		leaseRun.Go(func() { _ = lease.Run(leaseContext) })
		err := reconciler.Run(ctx)
		// Release the lease only after the last order.
		release()
		leaseRun.Wait()
		return err
	}}, nil
}

// hasWantedState reports whether any target of the zone has a wanted state. If
// none has, no lease is needed.
func hasWantedState(snapshot *profile.Snapshot, zone string) bool {
	if snapshot == nil {
		return false
	}
	for i := range snapshot.Configuration.Pools {
		for j := range snapshot.Configuration.Pools[i].Targets {
			target := &snapshot.Configuration.Pools[i].Targets[j]
			if target.Zone == zone && !target.Wanted.Empty() {
				return true
			}
		}
	}
	return false
}
