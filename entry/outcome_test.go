package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nutmegfield.example/protocol"
	"nutmegfield.example/request"
)

// assertReply checks the status and the outcome of a reply.
func (fixture *fixture) assertReply(got reply, status int, outcome request.Outcome) {
	fixture.Helper()
	fixture.Assert(got.err, qt.IsNil)
	fixture.Assert(got.status, qt.Equals, status, qt.Commentf("%s", got.body))
	fixture.Assert(got.header.Get(HeaderOutcome), qt.Equals, string(outcome))
	fixture.Assert(got.header.Get(HeaderRequest), qt.Not(qt.Equals), "")
	if outcome == request.NotRun && status != http.StatusBadRequest {
		fixture.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
}

// assertReleases checks how the released grants ended, in order, once no request is
// running.
func (fixture *fixture) assertReleases(ends ...request.End) {
	fixture.Helper()
	fixture.entry.running.Wait()
	var seen []request.End
	for _, release := range fixture.releases {
		seen = append(seen, release.End)
	}
	fixture.Assert(seen, qt.DeepEquals, ends)
}

// blockAnswer makes targets answer only when the returned channel is closed, or
// fail when the call's context ends.
func (fixture *fixture) blockAnswer() (answer chan struct{}) {
	answer = make(chan struct{})
	fixture.answer = func(ctx context.Context, _ *protocol.Call) (*protocol.Answer, error) {
		select {
		case <-answer:
			return newAnswer(http.StatusOK, strings.NewReader(`{"paid":true}`)), nil
		case <-ctx.Done():
			return nil, protocol.Broken.Wrap(ctx.Err(), "ask")
		}
	}
	return answer
}

func TestHangUpCancelsIdempotentRequest(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.blockAnswer()
		ctx, hangUp := context.WithCancel(fixture.Context())
		replies := fixture.post(ctx, chatPath, chatText)
		hangUp()
		fixture.Assert((<-replies).err, qt.IsNotNil)
		fixture.assertReleases(request.EndCancelled)
		fixture.Assert(fixture.cancelled, qt.Equals, 1)
	})
}

func TestHangUpLeavesNonIdempotentRequestRunning(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		answer := fixture.blockAnswer()
		ctx, hangUp := context.WithCancel(fixture.Context())
		replies := fixture.pay(ctx)
		hangUp()
		fixture.Assert((<-replies).err, qt.IsNotNil)
		synctest.Wait()
		resent := fixture.pay(fixture.Context())
		close(answer)
		got := <-resent
		fixture.assertReply(got, http.StatusOK, request.Done)
		fixture.Assert(got.body, qt.Equals, `{"paid":true}`)
		fixture.Assert(fixture.calls, qt.HasLen, 1)
		fixture.assertReleases(request.EndDone)
	})
}

func TestSameKeyOtherBody(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.assertReply(<-fixture.pay(fixture.Context()), http.StatusOK, request.Done)
		got := fixture.send(fixture.Context(), http.MethodPost, "/services/orders/payments", `{"yen":2}`, paymentHeaders...)
		fixture.Assert(got.status, qt.Equals, http.StatusUnprocessableEntity)
		fixture.Assert(fixture.calls, qt.HasLen, 1)
	})
}

func TestNotRunReturnsRecord(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.decide = neverDecide
		replies := fixture.pay(fixture.Context())
		got := <-replies
		fixture.assertReply(got, http.StatusServiceUnavailable, request.NotRun)
		fixture.Assert(strings.Contains(got.body, `"reason":"deadline"`), qt.IsTrue)
		fixture.decide = nil
		fixture.assertReply(<-fixture.pay(fixture.Context()), http.StatusOK, request.Done)
	})
}

