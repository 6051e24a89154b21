package listener

import (
	"cmp"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"nutmegfield.example/memory"
)

const (
	// lastAcceptTime is how long a listener that ends waits for another connection, while some
	// still wait to be accepted; maxEndingTime limits the time in which it takes them.
	lastAcceptTime = 5 * time.Millisecond
	maxEndingTime  = 500 * time.Millisecond
	// lastRequestTime is how long a connection that nothing has come on is kept then, restTime
	// how long one whose last answer did not say that it ends.
	lastRequestTime = time.Second
	restTime        = 100 * time.Millisecond
)

// ending is the end of a listener: it takes the connections that wait, and no others.
type ending struct {
	isBegun atomic.Bool
	beganAt time.Time
	once    sync.Once
	// drained is closed when all that wait are accepted, closed when the listener is.
	drained, closed         chan struct{}
	drainedOnce, closedOnce sync.Once
	// accepted is the number of connections that were accepted meanwhile.
	accepted atomic.Int64
}

func (ending *ending) init() {
	ending.once.Do(func() { ending.drained, ending.closed = make(chan struct{}), make(chan struct{}) })
}

// deadliner is a listener whose Accept can have a deadline.
type deadliner interface {
	SetDeadline(deadline time.Time) error
}

// socket returns the listener below TLS.
func (listener *Listener) socket() net.Listener {
	return cmp.Or(listener.Socket, listener.Listener)
}

// StopAccepting closes the listener, but not before the connections that the system has accepted
// are taken: a close alone would reset them. It returns their number. Accept goes on to block
// until Close, as its server would take an error for a failure.
func (listener *Listener) StopAccepting() int {
	ending := &listener.ending
	ending.init()
	ending.beganAt = time.Now()
	ending.isBegun.Store(true)
	if limited, ok := listener.socket().(deadliner); ok {
		// An error means that it is closed.
		_ = limited.SetDeadline(past)
	} else {
		_ = listener.Listener.Close()
	}
	select {
	case <-ending.drained:
	case <-ending.closed:
	case <-time.After(2 * maxEndingTime):
		// Nobody accepts.
		_ = listener.Listener.Close()
	}
	return int(ending.accepted.Load())
}

// next returns the next connection that waits. Once all are accepted after StopAccepting it
// returns an error when the listener is closed.
func (listener *Listener) next() (net.Conn, error) {
	ending := &listener.ending
	for {
		isEnding := ending.isBegun.Load()
		if limited, ok := listener.socket().(deadliner); ok && isEnding {
			_ = limited.SetDeadline(time.Now().Add(lastAcceptTime))
		}
		raw, err := listener.Listener.Accept()
		if err == nil && isEnding {
			ending.accepted.Add(1)
		}
		if err == nil || !ending.isBegun.Load() {
			return raw, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if !isEnding {
				// StopAccepting has ended the wait.
				continue
			}
			if time.Since(ending.beganAt) < maxEndingTime && !closeIfNoneWaits(listener.socket()) {
				continue
			}
		}
		_ = listener.Listener.Close()
		ending.drainedOnce.Do(func() { close(ending.drained) })
		<-ending.closed
		return nil, net.ErrClosed
	}
}

// Close closes the listener, and ends Accept.
func (listener *Listener) Close() error {
	ending := &listener.ending
	ending.init()
	ending.closedOnce.Do(func() { close(ending.closed) })
	err := listener.Listener.Close()
	if ending.isBegun.Load() {
		// It was closed before.
		return nil
	}
	return err
}

// EndIdle ends the connections without a request, once nothing may be on its way on them. It
// returns the number of those that are left.
func (listener *Listener) EndIdle() int {
	return listener.Budget.Evict(func(candidate *memory.Candidate) bool {
		switch candidate.Phase {
		case memory.Idle:
			return candidate.Age >= restTime
		case memory.Head:
			return candidate.Received == 0 && candidate.Age >= lastRequestTime
		default:
			return false
		}
	})
}

// EndWaiting ends the connections without a request, and has those refused whose requests were
// sent to no target.
func (listener *Listener) EndWaiting() {
	listener.Budget.Evict(func(candidate *memory.Candidate) bool { return candidate.Phase < memory.Running })
}

// closeIfNoneWaits closes a listening socket, unless a connection waits to be accepted: a close
// would reset that.
func closeIfNoneWaits(socket net.Listener) (isClosed bool) {
	isClosed = true
	control(socket, func(descriptor int) {
		waiting := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		if n, err := unix.Poll(waiting, 0); err == nil && n > 0 {
			isClosed = false
			return
		}
		// Nothing comes between the two calls but what this thread does not see in time.
		_ = unix.Shutdown(descriptor, unix.SHUT_RD)
	})
	return isClosed
}
