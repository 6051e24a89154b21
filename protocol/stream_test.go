package protocol

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/request"
)

// streamCase is one case of testdata/streams.txt. Each conn line lists the items
// that the engine sends on one connection: N an event with offset N, other:N an event of another request,
// usage:N an event with the token usage, garbage:N malformed JSON, huge:N an event over
// the limit, none an event without an id, returns:N an event with carriage returns that hide
// another, beat a comment, slow nothing for 9 s, silent nothing until the client disconnects,
// break the end of the connection, done the last event, end:N the same with an id. A first
// item type:X or encoding:X is of the header. Instead of a stream it sends 404, 200,
// status:N, json or leaving; hang and abort send no header.
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

// fakeEngine answers each request as the next conn line of a case says.
type fakeEngine struct {
	mutex     sync.Mutex
	conns     []string
	resumed   []string
	posts     int
	cancelled int
}

func (fakeEngine *fakeEngine) nextConn(received *http.Request) string {
	fakeEngine.mutex.Lock()
	defer fakeEngine.mutex.Unlock()
	switch received.Method {
	case http.MethodDelete:
		fakeEngine.cancelled++
		return "200"
	case http.MethodPost:
		fakeEngine.posts++
	default:
		fakeEngine.resumed = append(fakeEngine.resumed, received.URL.Query().Get("offset"))
	}
	if len(fakeEngine.conns) == 0 {
		return "404"
	}
	next := fakeEngine.conns[0]
	fakeEngine.conns = fakeEngine.conns[1:]
	return next
}

func (fakeEngine *fakeEngine) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	_, _ = io.Copy(io.Discard, received.Body)
	words := strings.Fields(fakeEngine.nextConn(received))
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
	switch kind, value, _ := strings.Cut(words[0], ":"); kind {
	case "status":
		status, _ := strconv.Atoi(value)
		writer.WriteHeader(status)
		return
	case "type":
		writer.Header()["Content-Type"] = []string{value}
		words = words[1:]
	case "encoding":
		writer.Header().Set("Content-Encoding", value)
		words = words[1:]
	}
	for _, word := range words {
		fakeEngine.sendItem(writer, received, word)
		_ = http.NewResponseController(writer).Flush()
	}
}

// sendItem sends one item of a conn line; see streamCase.
func (fakeEngine *fakeEngine) sendItem(writer http.ResponseWriter, received *http.Request, word string) {
	ownID := newCall("").Request
	kind, offset, found := strings.Cut(word, ":")
	if !found {
		offset = kind
	}
	switch kind {
	case "other":
		writeChunk(writer, offset, request.ID{2}, "")
	case "usage":
		writeChunk(writer, offset, ownID, `,"usage":{"prompt_tokens":7,"completion_tokens":3,"prompt_tokens_details":{"cached_tokens":2}}`)
	case "none":
		_, _ = fmt.Fprintf(writer, "data: {\"id\":%q}\n\n", ownID)
	case "garbage":
		_, _ = fmt.Fprintf(writer, "id: %s\ndata: {\"id\n\n", offset)
	case "huge":
		_, _ = fmt.Fprintf(writer, "id: %s\ndata: %s\n\n", offset, strings.Repeat("x", 2*testLimits.MaxEventBytes))
	case "returns":
		_, _ = fmt.Fprintf(writer, "id: %s\ndata: {\"id\":%q,\r\r\"other\":1}\n\n", offset, ownID)
	case "end":
		_, _ = fmt.Fprintf(writer, "id: %s\ndata: [DONE]\n\n", offset)
	case "beat":
		_, _ = io.WriteString(writer, ": beat\n\n")
	case "slow":
		time.Sleep(testLimits.SilenceTimeout - time.Second)
	case "silent":
		<-received.Context().Done()
	case "break":
		panic(http.ErrAbortHandler)
	case "done":
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
	default:
		writeChunk(writer, offset, ownID, "")
	}
}

