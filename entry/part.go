package entry

import (
	"context"
	"fmt"

	"nutmegfield.example/certificate"
	"nutmegfield.example/kernel"
	"nutmegfield.example/listener"
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
	store, err := kernel.Require[profile.Store](host)
	if err != nil {
		return nil, err
	}
	links, err := kernel.Require[peer.Links](host)
	if err != nil {
		return nil, err
	}
	records, err := kernel.Require[once.Store](host)
	if err != nil {
		return nil, err
	}
	clients, err := kernel.Require[protocol.Clients](host)
	if err != nil {
		return nil, err
	}
	callers, err := listen(host)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	members := links.Members
	schedulers, err := kernel.Require[scheduler.Scheduler](host)
	if err != nil {
		return nil, err
	}
	schedulerSelector := &SchedulerSelector{Self: members.Self, Store: store, View: members.View, TargetLeaving: schedulers.TargetLeaving}
	tickets := &Tickets{Scheduler: schedulerSelector.Scheduler, MarkUnserved: schedulerSelector.MarkUnserved, Send: links.Send}
	links.OnEnvelope(tickets.Receive)
	links.OnConnected(tickets.ResendTo)
	members.OnChange(func(*peer.View) { tickets.Reassign() })
	entry := &Entry{
		Settings:         &host.Settings.Callers,
		DrainSettings:    &host.Settings.Drain,
		Store:            store,
		Records:          records,
		Events:           host.Events,
		HostIncarnation:  incarnationName(members.Self),
		IncarnationEnded: func(incarnation string) bool { return incarnationEnded(incarnation, members.Self, members.View()) },
		Callers:          callers,
		Memory:           callers.Budget,
		Client:           clients.Client,
		TargetLeaving:    schedulers.TargetLeaving,
		Submit:           tickets.Submit,
		Withdraw:         tickets.Withdraw,
		Release:          tickets.Release,
		Progress:         tickets.Progress,
	}
	run := func(ctx context.Context) error {
		go func() { _ = tickets.Run(ctx) }()
		return entry.Serve(ctx, callers)
	}
	return &kernel.Part{Run: run, Drain: entry.Drain}, nil
}

// listen opens the callers' listener, and bounds what they make the host hold.
func listen(host *kernel.Host) (*listener.Listener, error) {
	callers, plan := &host.Settings.Callers, host.Memory()
	socket, err := host.Network.Listen("tcp", callers.Listen)
	if err != nil {
		return nil, err
	}
	endpoint := &certificate.Endpoint{Files: callers.TLS, Events: host.Events}
	accepting, err := endpoint.Listen(socket)
	if err != nil {
		return nil, err
	}
	bounded := newListener(accepting, socket, plan, callers)
	(&listener.Report{Name: "callers", Events: host.Events}).Observe(bounded)
	listener.RecordDivision(host.Events, plan)
	return bounded, nil
}
