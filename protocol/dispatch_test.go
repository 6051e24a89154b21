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

// fakeService counts the requests that it receives and answers each as set last.
type fakeService struct {
	received  atomic.Int32
	behaviour atomic.Pointer[string]
}

func (fakeService *fakeService) set(behaviour string) { fakeService.behaviour.Store(&behaviour) }

func (fakeService *fakeService) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	fakeService.received.Add(1)
	_, _ = io.Copy(io.Discard, received.Body)
	switch *fakeService.behaviour.Load() {
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
		writer.Header().Set("X", strings.Repeat("x", 2*maxHeaderBytes))
	case "drop":
		panic(http.ErrAbortHandler)
	default:
		writeRaw(writer, *fakeService.behaviour.Load())
	}
}

// writeRaw writes text to the connection, with \r\n unescaped, and closes it.
func writeRaw(writer http.ResponseWriter, text string) {
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

// errorName returns the name of an error's type, or "whole" for nil.
func errorName(err error) string {
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

// dispatchAll dispatches a call and returns the complete body of its answer.
func dispatchAll(client *Client, call *Call) (string, error) {
	answer, err := client.Dispatch(context.Background(), testAddress, call)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

// maxShownBytes is the length to which TestService cuts answers before it compares
// them.
const maxShownBytes = 8

// TestService runs the cases of testdata/service.txt: the behaviour of a service on
// a connection that has served a request before, and the expected end of the call.
// In every case the service must receive the request exactly once, as a resend by
// net/http would run it twice.
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
				fakeService := &fakeService{}
				inBubble(t, fakeService, func(t *testing.T, network *network) {
					client := newService(testLimits, network.dial)
					fakeService.set("answer")
					_, err := dispatchAll(client, newCall(method))
					qt.Assert(t, err, qt.IsNil)
					fakeService.set(behaviour)
					text, err := dispatchAll(client, newCall(method))
					qt.Check(t, int64(len(text)) <= testLimits.MaxBytes, qt.IsTrue)
					if len(text) > maxShownBytes {
						text = text[:maxShownBytes]
					}
					qt.Check(t, strings.TrimSpace(errorName(err)+" "+text), qt.Equals, want, qt.Commentf("%v", err))
					qt.Check(t, fakeService.received.Load(), qt.Equals, int32(2))
				})
			})
		}
	}
}

// TestDeadConnection checks that a request is reported as not sent when an idle
// connection fails before the first byte.
func TestDeadConnection(t *testing.T) {
	fakeService := &fakeService{}
	fakeService.set("answer")
	inBubble(t, fakeService, func(t *testing.T, network *network) {
		client := newService(testLimits, network.dial)
		_, err := dispatchAll(client, newCall(http.MethodPost))
		qt.Assert(t, err, qt.IsNil)
		network.writesFail.Store(true)
		_, err = dispatchAll(client, newCall(http.MethodPost))
		qt.Check(t, errorName(err), qt.Equals, "notSent")
		network.writesFail.Store(false)
		_, err = dispatchAll(client, newCall(http.MethodPost))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, fakeService.received.Load(), qt.Equals, int32(2))
	})
}

// TestBeforeSendRefuses checks that nothing is sent when BeforeSend returns false,
// as for a stale grant, on a new connection and on an open one.
func TestBeforeSendRefuses(t *testing.T) {
	fakeService := &fakeService{}
	fakeService.set("answer")
	inBubble(t, fakeService, func(t *testing.T, network *network) {
		client := newService(testLimits, network.dial)
		refusedCall := newCall(http.MethodPost)
		refusedCall.BeforeSend = func() bool { return false }
		_, err := dispatchAll(client, refusedCall)
		qt.Check(t, errorName(err), qt.Equals, "notSent")
		_, err = dispatchAll(client, newCall(http.MethodPost))
		qt.Assert(t, err, qt.IsNil)
		_, err = dispatchAll(client, refusedCall)
		qt.Check(t, errorName(err), qt.Equals, "notSent")
		time.Sleep(time.Minute)
		qt.Check(t, fakeService.received.Load(), qt.Equals, int32(1))
	})
}

