package listener

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"nutmegfield.example/memory"
)

// errGone is the cause of a read or write of a connection that has given way, or whose head was
// refused. Net/http answers nothing then.
var errGone = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection has ended")}

// past is a deadline that ends a read or write at once.
var past = time.Unix(1, 0)

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	// socket is the connection below TLS, or Conn itself.
	socket net.Conn
	// holder counts what is held for the connection.
	holder   *memory.Holder
	listener *Listener

	// The following are used by the goroutine that reads the connection.
	head headReader
	// headCost is what was taken for the head, headDeadline when it must be complete.
	headCost     int64
	headDeadline time.Time

	// pipelined is by how many more requests came before the answer to the one before than
	// after it; hasNext means that a part of the next one has come before hasAnswered, hasRest
	// that something was read with the last head.
	pipelined                     int
	hasNext, hasAnswered, hasRest atomic.Bool

	// isBegun means that a request was begun and has not ended, isLarge that the receive
	// buffer was enlarged.
	isBegun  atomic.Bool
	isLarge  bool
	isClosed atomic.Bool
	// message is what was taken for the bytes of the present message, with Listener.Messages.
	message atomic.Int64
}

// Holder returns what counts the memory of the connection, nil for a nil Conn.
func (conn *Conn) Holder() *memory.Holder {
	if conn == nil {
		return nil
	}
	return conn.holder
}

// startHead begins a head.
func (conn *Conn) startHead() {
	conn.head.start()
	conn.headDeadline = time.Time{}
	conn.hasRest.Store(false)
}

// limitHead sets the deadline of a head whose first bytes have come.
func (conn *Conn) limitHead() {
	if timeout := conn.listener.limits().HeaderTimeout; timeout > 0 {
		conn.headDeadline = time.Now().Add(timeout)
		_ = conn.Conn.SetReadDeadline(conn.headDeadline)
	}
}

// Read reads what the caller sends. While that is a head, it is counted before it is parsed.
func (conn *Conn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	if conn.listener.Messages {
		return conn.countMessage(n, err)
	}
	if n > 0 {
		if refused := conn.observe(buffer[:n]); refused != nil {
			return 0, refused
		}
	}
	if err != nil && conn.holder.Phase() == memory.Head && conn.head.size > 0 && errors.Is(err, os.ErrDeadlineExceeded) && conn.holder.Enter(memory.Closing) {
		conn.refuse(http.StatusRequestTimeout, "the head did not come in time")
		return n, errGone
	}
	return n, err
}

// observe counts bytes that were read. It returns an error if the head was refused.
func (conn *Conn) observe(part []byte) error {
	switch conn.holder.Phase() {
	case memory.Idle:
		if !conn.holder.Enter(memory.Head) {
			return errGone
		}
		conn.startHead()
		fallthrough
	case memory.Head:
		conn.holder.Receive(len(part))
		if conn.headDeadline.IsZero() {
			conn.limitHead()
		}
		conn.head.read(part)
		if conn.head.hasRest() {
			conn.hasRest.Store(true)
		}
		return conn.checkHead()
	case memory.Gone:
		return errGone
	case memory.Body:
		conn.holder.Receive(len(part))
		conn.head.skip(part)
	default:
		if !conn.hasAnswered.Load() {
			conn.hasNext.Store(true)
		}
		conn.head.skip(part)
	}
	return nil
}

// checkHead counts the memory of the head. It returns an error if it was refused.
func (conn *Conn) checkHead() error {
	status, reason := 0, ""
	limit := conn.listener.limits().HeaderBytes
	if conn.head.lines > maxFields || limit > 0 && conn.head.size > limit+bufferBytes {
		status, reason = http.StatusRequestHeaderFieldsTooLarge, "the head is too long"
	} else if cost := conn.head.cost(); cost > conn.headCost {
		if conn.holder.TakeHead(cost - conn.headCost) {
			conn.headCost = cost
		} else {
			status, reason = http.StatusServiceUnavailable, "no memory for the head"
		}
	}
	if status == 0 {
		return nil
	}
	if conn.holder.Enter(memory.Closing) {
		conn.refuse(status, reason)
	}
	return errGone
}

// refuse answers a request whose head was not read to its end, and discards what still comes
// for a while.
func (conn *Conn) refuse(status int, reason string) {
	conn.listener.refused(status, reason)
	_ = conn.Conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	if _, err := conn.Conn.Write(conn.listener.refusal(status)); err != nil {
		return
	}
	_ = conn.CloseWrite()
	conn.linger()
}

// Write writes in pieces, each of which the caller must take within the listener's timeout.
func (conn *Conn) Write(part []byte) (int, error) {
	if conn.listener.Messages {
		conn.endMessage()
		defer conn.holder.Enter(memory.Idle)
	}
	conn.hasAnswered.Store(true)
	conn.holder.BeginWrite()
	defer conn.holder.EndWrite()
	written := 0
	for {
		_ = conn.Conn.SetWriteDeadline(time.Now().Add(conn.listener.writeTimeout()))
		n, err := conn.Conn.Write(part[written:min(written+maxWriteBytes, len(part))])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) && conn.listener.OnUnread != nil {
			conn.listener.OnUnread(conn.holder.Request())
		}
		if err != nil || written == len(part) {
			return written, err
		}
		conn.holder.BeginWrite()
	}
}

