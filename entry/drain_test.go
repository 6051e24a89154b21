package entry

import (
	"bufio"
	"context"
	"io"
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

// TestDrainAnswersLateHeads guards against requests that end without an answer as they become whole
// while the server of a drained host is stopped, and against callers that go on to use their
// connections.
func TestDrainAnswersLateHeads(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		conn, err := fixture.listener.dial(fixture.Context(), "", "")
		fixture.Assert(err, qt.IsNil)
		const head = "POST " + chatPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
		_, err = io.WriteString(conn, head)
		fixture.Assert(err, qt.IsNil)
		fixture.Assert(fixture.entry.Drain(fixture.Context()), qt.IsNil)
		fixture.stop()
		time.Sleep(lateHeadTime)
		go func() { _, _ = io.WriteString(conn, "\r\n") }()
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		fixture.Assert(err, qt.IsNil)
		fixture.Check(answer.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		fixture.Check(answer.Header.Get(HeaderOutcome), qt.Equals, string(request.NotRun))
		fixture.Check(answer.Close, qt.IsTrue)
	})
}

// lateHeadTime is how long after the server is stopped a head becomes whole.
const lateHeadTime = 500 * time.Millisecond

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
