package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"nutmegfield.example/kernel"
	"nutmegfield.example/once"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
	"nutmegfield.example/scheduler"
	"nutmegfield.example/target"
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
	clients, err := kernel.Need[target.Clients](host)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", host.Settings.Callers.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	members := links.Members
	schedulers, err := kernel.Need[scheduler.Scheduler](host)
	if err != nil {
		return nil, err
	}
	zones := &Zones{Self: members.Self, Store: store, View: members.View, Leaving: schedulers.Leaving}
	tickets := &Tickets{Scheduler: zones.Scheduler, Send: links.Send}
	links.Receive(tickets.Receive)
	links.Connected(tickets.Reconnected)
	members.Listen(func(*peer.View) { tickets.Moved() })
	entry := &Entry{
		Settings: &host.Settings.Callers,
		Store:    store,
		Tickets:  tickets,
		Records:  records,
		Events:   host.Events,
		Host:     host.Settings.Host.ID,
		Client:   clients.Client,
	}
	return &kernel.Part{Run: entry.serve(listener), Drain: entry.Drain}, nil
}

func (entry *Entry) serve(listener net.Listener) func(context.Context) error {
	server := khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0))
	server.ReadTimeout = entry.Settings.ReadTimeout
	server.MaxHeaderBytes = entry.Settings.HeaderBytes
	server.HandlePrefix("/", entry.Handler())
	return func(ctx context.Context) error {
		go func() { _ = entry.Tickets.Run(ctx) }()
		go func() {
			<-ctx.Done()
			_ = server.Stop(context.Background())
		}()
		if err := server.Start(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve callers: %w", err)
		}
		return nil
	}
}
