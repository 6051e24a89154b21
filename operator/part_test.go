package operator_test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
