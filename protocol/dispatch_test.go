package protocol

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
)

// fakeService counts what it gets and answers as it is told.
type fakeService struct {
	received atomic.Int32
	behave   atomic.Pointer[string]
}

func (fake *fakeService) set(behaviour string) { fake.behave.Store(&behaviour) }

func (fake *fakeService) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	fake.received.Add(1)
	_, _ = io.Copy(io.Discard, received.Body)
	switch *fake.behave.Load() {
	case "answer":
		_, _ = io.WriteString(writer, "paid")
	case "chunks":
		_ = http.NewResponseController(writer).Flush()
		_, _ = io.WriteString(writer, "paid")
	case "silent":
		<-received.Context().Done()
	case "begin":
		_, _ = io.WriteString(writer, "pa")
		_ = http.NewResponseController(writer).Flush()
		<-received.Context().Done()
	case "short":
		writer.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(writer, "paid")
	case "long":
		_, _ = io.WriteString(writer, strings.Repeat("paid", 4096))
	case "header":
		writer.Header().Set("X", strings.Repeat("x", 2*headerBytes))
	case "drop":
		panic(http.ErrAbortHandler)
	default:
		raw(writer, *fake.behave.Load())
	}
}

// raw writes bytes to the connection and closes it.
func raw(writer http.ResponseWriter, text string) {
	conn, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = buffered.WriteString(strings.ReplaceAll(text, `\r\n`, "\r\n"))
	_ = buffered.Flush()
	_ = conn.Close()
}

var typesByName = map[string]*errorx.Type{
	"broken": Broken, "garbled": Garbled, "tooMuch": TooLong, "silent": Silent,
	"notSent": NotSent, "leaving": Leaving, "notFound": NotFound, "fenced": Fenced,
}

// endName names the type of an error, "whole" for none.
func endName(err error) string {
	if err == nil {
		return "whole"
	}
	for name, kind := range typesByName {
		if Is(err, kind) {
			return name
		}
	}
	return err.Error()
}

// dispatchAll sends a call and reads its answer to the end.
func dispatchAll(client *Client, call *Call) (string, error) {
	answer, err := client.Dispatch(context.Background(), testAddress, call)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

// shown is how much of an answer the scripts show, in bytes.
const shown = 8

// TestService runs testdata/service.txt: what a service does on a connection
// that has served a request before, and how the call must end. In every case
// it must get the request exactly once.
func TestService(t *testing.T) {
	file, err := os.Open("testdata/service.txt")
	qt.Assert(t, err, qt.IsNil)
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		behaviour, want, found := strings.Cut(lines.Text(), " => ")
		if !found {
			continue
		}
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(method+" "+behaviour, func(t *testing.T) {
				fake := &fakeService{}
				inBubble(t, fake, func(t *testing.T, network *network) {
					client := newService(testLimits, network.dial)
					fake.set("answer")
					_, err := dispatchAll(client, newCall(method))
					qt.Assert(t, err, qt.IsNil)
					fake.set(behaviour)
					text, err := dispatchAll(client, newCall(method))
					qt.Check(t, int64(len(text)) <= testLimits.Bytes, qt.IsTrue)
					if len(text) > shown {
						text = text[:shown]
					}
					qt.Check(t, strings.TrimSpace(endName(err)+" "+text), qt.Equals, want, qt.Commentf("%v", err))
					qt.Check(t, fake.received.Load(), qt.Equals, int32(2))
				})
			})
		}
	}
}

// TestDeadConnection: an open connection that turns out dead before a byte
// left is no dispatch.
func TestDeadConnection(t *testing.T) {
	fake := &fakeService{}
	fake.set("answer")
	inBubble(t, fake, func(t *testing.T, network *network) {
		client := newService(testLimits, network.dial)
		_, err := dispatchAll(client, newCall(http.MethodPost))
		qt.Assert(t, err, qt.IsNil)
		network.dead.Store(true)
		_, err = dispatchAll(client, newCall(http.MethodPost))
		qt.Check(t, endName(err), qt.Equals, "notSent")
		network.dead.Store(false)
		_, err = dispatchAll(client, newCall(http.MethodPost))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, fake.received.Load(), qt.Equals, int32(2))
	})
}

