package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/balance"
	"nutmegfield.example/rollout"
	"nutmegfield.example/route"
	"nutmegfield.example/timeline"
)

// testRollouts are the rollouts of a fixture whose first two targets are of the version v1 and
// the others of v2, to which an order asks to move. Another host decides.
type testRollouts struct {
	*rollout.Rollouts
	fixture  *fixture
	sequence uint64

	mutex   sync.Mutex
	reports []rollout.Report
}

func newTestRollouts(fixture *fixture) *testRollouts {
	test := &testRollouts{fixture: fixture}
	test.Rollouts = &rollout.Rollouts{
		Address: "self", Incarnation: 1, Bounds: rollout.Bounds{Share: 0.1, Slack: 50, RollbackWithin: 5 * time.Second},
		Hosts: func() []string { return []string{"decider", "self"} }, IsQuorate: func() bool { return true },
		Send: func(_ string, message *rollout.Message) {
			test.mutex.Lock()
			defer test.mutex.Unlock()
			test.reports = append(test.reports, message.Reports...)
		},
		Revision: func() int64 { return 9 }, Read: func(context.Context, int64) error { return nil },
		Use: fixture.balancer.Use, Serves: fixture.balancer.Serves, Events: &timeline.Recorder{},
	}
	for i := range fixture.targets {
		fixture.targets[i].Version = "v" + strconv.Itoa(1+i/2)
	}
	fixture.balancer.SetTargets(fixture.targets, nil)
	test.SetTargets(fixture.targets, 9)
	fixture.gateway.Rollouts = test.Rollouts
	return test
}

// instruct lets the deciding host tell a stage and a share.
func (test *testRollouts) instruct(stage rollout.Stage, share float64) {
	test.sequence++
	test.Receive("decider", &rollout.Message{Decider: "decider", Instructions: []rollout.Instruction{{
		Rollout: 7, Pool: testPool, Version: "v2", Sequence: test.sequence, Stage: stage, Share: share, Duration: time.Minute,
	}}})
}

// counts returns the answers and failures that the host reports for a version.
func (test *testRollouts) counts(isNew bool) (answers, failed, times int) {
	time.Sleep(300 * time.Millisecond)
	test.Tick(context.Background(), time.Now())
	test.mutex.Lock()
	defer test.mutex.Unlock()
	for _, cell := range test.reports[len(test.reports)-1].Cells {
		if (cell.Target != 0) == isNew {
			answers += int(cell.Answers)
			failed += int(cell.Failures)
			for _, bin := range cell.First {
				times += int(bin.Count)
			}
		}
	}
	return answers, failed, times
}

// TestVersionIsChosen guards against requests that go to another version than the share says, or
// are repeated at a version that failed, and against answers that are counted in a wrong way.
func TestVersionIsChosen(t *testing.T) {
	const (
		served    = "HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s\nContent-Length: 0\n\n"
		failed    = "HTTP/1.1 500 Bad\nTest-Id: ID\nContent-Length: 0\n\n"
		unlike    = "HTTP/1.1 404 None\nTest-Id: ID\nContent-Length: 0\n\n"
		notRun    = "HTTP/1.1 503 Full\nTest-Id: ID\nTest-Not-Run: 1\nContent-Length: 0\n\n"
		stream    = "HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nCLOSE\n"
		broken    = "HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s\n\nid: 1\ndata: a\n\nRESET\n"
		unstarted = "RESET\n"
	)
	for _, test := range []struct {
		name, kind string
		stage      rollout.Stage
		share      float64
		replies    []string
		status     int
		// newest and oldest are the answers, failures and times counted for each version.
		newest, oldest [3]int
	}{
		{"share", "idempotent", rollout.Sharing, 1, []string{served}, 200, [3]int{1, 0, 1}, [3]int{}},
		{"noShare", "idempotent", rollout.Sharing, 0, []string{served}, 200, [3]int{}, [3]int{1, 0, 1}},
		{"failedThere", "idempotent", rollout.Sharing, 1, []string{failed, served}, 200, [3]int{1, 1, 0}, [3]int{1, 0, 1}},
		{"brokenThere", "idempotent", rollout.Sharing, 1, []string{unstarted, served}, 200, [3]int{1, 1, 0}, [3]int{1, 0, 1}},
		{"unlike", "idempotent", rollout.Sharing, 1, []string{unlike}, 404, [3]int{1, 1, 0}, [3]int{}},
		{"notRun", "once", rollout.Sharing, 1, []string{notRun, served}, 200, [3]int{}, [3]int{1, 0, 1}},
		{"stream", "streaming", rollout.Sharing, 1, []string{stream}, 200, [3]int{1, 0, 1}, [3]int{}},
		{"brokenStream", "resumable", rollout.Sharing, 1, []string{broken, broken}, 200, [3]int{2, 2, 1}, [3]int{}},
		{"rollingBack", "idempotent", rollout.RollingBack, 0, []string{served}, 200, [3]int{}, [3]int{1, 0, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fixture := newFixture(c, testConfiguration(func(route *route.Route) { applyRouteKind(route, test.kind) }), 4)
			rollouts := newTestRollouts(fixture)
			rollouts.instruct(test.stage, test.share)
			fixture.replies = test.replies
			response, err := http.DefaultTransport.RoundTrip(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x"))
			c.Assert(err, qt.IsNil)
			// A broken stream ends with an error.
			_, _ = io.Copy(io.Discard, response.Body)
			c.Assert(response.Body.Close(), qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, test.status)
			for isNew, want := range map[bool][3]int{true: test.newest, false: test.oldest} {
				answers, failed, times := rollouts.counts(isNew)
				c.Check([3]int{answers, failed, times}, qt.Equals, want, qt.Commentf("new %t", isNew))
			}
		})
	}
}

// TestWithdrawnVersionGetsNothing guards against a request that was granted a target of the new
// version and is written to it after a rollback, and against a stream that goes on there.
func TestWithdrawnVersionGetsNothing(t *testing.T) {
	c := qt.New(t)
	fixture := newFixture(c, testConfiguration(func(route *route.Route) { applyRouteKind(route, "resumable") }), 4)
	rollouts := newTestRollouts(fixture)
	rollouts.instruct(rollout.Sharing, 1)
	dial := fixture.gateway.Connections.Dial
	rolledBack := make(chan struct{})
	fixture.gateway.Connections.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == fixture.targets[2].Address || address == fixture.targets[3].Address {
			select {
			case <-rolledBack:
			default:
				rollouts.instruct(rollout.RollingBack, 0)
				close(rolledBack)
			}
		}
		return dial(ctx, network, address)
	}
	fixture.replies = []string{"HTTP/1.1 200 OK\nTest-Id: ID\nTest-Seal: s\n\nid: 1\ndata: a\n\nCLOSE\n"}
	response, err := http.DefaultTransport.RoundTrip(fixture.newRequest(t.Context(), http.MethodPost, "/r/a", "x"))
	c.Assert(err, qt.IsNil)
	// The answer to a caller that leaves before its end is not counted.
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Contains, "data: a")
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	<-rolledBack
	answers, _, _ := rollouts.counts(false)
	c.Assert(answers, qt.Equals, 1)
	answers, _, _ = rollouts.counts(true)
	c.Assert(answers, qt.Equals, 0)
	c.Assert(rollouts.MayGoOn(testPool, balance.NewVersionID(testPool, "v2"), "r", time.Second), qt.IsFalse)
}