// TestOutageDoesNotDelayAnswer: the platform fails when the record should be
// returned. The caller must still be answered at its deadline.
func TestOutageDoesNotDelayAnswer(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.decide = neverDecide
		replies := fixture.pay(fixture.Context())
		fixture.outage.Store(true)
		started := time.Now()
		fixture.assertReply(<-replies, http.StatusServiceUnavailable, request.NotRun)
		fixture.Assert(time.Since(started), qt.Equals, 5*time.Second)
		fixture.entry.running.Wait()
		fixture.outage.Store(false)
		time.Sleep(time.Minute)
	})
}

func TestDeadlineAfterDispatchKeepsAnswer(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		answer := fixture.blockAnswer()
		replies := fixture.post(fixture.Context(), chatPath, chatText)
		time.Sleep(time.Minute)
		close(answer)
		fixture.assertReply(<-replies, http.StatusOK, request.Done)
	})
}

func TestBrokenStreamIsAborted(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
			return newAnswer(http.StatusOK, &brokenReader{strings.NewReader("data: 1\n\n"), protocol.Broken.Wrap(errLost, "read")}), nil
		}
		got := fixture.send(fixture.Context(), http.MethodPost, chatPath, streamText)
		fixture.Assert(got.err, qt.IsNotNil)
		fixture.Assert(got.body, qt.Equals, "data: 1\n\n")
		fixture.assertReleases(request.EndTargetLost)
	})
}

func TestStreamEndsWithOutcome(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
			return newAnswer(http.StatusOK, strings.NewReader("data: 1\n\ndata: [DONE]\n\n")), nil
		}
		got := fixture.send(fixture.Context(), http.MethodPost, chatPath, streamText)
		fixture.Assert(got.err, qt.IsNil)
		fixture.Assert(got.trailer.Get(HeaderOutcome), qt.Equals, string(request.Done))
		fixture.Assert(got.body, qt.Equals, "data: 1\n\ndata: [DONE]\n\n")
	})
}

// TestBrokenAnswers checks the outcome, the release and the answer to a resend for
// each fault of a target.
func TestBrokenAnswers(t *testing.T) {
	cases := []struct {
		name    string
		fault   error
		late    bool
		outcome request.Outcome
		end     request.End
	}{
		{"lost before the header", protocol.Broken.Wrap(errLost, "ask"), false, request.Unknown, request.EndTargetLost},
		{"lost in the body", protocol.Broken.Wrap(errLost, "read"), true, request.Unknown, request.EndTargetLost},
		{"silent", protocol.Silent.New("30s"), true, request.Unknown, request.EndTargetLost},
		{"too much", protocol.TooLong.New("more"), true, request.Unknown, request.EndFailed},
		{"garbled", protocol.Garbled.New("no JSON"), true, request.Unknown, request.EndFailed},
		{"leaving", protocol.Leaving.New("leaving"), false, request.Failed, request.EndTargetLeaving},
	}
	for _, broken := range cases {
		t.Run(broken.name, func(t *testing.T) {
			runFixture(t, func(fixture *fixture) {
				fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
					if !broken.late {
						return nil, broken.fault
					}
					return newAnswer(http.StatusOK, &brokenReader{strings.NewReader("{"), broken.fault}), nil
				}
				fixture.assertReply(<-fixture.pay(fixture.Context()), http.StatusBadGateway, broken.outcome)
				fixture.assertReleases(broken.end)
				fixture.answer = nil
				got := <-fixture.pay(fixture.Context())
				if broken.outcome == request.Unknown {
					fixture.assertReply(got, http.StatusConflict, request.Unknown)
					fixture.Assert(fixture.calls, qt.HasLen, 1)
					return
				}
				fixture.assertReply(got, http.StatusOK, request.Done)
			})
		})
	}
}

