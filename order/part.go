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

// leaseName begins the names of the leases; the zone follows.
const leaseName = "orders-"

func init() {
	kernel.Register(kernel.Plugin{Name: "orders", Rank: kernel.RankOrders, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	store, err := kernel.Need[profile.Store](host)
	if err != nil {
		return nil, err
	}
	api, err := kernel.Need[objects.API](host)
	if err != nil {
		return nil, err
	}
	members, err := kernel.Need[peer.Members](host)
	if err != nil {
		return nil, err
	}
	clients, err := kernel.Need[protocol.Clients](host)
	if err != nil {
		return nil, err
	}
	schedulers, err := kernel.Need[scheduler.Scheduler](host)
	if err != nil {
		return nil, err
	}
	zone := members.Self.Zone
	lease := &objects.Lease{
		API:    *api,
		Name:   leaseName + zone,
		Zone:   zone,
		Holder: members.Self.ID,
		Term:   objects.LeaseTerm,
		Margin: objects.LeaseMargin,
		Events: host.Events,
		Wanted: func() bool {
			responsible, _ := members.View().Responsible(zone, leaseName+zone)
			return responsible.ID == members.Self.ID && wanted(store.Current(), zone)
		},
	}
	keeper := &Keeper{
		Zone:    zone,
		Store:   store,
		Check:   lease.Check,
		Settled: objects.LeaseTerm + callTimeout,
		Client:  clients.Client,
		Waiting: schedulers.Waiting,
		Events:  host.Events,
	}
	return &kernel.Part{Run: func(ctx context.Context) error {
		holding, release := context.WithCancel(context.WithoutCancel(ctx))
		var lent sync.WaitGroup
		lent.Go(func() { _ = lease.Run(holding) })
		err := keeper.Run(ctx)
		// The lease is given back only after the last order.
		release()
		lent.Wait()
		return err
	}}, nil
}

// wanted reports whether any target of the zone has a wanted state: without
// one no lease is needed.
func wanted(snapshot *profile.Snapshot, zone string) bool {
	if snapshot == nil {
		return false
	}
	for i := range snapshot.Configuration.Pools {
		for j := range snapshot.Configuration.Pools[i].Targets {
			described := &snapshot.Configuration.Pools[i].Targets[j]
			if described.Zone == zone && !described.Wanted.Empty() {
				return true
			}
		}
	}
	return false
}
