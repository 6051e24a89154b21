package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/certificate"
	"nutmegfield.example/errorkind"
	"nutmegfield.example/kernel"
	"nutmegfield.example/listener"
	"nutmegfield.example/memory"
	"nutmegfield.example/objects"
)

// leaveRank makes the part of newLeavePart drain first, so that other hosts learn
// of the drain before any other part ends.
const leaveRank = kernel.RankOperators + 1

// maxReceivedBytes is the receive buffer's size, larger than any datagram that
// a host sends.
const maxReceivedBytes = 2*maxDatagramBytes + tagBytes

func init() {
	kernel.Register(kernel.Plugin{Name: "peers", Rank: kernel.RankPeers, New: newPart})
	kernel.Register(kernel.Plugin{Name: "leaving", Rank: leaveRank, New: newLeavePart})
}

// newLeavePart returns a part that announces, as soon as the drain begins, that
// this host is leaving.
func newLeavePart(host *kernel.Host) (*kernel.Part, error) {
	prober, err := kernel.Require[Prober](host)
	if err != nil {
		return nil, err
	}
	drain := func(context.Context) error {
		prober.Leave()
		return nil
	}
	return &kernel.Part{Drain: drain}, nil
}

// newPart returns the part that runs the membership protocol and the links.
func newPart(host *kernel.Host) (*kernel.Part, error) {
	api, err := kernel.Require[objects.API](host)
	if err != nil {
		return nil, err
	}
	settings := host.Settings
	endpoint := &certificate.Endpoint{Files: settings.Peers.TLS, Events: host.Events, Connect: host.Dial}
	socket, err := host.Network.Listen("tcp", settings.Peers.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	accepting, err := endpoint.Listen(socket)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	bounded := newListener(accepting, socket, host.Memory())
	(&listener.Report{Name: "peers", Events: host.Events}).Observe(bounded)
	secret, err := readSecret(settings.Peers.Secret)
	if err != nil {
		return nil, err
	}
	datagrams, err := host.Network.ListenPacket("udp", settings.Peers.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for probes: %w", err)
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
		Listener: bounded,
		Dial:     endpoint.Dial,
	}
	prober := &Prober{
		Members: members,
		Secret:  secret,
		Events:  host.Events,
		Send:    kernel.DatagramSender(datagrams),
		Hosts:   api.Hosts,
		Seeds:   settings.Peers.Seeds,
	}
	kernel.Provide(host, members)
	kernel.Provide(host, links)
	kernel.Provide(host, prober)
	run := func(ctx context.Context) error {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		var group sync.WaitGroup
		group.Go(func() { kernel.ReceiveDatagrams(datagrams, maxReceivedBytes, prober.Receive) })
		group.Go(func() {
			if err := prober.Run(ctx); err != nil {
				cancel(err)
			}
			// Run has sent the announcement that this host has ended.
			_ = datagrams.Close()
		})
		err := links.Run(ctx)
		cancel(nil)
		group.Wait()
		if cause := context.Cause(ctx); Is(cause, Replaced) {
			return fmt.Errorf("maintain membership: %w", cause)
		}
		return err
	}
	return &kernel.Part{Run: run}, nil
}

// newListener bounds what connections of other hosts, or of who takes their place, make the host
// hold. Socket is the listener below that of TLS, nil without TLS.
func newListener(accepting, socket net.Listener, plan *memory.Plan) *listener.Listener {
	return &listener.Listener{
		Listener: accepting, Socket: socket, Budget: plan.Peers, IsSmall: listener.IsSmall(plan.Machine),
		Messages: true, WriteTimeout: silenceTimeout,
	}
}

// Is reports whether an error, also one wrapped with %w, is of one of the
// types.
func Is(err error, types ...*errorx.Type) bool { return errorkind.Is(err, types...) }
