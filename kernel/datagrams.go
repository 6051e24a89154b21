package kernel

import (
	"errors"
	"net"
)

// DatagramSender returns a function that sends datagrams; those that can't be sent are
// as good as lost.
func DatagramSender(datagrams net.PacketConn) func(address string, datagram []byte) {
	return func(address string, datagram []byte) {
		resolved, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return
		}
		_, _ = datagrams.WriteTo(datagram, resolved)
	}
}

// ReceiveDatagrams passes datagrams of at most a length on until the connection is
// closed. The bytes are valid during the call.
func ReceiveDatagrams(datagrams net.PacketConn, longest int, take func(datagram []byte)) {
	buffer := make([]byte, longest)
	for {
		size, _, err := datagrams.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			take(buffer[:size])
		}
	}
}
