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
	// FreshIdle is the longest idle time of a connection that carries a
	// request which may run once only: a target that ends a connection says
	// so a round trip before.
	FreshIdle = 2 * time.Second
	// keptIdle is the longest that a connection is kept idle where the target
	// states no time.
	keptIdle = 8 * time.Second
	// keepShare is the part of a target's stated idle time that is used, so
	// that a request does not cross its close.
	keepShare = 0.7
	// keptPerTarget bounds the idle connections to one target.
	keptPerTarget = 32
	// brokenShare is the part of the idle time after which a connection broke
	// without notice that others may be idle, for brokenMemory.
	brokenShare  = 0.5
	brokenMemory = time.Minute
	// brokenLeast is the shortest idle time that is held against it: targets
	// that crash reset connections too.
	brokenLeast = 100 * time.Millisecond
	// resetAtOnce is how soon a connection is reset that its target had
	// forgotten: some round trips between zones.
	resetAtOnce = 50 * time.Millisecond
)

// Connections keeps idle connections to targets. Fields are set before use.
type Connections struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds each dial.
	DialTimeout time.Duration
	// Own reports whether an answer is the request's own.
	Own func(request *Request, response *http.Response) bool

	mutex sync.Mutex
	idle  map[string][]*connection
	open  map[string]int
	// broken is the shortest idle time after which a connection had been
	// forgotten by its target, brokenAt when that was seen last.
	broken   time.Duration
	brokenAt time.Time
}

// take returns an idle connection that still stands, or a new one.
func (connections *Connections) take(ctx context.Context, address string, fresh bool) (*connection, error) {
	for {
		kept := connections.pop(address)
		if kept == nil {
			break
		}
		if rested := time.Since(kept.idle); rested <= connections.restLimit(fresh) && kept.usable() {
			kept.rested = rested
			return kept, nil
		}
		kept.close()
	}
	return connections.dial(ctx, address)
}

func (connections *Connections) pop(address string) *connection {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	idle := connections.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	connections.idle[address] = idle[:len(idle)-1]
	return last
}

func (connections *Connections) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, connections.DialTimeout)
	defer cancel()
	conn, err := connections.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	connections.count(address, 1)
	return &connection{
		Conn:    conn,
		address: address,
		reader:  bufio.NewReaderSize(conn, readBuffer),
		onClose: func() { connections.count(address, -1) },
	}, nil
}

func (connections *Connections) count(address string, change int) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if connections.open == nil {
		connections.open = map[string]int{}
	}
	connections.open[address] += change
	if connections.open[address] == 0 {
		delete(connections.open, address)
	}
}

// Open returns the number of open connections to an address.
func (connections *Connections) Open(address string) int {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	return connections.open[address]
}

// put keeps a connection whose answer has been read whole.
func (connections *Connections) put(ended *connection) {
	ended.uses++
	ended.idle = time.Now()
	if ended.spent || ended.reader.Buffered() > 0 {
		ended.close()
		return
	}
	connections.mutex.Lock()
	idle := connections.idle[ended.address]
	full := len(idle) >= keptPerTarget
	if !full {
		if connections.idle == nil {
			connections.idle = map[string][]*connection{}
		}
		connections.idle[ended.address] = append(idle, ended)
	}
	connections.mutex.Unlock()
	if full {
		ended.close()
	}
}

// Forget closes the idle connections to an address.
func (connections *Connections) Forget(address string) {
	connections.mutex.Lock()
	idle := connections.idle[address]
	delete(connections.idle, address)
	connections.mutex.Unlock()
	for _, connection := range idle {
		connection.close()
	}
}

// Trim closes the connections that have been idle for too long.
func (connections *Connections) Trim() {
	var old []*connection
	connections.mutex.Lock()
	for address, idle := range connections.idle {
		kept := idle[:0]
		for _, connection := range idle {
			if connection.stale() {
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

func (connection *connection) stale() bool {
	limit := keptIdle
	if connection.keep > 0 {
		limit = min(limit, time.Duration(float64(connection.keep)*keepShare))
	}
	return time.Since(connection.idle) > limit
}

// usable reports whether an idle connection may carry another request.
func (connection *connection) usable() bool { return !connection.stale() && connection.quiet() }

// restLimit is how long a connection may have been idle.
func (connections *Connections) restLimit(fresh bool) time.Duration {
	limit := keptIdle
	if fresh {
		limit = FreshIdle
	}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if connections.broken > 0 && time.Since(connections.brokenAt) < brokenMemory {
		limit = min(limit, time.Duration(brokenShare*float64(connections.broken)))
	}
	return limit
}

// wasForgotten reports whether a failure so soon after a request was sent says
// that the target had forgotten the connection while it was idle.
func (connection *connection) wasForgotten(err error, took time.Duration) bool {
	return connection.uses > 0 && took < resetAtOnce && errors.Is(err, syscall.ECONNRESET)
}

// forgotten learns that a target ended a connection without notice while it
// was idle.
func (connections *Connections) forgotten(rested time.Duration) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	rested = max(rested, brokenLeast)
	now := time.Now()
	if connections.broken == 0 || rested < connections.broken || now.Sub(connections.brokenAt) >= brokenMemory {
		connections.broken = rested
	}
	connections.brokenAt = now
}

// quiet reports whether the target has neither sent anything nor closed.
func (connection *connection) quiet() bool {
	system, ok := connection.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	var peeked error
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, peeked = syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (errors.Is(peeked, syscall.EAGAIN) || errors.Is(peeked, syscall.EINTR))
}

// learn takes from an answer whether and how long its connection is kept.
func (connection *connection) learn(response *http.Response) {
	if response.Close {
		connection.spent = true
	}
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			connection.keep = time.Duration(seconds) * time.Second
		}
	}
}
