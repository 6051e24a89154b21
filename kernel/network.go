package kernel

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Network holds the functions by which a host listens and dials. Tests replace
// them.
type Network struct {
	Listen       func(network, address string) (net.Listener, error)
	ListenPacket func(network, address string) (net.PacketConn, error)
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
}

// SystemNetwork returns the network of the operating system.
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

// keepAlive closes a connection within 11 s after a device on its path, such as
// a NAT gateway or firewall, has dropped the state of it.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     5 * time.Second,
	Interval: 2 * time.Second,
	Count:    3,
}

// dialTimeout limits each dial because net/http keeps dialling after the request
// that needs the connection has ended.
const dialTimeout = 2 * time.Second

// Dial opens a connection. It fails after 2 s, or earlier when ctx ends.
func (host *Host) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := host.Network.Dial(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}
