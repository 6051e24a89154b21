package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
)

// TestSkippedAnswersAnnounceNothing guards against a sound target that gets no requests as a
// copy of an earlier answer, which names no request, says that it leaves, wants none for a time,
// takes few or is brittle.
func TestSkippedAnswersAnnounceNothing(t *testing.T) {
	const requests = 6
	for _, announced := range []string{"Test-Leaving: 1", "Test-Rest: 60s", "Test-Limit: 0.001", "Test-Brittle: 1", "Test-Leaving: 1\nTest-Id: other"} {
		c := qt.New(t)
		fixture := newFixture(c, testConfiguration(nil), 1)
		copied := "HTTP/1.1 503 Service Unavailable\nTest-Not-Run: 1\n" + announced + "\nContent-Length: 0\n\n"
		fixture.replies = []string{okReply, copied + okReply}
		for range requests {
			fixture.replies = append(fixture.replies, okReply)
		}
		for range requests {
			status, _ := fixture.post("/r/a", "x")
			c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", announced))
		}
		c.Assert(fixture.receivedRequests(), qt.HasLen, requests)
		c.Assert(fixture.gateway.Limiter.IsEmpty(), qt.IsTrue)
		c.Assert(fixture.balancer.RecordBrittle(&fixture.targets[0], 1), qt.IsTrue, qt.Commentf("known to be brittle"))
	}
}

// TestSkippedAnswerIsRecorded guards against a 502 whose cause, an answer that names no request,
// can't be found by the request's id.
func TestSkippedAnswerIsRecorded(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	fixture.replies = []string{okReply, "HTTP/1.1 503 Service Unavailable\nTest-Not-Run: 1\nContent-Length: 0\n\nCLOSE"}
	c.Assert(fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")), qt.Equals, http.StatusOK)
	request := fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")
	request.Header.Set(testID, "q2")
	c.Assert(fixture.sendForStatus(request), qt.Equals, http.StatusBadGateway)
	selection := timeline.Selection{Request: "q2"}
	details := map[int]string{}
	for _, event := range selection.Select(fixture.gateway.Events.Events()) {
		details[event.Number] = event.Detail
		if event.Number == eventSkipped.Number {
			c.Check(event.Target, qt.Equals, "t0")
			c.Check(event.Facts, qt.DeepEquals, []timeline.Fact{{Key: "status", Value: "503"}, {Key: "notRun", Value: "true"}, {Key: "carried", Value: "1"}})
		}
	}
	c.Check(details[eventSkipped.Number], qt.Equals, "names no request")
	c.Check(strings.Contains(details[eventAttemptFailed.Number], "after an answer with status 503 that names no request"), qt.IsTrue, qt.Commentf("%v", details))
	c.Check(details[eventRefused.Number], qt.Equals, "502 no whole answer")
}

// TestTargetGetsTheIDThatItHasToName guards against a target that can't name a request in its
// answer, as the caller has listed the field of the id among those of its own connection.
func TestTargetGetsTheIDThatItHasToName(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(func(route *route.Route) { route.Timeout = time.Second }), 1)
	fixture.replies = []string{okReply}
	request := fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")
	request.Header.Set("Connection", testID)
	c.Check(fixture.sendForStatus(request), qt.Equals, http.StatusOK)
}
