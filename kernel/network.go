package kernel

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Network is how a host reaches the others; its functions are seams.
type Network struct {
	Listen       func(network, address string) (net.Listener, error)
	ListenPacket func(network, address string) (net.PacketConn, error)
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
}

// SystemNetwork is the machine's own.
func SystemNetwork() Network {
	return Network{
		Listen:       listen,
		ListenPacket: net.ListenPacket,
		Dial:         (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext,
	}
}

func listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	return config.Listen(context.Background(), network, address)
}

// keepAlive has the system end a connection within eleven seconds when
// something between the two ends has lost track of it.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     5 * time.Second,
	Interval: 2 * time.Second,
	Count:    3,
}

// dialTimeout bounds each dial: net/http goes on dialling when the request
// that wanted the connection has ended.
const dialTimeout = 2 * time.Second

// Dial opens a connection within a bounded time.
func (host *Host) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := host.Network.Dial(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}
