// Package listener accepts connections of callers that may misbehave: it bounds what each can
// make the host hold, and ends those that must give way to others.
package listener

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"nutmegfield.example/memory"
)

const (
	// defaultWriteTimeout limits the write of each maxWriteBytes to a caller: on a link of 64
	// kbit/s, the slowest that is served, they take 8 s.
	defaultWriteTimeout = 10 * time.Second
	maxWriteBytes       = 64 << 10
	// refuseTimeout limits the write of a refusal. The send buffer of the connection has room
	// for it.
	refuseTimeout = 50 * time.Millisecond
	// acceptPatience is how long a new connection waits for room, unless another one was
	// refused within refusalMemory: waiting longer would keep others from being accepted.
	acceptPatience = 25 * time.Millisecond
	acceptInterval = 6 * time.Millisecond
	refusalMemory  = 250 * time.Millisecond
	// fullTime is how long a listener has to refuse all connections to be full.
	fullTime = time.Second
	// lingerTime and lingerBytes bound what is still read after a refusal, so that a reset
	// does not destroy it on its way.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 128 << 10
	// maxFields limits the lines of a head.
	maxFields = 4096
	// maxPipelined is by how many more requests a caller may send before it gets the answer to
	// the one before than after it. The connection is closed then.
	maxPipelined = 4
)

// Limits bound the heads of requests.
type Limits struct {
	// HeaderBytes is the size of the largest head, 0 for no limit. Some more is read.
	HeaderBytes int
	// HeaderTimeout limits the time for a head, IdleTimeout that between two requests; 0 for
	// no limit but that of the server.
	HeaderTimeout, IdleTimeout time.Duration
}

// Listener accepts connections within a budget. Its fields are set before use.
type Listener struct {
	net.Listener
	// Socket is the listener below that of TLS; nil if Listener does without TLS. Heads are
	// counted above TLS, and a connection that finds no room costs no handshake, as that is done
	// by the first read.
	Socket net.Listener
	Budget *memory.Budget
	// Limits returns the limits in force. It may be nil.
	Limits func() Limits
	// IsSmall means that the machine needs small receive buffers.
	IsSmall bool
	// Messages means that the connections carry messages of other hosts in place of HTTP: what
	// is read counts until something is written.
	Messages bool
	// WriteTimeout limits the write of each 64 KiB; 0 means 10 s.
	WriteTimeout time.Duration
	// RetryAfter is told to callers that are refused for want of memory.
	RetryAfter time.Duration
	// Problem returns further header fields and the body of refusals by the listener itself; each
	// field ends its line. It may be nil.
	Problem func(status int) (fields, body string)
	// OnRefused is called when a connection or head is refused. It may be nil.
	OnRefused func(status int, reason string)
	// OnFull is called when the listener is seen to be full, or not any more. It may be nil.
	OnFull func(isFull bool, lasted time.Duration)
	// OnUnread is called with the id of a request whose caller does not read the answer and
	// loses its connection. It may be nil.
	OnUnread func(request string)

	once        sync.Once
	lastRefused time.Time
	// refusingSince is when the first connection was refused since one was taken, 0 for none, in
	// nanoseconds since 1970; wasFull is what IsFull returned last.
	refusingSince atomic.Int64
	wasFull       atomic.Bool
	ending        ending
}

// Accept returns the next connection for which there is room. It refuses others. Only one
// goroutine may call it.
func (listener *Listener) Accept() (net.Conn, error) {
	if listener.IsSmall {
		listener.once.Do(func() { boundListener(cmp.Or(listener.Socket, listener.Listener)) })
	}
	for {
		raw, err := listener.next()
		if err != nil {
			return nil, err
		}
		if conn := listener.admit(raw); conn != nil {
			return conn, nil
		}
		listener.refused(http.StatusServiceUnavailable, "too many connections")
		if listener.Messages || isEncrypted(raw) {
			// A refusal would need the handshake first.
			_ = raw.Close()
			continue
		}
		_ = raw.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = raw.Write(listener.refusal(http.StatusServiceUnavailable))
		_ = raw.Close()
	}
}