// TestDialTimeout checks that a call to an unreachable target fails after
// dialTimeout.
func TestDialTimeout(t *testing.T) {
	inBubble(t, &fakeService{}, func(t *testing.T, network *network) {
		network.dialsHang.Store(true)
		start := time.Now()
		_, err := dispatchAll(newService(testLimits, network.dial), newCall(http.MethodPost))
		qt.Check(t, errorName(err), qt.Equals, "notSent")
		qt.Check(t, time.Since(start), qt.Equals, dialTimeout)
	})
}

// TestCallerDisconnects checks that a request is reported as broken, and not as not
// sent, when its caller disconnects after it was sent and before the answer.
func TestCallerDisconnects(t *testing.T) {
	fakeService := &fakeService{}
	fakeService.set("silent")
	inBubble(t, fakeService, func(t *testing.T, network *network) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := newService(testLimits, network.dial).Dispatch(ctx, testAddress, newCall(http.MethodPost))
		qt.Check(t, errorName(err), qt.Equals, "broken")
		qt.Check(t, fakeService.received.Load(), qt.Equals, int32(1))
	})
}

// TestEngineCallErrors checks the errors of the engine's control calls.
func TestEngineCallErrors(t *testing.T) {
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
			qt.Check(t, errorName(err), qt.Equals, test.want, qt.Commentf("%d %s", test.status, test.answer))
		}
		status = http.StatusNotFound
		qt.Check(t, client.Cancel(ctx, testAddress, newCall("").Request), qt.IsNil)
		status, answer = http.StatusOK, `[{"request":"01000000000000000000000000000000","offset":3,"unread":1.5}]`
		streams, err := client.Streams(ctx, testAddress)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, streams, qt.DeepEquals, []Stream{{Request: newCall("").Request, Offset: 3, UnreadSeconds: 1.5}})
	})
}

// TestEngineAnswersWithoutLength guards against errors and exports of an engine without a length
// that are cut and taken as whole.
func TestEngineAnswersWithoutLength(t *testing.T) {
	status := http.StatusBadRequest
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		// A connection that ends while the request is written is broken, whatever was answered.
		_, _ = io.Copy(io.Discard, request.Body)
		writeRaw(writer, fmt.Sprintf(`HTTP/1.1 %d X\r\nNutmegfield-Request: %s\r\n\r\n[{"err`, status, newCall("").Request))
	})
	inBubble(t, handler, func(t *testing.T, network *network) {
		client := newEngine(testLimits, network.dial)
		_, err := dispatchAll(client, newCall(http.MethodPost))
		qt.Check(t, errorName(err), qt.Equals, "garbled")
		status = http.StatusOK
		_, err = client.Export(context.Background(), testAddress, 7)
		qt.Check(t, errorName(err), qt.Equals, "garbled")
	})
}

// TestCopyOfALeavingRefusal guards against an engine that writes the refusal of an earlier
// request again while it runs the next one of the connection: that one would be said not to
// have run, and its caller's resend would run it twice. A copy names another request or none.
func TestCopyOfALeavingRefusal(t *testing.T) {
	own := newCall("").Request.String()
	for _, test := range []struct{ named, want string }{
		{"", "garbled"}, {"01", "garbled"}, {own, "leaving"},
	} {
		for _, stream := range []bool{false, true} {
			received := 0
			handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				if request.Method == http.MethodDelete {
					return
				}
				received++
				writer.Header().Set(leavingHeader, "true")
				if received > 1 && test.named != "" {
					writer.Header().Set("Nutmegfield-Request", test.named)
				}
				writer.WriteHeader(http.StatusServiceUnavailable)
			})
			inBubble(t, handler, func(t *testing.T, network *network) {
				client := newEngine(testLimits, network.dial)
				call := newCall(http.MethodPost)
				call.Stream = stream
				_, err := dispatchAll(client, call)
				qt.Check(t, errorName(err), qt.Equals, "leaving")
				_, err = dispatchAll(client, call)
				qt.Check(t, errorName(err), qt.Equals, test.want, qt.Commentf("named %q, stream %v: %v", test.named, stream, err))
				qt.Check(t, received, qt.Equals, 2)
			})
		}
	}
}
