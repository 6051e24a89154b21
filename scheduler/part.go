package scheduler

import (
	"nutmegfield.example/kernel"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "schedulers", Rank: kernel.RankSchedulers, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	store, err := kernel.Require[profile.Store](host)
	if err != nil {
		return nil, err
	}
	links, err := kernel.Require[peer.Links](host)
	if err != nil {
		return nil, err
	}
	clients, err := kernel.Require[protocol.Clients](host)
	if err != nil {
		return nil, err
	}
	members := links.Members
	scheduler := &Scheduler{
		Host:   host.Settings.Host.ID,
		Zone:   host.Settings.Host.Zone,
		Store:  store,
		Events: host.Events,
		Send:   links.Send,
		Responsible: func(pool string) string {
			responsible, _ := members.View().Responsible(members.Self.Zone, pool)
			return responsible.ID
		},
		Hosts:     func() []string { return hostIDs(members.View().Hosts) },
		ZoneHosts: func() []string { return hostIDs(members.View().Zone(members.Self.Zone)) },
		Client:    clients.Client,
	}
	links.OnEnvelope(scheduler.Receive)
	links.OnConnected(scheduler.Reconnected)
	members.OnChange(func(*peer.View) { scheduler.MembershipChanged() })
	kernel.Provide(host, scheduler)
	return &kernel.Part{Run: scheduler.Run}, nil
}

func hostIDs(hosts []peer.Host) []string {
	ids := make([]string, 0, len(hosts))
	for _, host := range hosts {
		ids = append(ids, host.ID)
	}
	return ids
}
