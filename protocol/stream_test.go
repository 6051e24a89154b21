package protocol

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/request"
)

// streamCase is one case of testdata/streams.txt. Each conn line says what one
// connection brings: N an event, other:N one of another request, usage:N one
// with the usage, none an event without an id, beat a comment, silent nothing
// for good, slow nothing for 9 s, break the connection's end, done the last
// event; 404, 200 and json in place of a stream.
type streamCase struct {
	name, got, end, resumed, cancelled string
	conns                              []string
}

func readStreamCases(t *testing.T) []*streamCase {
	file, err := os.Open("testdata/streams.txt")
	qt.Assert(t, err, qt.IsNil)
	defer file.Close()
	var cases []*streamCase
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		key, value, _ := strings.Cut(lines.Text(), " ")
		if key == "name" {
			cases = append(cases, &streamCase{name: value})
		}
		if key == "" {
			continue
		}
		last := cases[len(cases)-1]
		switch key {
		case "name":
		case "conn":
			last.conns = append(last.conns, value)
		case "got":
			last.got = value
		case "end":
			last.end = value
		case "resumed":
			last.resumed = value
		case "cancelled":
			last.cancelled = value
		default:
			t.Fatalf("unknown line %q", lines.Text())
		}
	}
	return cases
}

// fakeEngine plays a case's connections in order.
type fakeEngine struct {
	mutex     sync.Mutex
	conns     []string
	resumed   []string
	posts     int
	cancelled int
}

func (fake *fakeEngine) take(received *http.Request) string {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	switch received.Method {
	case http.MethodDelete:
		fake.cancelled++
		return "200"
	case http.MethodPost:
		fake.posts++
	default:
		fake.resumed = append(fake.resumed, received.URL.Query().Get("offset"))
	}
	if len(fake.conns) == 0 {
		return "404"
	}
	next := fake.conns[0]
	fake.conns = fake.conns[1:]
	return next
}

func (fake *fakeEngine) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	_, _ = io.Copy(io.Discard, received.Body)
	words := strings.Fields(fake.take(received))
	switch words[0] {
	case "404":
		writer.WriteHeader(http.StatusNotFound)
		return
	case "leaving":
		writer.Header().Set(leavingHeader, "true")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case "200":
		return
	case "json":
		writer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, strings.Join(words[1:], " "))
		return
	case "hang":
		<-received.Context().Done()
		return
	case "abort":
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", streamType)
	for _, word := range words {
		fake.play(writer, received, word)
		_ = http.NewResponseController(writer).Flush()
	}
}

func (fake *fakeEngine) play(writer http.ResponseWriter, received *http.Request, word string) {
	own := newCall("").Request
	kind, offset, found := strings.Cut(word, ":")
	if !found {
		offset = kind
	}
	switch kind {
	case "other":
		writeChunk(writer, offset, request.ID{2}, "")
	case "usage":
		writeChunk(writer, offset, own, `,"usage":{"prompt_tokens":7,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":2}}`)
	case "none":
		_, _ = fmt.Fprintf(writer, "data: {\"id\":%q}\n\n", own)
	case "garbage":
		_, _ = fmt.Fprintf(writer, "id: %s\ndata: {\"id\n\n", offset)
	case "huge":
		_, _ = fmt.Fprintf(writer, "id: %s\ndata: %s\n\n", offset, strings.Repeat("x", 2*testLimits.Event))
	case "beat":
		_, _ = io.WriteString(writer, ": beat\n\n")
	case "slow":
		time.Sleep(testLimits.Silence - time.Second)
	case "silent":
		<-received.Context().Done()
	case "break":
		panic(http.ErrAbortHandler)
	case "done":
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
	default:
		writeChunk(writer, offset, own, "")
	}
}

func writeChunk(writer io.Writer, offset string, id request.ID, rest string) {
	_, _ = fmt.Fprintf(writer, "id: %s\ndata: {\"id\":%q%s}\n\n", offset, id, rest)
}

// offsets lists the events of what was passed on.
func offsets(text string) string {
	var words []string
	for line := range strings.SplitSeq(text, "\n") {
		if offset, found := strings.CutPrefix(line, "id: "); found {
			words = append(words, offset)
		}
		if line == "data: "+streamEnd {
			words = append(words, "done")
		}
		if strings.Contains(line, (request.ID{2}).String()) {
			words = append(words, "crossed")
		}
	}
	return strings.Join(words, " ")
}

