package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/budget"
	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
)

// TestBudgetIsNamed guards against a log that gives the retry budget as the reason for the
// end of a request which something else ended, or hides that it was the reason.
func TestBudgetIsNamed(t *testing.T) {
	for _, step := range []struct {
		spare float64
		want  bool
	}{{spare: 0, want: true}, {spare: 10, want: false}} {
		c := qt.New(t)
		fixture := newFixture(c, testConfiguration(func(route *route.Route) { route.Idempotent = true }), 3)
		fixture.gateway.Budget = &budget.Budget{
			Window: 10 * time.Second, Spare: step.spare, Hosts: func() int { return 1 }, StartedAt: time.Now().Add(-time.Minute),
		}
		fixture.gateway.Events = &timeline.Recorder{}
		fixture.replies = []string{"RESET", "RESET"}
		status := fixture.sendForStatus(fixture.newRequest(t.Context(), http.MethodGet, "/r/a", ""))
		c.Assert(status, qt.Equals, http.StatusBadGateway)
		named := false
		for _, event := range fixture.gateway.Events.Events() {
			named = named || strings.Contains(event.Detail, "budget is used up")
		}
		c.Assert(named, qt.Equals, step.want, qt.Commentf("spare %v", step.spare))
	}
}

// TestOnceIsSentAgainOnlyIfItDidNotRun guards against a request that may run once and is sent to
// a second target although the first one may have run it.
func TestOnceIsSentAgainOnlyIfItDidNotRun(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(nil), 1)
	for verdict := done; verdict <= failedWhole; verdict++ {
		for _, streaming := range []bool{false, true} {
			forwarding := &forwarding{
				gateway: fixture.gateway, route: &route.Route{Attempts: 4, Streaming: streaming}, pool: &route.Pool{Name: testPool},
			}
			want := verdict == notRun || verdict == unreachable
			c.Check(forwarding.mayRetry(verdict, 0), qt.Equals, want, qt.Commentf("%s", verdict))
			_, silenceTimer := forwarding.startSilenceTimer(t.Context(), &balance.Grant{}, 0)
			c.Check(silenceTimer.expire, qt.IsNil)
			silenceTimer.expireEarly()
			c.Check(silenceTimer.ctx.Err(), qt.IsNil)
		}
	}
}
