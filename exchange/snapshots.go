package exchange

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"nutmegfield.example/exchange/exchangepb"
)

// fetchTimeout bounds the whole of asking a host for its snapshot.
const fetchTimeout = 700 * time.Millisecond

// Snapshots gives the other hosts what this one knows, and asks them. Fields
// are set before use.
type Snapshots struct {
	// Build returns what this host knows beyond what another one does.
	Build func(known *exchangepb.SnapshotRequest) *exchangepb.Snapshot
	// Dial opens a connection to a host.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Serve answers other hosts until the context ends.
func (snapshots *Snapshots) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := exchangepb.DRPCRegisterSnapshots(mux, snapshots); err != nil {
		return fmt.Errorf("register snapshots: %w", err)
	}
	if err := drpcserver.New(mux).Serve(ctx, listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve snapshots: %w", err)
	}
	return nil
}

// Fetch answers a host that asks.
func (snapshots *Snapshots) Fetch(_ context.Context, known *exchangepb.SnapshotRequest) (*exchangepb.Snapshot, error) {
	return snapshots.Build(known), nil
}

// Request returns what another host knows beyond what this one does.
func (snapshots *Snapshots) Request(ctx context.Context, address string, known *exchangepb.SnapshotRequest) (*exchangepb.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	conn, err := snapshots.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	link := drpcconn.New(conn)
	defer func() { _ = link.Close() }()
	snapshot, err := exchangepb.NewDRPCSnapshotsClient(link).Fetch(ctx, known)
	if err != nil {
		return nil, fmt.Errorf("ask %s for its snapshot: %w", address, err)
	}
	return snapshot, nil
}