// SetReadDeadline sets the deadline for reads. That of a head is the one of its limits if that
// is earlier.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	switch conn.holder.Phase() {
	case memory.Gone:
		return nil
	case memory.Head:
		if !deadline.IsZero() && !conn.headDeadline.IsZero() && conn.headDeadline.Before(deadline) {
			deadline = conn.headDeadline
		}
	case memory.Idle:
		timeout := conn.listener.limits().IdleTimeout
		conn.holder.SetIdleTimeout(timeout)
		if limited := time.Now().Add(timeout); timeout > 0 && limited.Before(deadline) {
			deadline = limited
		}
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline does nothing: each write has a deadline of its own.
func (conn *Conn) SetWriteDeadline(time.Time) error { return nil }

// NetConn returns the connection below this one and TLS, as the method of tls.Conn does.
func (conn *Conn) NetConn() net.Conn { return conn.socket }

// CloseWrite ends the writes of the connection.
func (conn *Conn) CloseWrite() error {
	if writer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return writer.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives back its memory.
func (conn *Conn) Close() error {
	if !conn.isClosed.CompareAndSwap(false, true) {
		return nil
	}
	if phase := conn.holder.Phase(); phase >= memory.Queued && phase <= memory.Running &&
		!conn.isBegun.Load() && !conn.listener.Messages && conn.hasInput() {
		// The caller has sent more behind a request whose answer it may not have read. A close
		// before that is read would reset the connection, and destroy the answer on its way.
		_ = conn.CloseWrite()
		conn.linger()
	}
	err := conn.Conn.Close()
	conn.holder.Give(memory.Bodies, conn.message.Swap(0))
	conn.holder.Close()
	return err
}

// evict ends what the connection does, as it must give way.
func (conn *Conn) evict(phase memory.Phase) {
	switch phase {
	case memory.Body:
		if conn.listener.Messages {
			conn.drop()
			return
		}
		// The handler notices, and refuses the request.
		_ = conn.Conn.SetReadDeadline(past)
	case memory.Queued, memory.Waiting:
		// The handler notices.
	case memory.Head:
		if conn.holder.Received() > 0 && !conn.listener.Messages {
			_ = conn.Conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
			_, _ = conn.Conn.Write(conn.listener.refusal(http.StatusRequestTimeout))
		}
		conn.drop()
	default:
		conn.drop()
	}
}

// drop closes the connection without waiting: TLS would take up to 5 s to tell a caller that
// does not read.
func (conn *Conn) drop() {
	_ = conn.socket.Close()
	_ = conn.Close()
}

// Begin begins a request. It returns false if there is no memory for it: it must be refused then.
// End must be called at its end.
func (conn *Conn) Begin(writer http.ResponseWriter, request *http.Request) (end func(), ok bool) {
	if conn == nil {
		return func() {}, true
	}
	// A head that came whole with the request before was never read by itself.
	isPipelined := conn.holder.Phase() == memory.Idle
	if !conn.holder.Enter(memory.Waiting) {
		// The connection has given way, and is closed.
		panic(http.ErrAbortHandler)
	}
	conn.countPipelined(writer, request, isPipelined)
	wait := minRoomWait
	for began := time.Now(); !conn.holder.Take(memory.Requests, memory.RequestCost, memory.Small); wait = min(2*wait, maxRoomWait) {
		// Others have been told to give way.
		if time.Since(began) >= requestPatience {
			return func() {}, false
		}
		time.Sleep(wait)
	}
	conn.isBegun.Store(true)
	return conn.end, true
}

// end ends a request.
func (conn *Conn) end() {
	if conn.isBegun.CompareAndSwap(true, false) {
		conn.holder.Describe(nil)
		conn.holder.Give(memory.Requests, memory.RequestCost)
	}
}

// countPipelined closes the connection after the answer if its caller sends one request after
// the other without waiting for answers.
func (conn *Conn) countPipelined(writer http.ResponseWriter, request *http.Request, isPipelined bool) {
	conn.hasAnswered.Store(false)
	if conn.hasNext.Swap(false) || isPipelined || conn.hasRest.Load() && request.ContentLength == 0 {
		conn.pipelined++
	} else {
		conn.pipelined = max(0, conn.pipelined-1)
	}
	if conn.pipelined >= maxPipelined {
		writer.Header().Set("Connection", "close")
	}
}

// IsPipelined reports whether the caller sent the present request before it got the answer to
// the one before.
func (conn *Conn) IsPipelined() bool { return conn != nil && conn.pipelined > 0 }

// Deny records that the present request is denied, before the header of its answer is written. The
// connection ends with the answer while others have to give way.
func (conn *Conn) Deny(writer http.ResponseWriter) {
	if conn.Holder().Deny() {
		writer.Header().Set("Connection", "close")
	}
}

// endRequest is called when the answer to a request was written.
func (conn *Conn) endRequest() {
	conn.holder.GiveHeads()
	conn.headCost = 0
	conn.holder.Enter(memory.Idle)
}