// TestStreams runs testdata/streams.txt.
func TestStreams(t *testing.T) {
	for _, test := range readStreamCases(t) {
		t.Run(test.name, func(t *testing.T) {
			fake := &fakeEngine{conns: test.conns}
			inBubble(t, fake, func(t *testing.T, network *network) {
				call := newCall(http.MethodPost)
				call.Stream = true
				text, err := dispatchAll(newEngine(testLimits, network.dial), call)
				fake.mutex.Lock()
				defer fake.mutex.Unlock()
				qt.Check(t, offsets(text), qt.Equals, test.got)
				qt.Check(t, endName(err), qt.Equals, test.end, qt.Commentf("%v", err))
				qt.Check(t, strings.Join(fake.resumed, " "), qt.Equals, test.resumed)
				qt.Check(t, fmt.Sprint(fake.cancelled), qt.Equals, test.cancelled)
				qt.Check(t, fake.posts, qt.Equals, 1)
			})
		})
	}
}

// TestStreamUsage reads the usage of a resumed stream.
func TestStreamUsage(t *testing.T) {
	fake := &fakeEngine{conns: []string{"0 1 break", "2 usage:3 done"}}
	inBubble(t, fake, func(t *testing.T, network *network) {
		call := newCall(http.MethodPost)
		call.Stream = true
		answer, err := newEngine(testLimits, network.dial).Dispatch(t.Context(), testAddress, call)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadAll(answer.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, answer.Usage(), qt.Equals, request.Usage{PromptTokens: 7, CachedTokens: 2, OutputTokens: 3})
		qt.Check(t, answer.Body.Close(), qt.IsNil)
		fake.mutex.Lock()
		defer fake.mutex.Unlock()
		qt.Check(t, fake.cancelled, qt.Equals, 0)
	})
}

// TestStreamGivenUp: an engine is told, once, of a stream whose caller went
// away, also before its first event.
func TestStreamGivenUp(t *testing.T) {
	for _, conn := range []string{"0 1 silent", "hang"} {
		fake := &fakeEngine{conns: []string{conn}}
		inBubble(t, fake, func(t *testing.T, network *network) {
			call := newCall(http.MethodPost)
			call.Stream = true
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			answer, err := newEngine(testLimits, network.dial).Dispatch(ctx, testAddress, call)
			if err == nil {
				_, err = io.ReadAll(answer.Body)
				qt.Check(t, answer.Body.Close(), qt.IsNil)
				qt.Check(t, answer.Body.Close(), qt.IsNil)
			}
			qt.Check(t, endName(err), qt.Equals, "broken")
			fake.mutex.Lock()
			defer fake.mutex.Unlock()
			qt.Check(t, fake.cancelled, qt.Equals, 1)
			qt.Check(t, fake.resumed, qt.HasLen, 0)
		})
	}
}

// TestCompletion: a plain answer is passed on only when it is whole and this
// request's.
func TestCompletion(t *testing.T) {
	own := fmt.Sprintf(`{"id":%q,"usage":{"prompt_tokens":7,"completion_tokens":3}}`, newCall("").Request)
	for _, test := range []struct {
		conn, want string
		cancelled  int
	}{
		{"json " + own, "whole", 0},
		{"json " + own[:len(own)-1], "garbled", 1},
		{"json " + strings.Replace(own, "01", "02", 1), "garbled", 1},
		{"json " + strings.Repeat(" x", 4096), "tooMuch", 1},
		{"0 1 done", "garbled", 1},
		{"hang", "silent", 1},
		{"abort", "broken", 1},
		{"leaving", "leaving", 0},
	} {
		fake := &fakeEngine{conns: []string{test.conn}}
		inBubble(t, fake, func(t *testing.T, network *network) {
			text, err := dispatchAll(newEngine(testLimits, network.dial), newCall(http.MethodPost))
			qt.Check(t, endName(err), qt.Equals, test.want, qt.Commentf("%s: %v", test.conn, err))
			qt.Check(t, text == "", qt.Equals, test.want != "whole")
			fake.mutex.Lock()
			defer fake.mutex.Unlock()
			qt.Check(t, fake.cancelled, qt.Equals, test.cancelled, qt.Commentf("%s", test.conn))
			qt.Check(t, fake.posts, qt.Equals, 1)
		})
	}
}
