package entry

import (
	"context"
	"fmt"
	"net"

	"nutmegfield.example/certificate"
	"nutmegfield.example/kernel"
	"nutmegfield.example/once"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/scheduler"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "entry", Rank: kernel.RankEntry, New: newPart})
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
	records, err := kernel.Need[once.Store](host)
	if err != nil {
		return nil, err
	}
	clients, err := kernel.Need[protocol.Clients](host)
	if err != nil {
		return nil, err
	}
	listener, err := listen(host)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	members := links.Members
	schedulers, err := kernel.Need[scheduler.Scheduler](host)
	if err != nil {
		return nil, err
	}
	zones := &Zones{Self: members.Self, Store: store, View: members.View, Leaving: schedulers.Leaving}
	tickets := &Tickets{Scheduler: zones.Scheduler, Unserved: zones.Unserved, Send: links.Send}
	links.OnEnvelope(tickets.Receive)
	links.OnConnected(tickets.Reconnected)
	members.OnChange(func(*peer.View) { tickets.Moved() })
	entry := &Entry{
		Settings: &host.Settings.Callers,
		Drains:   &host.Settings.Drain,
		Store:    store,
		Records:  records,
		Events:   host.Events,
		Host:     lifeOf(members.Self),
		Dead:     func(life string) bool { return lifeDead(life, members.Self, members.View()) },
		Client:   clients.Client,
		Leaving:  schedulers.Leaving,
		Submit:   tickets.Submit,
		Withdraw: tickets.Withdraw,
		Release:  tickets.Release,
		Progress: tickets.Progress,
	}
	run := func(ctx context.Context) error {
		go func() { _ = tickets.Run(ctx) }()
		return entry.Serve(ctx, listener)
	}
	return &kernel.Part{Run: run, Drain: entry.Drain}, nil
}

// listen opens the callers' side. The limit of connections is below TLS, so
// that a connection above it costs no handshake.
func listen(host *kernel.Host) (net.Listener, error) {
	callers := &host.Settings.Callers
	listener, err := host.Network.Listen("tcp", callers.Listen)
	if err != nil {
		return nil, err
	}
	limited := &limitListener{Listener: listener, limit: int64(callers.Connections)}
	if !callers.TLS.Enabled() {
		limited.refusal = refusal
	}
	side := &certificate.Side{Files: callers.TLS, Events: host.Events}
	return side.Listen(limited)
}
