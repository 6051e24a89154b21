package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// deadlineRecorder accepts deadlines as a real connection does.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error  { return nil }
func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkSmallRequest measures the host's own work on a small request, from the
// handler to the target's client and back, with fakes that answer immediately.
func BenchmarkSmallRequest(b *testing.B) {
	for _, kind := range []struct{ name, path, text, answer string }{
		{"chat", chatPath, chatText, `{"choices":[]}`},
		{"stream", chatPath, streamText, "data: 1\n\ndata: [DONE]\n\n"},
		{"service", "/services/orders/status/17", "", "{}"},
	} {
		b.Run(kind.name, func(b *testing.B) {
			fixture := newFixture(b)
			fixture.entry.Client = func(string) *protocol.Client {
				return &protocol.Client{Dispatch: func(_ context.Context, _ string, call *protocol.Call) (*protocol.Answer, error) {
					call.BeforeSend()
					return newAnswer(http.StatusOK, strings.NewReader(kind.answer)), nil
				}}
			}
			fixture.entry.Release = func(*request.Release) {}
			handler := fixture.entry.Handler()
			b.ReportAllocs()
			for b.Loop() {
				received := httptest.NewRequest(http.MethodPost, kind.path, strings.NewReader(kind.text))
				received.Header.Set(HeaderWorkspace, "clubs")
				handler.ServeHTTP(deadlineRecorder{httptest.NewRecorder()}, received)
			}
		})
	}
}
