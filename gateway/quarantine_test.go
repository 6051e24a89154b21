package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/quarantine"
	"nutmegfield.example/quota"
	"nutmegfield.example/route"
)

// crash records that targets have ended under the content of a request to /r/a with
// the body "poison".
func (fixture *fixture) crash(targets ...quarantine.Incarnation) {
	content := quarantine.NewContent([]byte("clubs"), []byte(http.MethodPost), []byte("h.example"), []byte("/r/a"), []byte("poison"))
	for _, target := range targets {
		fixture.gateway.Suspects.RecordCrash(quarantine.Crash{Traits: quarantine.Traits{Content: content}, Target: target, At: time.Now(), Evidence: quarantine.Refused})
	}
}

// post sends a request and returns its status and retry time.
func (fixture *fixture) post(path, body string) (int, string) {
	response, err := http.DefaultTransport.RoundTrip(fixture.newRequest(context.Background(), http.MethodPost, path, body))
	fixture.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	fixture.Assert(err, qt.IsNil)
	return response.StatusCode, response.Header.Get("Retry-After")
}

// TestQuarantinedRequestIsNotSent guards against sending a request that has crashed
// three targets: it is answered 503 without a retry time, takes nothing from the quota
// and reaches no target, while requests that differ in body, path or workspace do.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	c := qt.New(t)
	configuration := testConfiguration(nil)
	configuration.Workspaces = append(configuration.Workspaces, route.Workspace{Name: "school", Keys: []string{"other"}})
	configuration.Workspaces[0].Quota.Rate = 1
	fixture := newFixture(c, configuration, 2)
	fixture.ledger.SetLimits(map[string]quota.Limit{"clubs": {Rate: 100, Burst: 100}})
	fixture.crash(1, 2)
	fixture.replies = []string{"HTTP/1.1 500 Oops\nTest-Id: ID\nTest-Seal: s1\nContent-Length: 0\n\n"}
	status, _ := fixture.post("/r/a", "poison")
	c.Assert(status, qt.Equals, http.StatusInternalServerError, qt.Commentf("two crashes don't suffice"))
	fixture.crash(3)
	for range 5 {
		status, retryAfter := fixture.post("/r/a", "poison")
		c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(retryAfter, qt.Equals, "")
	}
	c.Assert(fixture.receivedRequests(), qt.HasLen, 1)
	c.Assert(fixture.ledger.Report()[0].Total, qt.Equals, 1.0)
	fixture.replies = []string{okReply, okReply, okReply}
	status, _ = fixture.post("/r/a", "other")
	c.Assert(status, qt.Equals, http.StatusOK)
	status, _ = fixture.post("/r/b", "poison")
	c.Assert(status, qt.Equals, http.StatusOK)
	request := fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "poison")
	request.Header.Set(testKey, "other")
	c.Assert(fixture.sendForStatus(request), qt.Equals, http.StatusOK)
}

// TestQuarantinedAfterARun checks the answer to a request that is quarantined after a
// target may have run it: 502, as it was not certainly left alone.
func TestQuarantinedAfterARun(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(func(route *route.Route) { route.Idempotent = true }), 2)
	fixture.crash(1, 2)
	fixture.replies = []string{"RESET"}
	fixture.gateway.Attempts.Check = fixture.refuseChecks
	fixture.gateway.Attempts.OnCrash = fixture.gateway.Suspects.RecordCrash
	status, retryAfter := fixture.post("/r/a", "poison")
	c.Assert(status, qt.Equals, http.StatusBadGateway)
	c.Assert(retryAfter, qt.Equals, "")
	c.Assert(fixture.receivedRequests(), qt.HasLen, 1, qt.Commentf("it was sent to a second target"))
}

// TestAnswerThatEndsWithItsTarget guards against taking an answer without a length for a
// whole one whose target has ended, and with it the connection.
func TestAnswerThatEndsWithItsTarget(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		kind, reply string
		hasEnded    bool
		want        string
	}{
		{kind: "once", reply: unframedReply + "whole\nCLOSE\n", want: "200 whole"},
		{kind: "once", reply: unframedReply + "who\nCLOSE\n", hasEnded: true, want: "502"},
		{kind: "streaming", reply: unframedReply + "id: 1\ndata: a\n\nCLOSE\n", want: "200 id: 1 data: a"},
		{kind: "streaming", reply: unframedReply + "id: 1\ndata: a\n\nCLOSE\n", hasEnded: true, want: "200 id: 1 data: a broken"},
	} {
		fixture := newFixture(c, testConfiguration(func(route *route.Route) { applyRouteKind(route, test.kind) }), 2)
		fixture.replies = []string{test.reply}
		var crashes atomic.Int64
		fixture.gateway.Attempts.OnCrash = func(quarantine.Crash) { crashes.Add(1) }
		if test.hasEnded {
			fixture.gateway.Attempts.Check = fixture.refuseChecks
			closed := "CLOSE"
			fixture.health.Store(&closed)
		}
		c.Assert(fixture.read(), qt.Equals, test.want, qt.Commentf("%+v", test))
		c.Assert(crashes.Load() > 0, qt.Equals, test.hasEnded)
	}
}

// unframedReply is the head of an answer without a length.
const unframedReply = "HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s1\n\n"

// TestManyParts guards against requests whose prompts have so many parts that each crash makes
// thousands of suspects.
func TestManyParts(t *testing.T) {
	c := qt.New(t)
	forwarding := &forwarding{request: &http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/r"}}
	for i := range 4 * maxSharedTraits {
		forwarding.call.Prefix = append(forwarding.call.Prefix, PromptPart{ID: strconv.Itoa(i), Tokens: 1})
	}
	c.Assert(forwarding.sharedTraits(), qt.HasLen, maxSharedTraits)
	c.Assert(strings.Split(joinParts(forwarding.call.Prefix), ","), qt.HasLen, maxSharedTraits)
}

// TestServedRequestIsCleared checks that a request that was served is no longer
// suspected, although three targets ended while they ran it.
func TestServedRequestIsCleared(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 2)
	fixture.crash(1, 2)
	fixture.replies = []string{okReply, okReply}
	status, _ := fixture.post("/r/a", "poison")
	c.Assert(status, qt.Equals, http.StatusOK)
	fixture.crash(3)
	status, _ = fixture.post("/r/a", "poison")
	c.Assert(status, qt.Equals, http.StatusOK)
}
