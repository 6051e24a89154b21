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
	scheduler := &Scheduler{
		Host:   host.Settings.Host.ID,
		Zone:   host.Settings.Host.Zone,
		Store:  store,
		Events: host.Events,
		Send:   links.Send,
	}
	links.Receive(scheduler.Receive)
	kernel.Provide(host, scheduler)
	return &kernel.Part{Run: scheduler.Run}, nil
}
