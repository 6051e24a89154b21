package protocol

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/memory"
	"nutmegfield.example/request"
)

const (
	// smallMachineBytes is the memory of the smallest machine.
	smallMachineBytes = 134 << 20
	manyAnswers       = 50
)

var contentTypes = map[string]string{"json": "application/json", "stream": streamType, "text": "text/plain"}

// TestManyEndlessAnswers guards against answers that together fill the memory of a host,
// though each of them is within the limits. Each line of testdata/many.txt is sent to many
// calls at once, on the smallest machine.
func TestManyEndlessAnswers(t *testing.T) {
	text, err := os.ReadFile("testdata/many.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var name, call, contentType, first, repeated string
		var count int
		_, err := fmt.Sscanf(line, "%s %s %s %q %q %d", &name, &call, &contentType, &first, &repeated, &count)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("line %q", line))
		t.Run(name, func(t *testing.T) {
			runMany(qt.New(t), call, func(writer http.ResponseWriter, received *http.Request) {
				_, _ = io.Copy(io.Discard, received.Body)
				writer.Header().Set("Content-Type", contentTypes[contentType])
				_, err := io.WriteString(writer, first)
				block := strings.Repeat(repeated, 1000)
				for i := 0; err == nil; i += 1000 {
					if i >= count {
						time.Sleep(10 * time.Millisecond)
						block = repeated
					}
					_, err = io.WriteString(writer, block)
					_ = http.NewResponseController(writer).Flush()
				}
			})
		})
	}
}

func runMany(c *qt.C, call string, answer http.HandlerFunc) {
	server := httptest.NewServer(answer)
	defer server.Close()
	plan := memory.NewPlan(smallMachineBytes, 4096)
	client := New("engine", Limits{
		MaxBytes: maxAnswerBytes, MaxControlBytes: maxControlBytes, MaxEventBytes: maxEventBytes, HeaderTimeout: time.Minute,
		SilenceTimeout: answerSilenceTimeout, MaxResumes: 1, Dial: (&net.Dialer{}).DialContext, Memory: plan.Callers,
	})
	before := liveBytes()
	ctx, cancel := context.WithCancel(c.Context())
	var group sync.WaitGroup
	for i := range manyAnswers {
		group.Go(func() { _ = makeCall(ctx, client, server.URL, call, request.ID{byte(i)}) })
	}
	var most int64
	for range 6 {
		time.Sleep(100 * time.Millisecond)
		most = max(most, liveBytes()-before)
	}
	// The collector needs as much again.
	c.Check(most < plan.Heap/2, qt.IsTrue, qt.Commentf("%d bytes of %d", most, plan.Heap/2))
	cancel()
	group.Wait()
	c.Check(plan.Callers.Held(memory.Answers), qt.Equals, int64(0))
}

// makeCall makes a call and reads its answer.
func makeCall(ctx context.Context, client *Client, address, call string, id request.ID) error {
	var err error
	switch call {
	case "load":
		_, err = client.Load(ctx, address)
	case "streams":
		_, err = client.Streams(ctx, address)
	case "cache":
		_, err = client.CacheEvents(ctx, address, 0)
	case "state":
		_, err = client.State(ctx, address)
	case "order":
		err = client.Order(ctx, address, Order{})
	case "cancel":
		err = client.Cancel(ctx, address, id)
	case "export":
		_, err = client.Export(ctx, address, 1)
	default:
		answer, err := client.Dispatch(ctx, address, &Call{
			Request: id, Method: http.MethodPost, Path: "/v1/chat/completions", Header: http.Header{}, Stream: call == "stream",
			BeforeSend: func() bool { return true },
		})
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		return err
	}
	return err
}

// liveBytes returns the size of the live heap, with as little as possible of what becomes
// garbage while the collector runs.
func liveBytes() int64 {
	least := int64(math.MaxInt64)
	for range 3 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		least = min(least, int64(stats.HeapAlloc))
	}
	return least
}
