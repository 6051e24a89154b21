package detour

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcwire"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

// TestEndlessReply guards against replies of other hosts without end, of which some together
// would fill the memory of this one.
func TestEndlessReply(t *testing.T) {
	c := qt.New(t)
	var written atomic.Int64
	client := &Client{
		Host:  "a",
		Hosts: func(string) []Host { return []Host{{ID: "b", Address: "b"}} },
		Dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			go func() {
				frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
					ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Data: bytes.Repeat([]byte("a"), 1<<10),
				})
				for {
					n, err := far.Write(frame)
					if err != nil {
						return
					}
					written.Add(int64(n))
				}
			}()
			return near, nil
		},
		Identify: identify,
		Events:   &timeline.Recorder{},
	}
	ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
	defer cancel()
	_, err := client.Exchange(ctx, &Call{
		Request: &upstream.Request{Method: http.MethodGet, Target: "/", ID: "q1"}, Target: &balance.Target{ID: "t", Pool: "p"},
	})
	c.Assert(upstream.Is(err, upstream.Unknown), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(ctx.Err(), qt.IsNil)
	c.Assert(written.Load() <= 2*maxReplyBytes, qt.IsTrue, qt.Commentf("%d bytes were read", written.Load()))
}
