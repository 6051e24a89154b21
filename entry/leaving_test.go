package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/profile"
	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// TestLeavingTargetIsNotUsed: a grant of a target that this host knows to be leaving
// must be released unused, and the request wait for another one.
func TestLeavingTargetIsNotUsed(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		leavingUntil := time.Now().Add(time.Second)
		fixture.entry.TargetLeaving = func(pool, target string) bool {
			return pool == "boots" && target == "e1" && time.Now().Before(leavingUntil)
		}
		fixture.assertReply(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusOK, request.Done)
		fixture.Assert(time.Now().Before(leavingUntil), qt.IsFalse)
		fixture.Assert(fixture.calls, qt.HasLen, 1)
		fixture.entry.running.Wait()
		last := len(fixture.releases) - 1
		for i, release := range fixture.releases {
			fixture.Assert(release.End == request.EndUnused, qt.Equals, i < last)
		}
	})
}

// TestTargetLeavesBeforeTheFirstByte: a configuration marks the target as leaving
// while the connection to it is opened. Nothing must be dispatched to it.
func TestTargetLeavesBeforeTheFirstByte(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		dispatch := fixture.dispatch
		version := int64(1)
		configure := func(leaving bool) {
			version++
			configuration, err := profile.Decode("fixture.yaml", []byte(fixtureConfiguration))
			fixture.Assert(err, qt.IsNil)
			configuration.Pools[0].Targets[0].Leaving = leaving
			fixture.entry.Store.ApplyIfNewer(profile.NewSnapshot(version, *configuration))
		}
		fixture.entry.Client = func(string) *protocol.Client {
			return &protocol.Client{Dispatch: func(ctx context.Context, address string, call *protocol.Call) (*protocol.Answer, error) {
				configure(version == 1)
				return dispatch(ctx, address, call)
			}}
		}
		replies := fixture.post(fixture.Context(), chatPath, chatText)
		time.Sleep(time.Second)
		fixture.Assert(fixture.calls, qt.HasLen, 0)
		configure(false)
		fixture.assertReply(<-replies, http.StatusOK, request.Done)
		fixture.Assert(fixture.calls, qt.HasLen, 1)
	})
}
