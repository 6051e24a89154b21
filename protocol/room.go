package protocol

import (
	"errors"
	"io"

	"nutmegfield.example/memory"
)

const (
	// ownBytes is the part of each answer that is counted with its request or call.
	ownBytes = 32 << 10
	// firstBufferBytes is the first capacity of the buffer for an answer.
	firstBufferBytes = 2 << 10
)

// room counts what an answer holds beyond ownBytes against the host's memory. A nil budget has
// room for all.
type room struct {
	budget *memory.Budget
	taken  int
}

// hold counts bytes that are held from now on, instead of those of the last call if these are
// fewer. It fails with NoRoom.
func (room *room) hold(bytes int) error {
	needed := bytes - ownBytes
	if needed <= room.taken {
		return nil
	}
	if !room.budget.Take(memory.Answers, int64(needed-room.taken), memory.Large) {
		return NoRoom.New("there is no memory for %d bytes of an answer", bytes)
	}
	room.taken = needed
	return nil
}

// release gives back all.
func (room *room) release() {
	room.budget.Give(memory.Answers, int64(room.taken))
	room.taken = 0
}

// readAll reads an answer whose bytes are held.
func (room *room) readAll(answer io.Reader) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			larger := max(2*cap(buffer), firstBufferBytes)
			if err := room.hold(larger); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, larger), buffer...)
		}
		n, err := answer.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
