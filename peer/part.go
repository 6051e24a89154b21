package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"nutmegfield.example/certificate"
	"nutmegfield.example/kernel"
	"nutmegfield.example/platform"
)

// listInterval is the interval at which the platform's list of hosts is read.
const listInterval = time.Second

func init() {
	kernel.Register(kernel.Plugin{Name: "peers", Rank: kernel.RankPeers, New: newPart})
}

func newPart(host *kernel.Host) (*kernel.Part, error) {
	client, err := kernel.Need[platform.Client](host)
	if err != nil {
		return nil, err
	}
	settings := host.Settings
	side := &certificate.Side{Files: settings.Peers.TLS, Events: host.Events}
	listener, err := net.Listen("tcp", settings.Peers.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	listener, err = side.Listen(listener)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	members := &Members{Self: Host{
		ID:          settings.Host.ID,
		Zone:        settings.Host.Zone,
		Address:     settings.Peers.Listen,
		Incarnation: uint64(time.Now().UnixMicro()),
	}}
	links := &Links{
		Members:  members,
		Events:   host.Events,
		Listener: listener,
		Dial:     side.Dial,
	}
	kernel.Provide(host, members)
	kernel.Provide(host, links)
	run := func(ctx context.Context) error {
		go follow(ctx, client, members)
		return links.Run(ctx)
	}
	return &kernel.Part{Run: run}, nil
}

// follow keeps the view equal to the platform's list.
func follow(ctx context.Context, client *platform.Client, members *Members) {
	for ctx.Err() == nil {
		if listed, err := client.Hosts(ctx); err == nil {
			members.Replace(merge(members.Self, listed))
		}
		pause(ctx, listInterval)
	}
}

func merge(self Host, listed []platform.ListedHost) []Host {
	hosts := []Host{self}
	for _, entry := range listed {
		if entry.ID == self.ID {
			continue
		}
		hosts = append(hosts, Host{ID: entry.ID, Zone: entry.Zone, Address: entry.Address, Leaving: entry.Leaving})
	}
	return hosts
}