// TestStaleGrant: nothing is sent when the right to dispatch is refused, on a
// new connection and on an open one.
func TestStaleGrant(t *testing.T) {
	fake := &fakeService{}
	fake.set("answer")
	inBubble(t, fake, func(t *testing.T, network *network) {
		client := newService(testLimits, network.dial)
		stale := newCall(http.MethodPost)
		stale.BeforeSend = func() bool { return false }
		_, err := dispatchAll(client, stale)
		qt.Check(t, endName(err), qt.Equals, "notSent")
		_, err = dispatchAll(client, newCall(http.MethodPost))
		qt.Assert(t, err, qt.IsNil)
		_, err = dispatchAll(client, stale)
		qt.Check(t, endName(err), qt.Equals, "notSent")
		time.Sleep(time.Minute)
		qt.Check(t, fake.received.Load(), qt.Equals, int32(1))
	})
}

// TestDialHangs: a target that can't be reached costs the dial timeout.
func TestDialHangs(t *testing.T) {
	inBubble(t, &fakeService{}, func(t *testing.T, network *network) {
		network.hung.Store(true)
		start := time.Now()
		_, err := dispatchAll(newService(testLimits, network.dial), newCall(http.MethodPost))
		qt.Check(t, endName(err), qt.Equals, "notSent")
		qt.Check(t, time.Since(start), qt.Equals, dialTimeout)
	})
}

// TestCallerGone: a caller that gives up while its request is being written
// leaves it broken, never unsent.
func TestCallerGone(t *testing.T) {
	fake := &fakeService{}
	fake.set("silent")
	inBubble(t, fake, func(t *testing.T, network *network) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := newService(testLimits, network.dial).Dispatch(ctx, testAddress, newCall(http.MethodPost))
		qt.Check(t, endName(err), qt.Equals, "broken")
		qt.Check(t, fake.received.Load(), qt.Equals, int32(1))
	})
}

// TestCalls checks the errors of the engine's own calls.
func TestCalls(t *testing.T) {
	ctx := context.Background()
	var answer string
	status := http.StatusOK
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = fmt.Fprint(writer, answer)
	})
	inBubble(t, handler, func(t *testing.T, network *network) {
		client := newEngine(testLimits, network.dial)
		for _, test := range []struct {
			status int
			answer string
			want   string
		}{
			{http.StatusOK, `[{"sequence":6},{"sequence":9}]`, "whole"},
			{http.StatusOK, `[{"sequence":5}]`, "garbled"},
			{http.StatusOK, `[{"sequence":7},{"sequence":6}]`, "garbled"},
			{http.StatusOK, `[{`, "garbled"},
			{http.StatusOK, strings.Repeat(" ", 5000), "tooMuch"},
			{http.StatusNotFound, ``, "notFound"},
			{http.StatusConflict, ``, "fenced"},
			{http.StatusBadGateway, ``, "garbled"},
		} {
			status, answer = test.status, test.answer
			_, err := client.CacheEvents(ctx, testAddress, 5)
			qt.Check(t, endName(err), qt.Equals, test.want, qt.Commentf("%d %s", test.status, test.answer))
		}
		status = http.StatusNotFound
		qt.Check(t, client.Cancel(ctx, testAddress, newCall("").Request), qt.IsNil)
		status, answer = http.StatusOK, `[{"request":"01000000000000000000000000000000","offset":3,"unread":1.5}]`
		streams, err := client.Streams(ctx, testAddress)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, streams, qt.DeepEquals, []Stream{{Request: newCall("").Request, Offset: 3, UnreadSeconds: 1.5}})
	})
}
