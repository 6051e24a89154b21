package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// MaxFreshIdle is the longest idle time of a connection that carries a
	// request which may run only once. A target announces that it closes a
	// connection one round trip before it does so.
	MaxFreshIdle = 2 * time.Second
	// maxIdle is the longest that a connection is kept idle if the target states
	// no shorter time.
	maxIdle = 8 * time.Second
	// keepAliveFraction is the fraction of a target's stated idle timeout that is
	// used, so that no request is sent while the target closes the connection.
	keepAliveFraction = 0.7
	// maxIdlePerTarget limits the idle connections to one target.
	maxIdlePerTarget = 32
	// After a target has dropped an idle connection without notice, connections to
	// all targets are reused only within idleResetFraction of that connection's idle
	// time, for idleResetLifetime.
	idleResetFraction = 0.5
	idleResetLifetime = time.Minute
	// minIdleReset is the shortest idle time recorded for a reset, because targets
	// that crash reset connections too.
	minIdleReset = 100 * time.Millisecond
	// maxResetDelay is the longest time between sending a request and the reset
	// of its connection for which the target is assumed to have dropped the
	// connection while it was idle. It is a few round trips between zones.
	maxResetDelay = 50 * time.Millisecond
)

// Connections is a pool of connections to targets. Its fields are set before use.
type Connections struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout limits each dial.
	DialTimeout time.Duration
	// MaxOpen returns this host's share of the connections that the target at an address
	// accepts from all hosts together, 0 for no limit. While more are open, none is
	// kept idle. It may be nil.
	MaxOpen func(address string) int
	// Identify reads from the head of an answer which request it belongs to.
	Identify func(status int, header http.Header) Identity

	mutex sync.Mutex
	// idle holds the idle connections by address, open the number of all open ones.
	idle map[string][]*connection
	open map[string]int
	// shortestIdleReset is the shortest idle time after which a target had
	// dropped a connection without notice, 0 for none; lastIdleReset is when
	// such a reset was last observed.
	shortestIdleReset time.Duration
	lastIdleReset     time.Time
	// unnamedUntil is until when connections to an address are not reused, as the target
	// there refuses requests without naming them. refused are the requests that targets
	// refused.
	unnamedUntil map[string]time.Time
	refused      refusedIDs
}

// acquire returns an idle connection that is still usable, or a new one. A request that may
// run once reuses no connection that was idle for longer than MaxFreshIdle.
func (connections *Connections) acquire(ctx context.Context, address string, request *Request) (*connection, error) {
	for !connections.needsNew(address, request) {
		connection := connections.popIdle(address)
		if connection == nil {
			break
		}
		if idleBefore := time.Since(connection.idleSince); idleBefore <= connections.idleLimit(request.Once) && connection.isUsable() {
			connection.idleBefore = idleBefore
			return connection, nil
		}
		connection.close()
	}
	return connections.dial(ctx, address)
}

// Warm opens a connection to an address and keeps it for a request.
func (connections *Connections) Warm(ctx context.Context, address string) error {
	connection, err := connections.dial(ctx, address)
	if err != nil {
		return err
	}
	connections.keepIdle(connection)
	return nil
}

// popIdle returns an idle connection, nil if there is none or the target refuses requests
// without naming them.
func (connections *Connections) popIdle(address string) *connection {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	idle := connections.idle[address]
	if len(idle) == 0 || connections.isUnnamedLocked(address) {
		return nil
	}
	connection := idle[len(idle)-1]
	connections.idle[address] = idle[:len(idle)-1]
	return connection
}

func (connections *Connections) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, connections.DialTimeout)
	defer cancel()
	conn, err := connections.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	connections.addOpen(address, 1)
	input := &headLimiter{source: conn}
	return &connection{
		Conn:     conn,
		address:  address,
		input:    input,
		reader:   bufio.NewReaderSize(input, readBufferBytes),
		openedAt: time.Now(),
		onClose:  func() { connections.addOpen(address, -1) },
	}, nil
}

func (connections *Connections) addOpen(address string, change int) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	connections.addOpenLocked(address, change)
}

// addOpenLocked is addOpen for callers that hold the mutex.
func (connections *Connections) addOpenLocked(address string, change int) {
	if connections.open == nil {
		connections.open = map[string]int{}
	}
	connections.open[address] += change
	if connections.open[address] == 0 {
		delete(connections.open, address)
	}
}

// OpenCount returns the number of open connections to an address.
func (connections *Connections) OpenCount(address string) int {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	return connections.open[address]
}

// putIdle keeps a connection for reuse after its answer has been read completely. It
// closes the connection if it must not be reused, has unread input, maxIdlePerTarget
// others are idle, more than MaxOpen are open or the target refuses requests without naming
// them.
func (connections *Connections) putIdle(ended *connection) {
	ended.uses++
	connections.keepIdle(ended)
}