// admit returns the connection, nil if there is no room for it.
func (listener *Listener) admit(raw net.Conn) *Conn {
	conn := &Conn{Conn: raw, socket: socketOf(raw), listener: listener}
	hasInput := conn.hasInput
	if listener.Messages {
		// Messages that wait for room have input, and would wait for each other.
		hasInput = nil
	}
	conn.holder = listener.Budget.NewHolder(conn.evict, hasInput)
	for waited := time.Duration(0); ; waited += acceptInterval {
		isOpen := conn.holder.Open(memory.ConnectionCost)
		if !isOpen {
			// Others were told to give way, and most do at once.
			isOpen = conn.holder.Open(memory.ConnectionCost)
		}
		if isOpen {
			bound(conn.socket, max(listener.writeTimeout(), defaultWriteTimeout))
			listener.refusingSince.Store(0)
			return conn
		}
		if waited >= acceptPatience || time.Since(listener.lastRefused) < refusalMemory {
			listener.lastRefused = time.Now()
			listener.refusingSince.CompareAndSwap(0, listener.lastRefused.UnixNano())
			return nil
		}
		time.Sleep(acceptInterval)
	}
}

// IsFull reports whether the listener has refused all connections for a while, and still has no
// room for another one. That of a nil listener does not.
func (listener *Listener) IsFull() bool {
	if listener == nil {
		return false
	}
	since, lasted := listener.refusingSince.Load(), time.Duration(0)
	if since != 0 {
		lasted = time.Since(time.Unix(0, since))
	}
	isFull := lasted >= fullTime && !listener.Budget.HasRoom(memory.Connections, memory.ConnectionCost)
	if isFull {
		// Without further callers nobody else would ask for room.
		listener.Budget.Relieve(memory.Connections, memory.ConnectionCost)
	}
	if listener.wasFull.Swap(isFull) != isFull && listener.OnFull != nil {
		listener.OnFull(isFull, lasted)
	}
	return isFull
}

func (listener *Listener) limits() Limits {
	if listener.Limits == nil {
		return Limits{}
	}
	return listener.Limits()
}

func (listener *Listener) writeTimeout() time.Duration {
	return cmp.Or(listener.WriteTimeout, defaultWriteTimeout)
}

func (listener *Listener) refused(status int, reason string) {
	if listener.OnRefused != nil {
		listener.OnRefused(status, reason)
	}
}

// refusal returns an answer that the listener gives itself. All of them mean that the request
// has not run.
func (listener *Listener) refusal(status int) []byte {
	retry := ""
	if status == http.StatusServiceUnavailable && listener.RetryAfter > 0 {
		retry = "Retry-After: " + strconv.FormatFloat(listener.RetryAfter.Seconds(), 'f', 3, 64) + "\r\n"
	}
	fields, body := "", ""
	if listener.Problem != nil {
		fields, body = listener.Problem(status)
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), retry, fields, len(body), body)
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// Bind lets a server tell the connections of the listener what they do.
func Bind(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if conn, ok := conn.(*Conn); ok && state == http.StateIdle {
			conn.endRequest()
		}
	}
}

// Of returns the connection of a request, nil if it comes over none of a Listener. The
// methods of a nil Conn that requests use do nothing.
func Of(request *http.Request) *Conn {
	conn, _ := request.Context().Value(connKey{}).(*Conn)
	return conn
}

// Limit lets at most some requests at a time be handled. Others wait for the time given, and are
// refused then.
func Limit(most int, patience time.Duration, next http.Handler) http.Handler {
	turns := make(chan struct{}, most)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		timer := time.NewTimer(patience)
		defer timer.Stop()
		select {
		case turns <- struct{}{}:
			defer func() { <-turns }()
			next.ServeHTTP(writer, request)
		case <-timer.C:
			writer.WriteHeader(http.StatusServiceUnavailable)
		case <-request.Context().Done():
			panic(http.ErrAbortHandler)
		}
	})
}

// Handler admits requests that need nothing but their own memory: their bodies are not read.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn := Of(request)
		end, ok := conn.Begin(writer, request)
		defer end()
		if !ok {
			writer.Header().Set("Content-Length", "0")
			conn.RefuseUnread(writer, request, http.StatusServiceUnavailable)
			return
		}
		conn.Discard(writer, request)
		next.ServeHTTP(writer, request)
		conn.Linger(writer, request)
	})
}
