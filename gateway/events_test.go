package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// FuzzEvents splits arbitrary bytes into events. Together they must be the bytes, but for
// an unfinished event at the end, and the same ones however the bytes arrive.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"))
	f.Add([]byte("\n\n: comment\n\ndata: a\ndata: b\n\nid: 3"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		c := qt.New(t)
		atOnce := readEvents(c, stream, bytes.NewReader(stream))
		slowly := readEvents(c, stream, iotest.OneByteReader(bytes.NewReader(stream)))
		c.Assert(slowly, qt.DeepEquals, atOnce)
	})
}

func readEvents(c *qt.C, stream []byte, reader io.Reader) []string {
	var room bufferRoom
	eventReader := eventReader{reader: bufio.NewReader(reader), buffer: buffer{room: &room}}
	var texts []string
	read := 0
	for {
		event, err := eventReader.next()
		if err != nil {
			if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				c.Assert(read, qt.Equals, len(stream))
			}
			break
		}
		c.Assert(string(event.bytes), qt.Equals, string(stream[read:read+len(event.bytes)]))
		read += len(event.bytes)
		texts = append(texts, string(event.bytes))
	}
	eventReader.buffer.release()
	c.Assert(room.shared.Load(), qt.Equals, int64(0))
	return texts
}

// TestLongLines guards against lines longer than the reader's buffer whose end is taken for a
// line of its own: for the id of the event, or for a comment.
func TestLongLines(t *testing.T) {
	c := qt.New(t)
	const readerBytes = 4096
	long := "data: " + strings.Repeat("x", readerBytes-len("data: "))
	for _, end := range []string{"id: 7", ": no comment"} {
		var room bufferRoom
		reader := eventReader{reader: bufio.NewReader(strings.NewReader(long + end + "\n\n")), buffer: buffer{room: &room}}
		event, err := reader.next()
		c.Assert(err, qt.IsNil)
		c.Assert(event.id, qt.Equals, "")
		c.Assert(event.isBlank, qt.IsFalse, qt.Commentf("%q", end))
	}
}
