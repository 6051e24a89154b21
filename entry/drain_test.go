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
	runFixture(t, func(fixture *fixture) {
		answer := fixture.blockAnswer()
		running := fixture.post(fixture.Context(), chatPath, chatText)
		fixture.decide = neverDecide
		waiting := fixture.post(fixture.Context(), chatPath, chatText)
		drained := make(chan error, 1)
		go func() { drained <- fixture.entry.Drain(fixture.Context()) }()
		synctest.Wait()
		// During the notice the host is not ready but still serves.
		fixture.Assert(fixture.send(fixture.Context(), http.MethodGet, readyPath, "").status, qt.Equals, http.StatusServiceUnavailable)
		fixture.Assert(fixture.send(fixture.Context(), http.MethodGet, healthPath, "").status, qt.Equals, http.StatusOK)
		fixture.decide = nil
		duringNotice := fixture.post(fixture.Context(), chatPath, chatText)
		fixture.Assert(fixture.calls, qt.HasLen, 2)
		time.Sleep(fixture.entry.DrainSettings.Notice)
		synctest.Wait()
		fixture.assertReply(<-waiting, http.StatusServiceUnavailable, request.NotRun)
		fixture.assertReply(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusServiceUnavailable, request.NotRun)
		fixture.Assert(drained, qt.HasLen, 0)
		close(answer)
		fixture.assertReply(<-running, http.StatusOK, request.Done)
		fixture.assertReply(<-duringNotice, http.StatusOK, request.Done)
		fixture.Assert(<-drained, qt.IsNil)
	})
}

func TestDrainCutShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.serve()
		fixture.blockAnswer()
		running := fixture.post(fixture.Context(), chatPath, chatText)
		ctx, force := context.WithCancel(fixture.Context())
		drained := make(chan error, 1)
		go func() { drained <- fixture.entry.Drain(ctx) }()
		time.Sleep(2 * fixture.entry.DrainSettings.Notice)
		force()
		fixture.Assert(<-drained, qt.ErrorMatches, "entry.cut: 1 unfinished requests were cut off")
		cut := 0
		for _, event := range fixture.entry.Events.Events() {
			if event.Number == eventRequestCut.Number {
				fixture.Assert(event.Request, qt.Not(qt.Equals), "")
				cut++
			}
		}
		fixture.Assert(cut, qt.Equals, 1)
		fixture.stop()
		fixture.Assert(<-fixture.serveResult, qt.IsNil)
		fixture.Assert((<-running).err, qt.IsNotNil)
		fixture.entry.running.Wait()
	})
}