func writeChunk(writer io.Writer, offset string, id request.ID, rest string) {
	_, _ = fmt.Fprintf(writer, "id: %s\ndata: {\"id\":%q%s}\n\n", offset, id, rest)
}

// passedEvents returns the offsets of the events that were passed on, "done" for
// the last event and "crossed" for one of another request.
func passedEvents(text string) string {
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

// TestStreams runs the cases of testdata/streams.txt: in each the events must be
// passed on once and in order, and the request must be sent to the engine only once.
func TestStreams(t *testing.T) {
	for _, test := range readStreamCases(t) {
		t.Run(test.name, func(t *testing.T) {
			fakeEngine := &fakeEngine{conns: test.conns}
			inBubble(t, fakeEngine, func(t *testing.T, network *network) {
				call := newCall(http.MethodPost)
				call.Stream = true
				text, err := dispatchAll(newEngine(testLimits, network.dial), call)
				fakeEngine.mutex.Lock()
				defer fakeEngine.mutex.Unlock()
				qt.Check(t, passedEvents(text), qt.Equals, test.got)
				qt.Check(t, errorName(err), qt.Equals, test.end, qt.Commentf("%v", err))
				qt.Check(t, strings.Join(fakeEngine.resumed, " "), qt.Equals, test.resumed)
				qt.Check(t, fmt.Sprint(fakeEngine.cancelled), qt.Equals, test.cancelled)
				qt.Check(t, fakeEngine.posts, qt.Equals, 1)
			})
		})
	}
}

// TestStreamUsage checks the usage of a resumed stream.
func TestStreamUsage(t *testing.T) {
	fakeEngine := &fakeEngine{conns: []string{"0 1 break", "2 usage:3 done"}}
	inBubble(t, fakeEngine, func(t *testing.T, network *network) {
		call := newCall(http.MethodPost)
		call.Stream = true
		answer, err := newEngine(testLimits, network.dial).Dispatch(t.Context(), testAddress, call)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadAll(answer.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, answer.Usage(), qt.Equals, request.Usage{PromptTokens: 7, CachedTokens: 2, OutputTokens: 3})
		qt.Check(t, answer.Body.Close(), qt.IsNil)
		fakeEngine.mutex.Lock()
		defer fakeEngine.mutex.Unlock()
		qt.Check(t, fakeEngine.cancelled, qt.Equals, 0)
	})
}

// TestStreamAbandoned checks that a stream is cancelled on the engine, once, when
// its caller disconnects, also before the first event.
func TestStreamAbandoned(t *testing.T) {
	for _, conn := range []string{"0 1 silent", "hang"} {
		fakeEngine := &fakeEngine{conns: []string{conn}}
		inBubble(t, fakeEngine, func(t *testing.T, network *network) {
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
			qt.Check(t, errorName(err), qt.Equals, "broken")
			fakeEngine.mutex.Lock()
			defer fakeEngine.mutex.Unlock()
			qt.Check(t, fakeEngine.cancelled, qt.Equals, 1)
			qt.Check(t, fakeEngine.resumed, qt.HasLen, 0)
		})
	}
}

// TestCompletion checks that a completion is passed on only when it is complete and
// belongs to the request.
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
		fakeEngine := &fakeEngine{conns: []string{test.conn}}
		inBubble(t, fakeEngine, func(t *testing.T, network *network) {
			text, err := dispatchAll(newEngine(testLimits, network.dial), newCall(http.MethodPost))
			qt.Check(t, errorName(err), qt.Equals, test.want, qt.Commentf("%s: %v", test.conn, err))
			qt.Check(t, text == "", qt.Equals, test.want != "whole")
			fakeEngine.mutex.Lock()
			defer fakeEngine.mutex.Unlock()
			qt.Check(t, fakeEngine.cancelled, qt.Equals, test.cancelled, qt.Commentf("%s", test.conn))
			qt.Check(t, fakeEngine.posts, qt.Equals, 1)
		})
	}
}
