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

// TestLeavingTargetIsNotUsed: a grant of a target that this host knows to be
// leaving goes back unused, and the ticket waits again.
func TestLeavingTargetIsNotUsed(t *testing.T) {
	play(t, func(fixture *fixture) {
		back := time.Now().Add(time.Second)
		fixture.entry.Leaving = func(pool, target string) bool {
			return pool == "boots" && target == "e1" && time.Now().Before(back)
		}
		fixture.wants(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusOK, request.Done)
		fixture.Assert(time.Now().Before(back), qt.IsFalse)
		fixture.Assert(fixture.calls, qt.HasLen, 1)
		last := len(fixture.releases) - 1
		for i, release := range fixture.releases {
			fixture.Assert(release.End == request.EndUnused, qt.Equals, i < last)
		}
	})
}

// TestTargetLeavesBeforeTheFirstByte: the configuration that says so comes
// while the connection is opened.
func TestTargetLeavesBeforeTheFirstByte(t *testing.T) {
	play(t, func(fixture *fixture) {
		dispatch := fixture.dispatch
		version := int64(1)
		configure := func(leaving bool) {
			version++
			configuration, err := profile.Decode("fixture.yaml", []byte(fixtureConfiguration))
			fixture.Assert(err, qt.IsNil)
			configuration.Pools[0].Targets[0].Leaving = leaving
			fixture.entry.Store.Offer(profile.NewSnapshot(version, *configuration))
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
		fixture.wants(<-replies, http.StatusOK, request.Done)
		fixture.Assert(fixture.calls, qt.HasLen, 1)
	})
}
