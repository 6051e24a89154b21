package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/origin"
	"nutmegfield.example/quota"
	"nutmegfield.example/route"
)

// TestStreamGoesOnAtItsVersion guards against streams that go on at a target of another
// version than the one that began them, within one answer or where a caller takes them up,
// and against sending one on whose version is not known.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	const (
		begun  = "HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s1\n\nid: 1\ndata: a\n\nRESET\n"
		goesOn = "HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s2\n\nid: 2\ndata: b\n\nCLOSE\n"
	)
	for _, test := range []struct {
		name string
		// versions are those of the targets, begin the one that began the stream "first".
		versions []string
		begin    string
		resumes  string
		replies  []string
		want     string
		sent     int
	}{
		{name: "same answer", versions: []string{"v1", "v1"}, replies: []string{begun, goesOn}, want: "200", sent: 2},
		{name: "same answer, no other", versions: []string{"v1", "v2"}, replies: []string{begun}, want: "200 broken", sent: 1},
		{name: "taken up", versions: []string{"v1", "v2"}, begin: "v2", resumes: "first", replies: []string{goesOn}, want: "200", sent: 1},
		{name: "taken up, gone", versions: []string{"v1", "v2"}, begin: "v3", resumes: "first", want: "503", sent: 0},
		{name: "taken up, unknown", versions: []string{"v1", "v2"}, begin: "v1", resumes: "other", want: "503", sent: 0},
		{name: "taken up, not named, one without a name began", versions: []string{"v1", "v2"}, begin: "unnamed", resumes: "", want: "503", sent: 0},
		{name: "taken up, not named", versions: []string{"v1", "v2"}, begin: "v1", resumes: "", want: "503", sent: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fixture := newFixture(c, testConfiguration(func(route *route.Route) { applyRouteKind(route, "resumable") }), len(test.versions))
			for i, version := range test.versions {
				fixture.targets[i].Version = version
			}
			fixture.balancer.SetTargets(fixture.targets, nil)
			fixture.gateway.Origins.SetTargets(fixture.targets)
			fixture.replies = test.replies
			request := fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")
			if test.begin == "unnamed" {
				fixture.replies = []string{"HTTP/1.1 200 OK\nTest-Seal: s1\n\nid: 1\ndata: a\n\nCLOSE\n"}
				unnamed := fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")
				unnamed.Header.Del(testID)
				c.Assert(fixture.sendForStatus(unnamed), qt.Equals, http.StatusOK)
				fixture.received = nil
			}
			if test.begin != "" {
				target := fixture.targets[0]
				target.Version = test.begin
				fixture.gateway.Origins.RecordBegin(origin.NewStream("first"), testPool, target.VersionID())
				request.Header.Set(testLastEvent, "1")
				request.Header.Set(testResumes, test.resumes)
			}
			response, err := http.DefaultTransport.RoundTrip(request)
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, response.Body)
			c.Assert(response.Body.Close(), qt.IsNil)
			got := strconv.Itoa(response.StatusCode)
			if err != nil {
				got += " broken"
			}
			c.Assert(got, qt.Equals, test.want)
			c.Assert(fixture.receivedRequests(), qt.HasLen, test.sent)
		})
	}
}

// TestStreamGoesOnAboveTheQuota guards against streams that don't go on while new requests of
// their workspace use what is refilled.
func TestStreamGoesOnAboveTheQuota(t *testing.T) {
	c := qt.New(t)
	configuration := testConfiguration(func(route *route.Route) { applyRouteKind(route, "resumable") })
	configuration.Workspaces[0].Quota = route.Quota{InTokens: true, Rate: 1, Burst: 100, PlainTokens: 10}
	fixture := newFixture(c, configuration, 1)
	fixture.ledger.SetLimits(map[string]quota.Limit{"clubs": {Rate: 1, Burst: 100}})
	// Tiny requests have overdrawn the bucket for ten seconds.
	for range 10 {
		c.Assert(fixture.ledger.Take("clubs", 1).Allowed, qt.IsTrue)
	}
	fixture.gateway.Origins.SetTargets(fixture.targets)
	fixture.gateway.Origins.RecordBegin(origin.NewStream("first"), testPool, fixture.targets[0].VersionID())
	fixture.replies = []string{"HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s1\n\nid: 2\ndata: b\n\nCLOSE\n"}
	send := func(resumes string) int {
		request := fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x")
		if resumes != "" {
			request.Header.Set(testLastEvent, "1")
			request.Header.Set(testResumes, resumes)
		}
		return fixture.sendForStatus(request)
	}
	c.Assert(send(""), qt.Equals, http.StatusTooManyRequests)
	c.Assert(send("first"), qt.Equals, http.StatusOK)
	c.Assert(send("unknown"), qt.Equals, http.StatusServiceUnavailable)
}

// TestStreamsThatGoOnComeFirst guards against streams of which callers have a part and that
// are refused while new ones of their rank begin: when all hosts have ended, all are taken up
// at once while there is little room.
func TestStreamsThatGoOnComeFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	route := &route.Route{Objective: 600 * time.Millisecond, EventGap: 500 * time.Millisecond}
	resumed := &forwarding{route: route, rank: 1, isRetry: true, call: Call{LastEventID: "3"}, arrivedAt: now}
	begins := &forwarding{route: route, rank: 1, arrivedAt: now}
	returned := &forwarding{route: route, rank: 1, isRetry: true, arrivedAt: now}
	important := &forwarding{route: route, isRetry: true, arrivedAt: now}
	order := []*forwarding{important, resumed, begins, returned}
	for i := range order[1:] {
		c.Assert(order[i].queueTier() < order[i+1].queueTier(), qt.IsTrue, qt.Commentf("%d", i))
	}
	c.Assert(begins.due().Sub(now), qt.Equals, route.Objective)
	c.Assert(resumed.due().Sub(now), qt.Equals, 2*time.Second)
	goesOn := &forwarding{route: route, headerWritten: true, lastEventID: "3", arrivedAt: now}
	c.Assert(goesOn.due().IsZero(), qt.IsTrue)
	c.Assert(goesOn.queueTier(), qt.Equals, 0)
}
