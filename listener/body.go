package listener

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"nutmegfield.example/memory"
)

// Errors of this package. After each of them the request has not run.
var (
	Errors = errorx.NewNamespace("listener")
	// TooLong: the body is longer than it may be.
	TooLong = Errors.NewType("tooLong")
	// TooSlow: the body was not complete before its deadline.
	TooSlow = Errors.NewType("tooSlow")
	// NoRoom: there is no memory for the body.
	NoRoom = Errors.NewType("noRoom")
	// GaveWay: the request has given way to others.
	GaveWay = Errors.NewType("gaveWay")
	// Left: the caller closed the connection, or its body can't be read.
	Left = Errors.NewType("left")
)

const (
	// firstPieceBytes is the size of the first piece of a body, pieceBytes that of the others.
	// A piece is allocated when those before are full, so that a caller makes the host hold no
	// more than it has sent, but for one piece.
	firstPieceBytes = 4 << 10
	pieceBytes      = 32 << 10
	// largeBodyBytes is the size from which a body is a large one.
	largeBodyBytes = 64 << 10
	// firstClaimBytes is what a body of unknown length counts as until more of it has come.
	firstClaimBytes = 16 << 10
	// roomPatience is how long a body waits for room. It is shorter than the second after
	// which callers give up a host that does not begin to read.
	roomPatience = 500 * time.Millisecond
	// shortRoomPatience is that of bodies of connections that served no request, while others
	// have to give way.
	shortRoomPatience = 50 * time.Millisecond
	// requestPatience is how long a request whose head was read waits for room.
	requestPatience = 100 * time.Millisecond
	// The waits for room double between these.
	minRoomWait, maxRoomWait = 2 * time.Millisecond, 40 * time.Millisecond
)

// pieces are pieces of bodies of pieceBytes that nobody uses.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// discardBytes is the size of the buffers in discarded, in which what nobody needs is read.
const discardBytes = 8 << 10

var discarded = sync.Pool{New: func() any { return new([discardBytes]byte) }}

// joining is held while pieces are joined, so that only one body at a time takes its memory
// twice.
var joining sync.Mutex

// Body is a body that was read, or a part of it. It must be released.
type Body struct {
	Bytes []byte
	conn  *Conn
	// held is what was taken of the budget.
	held int64
	// first and parts are the pieces while the body is read; filled is the number of bytes
	// in the last one.
	first  []byte
	parts  []*[pieceBytes]byte
	filled int
}

// Release gives back the memory of the body, which may be nil.
func (body *Body) Release() {
	if body == nil {
		return
	}
	body.dropPieces()
	body.Bytes = nil
	body.conn.Holder().Give(memory.Bodies, body.held)
	body.held = 0
}

func (body *Body) dropPieces() {
	for _, piece := range body.parts {
		pieces.Put(piece)
	}
	body.parts, body.first = nil, nil
}

// ReadBody reads the body of a request, of at most limit bytes, until a deadline. Its declared
// length is counted before it is read, so that bodies that are read can be completed; one of
// unknown length is counted as it grows. The body must be released if there is no error.
func (conn *Conn) ReadBody(request *http.Request, limit int64, deadline time.Time) (*Body, error) {
	body := &Body{conn: conn}
	switch {
	case request.ContentLength > limit:
		return nil, TooLong.New("a body of %d bytes", request.ContentLength)
	case request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0:
		return body, nil
	}
	if conn != nil {
		_ = conn.Conn.SetReadDeadline(deadline)
	}
	err := body.claim(cmp.Or(max(request.ContentLength, 0), firstClaimBytes), memory.Queued)
	if err == nil {
		err = body.read(request, limit)
	}
	if err == nil && conn != nil {
		if !conn.holder.Enter(memory.Waiting) {
			err = GaveWay.New("when its body was complete")
		}
	}
	if err == nil {
		return body, nil
	}
	// Its memory is for others from now on, also while the refusal is written.
	body.Release()
	if conn != nil && conn.holder.Phase() == memory.Gone && !errorx.IsOfType(err, GaveWay) {
		err = GaveWay.Wrap(err, "while its body was read")
	}
	return nil, err
}

// read reads a body to its end.
func (body *Body) read(request *http.Request, limit int64) error {
	total := int64(0)
	for {
		piece, err := body.room(request.ContentLength, total)
		if err != nil {
			return err
		}
		n, err := request.Body.Read(piece)
		total += int64(n)
		body.filled += n
		switch {
		case total > limit:
			return TooLong.New("a body of more than %d bytes", limit)
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return body.join(total)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return TooSlow.New("%d bytes of the body came in time", total)
		case err != nil:
			return Left.Wrap(err, "read the body")
		}
	}
}

// room returns free bytes of the last piece, or of another one if that is full.
func (body *Body) room(declared, total int64) ([]byte, error) {
	last := body.first
	if len(body.parts) > 0 {
		last = body.parts[len(body.parts)-1][:]
	}
	if body.filled < len(last) {
		return last[body.filled:], nil
	}
	if body.first == nil {
		size := int64(firstPieceBytes)
		if declared > 0 {
			size = min(declared, size)
		}
		body.first = make([]byte, size)
		return body.first, nil
	}
	if total == declared {
		// Only the end is left to be read.
		return make([]byte, 1), nil
	}
	if total+pieceBytes > body.held && declared < 0 {
		if err := body.claim(max(body.held, pieceBytes), memory.Body); err != nil {
			return nil, err
		}
	}
	body.parts, body.filled = append(body.parts, pieces.Get().(*[pieceBytes]byte)), 0
	return body.parts[len(body.parts)-1][:], nil
}