func TestUnreachableTargetIsRetried(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		attempts := 0
		dispatch := fixture.dispatch
		fixture.entry.Client = func(string) *protocol.Client {
			return &protocol.Client{Dispatch: func(ctx context.Context, address string, call *protocol.Call) (*protocol.Answer, error) {
				attempts++
				if attempts < 4 {
					return nil, protocol.NotSent.New("refused")
				}
				return dispatch(ctx, address, call)
			}}
		}
		fixture.assertReply(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusOK, request.Done)
		fixture.assertReleases(request.EndUnreachable, request.EndUnreachable, request.EndUnreachable, request.EndDone)
	})
}

func TestPanicAnswersAndReleases(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) { panic("broken part") }
		fixture.assertReply(<-fixture.pay(fixture.Context()), http.StatusInternalServerError, request.Unknown)
		fixture.assertReleases(request.EndFailed)
		fixture.answer = nil
		fixture.assertReply(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusOK, request.Done)
	})
}

func TestBodylessAnswers(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
			fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
				return newAnswer(status, strings.NewReader("")), nil
			}
			fixture.assertReply(fixture.send(fixture.Context(), http.MethodGet, "/services/orders/status", ""), status, request.Done)
		}
		fixture.answer = func(_ context.Context, call *protocol.Call) (*protocol.Answer, error) {
			answer := newAnswer(http.StatusOK, strings.NewReader(""))
			answer.Header.Set("Content-Length", "42")
			return answer, nil
		}
		got := fixture.send(fixture.Context(), http.MethodHead, "/services/orders/status", "")
		fixture.assertReply(got, http.StatusOK, request.Done)
		fixture.Assert(got.header.Get("Content-Length"), qt.Equals, "42")
	})
}

func TestServiceHeadersAndPath(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
			answer := newAnswer(http.StatusCreated, strings.NewReader("made"))
			answer.Header = http.Header{"Location": {"/orders/1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, HeaderOutcome: {"forged"}}
			return answer, nil
		}
		got := fixture.send(fixture.Context(), http.MethodPatch, "/services/orders/a//b%2Fc?x=1&y=%20", "body",
			"X-Trace", "7", "Connection", "X-Hop", "X-Hop", "1")
		fixture.assertReply(got, http.StatusCreated, request.Done)
		fixture.Assert(got.header.Get("Location"), qt.Equals, "/orders/1")
		fixture.Assert(got.header.Get("X-Hop"), qt.Equals, "")
		call := fixture.calls[0]
		fixture.Assert(call.Method, qt.Equals, http.MethodPatch)
		fixture.Assert(call.Path, qt.Equals, "/a//b%2Fc?x=1&y=%20")
		fixture.Assert(call.Header.Get("X-Trace"), qt.Equals, "7")
		for _, name := range []string{"X-Hop", "Connection", "Authorization", HeaderWorkspace} {
			fixture.Assert(call.Header.Get(name), qt.Equals, "", qt.Commentf("%s", name))
		}
	})
}

func TestWorkspaceLimits(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		ctx, hangUp := context.WithCancel(fixture.Context())
		fixture.decide = neverDecide
		first := fixture.post(ctx, chatPath, chatText, HeaderWorkspace, "few")
		got := fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText, HeaderWorkspace, "few")
		fixture.assertReply(got, http.StatusTooManyRequests, request.NotRun)
		hangUp()
		<-first
		fixture.entry.running.Wait()
		fixture.decide = nil
		fixture.assertReply(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText, HeaderWorkspace, "few"), http.StatusOK, request.Done)
		fixture.assertReply(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText, HeaderWorkspace, "slow"), http.StatusOK, request.Done)
		fixture.assertReply(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText, HeaderWorkspace, "slow"), http.StatusTooManyRequests, request.NotRun)
		time.Sleep(time.Second)
		fixture.assertReply(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText, HeaderWorkspace, "slow"), http.StatusOK, request.Done)
	})
}

