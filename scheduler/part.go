package scheduler

import (
	"nutmegfield.example/kernel"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "schedulers", Rank: kernel.RankSchedulers, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	store, err := kernel.Need[profile.Store](host)
	if err != nil {
		return nil, err
	}
	links, err := kernel.Need[peer.Links](host)
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
		Hosts: func() []string { return hostIDs(members.View()) },
	}
	links.Receive(scheduler.Receive)
	links.Connected(scheduler.Reconnected)
	members.Listen(func(*peer.View) { scheduler.Moved() })
	kernel.Provide(host, scheduler)
	return &kernel.Part{Run: scheduler.Run}, nil
}

func hostIDs(view *peer.View) []string {
	ids := make([]string, 0, len(view.Hosts))
	for _, host := range view.Hosts {
		ids = append(ids, host.ID)
	}
	return ids
}
