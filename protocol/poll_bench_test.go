package protocol_test

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"nutmegfield.example/protocol"
	"nutmegfield.example/standin"
)

// BenchmarkPoll measures one poll of an idle engine over loopback, as a scheduler
// sends it every second: its load and its cache events. It includes the engine's
// part of the work.
func BenchmarkPoll(b *testing.B) {
	engine := &standin.Engine{Name: "idle", PrefillRate: 1e6, DecodeRate: 1e6}
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	client := protocol.New("engine", protocol.Limits{
		MaxBytes: 1 << 20, MaxEventBytes: 1 << 20, HeaderTimeout: time.Minute, SilenceTimeout: time.Minute, MaxResumes: 1,
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