// claim counts further bytes of the body, and lets it be read. It waits for room for a while, in
// a phase.
func (body *Body) claim(bytes int64, waiting memory.Phase) error {
	conn, size := body.conn, memory.Small
	if body.held+bytes > largeBodyBytes {
		size = memory.Large
	}
	if conn == nil {
		body.held += bytes
		return nil
	}
	wait := minRoomWait
	for began := time.Now(); !conn.holder.Take(memory.Bodies, bytes, size); wait = min(2*wait, maxRoomWait) {
		if !conn.holder.Enter(waiting) {
			return GaveWay.New("while it waited for memory")
		}
		patience := roomPatience
		if !conn.holder.IsPatient() {
			patience = shortRoomPatience
		}
		if time.Since(began) >= patience {
			return conn.noRoom(memory.Bodies, bytes)
		}
		time.Sleep(wait)
		// The caller has not stalled meanwhile.
		conn.holder.Progress()
	}
	body.held += bytes
	if !conn.holder.Enter(memory.Body) {
		return GaveWay.New("before its body was read")
	}
	if body.held > enlargedBytes {
		conn.enlarge()
	}
	return nil
}

// noRoom says how much is held of a kind, and how much was needed.
func (conn *Conn) noRoom(kind memory.Kind, bytes int64) error {
	budget := conn.listener.Budget
	return NoRoom.New("%d KiB of %s are held, of %d, and %d needed", budget.Held(kind)>>10, kind, budget.Parts[kind]>>10, bytes>>10)
}

// join makes one slice of the pieces.
func (body *Body) join(total int64) error {
	if len(body.parts) == 0 {
		body.Bytes, body.first = body.first[:body.filled], nil
		return nil
	}
	joining.Lock()
	defer joining.Unlock()
	joined := make([]byte, 0, total)
	joined = append(joined, body.first...)
	for i, piece := range body.parts {
		size := pieceBytes
		if i == len(body.parts)-1 {
			size = body.filled
		}
		joined = append(joined, piece[:size]...)
	}
	body.dropPieces()
	body.Bytes = joined
	if spare := body.held - total; spare > 0 {
		// The length was not known.
		body.conn.Holder().Give(memory.Bodies, spare)
		body.held = total
	}
	return nil
}

// enlarge lets the system receive more of a long body at once. The buffer stays, as one that
// shrinks and grows again kept 9 of 24 connections from receiving anything.
func (conn *Conn) enlarge() {
	if conn.listener.IsSmall && !conn.isLarge {
		conn.isLarge = true
		setReceiveBuffer(conn.socket, largeReceiveBytes)
	}
}

// smallRest is the size up to which the rest of a body is read after a refusal, so that its
// connection can be used again.
const smallRest = 64 << 10

// Refuse answers a request whose body was read. The connection of one that has given way is
// closed after the answer.
func (conn *Conn) Refuse(writer http.ResponseWriter, status int) {
	if conn.Holder().Phase() == memory.Gone {
		writer.Header().Set("Connection", "close")
	}
	writer.WriteHeader(status)
}

// RefuseUnread answers a request whose body was not read. It ends the connection, or lets the
// server read a short rest of the body.
func (conn *Conn) RefuseUnread(writer http.ResponseWriter, request *http.Request, status int) {
	conn.Discard(writer, request)
	writer.WriteHeader(status)
	conn.Linger(writer, request)
}

// Discard prepares the answer to a request whose body is not used. A short rest is read by the
// server before it answers, for which there is a deadline; otherwise the connection is closed
// after the answer. It must be called before the header is written, and Linger after the
// answer.
func (conn *Conn) Discard(writer http.ResponseWriter, request *http.Request) {
	if conn == nil || writer.Header().Get("Connection") == "close" {
		return
	}
	if request.ContentLength < 0 || request.ContentLength > smallRest || conn.holder.Phase() == memory.Gone {
		writer.Header().Set("Connection", "close")
		return
	}
	_ = conn.Conn.SetReadDeadline(time.Now().Add(lingerTime))
}

// Linger sends the answer and reads what the caller still sends of its body for a while, so
// that the end of the connection does not destroy the answer on its way.
func (conn *Conn) Linger(writer http.ResponseWriter, request *http.Request) {
	if conn == nil || writer.Header().Get("Connection") != "close" || request.ContentLength == 0 {
		return
	}
	if http.NewResponseController(writer).Flush() != nil {
		return
	}
	if request.Header.Get("Expect") != "" {
		// The caller waits for a word before it sends its body.
		return
	}
	conn.holder.Enter(memory.Closing)
	// Its memory is for others from now on.
	conn.end()
	conn.linger()
	_ = conn.Conn.SetReadDeadline(past)
}

// linger discards what the caller still sends, at most lingerBytes, until it closes the
// connection or lingerTime has passed.
func (conn *Conn) linger() {
	until := time.Now().Add(lingerTime)
	_ = conn.Conn.SetReadDeadline(until)
	buffer := discarded.Get().(*[discardBytes]byte)
	defer discarded.Put(buffer)
	n, _ := io.CopyBuffer(io.Discard, io.LimitReader(onlyReader{conn.Conn}, lingerBytes), buffer[:])
	if n == lingerBytes {
		// The caller has not read the refusal. A reset would destroy it.
		time.Sleep(time.Until(until))
	}
}

// onlyReader hides the other methods of a reader, by which io.Copy would avoid the buffer.
type onlyReader struct{ io.Reader }
