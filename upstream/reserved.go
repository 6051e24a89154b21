package upstream

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

// maxAskedBytes limits the body of an answer over a reserved connection.
const maxAskedBytes = 64 << 10

// Reserved is a connection that carries only the requests of its holder, one at a time.
type Reserved struct {
	connections *Connections
	connection  *connection
}

// Reserve takes the oldest idle connection to an address, if it was opened before a moment
// and may be used. It returns nil if there is none.
func (connections *Connections) Reserve(address string, before time.Time) *Reserved {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	var oldest *connection
	for _, connection := range connections.idle[address] {
		if connection.openedAt.Before(before) && connection.isUsable() && (oldest == nil || connection.openedAt.Before(oldest.openedAt)) {
			oldest = connection
		}
	}
	if oldest == nil {
		return nil
	}
	idle := slices.DeleteFunc(connections.idle[address], func(other *connection) bool { return other == oldest })
	if connections.idle[address] = idle; len(idle) == 0 {
		delete(connections.idle, address)
	}
	return &Reserved{connections: connections, connection: oldest}
}

// Open opens a connection to an address.
func (connections *Connections) Open(ctx context.Context, address string) (*Reserved, error) {
	connection, err := connections.dial(ctx, address)
	if err != nil {
		return nil, NotSent.Wrap(err, "connect to %s", address)
	}
	connection.idleSince = connection.openedAt
	return &Reserved{connections: connections, connection: connection}, nil
}

// OpenedAt returns when the connection was open.
func (reserved *Reserved) OpenedAt() time.Time { return reserved.connection.openedAt }

// IsUsable reports whether the connection may carry another request. It may have been idle for
// long, as far as the target has not closed it.
func (reserved *Reserved) IsUsable() bool {
	connection := reserved.connection
	return !connection.noReuse && connection.reader.Buffered() == 0 && connection.hasNoInput()
}

// IdleLimit returns how long the target certainly keeps the connection while it is idle.
func (reserved *Reserved) IdleLimit() time.Duration { return reserved.connection.idleLimit() }

// Ask sends a request and returns its answer, with its body. An answer that names no request is
// taken if none has come over the connection before; it carries no other request then. After an error the connection must be closed.
func (reserved *Reserved) Ask(ctx context.Context, request *Request) (*Answer, []byte, error) {
	connection := reserved.connection
	if !reserved.IsUsable() {
		return nil, nil, NotSent.New("the connection to %s can't be used any more", connection.address)
	}
	stopAbort := context.AfterFunc(ctx, connection.abort)
	defer stopAbort()
	request.takesUnnamed = true
	answer, err := reserved.connections.exchange(ctx, connection, request)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAskedBytes+1))
	switch {
	case err != nil:
		return nil, nil, Unknown.Wrap(err, "read from %s", connection.address)
	case len(body) > maxAskedBytes:
		return nil, nil, Unknown.Wrap(errAnswerTooLong, "read from %s", connection.address)
	}
	connection.uses++
	connection.idleSince = time.Now()
	if answer.Unframed || connection.hadUnnamed {
		connection.noReuse = true
	}
	return answer, body, nil
}

var errAnswerTooLong = fmt.Errorf("an answer of more than %d bytes", maxAskedBytes)

// Release keeps the connection for other requests, if it may carry more.
func (reserved *Reserved) Release() { reserved.connections.keepIdle(reserved.connection) }

// Close closes the connection.
func (reserved *Reserved) Close() { reserved.connection.close() }
