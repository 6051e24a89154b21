package protocol_test

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"nutmegfield.example/protocol"
	"nutmegfield.example/standin"
)

// BenchmarkPoll is one poll of an idle engine over loopback, as a scheduler
// does it each second: its load and its cache events. The engine's half of the
// work is in it.
func BenchmarkPoll(b *testing.B) {
	engine := &standin.Engine{Name: "idle", PrefillRate: 1e6, DecodeRate: 1e6}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	client := protocol.New("engine", protocol.Limits{
		Bytes: 1 << 20, Event: 1 << 20, Wait: time.Minute, Silence: time.Minute, Resumes: 1,
		Dial: (&net.Dialer{}).DialContext,
	})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Load(b.Context(), server.URL); err != nil {
			b.Fatal(err)
		}
		if _, err := client.CacheEvents(b.Context(), server.URL, 0); err != nil {
			b.Fatal(err)
		}
	}
}
