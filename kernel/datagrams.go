package kernel

import (
	"errors"
	"net"
)

// DatagramSender returns a function that sends a datagram to an address. It
// ignores errors: to the protocol, a datagram that could not be sent is a lost
// one.
func DatagramSender(datagrams net.PacketConn) func(address string, datagram []byte) {
	return func(address string, datagram []byte) {
		resolved, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return
		}
		_, _ = datagrams.WriteTo(datagram, resolved)
	}
}

// ReceiveDatagrams calls handle with each datagram until the connection is
// closed. Longer datagrams are truncated to maxBytes. The slice is only valid
// during the call.
func ReceiveDatagrams(datagrams net.PacketConn, maxBytes int, handle func(datagram []byte)) {
	buffer := make([]byte, maxBytes)
	for {
		size, _, err := datagrams.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(buffer[:size])
		}
	}
}
