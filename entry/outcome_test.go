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

func (fixture *fixture) wants(got reply, status int, outcome request.Outcome) {
	fixture.Helper()
	fixture.Assert(got.err, qt.IsNil)
	fixture.Assert(got.status, qt.Equals, status, qt.Commentf("%s", got.body))
	fixture.Assert(got.header.Get(HeaderOutcome), qt.Equals, string(outcome))
	fixture.Assert(got.header.Get(HeaderRequest), qt.Not(qt.Equals), "")
	if outcome == request.NotRun && status != http.StatusBadRequest {
		fixture.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
}

func (fixture *fixture) ends(ends ...request.End) {
	fixture.Helper()
	var seen []request.End
	for _, release := range fixture.releases {
		seen = append(seen, release.End)
	}
	fixture.Assert(seen, qt.DeepEquals, ends)
}

// blocked is an answer that comes when release is closed, or never for a
// context that ends.
func (fixture *fixture) blocked() (answer chan struct{}) {
	answer = make(chan struct{})
	fixture.answer = func(ctx context.Context, _ *protocol.Call) (*protocol.Answer, error) {
		select {
		case <-answer:
			return answerOf(http.StatusOK, strings.NewReader(`{"paid":true}`)), nil
		case <-ctx.Done():
			return nil, protocol.Broken.Wrap(ctx.Err(), "ask")
		}
	}
	return answer
}

func TestHangUpCancelsIdempotentRequest(t *testing.T) {
	play(t, func(fixture *fixture) {
		fixture.blocked()
		ctx, hangUp := context.WithCancel(fixture.Context())
		replies := fixture.post(ctx, chatPath, chatText)
		hangUp()
		fixture.Assert((<-replies).err, qt.IsNotNil)
		fixture.entry.running.Wait()
		fixture.ends(request.EndCancelled)
		fixture.Assert(fixture.cancelled, qt.Equals, 1)
	})
}

func TestHangUpLeavesNonIdempotentRequestRunning(t *testing.T) {
	play(t, func(fixture *fixture) {
		answer := fixture.blocked()
		ctx, hangUp := context.WithCancel(fixture.Context())
		replies := fixture.pay(ctx)
		hangUp()
		fixture.Assert((<-replies).err, qt.IsNotNil)
		synctest.Wait()
		resent := fixture.pay(fixture.Context())
		close(answer)
		got := <-resent
		fixture.wants(got, http.StatusOK, request.Done)
		fixture.Assert(got.body, qt.Equals, `{"paid":true}`)
		fixture.Assert(fixture.calls, qt.HasLen, 1)
		fixture.ends(request.EndDone)
	})
}

func TestSameKeyOtherBody(t *testing.T) {
	play(t, func(fixture *fixture) {
		fixture.wants(<-fixture.pay(fixture.Context()), http.StatusOK, request.Done)
		got := fixture.send(fixture.Context(), http.MethodPost, "/services/orders/payments", `{"yen":2}`, paymentHeaders...)
		fixture.Assert(got.status, qt.Equals, http.StatusUnprocessableEntity)
		fixture.Assert(fixture.calls, qt.HasLen, 1)
	})
}

func TestNotRunGivesRecordBack(t *testing.T) {
	play(t, func(fixture *fixture) {
		fixture.decide = never
		replies := fixture.pay(fixture.Context())
		got := <-replies
		fixture.wants(got, http.StatusServiceUnavailable, request.NotRun)
		fixture.Assert(strings.Contains(got.body, `"reason":"deadline"`), qt.IsTrue)
		fixture.decide = nil
		fixture.wants(<-fixture.pay(fixture.Context()), http.StatusOK, request.Done)
	})
}

// TestPlatformHoldsNoAnswerBack: the record can't be given back, and the
// caller hears all the same at its deadline.
func TestPlatformHoldsNoAnswerBack(t *testing.T) {
	play(t, func(fixture *fixture) {
		fixture.decide = never
		replies := fixture.pay(fixture.Context())
		fixture.outage.Store(true)
		begun := time.Now()
		fixture.wants(<-replies, http.StatusServiceUnavailable, request.NotRun)
		fixture.Assert(time.Since(begun), qt.Equals, 5*time.Second)
		fixture.entry.running.Wait()
		fixture.outage.Store(false)
		time.Sleep(time.Minute)
	})
}

func TestDeadlineWhileRunningLetsAnswerCome(t *testing.T) {
	play(t, func(fixture *fixture) {
		answer := fixture.blocked()
		replies := fixture.post(fixture.Context(), chatPath, chatText)
		time.Sleep(time.Minute)
		close(answer)
		fixture.wants(<-replies, http.StatusOK, request.Done)
	})
}

func TestBrokenStreamIsAborted(t *testing.T) {
	play(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
			return answerOf(http.StatusOK, &brokenReader{strings.NewReader("data: 1\n\n"), protocol.Broken.Wrap(errLost, "read")}), nil
		}
		got := fixture.send(fixture.Context(), http.MethodPost, chatPath, streamText)
		fixture.Assert(got.err, qt.IsNotNil)
		fixture.Assert(got.body, qt.Equals, "data: 1\n\n")
		fixture.entry.running.Wait()
		fixture.ends(request.EndTargetLost)
	})
}