// keepIdle is putIdle for a connection that may not have carried a request.
func (connections *Connections) keepIdle(ended *connection) {
	ended.idleSince = time.Now()
	if ended.noReuse || ended.reader.Buffered() > 0 {
		ended.close()
		return
	}
	maxOpen := 0
	if connections.MaxOpen != nil {
		maxOpen = connections.MaxOpen(ended.address)
	}
	connections.mutex.Lock()
	idle := connections.idle[ended.address]
	full := len(idle) >= maxIdlePerTarget || maxOpen > 0 && connections.open[ended.address] > maxOpen ||
		ended.carried > 0 && connections.isUnnamedLocked(ended.address)
	if !full {
		if connections.idle == nil {
			connections.idle = map[string][]*connection{}
		}
		connections.idle[ended.address] = append(idle, ended)
	} else {
		// Others that end at the same moment must not count it any more.
		connections.addOpenLocked(ended.address, -1)
		ended.onClose = nil
	}
	connections.mutex.Unlock()
	if full {
		ended.close()
	}
}

// CloseIdle closes the idle connections to an address.
func (connections *Connections) CloseIdle(address string) {
	connections.mutex.Lock()
	idle := connections.idle[address]
	delete(connections.idle, address)
	connections.mutex.Unlock()
	for _, connection := range idle {
		connection.close()
	}
}

// CloseStale closes the connections that have been idle for too long.
func (connections *Connections) CloseStale() {
	var old []*connection
	connections.mutex.Lock()
	for address, idle := range connections.idle {
		kept := idle[:0]
		for _, connection := range idle {
			if connection.isStale() {
				old = append(old, connection)
			} else {
				kept = append(kept, connection)
			}
		}
		if connections.idle[address] = kept; len(kept) == 0 {
			delete(connections.idle, address)
		}
	}
	connections.mutex.Unlock()
	for _, connection := range old {
		connection.close()
	}
}

func (connection *connection) isStale() bool {
	return time.Since(connection.idleSince) > connection.idleLimit()
}

// idleLimit returns how long the connection is kept idle.
func (connection *connection) idleLimit() time.Duration {
	if connection.keepAlive > 0 {
		return min(maxIdle, time.Duration(float64(connection.keepAlive)*keepAliveFraction))
	}
	return maxIdle
}

// isUsable reports whether an idle connection may carry another request.
func (connection *connection) isUsable() bool {
	return !connection.isStale() && connection.hasNoInput()
}

// idleLimit returns the longest idle time after which a connection is reused.
func (connections *Connections) idleLimit(freshOnly bool) time.Duration {
	limit := maxIdle
	if freshOnly {
		limit = MaxFreshIdle
	}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if connections.shortestIdleReset > 0 && time.Since(connections.lastIdleReset) < idleResetLifetime {
		limit = min(limit, time.Duration(idleResetFraction*float64(connections.shortestIdleReset)))
	}
	return limit
}

// wasResetWhileIdle reports whether an error that came this long after a request was
// sent means that the target had dropped the connection while it was idle.
func (connection *connection) wasResetWhileIdle(err error, took time.Duration) bool {
	return connection.uses > 0 && took < maxResetDelay && errors.Is(err, syscall.ECONNRESET)
}

// recordIdleReset records that a target had dropped a connection without notice
// after this idle time.
func (connections *Connections) recordIdleReset(idleBefore time.Duration) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	idleBefore = max(idleBefore, minIdleReset)
	now := time.Now()
	if connections.shortestIdleReset == 0 || idleBefore < connections.shortestIdleReset || now.Sub(connections.lastIdleReset) >= idleResetLifetime {
		connections.shortestIdleReset = idleBefore
	}
	connections.lastIdleReset = now
}

// hasNoInput reports whether the target has neither sent anything nor closed the
// connection.
func (connection *connection) hasNoInput() bool {
	isEmpty, _ := connection.peek()
	return isEmpty
}

// peek reports whether the target has neither sent anything nor closed the connection. It
// returns the error of a broken connection, which no later read does.
func (connection *connection) peek() (bool, error) {
	system, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return true, nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false, fmt.Errorf("reach the socket: %w", err)
	}
	var one [1]byte
	var peekErr error
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return false, fmt.Errorf("reach the socket: %w", err)
	case errors.Is(peekErr, syscall.EAGAIN), errors.Is(peekErr, syscall.EINTR):
		return true, nil
	case peekErr != nil:
		return false, fmt.Errorf("read: %w", peekErr)
	}
	return false, nil
}

// updateReuse reads from an answer whether and how long its connection may be
// kept.
func (connection *connection) updateReuse(response *http.Response) {
	if response.Close {
		connection.noReuse = true
	}
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			connection.keepAlive = time.Duration(seconds) * time.Second
		}
	}
}
