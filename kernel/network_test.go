package kernel

import (
	"context"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which the syscall package does not name.
const tcpUserTimeout = 18

// TestKeepAliveIsOwn guards against connections whose keep-alive probes give up at another
// time than keepAlive says: a TCP_USER_TIMEOUT, which some libraries set, takes its place.
func TestKeepAliveIsOwn(t *testing.T) {
	c := qt.New(t)
	network := SystemNetwork()
	listener, err := network.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dialled, err := network.Dial(context.Background(), "tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = dialled.Close() }()
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = accepted.Close() }()
	for _, conn := range []net.Conn{dialled, accepted} {
		raw, err := conn.(*net.TCPConn).SyscallConn()
		c.Assert(err, qt.IsNil)
		for option, want := range map[int]int{
			tcpUserTimeout: 0, syscall.TCP_KEEPIDLE: int(keepAlive.Idle.Seconds()),
			syscall.TCP_KEEPINTVL: int(keepAlive.Interval.Seconds()), syscall.TCP_KEEPCNT: keepAlive.Count,
		} {
			var value int
			var optionErr error
			err := raw.Control(func(descriptor uintptr) {
				value, optionErr = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, option)
			})
			c.Assert(err, qt.IsNil)
			c.Assert(optionErr, qt.IsNil)
			c.Assert(value, qt.Equals, want, qt.Commentf("option %d", option))
		}
	}
}
