package listener

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHeadReader guards against heads whose fields are not counted, and against bodies whose
// lines are taken for fields.
func TestHeadReader(t *testing.T) {
	c := qt.New(t)
	fields := strings.Repeat("a:\r\n", 1000)
	for _, test := range []struct {
		name, before, text string
		lines              int
		isComplete         bool
	}{
		{"plain", "", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2, true},
		{"body", "", "POST / HTTP/1.1\r\nHost: h\r\n\r\nline\nline\nline\n", 2, true},
		{"fields", "", "GET / HTTP/1.1\r\n" + fields + "\r\n", 1001, true},
		{"unfinished", "", "GET / HTTP/1.1\r\n" + fields, 1001, false},
		{"bare line feeds", "", "GET / HTTP/1.1\na:\nb:\n\nrest\n", 3, true},
		{"leading empty lines", "", "\r\n\r\nGET / HTTP/1.1\r\n" + fields, 1003, false},
		{"begun behind a body", "body\r\nGET / HTTP/1.1\r\na:\r\nb:", "\r\nc:\r\n\r\n", 5, true},
		{"all but the end behind a body", "GET / HTTP/1.1\r\n" + fields, "\r\n" + fields, 2002, false},
	} {
		for _, step := range []int{1, 3, 64, 1 << 20} {
			head := &headReader{}
			head.skip([]byte(test.before))
			head.start()
			for rest := []byte(test.text); len(rest) > 0; rest = rest[min(step, len(rest)):] {
				head.read(rest[:min(step, len(rest))])
			}
			comment := qt.Commentf("%s in steps of %d", test.name, step)
			c.Check(head.lines, qt.Equals, test.lines, comment)
			c.Check(head.isComplete, qt.Equals, test.isComplete, comment)
		}
	}
}

// FuzzHeadReader guards against heads of which the server parses more fields than were counted.
// The text is a sequence of requests, which is read in pieces.
func FuzzHeadReader(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\na: b\r\n\r\n"), uint8(7))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n\n\n\n\n\nGET / HTTP/1.1\r\nHost: h\r\nx:\r\ny:\n\n"), uint8(64))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\n\n\n\r\n0\r\n\r\n\r\nGET / HTTP/1.1\nHost: h\n a\n\n"), uint8(200))
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		source := &countingReader{rest: text, step: 1 + int(step)}
		reader := bufio.NewReaderSize(source, bufferBytes)
		for {
			source.head.start()
			source.inHead = true
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			fields := 0
			for _, values := range request.Header {
				fields += len(values)
			}
			if fields > source.head.lines {
				t.Fatalf("%d fields were parsed, %d lines counted", fields, source.head.lines)
			}
			if source.head.isComplete && source.parsed(reader) < source.completeAt {
				t.Fatalf("the head is said to end at %d, but the parser has read %d", source.completeAt, source.parsed(reader))
			}
			source.inHead = false
			if _, err := bytes.NewBuffer(nil).ReadFrom(request.Body); err != nil {
				return
			}
		}
	})
}

// countingReader reads a text in steps, as a connection does.
type countingReader struct {
	head   headReader
	inHead bool
	rest   []byte
	step   int
	// read is the number of bytes that were read, completeAt that at which a head was said to
	// be complete, but for what was read with its end.
	read, completeAt int
}

func (reader *countingReader) parsed(buffer *bufio.Reader) int {
	return reader.read - buffer.Buffered()
}

func (reader *countingReader) Read(buffer []byte) (int, error) {
	n := copy(buffer, reader.rest[:min(reader.step, len(reader.rest))])
	if n == 0 {
		return 0, http.ErrBodyNotAllowed
	}
	part := reader.rest[:n]
	reader.rest = reader.rest[n:]
	if reader.inHead && !reader.head.isComplete {
		reader.head.read(part)
		if reader.head.isComplete {
			reader.completeAt = reader.read
		}
	} else {
		reader.head.skip(part)
	}
	reader.read += n
	return n, nil
}
