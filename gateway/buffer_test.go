package gateway

import (
	"bytes"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// endlessReader returns the same byte without end.
type endlessReader struct{}

func (endlessReader) Read(buffer []byte) (int, error) {
	copy(buffer, bytes.Repeat([]byte("a"), len(buffer)))
	return len(buffer), nil
}

// TestBuffersAreBounded reads a hundred answers without end at once. Ordinary ones must
// still fit beside them, and all room must be free again afterwards.
func TestBuffersAreBounded(t *testing.T) {
	c := qt.New(t)
	var room bufferRoom
	var held []*buffer
	total := 0
	for range 100 {
		endless := &buffer{room: &room}
		c.Assert(endless.readAll(endlessReader{}), qt.IsNotNil)
		held = append(held, endless)
		total += cap(endless.bytes)
		ordinary := &buffer{room: &room}
		c.Assert(ordinary.readAll(strings.NewReader(strings.Repeat("b", ownBufferBytes-1))), qt.IsNil)
		c.Assert(ordinary.bytes, qt.HasLen, ownBufferBytes-1)
		ordinary.release()
	}
	c.Assert(total <= maxSharedBytes+100*ownBufferBytes, qt.IsTrue, qt.Commentf("%d bytes", total))
	for _, buffer := range held {
		buffer.release()
	}
	c.Assert(room.shared.Load(), qt.Equals, int64(0))
	longest := &buffer{room: &room}
	c.Assert(longest.readAll(io.LimitReader(endlessReader{}, maxBufferedBytes)), qt.IsNil)
	c.Assert(longest.bytes, qt.HasLen, maxBufferedBytes)
}

// TestReleasedBufferGivesBackItsRoom guards against room that is lost for good, as a buffer is
// released while another one finds out that there is no room for it.
func TestReleasedBufferGivesBackItsRoom(t *testing.T) {
	c := qt.New(t)
	var room bufferRoom
	buffer := buffer{room: &room}
	c.Assert(buffer.grow(4*ownBufferBytes), qt.IsNil)
	const others = 2 * maxSharedBytes
	room.shared.Add(others)
	buffer.release()
	c.Check(room.shared.Load(), qt.Equals, int64(others))
}
