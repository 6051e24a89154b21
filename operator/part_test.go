package operator_test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"nutmegfield.example/operator"
	"nutmegfield.example/peer"
	"nutmegfield.example/profile"
	"nutmegfield.example/timeline"
)

// TestTokenRequired checks that only the operators' token is accepted, and that
// no response or event contains a token.
func TestTokenRequired(t *testing.T) {
	c := qt.New(t)
	sum := sha256.Sum256([]byte("night-watch"))
	server := &operator.Server{
		TokenHash: hex.EncodeToString(sum[:]),
		Store:     &profile.Store{},
		Members:   &peer.Members{Self: peer.Host{ID: "a1", Zone: "a"}},
		Events:    &timeline.Recorder{Host: "a1"},
	}
	handler := server.Handler()
	for authorization, status := range map[string]int{
		"":                   http.StatusUnauthorized,
		"Bearer ":            http.StatusUnauthorized,
		"Bearer day-watch":   http.StatusUnauthorized,
		"Basic night-watch":  http.StatusUnauthorized,
		"night-watch":        http.StatusUnauthorized,
		"Bearer night-watch": http.StatusOK,
	} {
		request := httptest.NewRequest(http.MethodGet, "/status", nil)
		request.Header.Set("Authorization", authorization)
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		c.Assert(response.Code, qt.Equals, status, qt.Commentf("%q", authorization))
		c.Assert(strings.Contains(response.Body.String(), "-watch"), qt.IsFalse)
	}
	c.Assert(server.Events.Events(), qt.HasLen, 0)
}

// TestBucketsLast guards against counters that monitoring never sees, as it keeps only
// the beginning of a page that histograms fill.
func TestBucketsLast(t *testing.T) {
	c := qt.New(t)
	metrics.GetOrCreateHistogram("a_seconds").Update(1)
	metrics.GetOrCreateCounter(`b_total{pool="x_bucket"}`).Inc()
	recorder := httptest.NewRecorder()
	operator.NewMux(nil).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	page := recorder.Body.String()
	counter, buckets := strings.Index(page, "b_total{"), strings.Index(page, "a_seconds_bucket{")
	c.Assert(counter >= 0 && buckets >= 0, qt.IsTrue, qt.Commentf("%s", page))
	c.Assert(counter < buckets, qt.IsTrue)
	c.Assert(buckets < strings.Index(page, "go_goroutines"), qt.IsTrue)
}
