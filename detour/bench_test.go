package detour

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"nutmegfield.example/balance"
	"nutmegfield.example/timeline"
	"nutmegfield.example/upstream"
)

// BenchmarkPrice measures requests that go to a target directly and over another host, on
// loopback: a plain one of 800 bytes, and a stream of 50 events.
func BenchmarkPrice(b *testing.B) {
	for _, kind := range []string{"plain", "stream"} {
		for _, over := range []string{"direct", "detour"} {
			b.Run(kind+"/"+over, func(b *testing.B) { benchmarkPrice(b, kind == "stream", over == "detour") })
		}
	}
}

func benchmarkPrice(b *testing.B, isStream, isDetour bool) {
	const events, eventBytes = 50, 60
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Id", request.Header.Get("Id"))
		if !isStream {
			_, _ = writer.Write(make([]byte, 800))
			return
		}
		for i := range events {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: %0*d\n\n", i, eventBytes, i)
			_ = http.NewResponseController(writer).Flush()
		}
	}))
	defer target.Close()
	dial := (&net.Dialer{}).DialContext
	connections := &upstream.Connections{Dial: dial, DialTimeout: time.Second, Identify: identify}
	listed := balance.Target{ID: "t", Pool: testPool, Address: target.Listener.Addr().String(), StartedAt: time.UnixMilli(1)}
	server := &Server{
		Connections: connections, Reaches: func(string) bool { return true }, Events: &timeline.Recorder{},
		Target:   func(balance.Incarnation) (balance.Target, bool, bool) { return listed, true, true },
		OnFailed: func(string) {}, OnAnswer: func(*balance.Target, *upstream.Answer) {},
		OnSkipped: func(string, *balance.Target, upstream.Skipped) {}, Begin: func() func() { return func() {} },
		Watch: func(string) *Attempt { return &Attempt{} },
	}
	mux := drpcmux.New()
	if err := server.Register(mux); err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = drpcserver.New(mux).Serve(b.Context(), listener) }()
	var bytes atomic.Int64
	client := &Client{
		Host: "me", Events: &timeline.Recorder{}, Identify: identify, Hosts: func(string) []Host { return []Host{{ID: "a", Address: listener.Addr().String()}} },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			return &countedConn{Conn: conn, bytes: &bytes}, err
		},
	}
	var first time.Duration
	for b.Loop() {
		began := time.Now()
		request := &upstream.Request{Method: http.MethodGet, Target: "/path", Host: "h", ID: "1", Header: http.Header{"Id": {"1"}, "Other": {"4000"}}}
		var answer *upstream.Answer
		if isDetour {
			answer, err = client.Exchange(b.Context(), &Call{Request: request, Target: &listed})
		} else {
			answer, err = connections.Exchange(b.Context(), listed.Address, request)
		}
		if err != nil {
			b.Fatal(err)
		}
		first += time.Since(began)
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			b.Fatal(err)
		}
		_ = answer.Body.Close()
	}
	b.ReportMetric(float64(first.Microseconds())/float64(b.N)/1000, "ms-to-head/op")
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "host-bytes/op")
}
