package exchange

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"nutmegfield.example/exchange/exchangepb"
)

const (
	// stallTimeout is how long a request for a snapshot waits for the connection, and for
	// each further piece of the answer.
	stallTimeout = 700 * time.Millisecond
	// fetchTimeout limits the whole request. Large routes take half a second over the
	// narrowest links that hosts have, more while callers use the link as well.
	fetchTimeout = 5 * time.Second
	// maxSnapshotBytes limits a snapshot: the configuration, and all that a host keeps of the
	// targets.
	maxSnapshotBytes = 16 << 20
)

// inactivityTimeout is how long a connection stays open on which no call comes. Hosts close
// theirs earlier.
const inactivityTimeout = 10 * time.Second

// Snapshots serves the platform's objects that this host has (the configuration and
// the targets) to other hosts, and requests those that other hosts have. Its fields
// are set before use.
type Snapshots struct {
	// Build returns the objects that are newer than those of the requesting host.
	Build func(request *exchangepb.SnapshotRequest) *exchangepb.Snapshot
	// Dial opens a connection to a host.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Register adds further calls to those that Serve answers. It may be nil.
	Register func(mux drpc.Mux) error
}

// Serve answers requests of other hosts until the context ends. It returns an
// error if it stops earlier.
func (snapshots *Snapshots) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := exchangepb.DRPCRegisterSnapshots(mux, snapshots); err != nil {
		return fmt.Errorf("register snapshots: %w", err)
	}
	if snapshots.Register != nil {
		if err := snapshots.Register(mux); err != nil {
			return fmt.Errorf("register further calls: %w", err)
		}
	}
	options := drpcserver.Options{Manager: drpcmanager.Options{InactivityTimeout: inactivityTimeout}}
	if err := drpcserver.NewWithOptions(mux, options).Serve(ctx, listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve snapshots: %w", err)
	}
	return nil
}

// Fetch implements the server's side of the Fetch call of other hosts.
func (snapshots *Snapshots) Fetch(
	_ context.Context, request *exchangepb.SnapshotRequest,
) (*exchangepb.Snapshot, error) {
	return snapshots.Build(request), nil
}

// stallConn is a connection whose reads fail once nothing has arrived for stallTimeout.
type stallConn struct{ net.Conn }

func (stallConn stallConn) Read(buffer []byte) (int, error) {
	if err := stallConn.SetReadDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, fmt.Errorf("limit the wait for a snapshot: %w", err)
	}
	return stallConn.Conn.Read(buffer)
}

// Request fetches from the host at an address the objects that are newer than this
// host's. It returns an error if the host is unreachable, sends nothing for stallTimeout or
// has not sent all within fetchTimeout.
func (snapshots *Snapshots) Request(
	ctx context.Context, address string, request *exchangepb.SnapshotRequest,
) (*exchangepb.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	conn, err := snapshots.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	client := drpcconn.NewWithOptions(stallConn{conn}, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxSnapshotBytes},
	}})
	defer func() { _ = client.Close() }()
	snapshot, err := exchangepb.NewDRPCSnapshotsClient(client).Fetch(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("request snapshot from %s: %w", address, err)
	}
	return snapshot, nil
}

func (snapshots *Snapshots) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, stallTimeout)
	defer cancel()
	return snapshots.Dial(ctx, "tcp", address)
}