func TestStreamEndsWithOutcome(t *testing.T) {
	play(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
			return answerOf(http.StatusOK, strings.NewReader("data: 1\n\ndata: [DONE]\n\n")), nil
		}
		got := fixture.send(fixture.Context(), http.MethodPost, chatPath, streamText)
		fixture.Assert(got.err, qt.IsNil)
		fixture.Assert(got.trailer.Get(HeaderOutcome), qt.Equals, string(request.Done))
		fixture.Assert(got.body, qt.Equals, "data: 1\n\ndata: [DONE]\n\n")
	})
}

// TestBrokenAnswers: what a target's fault becomes for the caller and the
// scheduler.
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
		{"too much", protocol.TooMuch.New("more"), true, request.Unknown, request.EndFailed},
		{"garbled", protocol.Garbled.New("no JSON"), true, request.Unknown, request.EndFailed},
		{"leaving", protocol.Leaving.New("leaving"), false, request.Failed, request.EndTargetLeaving},
	}
	for _, broken := range cases {
		t.Run(broken.name, func(t *testing.T) {
			play(t, func(fixture *fixture) {
				fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
					if !broken.late {
						return nil, broken.fault
					}
					return answerOf(http.StatusOK, &brokenReader{strings.NewReader("{"), broken.fault}), nil
				}
				fixture.wants(<-fixture.pay(fixture.Context()), http.StatusBadGateway, broken.outcome)
				fixture.ends(broken.end)
				fixture.answer = nil
				got := <-fixture.pay(fixture.Context())
				if broken.outcome == request.Unknown {
					fixture.wants(got, http.StatusConflict, request.Unknown)
					fixture.Assert(fixture.calls, qt.HasLen, 1)
					return
				}
				fixture.wants(got, http.StatusOK, request.Done)
			})
		})
	}
}

func TestUnreachableTargetIsTriedAgain(t *testing.T) {
	play(t, func(fixture *fixture) {
		tries := 0
		dispatch := fixture.dispatch
		fixture.entry.Client = func(string) *protocol.Client {
			return &protocol.Client{Dispatch: func(ctx context.Context, address string, call *protocol.Call) (*protocol.Answer, error) {
				tries++
				if tries < 4 {
					return nil, protocol.NotSent.New("refused")
				}
				return dispatch(ctx, address, call)
			}}
		}
		fixture.wants(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusOK, request.Done)
		fixture.ends(request.EndUnreachable, request.EndUnreachable, request.EndUnreachable, request.EndDone)
	})
}

func TestPanicAnswersAndReleases(t *testing.T) {
	play(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) { panic("broken part") }
		fixture.wants(<-fixture.pay(fixture.Context()), http.StatusInternalServerError, request.Unknown)
		fixture.ends(request.EndFailed)
		fixture.answer = nil
		fixture.wants(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusOK, request.Done)
	})
}

func TestBodylessAnswers(t *testing.T) {
	play(t, func(fixture *fixture) {
		for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
			fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
				return answerOf(status, strings.NewReader("")), nil
			}
			fixture.wants(fixture.send(fixture.Context(), http.MethodGet, "/services/orders/status", ""), status, request.Done)
		}
		fixture.answer = func(_ context.Context, call *protocol.Call) (*protocol.Answer, error) {
			answer := answerOf(http.StatusOK, strings.NewReader(""))
			answer.Header.Set("Content-Length", "42")
			return answer, nil
		}
		got := fixture.send(fixture.Context(), http.MethodHead, "/services/orders/status", "")
		fixture.wants(got, http.StatusOK, request.Done)
		fixture.Assert(got.header.Get("Content-Length"), qt.Equals, "42")
	})
}

