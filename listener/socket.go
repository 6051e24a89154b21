package listener

import (
	"net"
	"syscall"
	"time"
)

const (
	// receiveBytes is the receive buffer of a connection on a small machine: the system keeps
	// up to one and a half times as much unread. With 16 KiB a body of 4 MiB takes 5 ms on
	// loopback, with 4 KiB 18 ms, with the default 3 ms. For a body beyond enlargedBytes the
	// buffer gets largeReceiveBytes: at 10 Mbit/s it is wide enough for a delay of 50 ms.
	receiveBytes      = 16 << 10
	largeReceiveBytes = 64 << 10
	enlargedBytes     = 48 << 10
	// smallMachineBytes is the memory below which a machine is a small one. Others keep the
	// system's receive buffers.
	smallMachineBytes = 1 << 30
	// backlog is the number of connections that wait to be accepted on a small machine. It
	// bears those of a tenth of a second, in which the process may get no processor.
	backlog = 1024
	// unsentBytes limits what the system takes of an answer before the caller's system has
	// room for it: about 42 KiB are held for a caller that reads nothing, in place of 3.8 MB.
	// Small send buffers would do the same but stall for seconds where segments are long.
	unsentBytes = 16 << 10
	// windowClamp, notSentLowat and userTimeout are TCP_WINDOW_CLAMP, TCP_NOTSENT_LOWAT and
	// TCP_USER_TIMEOUT, which the syscall package does not name.
	windowClamp  = 10
	notSentLowat = 25
	userTimeout  = 18
)

// IsSmall reports whether a machine of some bytes needs small receive buffers.
func IsSmall(machine int64) bool { return machine < smallMachineBytes }

// socketOf returns the connection below TLS, or the connection itself without it.
func socketOf(conn net.Conn) net.Conn {
	if encrypted, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return encrypted.NetConn()
	}
	return conn
}

// isEncrypted reports whether a connection uses TLS.
func isEncrypted(conn net.Conn) bool { return socketOf(conn) != conn }

// control calls set with the descriptor of a connection or listener. It does nothing for those
// of tests that have none.
func control(socket any, set func(descriptor int)) {
	system, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := system.SyscallConn(); err == nil {
		// An error means that it is closed.
		_ = raw.Control(func(descriptor uintptr) { set(int(descriptor)) })
	}
}

// boundListener limits what the system holds for connections from the start, also for those
// that were not accepted yet. The connections inherit the buffer.
func boundListener(listener net.Listener) {
	control(listener, func(descriptor int) {
		// What fails leaves the system's defaults.
		_ = syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		_ = syscall.Listen(descriptor, backlog)
	})
}

// bound limits what the system holds of answers to a caller, and for how long if the caller
// does not take them. A timeout below the 11 s of keep-alive would end an idle connection after
// its first lost probe; with 10 s it ends at the same probe as without.
func bound(conn net.Conn, timeout time.Duration) {
	control(conn, func(descriptor int) {
		_ = syscall.SetsockoptInt(descriptor, syscall.IPPROTO_TCP, notSentLowat, unsentBytes)
		_ = syscall.SetsockoptInt(descriptor, syscall.IPPROTO_TCP, userTimeout, int(timeout.Milliseconds()))
	})
}

// setReceiveBuffer enlarges the receive buffer of a connection and the window that it offers.
func setReceiveBuffer(conn net.Conn, bytes int) {
	control(conn, func(descriptor int) {
		_ = syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		_ = syscall.SetsockoptInt(descriptor, syscall.IPPROTO_TCP, windowClamp, bytes)
	})
}

// hasInput reports whether the caller has sent something that was not read yet.
func (conn *Conn) hasInput() bool {
	n := 0
	// It doesn't wait for a read in progress, as a read of the raw connection would.
	control(conn.socket, func(descriptor int) {
		var one [1]byte
		n, _, _ = syscall.Recvfrom(descriptor, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}