func TestSlowBodyTimesOut(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		connection, err := fixture.listener.dial(fixture.Context(), "", "")
		fixture.Assert(err, qt.IsNil)
		_, err = io.WriteString(connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"+HeaderWorkspace+": clubs\r\nContent-Length: 100\r\n\r\n{")
		fixture.Assert(err, qt.IsNil)
		text, err := io.ReadAll(connection)
		fixture.Assert(err, qt.IsNil)
		fixture.Assert(strings.HasPrefix(string(text), "HTTP/1.1 408 "), qt.IsTrue, qt.Commentf("%s", text))
	})
}

// TestCallerThatDoesNotRead: a caller that does not read its answer must lose its
// connection, and its slot be released, after the write timeout.
func TestCallerThatDoesNotRead(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
			return newAnswer(http.StatusOK, strings.NewReader(strings.Repeat("data: 1\n\n", 10000))), nil
		}
		for _, text := range []string{chatText, streamText} {
			connection, err := fixture.listener.dial(fixture.Context(), "", "")
			fixture.Assert(err, qt.IsNil)
			go fixture.writeRaw(connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"+HeaderWorkspace+": clubs\r\nContent-Length: "+
				map[bool]string{true: "65", false: "79"}[text == chatText]+"\r\n\r\n"+text)
			synctest.Wait()
			fixture.Assert(fixture.entry.activeRequests.Load(), qt.Equals, int64(1))
			time.Sleep(fixture.entry.Settings.WriteTimeout + time.Second)
			fixture.Assert(fixture.entry.activeRequests.Load(), qt.Equals, int64(0))
			connection.Close()
		}
		fixture.assertReleases(request.EndDone, request.EndCancelled)
	})
}

func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.entry.Settings.Connections = 1
		fixture.serve()
		fixture.assertReply(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusOK, request.Done)
		connection, err := fixture.listener.dial(fixture.Context(), "", "")
		fixture.Assert(err, qt.IsNil)
		text, _ := io.ReadAll(connection)
		fixture.Assert(strings.HasPrefix(string(text), "HTTP/1.1 503 "), qt.IsTrue)
		fixture.assertReply(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusOK, request.Done)
		fixture.assertClean()
	})
}

func TestBodyMemoryLimit(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		fixture.entry.Settings.BodiesBytes = 100
		got := fixture.send(fixture.Context(), http.MethodPost, "/services/orders/x", strings.Repeat("x", 200))
		fixture.assertReply(got, http.StatusTooManyRequests, request.NotRun)
	})
}

func TestModels(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		got := fixture.send(fixture.Context(), http.MethodGet, modelsPath, "", HeaderWorkspace, "", "Authorization", "bearer laces")
		fixture.assertReply(got, http.StatusOK, request.Done)
		fixture.Assert(strings.Contains(got.body, `{"id":"boots","object":"model",`), qt.IsTrue, qt.Commentf("%s", got.body))
		fixture.Assert(strings.Contains(got.body, `orders`), qt.IsFalse)
		got = fixture.send(fixture.Context(), http.MethodGet, modelsPath+"/orders", "")
		fixture.Assert(got.status, qt.Equals, http.StatusNotFound)
	})
}

// TestTokensAreNotExposed: a caller's token must not get into an event, an answer or
// a call to a target.
func TestTokensAreNotExposed(t *testing.T) {
	runFixture(t, func(fixture *fixture) {
		for _, token := range []string{"laces", "secret-guess"} {
			got := fixture.send(fixture.Context(), http.MethodPost, "/services/orders/x", "", HeaderWorkspace, "", "Authorization", "Bearer "+token)
			fixture.Assert(strings.Contains(got.body, token), qt.IsFalse)
		}
		for _, event := range fixture.entry.Events.Events() {
			for _, token := range []string{"laces", "secret-guess"} {
				fixture.Assert(strings.Contains(event.Detail, token), qt.IsFalse)
			}
		}
		fixture.Assert(fixture.calls, qt.HasLen, 1)
		fixture.Assert(fixture.calls[0].Header["Authorization"], qt.HasLen, 0)
	})
}

var _ net.Listener = (*pipeListener)(nil)