func TestServicePassesEndToEnd(t *testing.T) {
	play(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
			answer := answerOf(http.StatusCreated, strings.NewReader("made"))
			answer.Header = http.Header{"Location": {"/orders/1"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, HeaderOutcome: {"forged"}}
			return answer, nil
		}
		got := fixture.send(fixture.Context(), http.MethodPatch, "/services/orders/a//b%2Fc?x=1&y=%20", "body",
			"X-Trace", "7", "Connection", "X-Hop", "X-Hop", "1")
		fixture.wants(got, http.StatusCreated, request.Done)
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
	play(t, func(fixture *fixture) {
		ctx, hangUp := context.WithCancel(fixture.Context())
		fixture.decide = never
		first := fixture.post(ctx, chatPath, chatText, HeaderWorkspace, "few")
		got := fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText, HeaderWorkspace, "few")
		fixture.wants(got, http.StatusTooManyRequests, request.NotRun)
		hangUp()
		<-first
		fixture.entry.running.Wait()
		fixture.decide = nil
		fixture.wants(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText, HeaderWorkspace, "few"), http.StatusOK, request.Done)
		fixture.wants(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText, HeaderWorkspace, "slow"), http.StatusOK, request.Done)
		fixture.wants(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText, HeaderWorkspace, "slow"), http.StatusTooManyRequests, request.NotRun)
		time.Sleep(time.Second)
		fixture.wants(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText, HeaderWorkspace, "slow"), http.StatusOK, request.Done)
	})
}

func TestSlowBodyTimesOut(t *testing.T) {
	play(t, func(fixture *fixture) {
		connection, err := fixture.listener.dial(fixture.Context(), "", "")
		fixture.Assert(err, qt.IsNil)
		_, err = io.WriteString(connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
		fixture.Assert(err, qt.IsNil)
		text, err := io.ReadAll(connection)
		fixture.Assert(err, qt.IsNil)
		fixture.Assert(strings.HasPrefix(string(text), "HTTP/1.1 408 "), qt.IsTrue, qt.Commentf("%s", text))
	})
}

// TestCallerThatDoesNotRead: it loses its connection and costs a slot no
// longer than the write timeout.
func TestCallerThatDoesNotRead(t *testing.T) {
	play(t, func(fixture *fixture) {
		fixture.answer = func(context.Context, *protocol.Call) (*protocol.Answer, error) {
			return answerOf(http.StatusOK, strings.NewReader(strings.Repeat("data: 1\n\n", 10000))), nil
		}
		for _, text := range []string{chatText, streamText} {
			connection, err := fixture.listener.dial(fixture.Context(), "", "")
			fixture.Assert(err, qt.IsNil)
			go fixture.write(connection, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"+HeaderWorkspace+": clubs\r\nContent-Length: "+
				map[bool]string{true: "65", false: "79"}[text == chatText]+"\r\n\r\n"+text)
			synctest.Wait()
			fixture.Assert(fixture.entry.inFlight.Load(), qt.Equals, int64(1))
			time.Sleep(fixture.entry.Settings.WriteTimeout + time.Second)
			fixture.Assert(fixture.entry.inFlight.Load(), qt.Equals, int64(0))
			connection.Close()
		}
		fixture.ends(request.EndDone, request.EndCancelled)
	})
}

func TestConnectionsAboveTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.entry.Settings.Connections = 1
		fixture.serve()
		fixture.wants(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusOK, request.Done)
		connection, err := fixture.listener.dial(fixture.Context(), "", "")
		fixture.Assert(err, qt.IsNil)
		text, _ := io.ReadAll(connection)
		fixture.Assert(strings.HasPrefix(string(text), "HTTP/1.1 503 "), qt.IsTrue)
		fixture.wants(fixture.send(fixture.Context(), http.MethodPost, chatPath, chatText), http.StatusOK, request.Done)
		fixture.end()
	})
}

func TestBodiesAboveTheirMemory(t *testing.T) {
	play(t, func(fixture *fixture) {
		fixture.entry.Settings.BodiesBytes = 100
		got := fixture.send(fixture.Context(), http.MethodPost, "/services/orders/x", strings.Repeat("x", 200))
		fixture.wants(got, http.StatusTooManyRequests, request.NotRun)
	})
}

func TestModels(t *testing.T) {
	play(t, func(fixture *fixture) {
		got := fixture.send(fixture.Context(), http.MethodGet, modelsPath, "", HeaderWorkspace, "", "Authorization", "bearer laces")
		fixture.wants(got, http.StatusOK, request.Done)
		fixture.Assert(strings.Contains(got.body, `{"id":"boots","object":"model",`), qt.IsTrue, qt.Commentf("%s", got.body))
		fixture.Assert(strings.Contains(got.body, `orders`), qt.IsFalse)
		got = fixture.send(fixture.Context(), http.MethodGet, modelsPath+"/orders", "")
		fixture.Assert(got.status, qt.Equals, http.StatusNotFound)
	})
}

// TestTokensStayOut: no event, answer or call holds a caller's token.
func TestTokensStayOut(t *testing.T) {
	play(t, func(fixture *fixture) {
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
