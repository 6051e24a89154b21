package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/request"
)

func TestDrain(t *testing.T) {
	play(t, func(fixture *fixture) {
		answer := fixture.blocked()
		running := fixture.post(fixture.Context(), chatPath, chatText)
		fixture.decide = never
		waiting := fixture.post(fixture.Context(), chatPath, chatText)
		drained := make(chan error, 1)
		go func() { drained <- fixture.entry.Drain(fixture.Context()) }()
		synctest.Wait()
		// The notice: not ready, and still serving what arrives.
		fixture.Assert(fixture.send(fixture.Context(), http.MethodGet, readyPath, "").status, qt.Equals, http.StatusServiceUnavailable)
		fixture.Assert(fixture.send(fixture.Context(), http.MethodGet, healthPath, "").status, qt.Equals, http.StatusOK)
		fixture.decide = nil
		arrived := fixture.post(fixture.Context(), chatPath, chatText)
		fixture.Assert(fixture.calls, qt.HasLen, 2)
		time.Sleep(fixture.entry.Drains.Notice)
		synctest.Wait()
		fixture.wants(<-waiting, http.StatusServiceUnavailable, request.NotRun)
		fixture.wants(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusServiceUnavailable, request.NotRun)
		fixture.Assert(drained, qt.HasLen, 0)
		close(answer)
		fixture.wants(<-running, http.StatusOK, request.Done)
		fixture.wants(<-arrived, http.StatusOK, request.Done)
		fixture.Assert(<-drained, qt.IsNil)
	})
}

func TestDrainCutShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.serve()
		fixture.blocked()
		running := fixture.post(fixture.Context(), chatPath, chatText)
		ctx, force := context.WithCancel(fixture.Context())
		drained := make(chan error, 1)
		go func() { drained <- fixture.entry.Drain(ctx) }()
		time.Sleep(2 * fixture.entry.Drains.Notice)
		force()
		fixture.Assert(<-drained, qt.ErrorMatches, "entry.cut: 1 running answers were cut")
		cut := 0
		for _, event := range fixture.entry.Events.Events() {
			if event.Number == eventCutRequest.Number {
				fixture.Assert(event.Request, qt.Not(qt.Equals), "")
				cut++
			}
		}
		fixture.Assert(cut, qt.Equals, 1)
		fixture.stop()
		fixture.Assert(<-fixture.served, qt.IsNil)
		fixture.Assert((<-running).err, qt.IsNotNil)
	})
}
